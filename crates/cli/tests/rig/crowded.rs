//! A discovery that handles calls in turn, for many hosts: each call takes its time, one that would
//! wait for too long is refused at once, and a watch that goes on at once costs nothing more.

use super::{lock, ms, next_exchange};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A watch goes on where its next call comes within this after its last answer.
const CONTINUES_WITHIN: Duration = ms(200);
const REFUSED: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// What its calls cost.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// A call.
    pub call: Duration,
    /// Each entry of its answer, beyond that.
    pub entry: Duration,
    /// A call that would wait for longer is refused.
    pub max_wait: Duration,
}

/// Calls by what became of them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Calls {
    /// Complete lists that were served.
    pub complete: usize,
    /// Watches that were begun, each in its turn.
    pub watches: usize,
    /// Watches that went on.
    pub continued: usize,
    /// Calls that were refused.
    pub refused: usize,
}

struct State {
    revision: u64,
    entries: Vec<(u64, Value)>,
    free_at: Instant,
    calls: Calls,
    /// Connections on which a watch has been served.
    watching: usize,
}

/// The discovery.
#[derive(Clone)]
pub struct CrowdedDiscovery {
    pub address: SocketAddr,
    cost: Cost,
    state: Arc<Mutex<State>>,
}

/// What was asked for.
struct Asked {
    since: Option<u64>,
    wait: Duration,
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

impl Asked {
    fn of(request: &str) -> Asked {
        let target = request.split(' ').nth(1).unwrap_or_default();
        Asked {
            since: parameter(target, "since"),
            wait: ms(parameter(target, "timeout_ms").unwrap_or(0)),
        }
    }
}

impl CrowdedDiscovery {
    /// Revision 1 of the list has these entries.
    pub fn start(entries: Vec<Value>, cost: Cost) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State {
            revision: 1,
            entries: entries.into_iter().map(|entry| (1, entry)).collect(),
            free_at: Instant::now(),
            calls: Calls::default(),
            watching: 0,
        };
        let discovery = CrowdedDiscovery {
            address: listener.local_addr().unwrap(),
            cost,
            state: Arc::new(Mutex::new(state)),
        };
        let server = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    /// The list as a host has it that was told this revision of it.
    pub fn known(&self) -> Value {
        let state = lock(&self.state);
        let entries: Vec<&Value> = state.entries.iter().map(|(_, entry)| entry).collect();
        json!({"rev": state.revision, "all": true, "targets": entries})
    }

    /// Changes one entry, with a new revision.
    pub fn change(&self, index: usize, entry: Value) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.entries[index] = (state.revision, entry);
    }

    pub fn calls(&self) -> Calls {
        lock(&self.state).calls
    }

    /// How many hosts are watching.
    pub fn watching(&self) -> usize {
        lock(&self.state).watching
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut had = Vec::new();
        let mut answered_at: Option<Instant> = None;
        let mut watches = false;
        while let Some(request) = next_exchange(&mut stream, &mut had) {
            let asked = Asked::of(&request);
            let continues = watches
                && answered_at.is_some_and(|answered| answered.elapsed() < CONTINUES_WITHIN);
            if continues {
                lock(&self.state).calls.continued += 1;
            } else if !self.take_turn(&asked) {
                let _ = stream.write_all(REFUSED);
                continue;
            }
            if asked.since.is_some() && !watches {
                watches = true;
                lock(&self.state).watching += 1;
            }
            let answer = self.answer(&asked);
            let _ = stream.write_all(answer.as_bytes());
            answered_at = Some(Instant::now());
        }
        if watches {
            lock(&self.state).watching -= 1;
        }
    }

    /// Waits for the call's turn and its service; false where it is refused.
    fn take_turn(&self, asked: &Asked) -> bool {
        let served_at = {
            let mut state = lock(&self.state);
            let now = Instant::now();
            let begins = state.free_at.max(now);
            if begins > now + self.cost.max_wait {
                state.calls.refused += 1;
                return false;
            }
            match asked.since {
                None => state.calls.complete += 1,
                Some(_) => state.calls.watches += 1,
            }
            let entries = state.listed(asked.since).len() as u32;
            state.free_at = begins + self.cost.call + self.cost.entry * entries;
            state.free_at
        };
        sleep(served_at.saturating_duration_since(Instant::now()));
        true
    }

    /// The complete list, or what is newer once there is something or the wait is over.
    fn answer(&self, asked: &Asked) -> String {
        let until = Instant::now() + asked.wait;
        let has_news = |since| lock(&self.state).revision > since;
        while asked.since.is_some_and(|since| !has_news(since)) && Instant::now() < until {
            sleep(ms(5));
        }
        let state = lock(&self.state);
        let body = json!({
            "rev": state.revision, "all": asked.since.is_none(), "targets": state.listed(asked.since),
        });
        let body = body.to_string();
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

impl State {
    fn listed(&self, since: Option<u64>) -> Vec<&Value> {
        let entries = self.entries.iter();
        let newer = entries.filter(|(revision, _)| since.is_none_or(|since| *revision > since));
        newer.map(|(_, entry)| entry).collect()
    }
}
