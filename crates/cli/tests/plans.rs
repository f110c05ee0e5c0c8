//! The state service and `grebecleat plans` as operators use them: real processes and files, and a
//! scenario in which plans change under load.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebecleat");

const SITE: &str = r#"
zone(name = "a")
zone(name = "b")
stream_type(name = "read", slo = ms(300), expiry = ms(1200), repeat = "repeatable", unit_work = ms(4))
stream_type(name = "write", slo = ms(300), expiry = ms(1200), repeat = "repeatable", write = True, unit_work = ms(4))
plan(name = "basic", rate = 15)
plan(name = "gold", rate = 40, reservation = 40, weight = 3, price = 1.4)
plan(name = "capped", rate = 12, reservation = 4, limit = 12, limit_burst = 24, limit_slack = 6)
for i in range(4):
    node(id = i + 1, zone = "a" if i < 2 else "b", cores = 1, queue = 32, capacity = 200)
for name in ["h1", "h2"]:
    host(name = name)
for i in range(9):
    volume(id = 100 + i, plan = ["basic", "gold", "capped"][i % 3], cells = [1 + i % 4, 1 + (i + 2) % 4],
           asks = 3.0 if i % 3 == 2 else 1.0)
node_list(lag = ms(300))
rules(answer_margin = ms(120), warm_within = s(4), cold_units = 30)
state_service(lease = s(2), margin = ms(300), snapshot_every = s(1))
rehearsal(seed = 3, length = s(11))
"#;

fn exclusive_run() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(|e| e.into_inner())
}

struct Service {
    dir: PathBuf,
    child: Option<Child>,
    at: String,
}

impl Service {
    fn new(name: &str) -> Service {
        let dir =
            std::env::temp_dir().join(format!("grebecleat-catalog-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("site.star"), SITE).unwrap();
        let mut s = Service {
            dir,
            child: None,
            at: "127.0.0.1:0".into(),
        };
        s.start();
        s
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).to_str().unwrap().to_string()
    }

    fn command(&self) -> Command {
        let mut c = Command::new(PROGRAM);
        c.args([
            "--log-level",
            "warn",
            "state-service",
            &self.path("site.star"),
        ]);
        c.args(["--store", &self.path("s.store"), "--listen", &self.at]);
        c
    }

    fn start(&mut self) {
        let mut child = self.command().stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        self.at = line
            .trim()
            .strip_prefix("listening ")
            .expect("it listens")
            .to_string();
        self.child = Some(child);
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    fn plans(&self, args: &[&str]) -> Output {
        Command::new(PROGRAM)
            .args(["plans", "--at", &self.at, "--who", "clerk"])
            .args(args)
            .output()
            .unwrap()
    }

    /// Runs a command that must succeed, and returns its output.
    fn succeeds(&self, args: &[&str]) -> String {
        let out = self.plans(args);
        let output = text(&out);
        assert_eq!(out.status.code(), Some(0), "{args:?}: {output}");
        output
    }

    /// Runs a command that must fail with this exit code, and returns its output.
    fn fails_with(&self, args: &[&str], code: i32) -> String {
        let out = self.plans(args);
        assert_eq!(out.status.code(), Some(code), "{args:?}: {}", text(&out));
        text(&out)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn text(out: &Output) -> String {
    String::from_utf8_lossy(&[&out.stdout[..], &out.stderr[..]].concat())
        .trim()
        .to_string()
}

#[test]
fn an_operators_commands_change_show_and_undo_the_catalog() {
    let _exclusive = exclusive_run();
    let s = Service::new("day");
    assert_eq!(
        s.succeeds(&["set", "plan basic rate=18 weight=2", "--why", "appeal"]),
        "entry 2"
    );
    assert_eq!(
        s.succeeds(&["show", "plan", "basic"])
            .lines()
            .next()
            .unwrap(),
        "plan basic rate=18 reservation=0 limit=0 burst=0 slack=0 weight=2 price=1"
    );
    // Two changes are based on entry 2. The second one is rejected, and names the conflicting change.
    assert_eq!(
        s.succeeds(&["set", "volume 100 plan=gold", "--looked-at", "2"]),
        "entry 3"
    );
    let output = s.fails_with(&["set", "volume 100 plan=capped", "--looked-at", "2"], 1);
    assert_eq!(
        output,
        "refused: volume 100 was changed meanwhile, by entry 3 of clerk"
    );
    assert_eq!(
        s.succeeds(&["set", "volume 103 plan=gold", "--looked-at", "2"]),
        "entry 4",
        "has nothing to do with it"
    );
    let output = s.fails_with(&["set", "plan gold reservation=400"], 1);
    assert!(
        output.starts_with("refused: ")
            && output.contains("reserves cannot be met; what gives way"),
        "{output}"
    );
    s.succeeds(&[
        "set",
        "plan gold reservation=400",
        "--force",
        "--why",
        "they insist",
    ]);
    assert!(s
        .succeeds(&["status"])
        .contains("units a second of reserves cannot be met"));
    s.succeeds(&["undo", "5", "--why", "it was too much"]);
    let output = s.succeeds(&["history", "--most", "2"]);
    assert!(
        output.contains("forced against: ")
            && output.contains("plan gold: reservation=40 (was 400)"),
        "{output}"
    );
    let output = s.succeeds(&["diff", &s.path("site.star")]);
    assert!(
        output.contains("in the file:      volume 100 plan=basic")
            && output.contains("in service:       volume 100 plan=gold"),
        "{output}"
    );
    s.succeeds(&["declare", &s.path("site.star")]);
    assert_eq!(
        s.succeeds(&["diff", &s.path("site.star")]),
        "nothing differs"
    );
    assert!(s
        .succeeds(&["moves", "--empty", "1"])
        .contains("extents from node 1 to node"));
    let drain = [
        "set",
        "drain 3",
        "volume 200 plan=basic hosts=h1 cells=1 blocks=8",
    ];
    assert!(s
        .fails_with(&drain, 1)
        .contains("of reserves lie out of reach"));
    s.succeeds(&[&drain[..], &["--force"]].concat());
    let out = s.plans(&["--output", "json", "list"]);
    let list: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert!(
        list["state"]
            .as_array()
            .unwrap()
            .iter()
            .any(|c| c["drain"] == 3),
        "{list}"
    );
    // Syntax errors are reported with their place, and nothing is changed.
    let before = s.succeeds(&["list"]);
    for (words, why) in [
        (
            "volume 100 plan=silver",
            "refused: plan silver does not exist",
        ),
        ("plan basic limit=x", "limit: x makes no sense there"),
        (
            "volume 100 plann=gold",
            "plann is not known here; expected some of plan, hosts, cells, blocks",
        ),
        (
            "volumes 100",
            "expected plan, volume, node, drain, undrain, target or timed",
        ),
        ("plan capped limit=1", "its limit is below its reservation"),
        (
            "volume 201 plan=basic hosts=h9 cells=1 blocks=8",
            "works through h9, which is no host here",
        ),
    ] {
        let out = s.plans(&["set", words]);
        assert!(
            !out.status.success() && text(&out).contains(why),
            "{words}: {}",
            text(&out)
        );
    }
    assert_eq!(s.succeeds(&["list"]), before);
    // A scheduled change is committed at its time.
    s.succeeds(&["set", "plan basic rate=33", "--at-time", "+1s"]);
    let started_at = Instant::now();
    while !s.succeeds(&["show", "plan", "basic"]).contains("rate=33") {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "{}",
            s.succeeds(&["history"])
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn acknowledged_changes_survive_every_kill() {
    let _exclusive = exclusive_run();
    let mut s = Service::new("kill");
    let mut entry = 1;
    for round in 0..6 {
        for n in 0..4 {
            entry += 1;
            let words = format!("plan basic rate={}", 100 + round * 10 + n);
            assert_eq!(s.succeeds(&["set", &words]), format!("entry {entry}"));
        }
        s.kill();
        s.start();
        let last = format!("rate={}", 100 + round * 10 + 3);
        assert!(s.succeeds(&["show", "plan", "basic"]).contains(&last));
        assert!(s
            .succeeds(&["status"])
            .starts_with(&format!("entry {entry},")));
    }
    assert_eq!(
        s.succeeds(&["history", "--most", "100", "--of", "plan basic"])
            .matches("clerk")
            .count(),
        24
    );
}

#[test]
fn a_damaged_store_is_reported_and_restored_from_a_snapshot() {
    let _exclusive = exclusive_run();
    let mut s = Service::new("damage");
    s.succeeds(&["set", "plan basic rate=50"]);
    let snapshot = s.path("kept.snapshot");
    s.succeeds(&["snapshot", &snapshot]);
    s.succeeds(&["set", "plan basic rate=60"]);
    let store = s.path("s.store");
    // No other process can open the store while the service runs.
    assert!(s
        .fails_with(&["check", &store], 3)
        .contains("in use by another process"));
    assert!(s
        .fails_with(&["restore", &snapshot, &store], 3)
        .contains("in use by another process"));
    s.kill();
    assert!(s.succeeds(&["check", &store]).contains("in order: entry 3"));
    assert!(s
        .succeeds(&["check", &snapshot])
        .contains("in order: entry 2"));
    // The service writes snapshots by itself.
    let started_at = Instant::now();
    s.start();
    while !s.dir.join("s.snapshot").exists() {
        assert!(started_at.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(100));
    }
    s.kill();
    // Corrupt one byte of a record.
    let mut bytes = fs::read(&store).unwrap();
    let word = b"basic";
    let at: Vec<usize> = bytes
        .windows(word.len())
        .enumerate()
        .filter(|(_, w)| *w == word)
        .map(|(i, _)| i)
        .collect();
    at.iter().for_each(|i| bytes[*i] ^= 1);
    fs::write(&store, &bytes).unwrap();
    let out = s.command().output().unwrap();
    assert_eq!(out.status.code(), Some(3), "{}", text(&out));
    assert!(
        text(&out).contains("damaged: ") && text(&out).contains("restore it from a snapshot"),
        "{}",
        text(&out)
    );
    assert!(s.fails_with(&["check", &store], 1).contains("damaged"));
    let output = s.succeeds(&["restore", &snapshot, &store]);
    assert!(
        output.contains("the store that was there is now"),
        "{output}"
    );
    s.start();
    assert!(s.succeeds(&["show", "plan", "basic"]).contains("rate=50"));
    // A truncated snapshot is not restored.
    let cut = s.path("cut.snapshot");
    fs::write(&cut, &fs::read(&snapshot).unwrap()[..200]).unwrap();
    s.kill();
    assert!(s
        .fails_with(&["restore", &cut, &store], 3)
        .contains("damaged"));
    assert!(s.succeeds(&["check", &store]).contains("in order: entry 2"));
}

/// Runs a shortened scenario of `examples/plan-change.star`.
#[test]
fn plans_change_under_load_while_the_feed_and_its_service_fail() {
    let _exclusive = exclusive_run();
    let dir = std::env::temp_dir().join(format!("grebecleat-catalog-{}-day", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let script = dir.join("day.star");
    let day = r#"
change(at = s(1), words = ["volume 100 plan=gold"])
change(at = s(2), words = ["plan capped limit=6 burst=12"])
change(at = ms(3500), words = ["plan capped limit=24 burst=48"])
trouble(kind = "feed_cut", at = s(3), len = s(3), hosts = ["h2"])
change(at = s(4), words = ["plan basic limit=20 burst=30 slack=8"])
change(at = s(5), words = ["volume 103 retire", "volume 106 hosts=h1"])
trouble(kind = "state_crash", at = ms(6500), len = ms(700))
trouble(kind = "balancer_crash", at = s(7), len = s(1), hosts = ["h1"])
change(at = s(9), words = ["plan capped limit=8 burst=16"])
"#;
    fs::write(&script, format!("{SITE}{day}")).unwrap();
    let traces = dir.join("traces");
    let out = Command::new(PROGRAM)
        .args([
            "--log-level",
            "warn",
            "scenario",
            script.to_str().unwrap(),
            "--dir",
            traces.to_str().unwrap(),
        ])
        .output()
        .unwrap();
    let output = text(&out);
    assert_eq!(out.status.code(), Some(0), "{output}");
    assert!(
        output
            .lines()
            .last()
            .unwrap()
            .starts_with("rules broken: 0; "),
        "{output}"
    );
    // Six changes and the declared configuration, each in force at every host by the end.
    assert!(
        output.contains("plans: 7 entries over everywhere"),
        "{output}"
    );
    assert!(!output.contains("refused"), "{output}");
    let _ = fs::remove_dir_all(&dir);
}
