//! A run as its traces tell it: requests, attempts and what the list said, by host and moment.

use crate::plans::Plans;
use crate::CheckError;
use bytes::Bytes;
use grebecleat_wire::pb::{self, frame::Body, marked::What, record::Kind, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

pub type Id = Bytes;

/// A record's moment and how to show it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: Duration,
    pub show: String,
}

#[derive(Debug)]
pub struct Taken {
    pub seen: Seen,
    pub conn: u64,
    pub take: pb::SubmitRequest,
    /// Its place among what this host took.
    pub turn: usize,
    pub finals: Vec<(Seen, pb::Response)>,
    pub withdrawn: Option<Duration>,
    pub attempts: Vec<usize>,
}

#[derive(Debug)]
pub struct Attempt {
    pub seen: Seen,
    pub conn: u64,
    pub attempt: pb::Attempt,
    pub answer: Option<(Seen, pb::AttemptResponse)>,
    pub cancelled: Option<Duration>,
}

impl Attempt {
    pub fn until(&self) -> Duration {
        self.seen.at + Duration::from_micros(self.attempt.left_us)
    }

    /// By that moment an answer had shown that it never ran.
    pub fn never_ran(&self, by: Duration) -> bool {
        let proof = |r: pb::Result| {
            matches!(
                r,
                pb::Result::Full | pb::Result::WrongNode | pb::Result::Expired
            )
        };
        self.answer
            .as_ref()
            .is_some_and(|(s, a)| s.at <= by && proof(a.result()))
    }
}

/// One start of one host.
#[derive(Debug, Default)]
pub struct Host {
    pub name: String,
    pub taken: Vec<Taken>,
    pub by_id: HashMap<Id, usize>,
    pub attempts: Vec<Attempt>,
    pub closed: HashMap<u64, Duration>,
    /// Connections of clients inside the host's own process.
    pub inside: HashSet<u64>,
    /// When its trace ends.
    pub end: Duration,
    /// What the list said of each node: when, its state, which start.
    pub told: BTreeMap<u32, Vec<(Duration, pb::NodeState, u64)>>,
    /// When it was told that somebody wants a node empty, or no longer.
    pub wished: BTreeMap<u32, Vec<(Duration, bool)>>,
    /// An answer of the state service that comes in parts: drains of its state, and what its
    /// entries say of them.
    part: (bool, BTreeSet<u32>, Vec<(u32, bool)>),
}

/// What clients sent and got.
#[derive(Debug)]
pub struct Asked {
    pub seen: Seen,
    pub conn: u64,
    pub take: pb::SubmitRequest,
    pub finals: Vec<(Seen, pb::Response)>,
    pub withdrawn: bool,
}

#[derive(Debug, Default)]
pub struct Run {
    pub hosts: Vec<Host>,
    pub asked: HashMap<Id, Asked>,
    /// When clients' connections closed, and to whom they were.
    pub client_closed: HashMap<u64, Duration>,
    pub client_peer: HashMap<u64, String>,
    pub client_end: Duration,
    /// Attempts as they came to nodes: when, by which host.
    pub arrived: BTreeMap<u32, Vec<(Seen, String, pb::Attempt)>>,
    pub marks: Vec<(Duration, pb::Marked)>,
    /// Spans in which a host was stopped from outside.
    pub stopped: Vec<(String, Duration, Duration)>,
    /// What a state service told, where there was one.
    pub plans: Plans,
}

impl Run {
    pub fn read(traces: &[Vec<Record>]) -> Result<Self, CheckError> {
        let mut run = Run::default();
        for records in traces {
            let who = records
                .first()
                .and_then(|r| r.process.clone())
                .ok_or(CheckError::NoWriter)?;
            if records.iter().any(|r| r.kind() == Kind::Cut) {
                return Err(CheckError::Truncated { process: who.name });
            }
            match who.role() {
                pb::Role::Client => run.clients(records),
                pb::Role::Host => run.host(&who.name, records),
                pb::Role::Node => run.nodes(records),
                pb::Role::State => run.plans.read(records),
                _ => {}
            }
        }
        run.marks.sort_by_key(|m| m.0);
        for (at, m) in &run.marks {
            match m.what() {
                What::Stopped => run.stopped.push((m.name.clone(), *at, Duration::MAX)),
                What::Continued => {
                    let open = run.stopped.iter_mut().rev().find(|s| s.0 == m.name);
                    open.into_iter().for_each(|s| s.2 = *at);
                }
                _ => {}
            }
        }
        Ok(run)
    }

    fn clients(&mut self, records: &[Record]) {
        for r in records {
            let at = Duration::from_nanos(r.at_ns);
            self.client_end = self.client_end.max(at);
            let seen = || Seen {
                at,
                show: show("clients", r),
            };
            match (r.kind(), r.frame.as_ref().and_then(|f| f.body.as_ref())) {
                (Kind::Opened, _) => drop(self.client_peer.insert(r.conn, r.peer.clone())),
                (Kind::Closed, _) => drop(self.client_closed.insert(r.conn, at)),
                (Kind::Mark, _) => self.marks.extend(r.mark.clone().map(|m| (at, m))),
                (Kind::Out, Some(Body::SubmitRequest(t))) => {
                    let (conn, take) = (r.conn, t.clone());
                    let asked = Asked {
                        seen: seen(),
                        conn,
                        take,
                        finals: Vec::new(),
                        withdrawn: false,
                    };
                    self.asked.insert(t.id.clone(), asked);
                }
                (Kind::Out, Some(Body::CancelRequest(w))) => {
                    self.asked
                        .get_mut(&w.id)
                        .into_iter()
                        .for_each(|a| a.withdrawn = true);
                }
                (Kind::In, Some(Body::Response(f))) => {
                    let asked = self.asked.get_mut(&f.id);
                    asked
                        .into_iter()
                        .for_each(|a| a.finals.push((seen(), f.clone())));
                }
                _ => {}
            }
        }
    }

    fn host(&mut self, name: &str, records: &[Record]) {
        let mut h = Host {
            name: name.to_string(),
            ..Host::default()
        };
        let mut attempt_of = HashMap::new();
        for r in records {
            let at = Duration::from_nanos(r.at_ns);
            let seen = || Seen {
                at,
                show: show(name, r),
            };
            h.end = h.end.max(at);
            match (r.kind(), r.frame.as_ref().and_then(|f| f.body.as_ref())) {
                (Kind::Opened, _) if r.peer == "inside" => drop(h.inside.insert(r.conn)),
                (Kind::Closed, _) => {
                    h.closed.insert(r.conn, at);
                    for t in h
                        .taken
                        .iter_mut()
                        .filter(|t| t.conn == r.conn && t.withdrawn.is_none())
                    {
                        t.withdrawn = Some(at);
                    }
                }
                (Kind::In, Some(Body::SubmitRequest(t))) => {
                    h.by_id.insert(t.id.clone(), h.taken.len());
                    h.taken.push(Taken {
                        seen: seen(),
                        conn: r.conn,
                        take: t.clone(),
                        turn: h.taken.len(),
                        finals: Vec::new(),
                        withdrawn: None,
                        attempts: Vec::new(),
                    });
                }
                (Kind::In, Some(Body::CancelRequest(w))) => {
                    let t = h.by_id.get(&w.id).map(|i| &mut h.taken[*i]);
                    t.into_iter()
                        .for_each(|t| t.withdrawn = t.withdrawn.or(Some(at)));
                }
                (Kind::Out, Some(Body::Response(f))) => {
                    let t = h.by_id.get(&f.id).map(|i| &mut h.taken[*i]);
                    t.into_iter()
                        .for_each(|t| t.finals.push((seen(), f.clone())));
                }
                (Kind::Out, Some(Body::Attempt(l))) => {
                    attempt_of.insert(l.attempt, h.attempts.len());
                    let t = h.by_id.get(&l.id).map(|i| &mut h.taken[*i]);
                    t.into_iter()
                        .for_each(|t| t.attempts.push(h.attempts.len()));
                    let (conn, attempt) = (r.conn, l.clone());
                    h.attempts.push(Attempt {
                        seen: seen(),
                        conn,
                        attempt,
                        answer: None,
                        cancelled: None,
                    });
                }
                (Kind::Out, Some(Body::CancelAttempt(c))) => {
                    let attempt = attempt_of
                        .get(&c.attempt)
                        .map(|i: &usize| &mut h.attempts[*i]);
                    attempt.into_iter().for_each(|l| l.cancelled = Some(at));
                }
                (Kind::In, Some(Body::AttemptResponse(a))) => {
                    let attempt = attempt_of
                        .get(&a.attempt)
                        .map(|i| &mut h.attempts[*i])
                        .filter(|l| l.conn == r.conn);
                    if let Some(l) = attempt.filter(|l| l.answer.is_none()) {
                        l.answer = Some((seen(), a.clone()));
                    }
                }
                (Kind::In, Some(Body::EndpointUpdate(l))) => h.listed(at, l),
                (Kind::In, Some(Body::ConfigUpdate(f))) => h.fed(at, f),
                _ => {}
            }
        }
        self.hosts.push(h);
    }

    fn nodes(&mut self, records: &[Record]) {
        let mut peers: HashMap<u64, String> = HashMap::new();
        for r in records {
            let at = Duration::from_nanos(r.at_ns);
            match (r.kind(), r.frame.as_ref().and_then(|f| f.body.as_ref())) {
                (Kind::Opened, _) => drop(peers.insert(r.conn, r.peer.clone())),
                (Kind::Mark, _) => self.marks.extend(r.mark.clone().map(|m| (at, m))),
                (Kind::In, Some(Body::Attempt(l))) => {
                    let seen = Seen {
                        at,
                        show: show("nodes", r),
                    };
                    let host = peers.get(&r.conn).cloned().unwrap_or_default();
                    self.arrived
                        .entry(l.node)
                        .or_default()
                        .push((seen, host, l.clone()));
                }
                _ => {}
            }
        }
    }

    /// The later end of a span, where its host was stopped from outside meanwhile: a stopped host
    /// does not run, and owes its answers once it goes on.
    pub fn extended(
        &self,
        host: &str,
        from: Duration,
        to: Duration,
        catch_up: Duration,
    ) -> Duration {
        let hit = self
            .stopped
            .iter()
            .filter(|(h, a, b)| h == host && *a <= to && *b >= from);
        hit.map(|(_, _, b)| b.saturating_add(catch_up))
            .fold(to, Duration::max)
    }
}

impl Host {
    fn listed(&mut self, at: Duration, l: &pb::EndpointUpdate) {
        if l.kind() == pb::EndpointUpdateKind::FetchFailed {
            return;
        }
        if l.kind() == pb::EndpointUpdateKind::Snapshot {
            for (node, told) in &mut self.told {
                let gone = l.endpoints.iter().all(|e| e.node != *node);
                if let (true, Some(&(_, state, start))) = (gone, told.last()) {
                    if state != pb::NodeState::Gone {
                        told.push((at, pb::NodeState::Gone, start));
                    }
                }
            }
        }
        for e in &l.endpoints {
            let told = self.told.entry(e.node).or_default();
            if told
                .last()
                .is_none_or(|t| (t.1, t.2) != (e.state(), e.start))
            {
                told.push((at, e.state(), e.start));
            }
        }
    }

    /// What the state service told of drains; an answer counts when its last part is there.
    fn fed(&mut self, at: Duration, f: &pb::ConfigUpdate) {
        let (whole, state, entries) = &mut self.part;
        *whole |= f.snapshot;
        state.extend(
            f.state
                .iter()
                .filter_map(drain_of)
                .filter(|d| d.1)
                .map(|d| d.0),
        );
        entries.extend(
            f.revisions
                .iter()
                .flat_map(|e| e.changes.iter().filter_map(drain_of)),
        );
        if f.more {
            return;
        }
        let (whole, state, entries) = std::mem::take(&mut self.part);
        let is = |node: u32, wished: &BTreeMap<u32, Vec<(Duration, bool)>>| {
            wished
                .get(&node)
                .and_then(|w| w.last())
                .is_some_and(|w| w.1)
        };
        let mut now: BTreeMap<u32, bool> = BTreeMap::new();
        if whole {
            now.extend(self.wished.keys().map(|n| (*n, false)));
            now.extend(state.into_iter().map(|n| (n, true)));
        }
        now.extend(entries);
        for (node, on) in now {
            if is(node, &self.wished) != on {
                self.wished.entry(node).or_default().push((at, on));
            }
        }
    }

    /// Since when this host has been told, by the list or as somebody's wish, that the node takes
    /// nothing new.
    pub fn told_off(&self, node: u32, at: Duration) -> Option<Duration> {
        let listed = self.told.get(&node).into_iter().flatten();
        let listed = listed.map(|t| (t.0, Some(t.1 != pb::NodeState::Ready), None));
        let wished = self
            .wished
            .get(&node)
            .into_iter()
            .flatten()
            .map(|w| (w.0, None, Some(w.1)));
        let mut all: Vec<(Duration, Option<bool>, Option<bool>)> = listed.chain(wished).collect();
        all.sort_by_key(|t| t.0);
        let (mut by_list, mut by_wish, mut since) = (false, false, None);
        for (when, list, wish) in all.into_iter().take_while(|t| t.0 <= at) {
            (by_list, by_wish) = (list.unwrap_or(by_list), wish.unwrap_or(by_wish));
            since = if by_list || by_wish {
                since.or(Some(when))
            } else {
                None
            };
        }
        since
    }
}

/// Which node a change drains, and whether that one is to get nothing new.
pub fn drain_of(c: &pb::Change) -> Option<(u32, bool)> {
    let Some(pb::change::Subject::Drain(node)) = c.subject else {
        return None;
    };
    let Some(pb::change::To::DrainTo(d)) = &c.to else {
        return Some((node, false));
    };
    Some((node, d.stage() != pb::DrainStage::Queued))
}

/// A record as people read it.
pub fn show(who: &str, r: &Record) -> String {
    let body = r
        .frame
        .as_ref()
        .and_then(|f| f.body.as_ref())
        .map(|b| format!("{b:?}"));
    let mark = r
        .mark
        .as_ref()
        .map(|m| format!("{} {} node {}", m.what().as_str_name(), m.name, m.node));
    let body = body.or(mark).unwrap_or_default();
    format!(
        "{:.6} {who} {} conn {} {body}",
        r.at_ns as f64 / 1e9,
        r.kind().as_str_name(),
        r.conn
    )
}
