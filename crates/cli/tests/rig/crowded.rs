//! A discovery service under the load of many hosts. It serves one call at a time and each call takes
//! some time; a call that would wait too long is refused at once. A watch that is renewed right after
//! its response costs nothing more.

use super::{lock, ms, next_exchange};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Maximum time from a response to the next call of the same connection for a watch to continue.
const CONTINUES_WITHIN: Duration = ms(200);
const REFUSED: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// Service times of calls, and the limit of the queue.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Time that each call takes.
    pub call: Duration,
    /// Additional time for each entry of the response.
    pub entry: Duration,
    /// A call that would wait longer than this is refused.
    pub max_wait: Duration,
}

/// Numbers of calls by result.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Calls {
    /// Complete lists that were served.
    pub complete: usize,
    /// Watches that were started; each waited for its turn.
    pub watches: usize,
    /// Watches that continued.
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

/// A discovery service with a queue. Clones are handles of one service.
#[derive(Clone)]
pub struct CrowdedDiscovery {
    pub address: SocketAddr,
    cost: Cost,
    state: Arc<Mutex<State>>,
}

/// A parsed call.
struct ListCall {
    since: Option<u64>,
    wait: Duration,
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

impl ListCall {
    fn of(request: &str) -> ListCall {
        let target = request.split(' ').nth(1).unwrap_or_default();
        ListCall {
            since: parameter(target, "since"),
            wait: ms(parameter(target, "timeout_ms").unwrap_or(0)),
        }
    }
}

impl CrowdedDiscovery {
    /// Starts a service with these entries, as revision 1.
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

    /// Returns the current list in the form in which a host caches it.
    pub fn known(&self) -> Value {
        let state = lock(&self.state);
        let entries: Vec<&Value> = state.entries.iter().map(|(_, entry)| entry).collect();
        json!({"rev": state.revision, "all": true, "targets": entries})
    }

    /// Replaces one entry, as a new revision.
    pub fn change(&self, index: usize, entry: Value) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.entries[index] = (state.revision, entry);
    }

    pub fn calls(&self) -> Calls {
        lock(&self.state).calls
    }

    /// Returns the number of connections that watch the list.
    pub fn watching(&self) -> usize {
        lock(&self.state).watching
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffered = Vec::new();
        let mut answered_at: Option<Instant> = None;
        let mut is_watch = false;
        while let Some(request) = next_exchange(&mut stream, &mut buffered) {
            let call = ListCall::of(&request);
            let continues = is_watch
                && answered_at.is_some_and(|answered| answered.elapsed() < CONTINUES_WITHIN);
            if continues {
                lock(&self.state).calls.continued += 1;
            } else if !self.take_turn(&call) {
                let _ = stream.write_all(REFUSED);
                continue;
            }
            if call.since.is_some() && !is_watch {
                is_watch = true;
                lock(&self.state).watching += 1;
            }
            let answer = self.answer(&call);
            let _ = stream.write_all(answer.as_bytes());
            answered_at = Some(Instant::now());
        }
        if is_watch {
            lock(&self.state).watching -= 1;
        }
    }

    /// Waits until the call has been served in its turn; returns false if it is refused.
    fn take_turn(&self, call: &ListCall) -> bool {
        let served_at = {
            let mut state = lock(&self.state);
            let now = Instant::now();
            let starts_at = state.free_at.max(now);
            if starts_at > now + self.cost.max_wait {
                state.calls.refused += 1;
                return false;
            }
            match call.since {
                None => state.calls.complete += 1,
                Some(_) => state.calls.watches += 1,
            }
            let entries = state.listed(call.since).len() as u32;
            state.free_at = starts_at + self.cost.call + self.cost.entry * entries;
            state.free_at
        };
        sleep(served_at.saturating_duration_since(Instant::now()));
        true
    }

    /// Returns the complete list, or, for a watch, the entries changed since its revision, as soon as there
    /// are some or the watch times out.
    fn answer(&self, call: &ListCall) -> String {
        let until = Instant::now() + call.wait;
        let has_changes = |since| lock(&self.state).revision > since;
        while call.since.is_some_and(|since| !has_changes(since)) && Instant::now() < until {
            sleep(ms(5));
        }
        let state = lock(&self.state);
        let body = json!({
            "rev": state.revision, "all": call.since.is_none(), "targets": state.listed(call.since),
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
