//! A host: a process of `grebecleat platform`, its configuration and its log.

use super::site::settings;
use super::{answer, free_address, lock, ms};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Instant;

/// Period around a kill of the host. Requests that were outstanding then may remain unanswered.
#[derive(Debug, Clone, Copy)]
pub struct KillSpan {
    pub from: Instant,
    pub to: Instant,
}

/// A host of a fleet.
pub struct Host {
    pub address: SocketAddr,
    index: usize,
    child: Mutex<Option<Child>>,
    config: PathBuf,
    log: PathBuf,
    kills: Mutex<Vec<KillSpan>>,
}

impl Host {
    /// Returns a host that has not been started. `fleet`: the fleet's number in this process.
    pub fn new(fleet: u64, index: usize) -> Host {
        let process = std::process::id();
        let file = |extension: &str| {
            let name = format!("grebecleat-fleet-{process}-{fleet}-{index}.{extension}");
            std::env::temp_dir().join(name)
        };
        Host {
            address: free_address(),
            index,
            child: Mutex::default(),
            config: file("json"),
            log: file("log"),
            kills: Mutex::default(),
        }
    }

    /// Writes the host's configuration. `cached`: the endpoint list that the platform cached.
    pub fn write_config(&self, hosts: usize, discovery: SocketAddr, cached: &[Value]) {
        let seed = 0x8c1f_30d2_7a5b_e964u64 ^ (self.index as u64 * 7919);
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.address.to_string(),
            "discovery": discovery.to_string(), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": settings(hosts),
            "known": {"rev": 1, "all": true, "targets": cached},
        });
        std::fs::write(&self.config, config.to_string()).unwrap();
    }

    /// Starts the process.
    pub fn spawn(&self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_grebecleat"))
            .args([
                "--log-level",
                "info,may=error,grebecleat_platform=debug",
                "platform",
            ])
            .env("LB_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        *lock(&self.child) = Some(child);
    }

    /// Returns whether the host reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        stream.set_read_timeout(Some(ms(2000))).unwrap();
        let request = b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
        let sent = stream.write_all(request).is_ok();
        sent && answer(&mut stream).is_some_and(|(status, ..)| status == 200)
    }

    /// Sends a signal, such as `-TERM`, to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*lock(&self.child) {
            let process = child.id().to_string();
            let status = Command::new("kill").args([name, &process]).status();
            assert!(status.unwrap().success());
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&self) -> bool {
        let mut child = lock(&self.child);
        let status = child.as_mut().map(|child| child.try_wait());
        matches!(status, Some(Ok(None)))
    }

    /// Sends SIGKILL, and records the period.
    pub fn kill(&self) {
        let from = Instant::now();
        self.end_process();
        let to = Instant::now();
        lock(&self.kills).push(KillSpan { from, to });
    }

    /// Returns the periods around each kill of the host.
    pub fn kills(&self) -> Vec<KillSpan> {
        lock(&self.kills).clone()
    }

    /// Sends SIGTERM and waits until the process has ended; returns whether with code 0.
    pub fn shut_down(&self) -> bool {
        self.signal("-TERM");
        let Some(mut child) = lock(&self.child).take() else {
            return false;
        };
        for _ in 0..1000 {
            if let Some(status) = child.try_wait().unwrap() {
                return status.success();
            }
            sleep(ms(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    /// Kills the process without recording a period.
    pub fn end_process(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the log, and removes the host's files.
    pub fn take_log(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let _ = std::fs::remove_file(&self.log);
        let _ = std::fs::remove_file(&self.config);
        log
    }
}
