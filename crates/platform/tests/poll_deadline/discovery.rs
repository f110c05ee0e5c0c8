//! The simulated discovery service, which handles one call at a time and fails as its scenario defines.

use super::fleet::{Fleet, FleetEvent, LATENCY, START};
use super::ms;
use super::scenarios::OutageKind;
use grebecleat_discovery::calls::{Call, CALL_TIMEOUT};
use rand::Rng;
use std::time::Duration;

/// Maximum queueing time of a call. A call that would be queued for longer is refused, immediately or
/// after this time.
const QUEUE_TIMEOUT: Duration = ms(900);
/// The interval of the host's sweeps.
const SWEEP_INTERVAL: Duration = ms(50);
/// Time before the timeout of a call at which its latest possible response arrives.
const LATEST_RESPONSE_MARGIN: Duration = ms(5);

/// A call that waits for a change of the endpoint list.
pub struct Watch {
    host: usize,
    conn: u64,
    revision: u64,
    /// Whether discovery never responds.
    silent: bool,
}

impl Fleet {
    pub fn outage(&self) -> Option<OutageKind> {
        let outage = self.scenario.outage?;
        let span = START + outage.from..START + outage.until;
        span.contains(&self.now).then_some(outage.kind)
    }

    /// Returns whether the scenario makes the host's next call fail.
    pub fn is_forced_to_fail(&self, host: usize) -> bool {
        let Some(failures) = self.scenario.forced_failures else {
            return false;
        };
        let has_change = self.now >= START + self.scenario.change_at;
        has_change && self.hosts[host].forced_failures < failures
    }

    pub fn change_list(&mut self) {
        self.revision += 1;
        if self.outage().is_some() {
            return;
        }
        for watch in std::mem::take(&mut self.watches).into_values() {
            if !watch.silent {
                self.respond(watch.host, watch.conn, self.now, self.revision);
            }
        }
    }

    pub fn watch_expired(&mut self, watch: usize) {
        let Some(watch) = self.watches.remove(&watch) else {
            return;
        };
        if !watch.silent {
            self.respond(watch.host, watch.conn, self.now, watch.revision);
        }
    }

    fn respond(&mut self, host: usize, conn: u64, at: Duration, revision: u64) {
        if self.rng.random::<f64>() < self.scenario.lost {
            return;
        }
        let response = FleetEvent::Response {
            conn,
            revision: Some(revision),
        };
        self.schedule(at + LATENCY, host, response);
    }

    fn refuse(&mut self, host: usize, conn: u64, at: Duration) {
        let refusal = FleetEvent::Response {
            conn,
            revision: None,
        };
        self.schedule(at, host, refusal);
    }

    /// Handles a call of a host to discovery.
    pub fn make_call(&mut self, host: usize, conn: u64, call: Option<Call>) {
        let Some(call) = call else { return };
        self.calls.push(self.now);
        let timeout_at = self.schedule_sweep(host, conn, call);
        match self.outage() {
            Some(OutageKind::Refuses) => return self.refuse(host, conn, self.now + LATENCY),
            Some(_) => return,
            None => {}
        }
        if self.is_forced_to_fail(host) {
            return self.fail(host, conn, timeout_at);
        }
        let begins = self.free_at.max(self.now);
        if begins > self.now + QUEUE_TIMEOUT {
            let after = if self.scenario.refuses_late {
                QUEUE_TIMEOUT
            } else {
                LATENCY
            };
            return self.refuse(host, conn, self.now + after);
        }
        self.free_at = begins + self.scenario.cost;
        match call {
            Call::Newer { revision, wait } if revision >= self.revision => {
                self.open_watch(host, conn, revision, wait);
            }
            _ => {
                // In the worst case, the response arrives as late as possible.
                let worst_case = self.scenario.forced_failures.is_some()
                    && self.now >= START + self.scenario.change_at;
                let at = if worst_case {
                    timeout_at - LATEST_RESPONSE_MARGIN
                } else {
                    self.free_at
                };
                self.respond(host, conn, at, self.revision);
            }
        }
    }

    /// Schedules the host's sweep, which ends the call a little after its timeout. Returns the time by
    /// which a response must arrive.
    fn schedule_sweep(&mut self, host: usize, conn: u64, call: Call) -> Duration {
        let state = &self.hosts[host];
        let link = state.link.as_ref();
        let timeout_at = link.and_then(|link| Some(link.calls.outstanding()?.timeout_at));
        let timeout_at = timeout_at.unwrap_or(self.now);
        // The timeout of a call on a new connection begins with its dial.
        let after_dial = state.call_begun_at + CALL_TIMEOUT;
        let late = SWEEP_INTERVAL.mul_f64(self.rng.random());
        self.schedule(timeout_at + late, host, FleetEvent::Sweep { conn });
        if self.has_poll_deadline && call == Call::Complete {
            timeout_at.min(after_dial)
        } else {
            timeout_at
        }
    }

    /// Makes the call fail: without a response, or with a refusal at once or as late as possible.
    fn fail(&mut self, host: usize, conn: u64, timeout_at: Duration) {
        self.hosts[host].forced_failures += 1;
        match self.rng.random_range(0..3) {
            0 => {}
            1 => self.refuse(host, conn, self.now + LATENCY),
            _ => self.refuse(host, conn, timeout_at - LATEST_RESPONSE_MARGIN),
        }
    }

    fn open_watch(&mut self, host: usize, conn: u64, revision: u64, wait: Duration) {
        let until = self.free_at + wait;
        let is_open_at = |at: Duration| self.now < at && at <= until;
        let silent_at = self.scenario.silent_at;
        let mut silent = silent_at.is_some_and(|at| is_open_at(START + at));
        let outage = self.scenario.outage;
        if let Some(outage) = outage.filter(|outage| is_open_at(START + outage.from)) {
            silent = true;
            // A process that ends closes its connections; a machine that fails does not.
            if !matches!(outage.kind, OutageKind::Silent | OutageKind::Hangs) {
                self.refuse(host, conn, START + outage.from);
            }
        }
        let number = self.calls.len();
        let watch = Watch {
            host,
            conn,
            revision,
            silent,
        };
        self.watches.insert(number, watch);
        self.schedule(until, host, FleetEvent::WatchExpired { watch: number });
    }
}
