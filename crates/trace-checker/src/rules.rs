//! The seven rules. Each reads the run and adds what broke it.

use crate::run::{Attempt, Host, Run, Seen, Taken};
use crate::{Breach, Verdict};
use grebecleat_settings::{DeduplicationScope, Idempotency, Settings};
use grebecleat_wire::pb::{self, marked::What, Outcome};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// A host that was stopped may take this long, after it goes on, to answer what is past its time.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Chance in where a span of the cold rule begins.
const COLD_SLACK: f64 = 1.1;
/// Two sockets of a host are written by two writers: what was decided first may be recorded this
/// much later.
const SKEW: Duration = Duration::from_millis(50);
/// Breaches of one rule that are listed; more of the same tell nothing new.
const LISTED: usize = 20;

fn breach(v: &mut Verdict, rule: u8, what: String, frames: &[&Seen]) {
    if v.breaches.iter().filter(|b| b.rule == rule).count() < LISTED {
        v.breaches.push(Breach {
            rule,
            what,
            frames: frames.iter().map(|s| s.show.clone()).collect(),
        });
    }
}

fn text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}

/// Rule 1: one final answer, before the client's deadline, and nothing sent after it.
pub fn lost(s: &Settings, run: &Run, v: &mut Verdict) {
    let mut asked: Vec<_> = run.asked.values().collect();
    asked.sort_by_key(|a| a.seen.at);
    for a in asked {
        let name = text(&a.take.id);
        let host = run.client_peer.get(&a.conn).cloned().unwrap_or_default();
        let deadline =
            a.seen.at + Duration::from_micros(a.take.left_us) + s.host_limits.answer_slack;
        let last = run.extended(&host, a.seen.at, deadline, CATCH_UP);
        let closed = run.client_closed.get(&a.conn).copied();
        match &a.finals[..] {
            [] if a.withdrawn => {}
            [] if closed.is_some_and(|c| c <= last) || run.client_end < last => v.lost += 1,
            [] => breach(v, 1, format!("{name}: no answer from {host}"), &[&a.seen]),
            [(seen, f)] => {
                match f.outcome() {
                    Outcome::Completed => v.done += 1,
                    Outcome::Rejected => v.deferred += 1,
                    _ => v.abandoned += 1,
                }
                // What counts is when the answer left the host: the client's machine may be slow to
                // read.
                let left = run
                    .hosts
                    .iter()
                    .filter_map(|h| h.final_at(&a.take.id))
                    .min()
                    .unwrap_or(seen.at);
                if left > last {
                    let late = format!("{name}: answered {:?} after its expiry", left - last);
                    breach(v, 1, late, &[&a.seen, seen]);
                }
            }
            [first, second, ..] => {
                breach(
                    v,
                    1,
                    format!("{name}: answered twice"),
                    &[&a.seen, &first.0, &second.0],
                );
            }
        }
    }
    for h in &run.hosts {
        // What came by another protocol has no client's trace: the host's own tells when it came
        // and went.
        for t in h.taken.iter().filter(|t| h.inside.contains(&t.conn)) {
            let deadline =
                t.seen.at + Duration::from_micros(t.take.left_us) + s.host_limits.answer_slack;
            let last = run.extended(&h.name, t.seen.at, deadline, CATCH_UP);
            match t.finals.first() {
                None if h.end < last => v.lost += 1,
                None => breach(
                    v,
                    1,
                    format!("{}: no answer from {}", text(&t.take.id), h.name),
                    &[&t.seen],
                ),
                Some((seen, _)) if seen.at > last => {
                    breach(
                        v,
                        1,
                        format!("{}: answered after its expiry", text(&t.take.id)),
                        &[&t.seen, seen],
                    );
                }
                Some((_, f)) => match f.outcome() {
                    Outcome::Completed => v.done += 1,
                    Outcome::Rejected => v.deferred += 1,
                    _ => v.abandoned += 1,
                },
            }
        }
        for t in &h.taken {
            if let [first, second, ..] = &t.finals[..] {
                let what = format!("{}: {} answered twice", text(&t.take.id), h.name);
                breach(v, 1, what, &[&t.seen, &first.0, &second.0]);
            }
            let Some((answered, _)) = t.finals.first() else {
                continue;
            };
            for l in t
                .attempts
                .iter()
                .map(|l| &h.attempts[*l])
                .filter(|l| l.seen.at > answered.at)
            {
                breach(
                    v,
                    1,
                    format!("{}: a leg after the answer", text(&t.take.id)),
                    &[answered, &l.seen],
                );
            }
        }
    }
}

/// Rule 2: repeats only as far as the traffic class allows, deferrals only where trying again is
/// harmless.
pub fn twice(s: &Settings, run: &Run, v: &mut Verdict) {
    let place: HashMap<u32, (usize, u32)> =
        s.nodes.iter().map(|n| (n.id, (n.zone, n.shard))).collect();
    for h in &run.hosts {
        v.attempts += h.attempts.len() as u64;
        for t in &h.taken {
            let Some(stream) = s.traffic_classes.get(t.take.traffic_class as usize) else {
                continue;
            };
            let (idempotency, name) = (stream.facts.idempotency, text(&t.take.id));
            let attempts: Vec<&Attempt> = t.attempts.iter().map(|l| &h.attempts[*l]).collect();
            for (i, later) in attempts.iter().enumerate() {
                let ran = attempts[..i].iter().filter(|l| !l.never_ran(later.seen.at));
                for earlier in ran {
                    let fine = match idempotency {
                        Idempotency::Idempotent => true,
                        Idempotency::NonIdempotent => false,
                        Idempotency::WithKey { scope, window } => {
                            let (a, b) = (
                                place.get(&earlier.attempt.node),
                                place.get(&later.attempt.node),
                            );
                            let inside = match scope {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => a.map(|p| p.0) == b.map(|p| p.0),
                                DeduplicationScope::Shard => a.map(|p| p.1) == b.map(|p| p.1),
                            };
                            inside && later.seen.at < earlier.seen.at + window
                        }
                    };
                    if !fine {
                        let what =
                            format!("{name}: a leg after one that may have run ({idempotency:?})");
                        breach(v, 2, what, &[&earlier.seen, &later.seen]);
                    }
                }
            }
            let harmless = matches!(
                idempotency,
                Idempotency::Idempotent
                    | Idempotency::WithKey {
                        scope: DeduplicationScope::All,
                        ..
                    }
            );
            for (seen, f) in t
                .finals
                .iter()
                .filter(|f| f.1.outcome() == Outcome::Rejected && !harmless)
            {
                let ran = attempts
                    .iter()
                    .find(|l| l.seen.at <= seen.at && !l.never_ran(seen.at));
                if let Some(attempt) = ran {
                    let what = format!("{}: deferred, though a leg may have run", text(&f.id));
                    breach(v, 2, what, &[&attempt.seen, seen]);
                }
            }
        }
    }
    let mut effects: HashMap<&[u8], u32> = HashMap::new();
    for (_, m) in run.marks.iter().filter(|m| m.1.what() == What::Effect) {
        v.effects += 1;
        *effects.entry(&m.id).or_default() += 1;
    }
    let kinds = run
        .asked
        .values()
        .map(|a| (&a.take.piece[..], a.take.traffic_class as usize));
    let kinds: HashMap<&[u8], usize> = kinds.collect();
    for (piece, n) in effects.into_iter().filter(|e| e.1 > 1) {
        let idempotency = kinds
            .get(piece)
            .and_then(|k| s.traffic_classes.get(*k))
            .map(|s| s.facts.idempotency);
        if idempotency.is_some_and(|r| r != Idempotency::Idempotent) {
            breach(v, 2, format!("{}: carried out {n} times", text(piece)), &[]);
        }
    }
}

/// Rule 3: nothing new to a draining or gone node later than the grace after this host was told.
pub fn drains(s: &Settings, run: &Run, v: &mut Verdict) {
    for h in &run.hosts {
        for l in &h.attempts {
            let Some(told) = h.told_off(l.attempt.node, l.seen.at) else {
                continue;
            };
            let since = l.seen.at - told;
            v.drain_ms = v.drain_ms.max(since.as_secs_f64() * 1000.0);
            if since > s.rules.drain_grace {
                let what = format!(
                    "{}: to node {} {since:?} after it was told",
                    h.name, l.attempt.node
                );
                breach(v, 3, what, &[&l.seen]);
            }
        }
    }
}

/// Rule 4: what hosts that were told of a node's start send it stays under the rule's multiple of
/// what it can do, in every span of the rule; and none falls over by it.
pub fn cold(s: &Settings, run: &Run, v: &mut Verdict) {
    let rule = &s.rules.cold;
    let marks = |what: What| run.marks.iter().filter(move |m| m.1.what() == what);
    for (start, m) in marks(What::Started) {
        let next = marks(What::Started).map(|n| n.0).find(|at| at > start);
        let warm = *start + Duration::from_micros(m.warm_us);
        let end = next.map_or(warm, |n| warm.min(n));
        let mut span: VecDeque<(Duration, f64, bool)> = VecDeque::new();
        let arrived = run
            .arrived
            .get(&m.node)
            .map(Vec::as_slice)
            .unwrap_or_default();
        for (seen, host, attempt) in arrived.iter().filter(|a| a.0.at >= *start && a.0.at < end) {
            let told = run
                .hosts
                .iter()
                .filter(|h| h.name == *host)
                .any(|h| h.told_start(m.node, *start, seen.at));
            span.push_back((seen.at, attempt.units, told));
            while span
                .front()
                .is_some_and(|a| a.0 + rule.overload_window < seen.at)
            {
                span.pop_front();
            }
            let by = |told: bool| -> f64 { span.iter().filter(|a| a.2 == told).map(|a| a.1).sum() };
            let (known, all) = (by(true), by(true) + by(false));
            let age =
                (seen.at - *start).as_secs_f64() / Duration::from_micros(m.warm_us).as_secs_f64();
            let able = m.units_a_second * (m.cold_part + (1.0 - m.cold_part) * age.min(1.0));
            let most = (rule.multiple * able * rule.overload_window.as_secs_f64()).max(rule.units);
            if all > most * COLD_SLACK && known >= all * 2.0 / 3.0 {
                let what = format!(
                    "node {}: {all:.0} units in a span that bears {most:.0}",
                    m.node
                );
                breach(v, 4, what, &[seen]);
                break;
            }
        }
    }
    for (at, m) in marks(What::Fell) {
        let start = marks(What::Started)
            .map(|n| n.0)
            .filter(|s| s <= at)
            .max()
            .unwrap_or_default();
        let arrived = run
            .arrived
            .get(&m.node)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let lately = arrived
            .iter()
            .filter(|a| a.0.at <= *at && a.0.at + rule.overload_window >= *at);
        let (mut known, mut all) = (0.0, 0.0);
        for (seen, host, attempt) in lately {
            let told = run
                .hosts
                .iter()
                .filter(|h| h.name == *host)
                .any(|h| h.told_start(m.node, start, seen.at));
            all += attempt.units;
            known += if told { attempt.units } else { 0.0 };
        }
        if known >= all * 2.0 / 3.0 {
            breach(v, 4, format!("node {} was pushed over", m.node), &[]);
        }
    }
}

/// Rule 5 of the list: requests of ordered traffic classes with one key run one at a time, in the
/// order taken.
pub fn order(s: &Settings, run: &Run, v: &mut Verdict) {
    let ordered = |t: &Taken| {
        s.traffic_classes
            .get(t.take.traffic_class as usize)
            .is_some_and(|x| x.facts.ordered)
    };
    for h in &run.hosts {
        let mut keys: BTreeMap<u64, Vec<&Taken>> = BTreeMap::new();
        for t in h.taken.iter().filter(|t| ordered(t)) {
            t.take
                .key
                .into_iter()
                .for_each(|k| keys.entry(k).or_default().push(t));
        }
        for line in keys.values() {
            for (i, later) in line.iter().enumerate() {
                for attempt in later.attempts.iter().map(|l| &h.attempts[*l]) {
                    for earlier in &line[..i] {
                        if let Some(why) = h.unsettled(earlier, attempt.seen.at, s.rules.key_rest) {
                            let what = format!(
                                "{}: sent while {} {why}",
                                text(&later.take.id),
                                text(&earlier.take.id)
                            );
                            breach(v, 5, what, &[&earlier.seen, &attempt.seen]);
                        }
                    }
                }
            }
        }
    }
}

/// Rule 6 of the list: one host's retries in any window.
pub fn budget(s: &Settings, run: &Run, v: &mut Verdict) {
    let Some(rule) = &s.rules.attempts else {
        return;
    };
    for h in &run.hosts {
        let taken: Vec<Duration> = h.taken.iter().map(|t| t.seen.at).collect();
        let further = h
            .taken
            .iter()
            .flat_map(|t| t.attempts.iter().skip(1))
            .map(|l| &h.attempts[*l]);
        let mut further: Vec<&Attempt> = further.collect();
        further.sort_by_key(|l| l.seen.at);
        let times: Vec<Duration> = further.iter().map(|l| l.seen.at).collect();
        let within = |of: &[Duration], at: Duration| {
            of.partition_point(|t| *t <= at) - of.partition_point(|t| *t + rule.window <= at)
        };
        for l in &further {
            let (made, took) = (within(&times, l.seen.at), within(&taken, l.seen.at));
            let most = rule.min_retries + rule.ratio * took as f64;
            if made as f64 > most {
                let what = format!(
                    "{}: {made} further legs in a window of {took} transfers",
                    h.name
                );
                breach(v, 6, what, &[&l.seen]);
            }
        }
    }
}

impl Host {
    fn final_at(&self, id: &[u8]) -> Option<Duration> {
        self.by_id
            .get(id)
            .and_then(|i| self.taken[*i].finals.first())
            .map(|f| f.0.at)
    }

    /// Whether, by then, this host had been told of the start of that node which came at `start`.
    fn told_start(&self, node: u32, start: Duration, by: Duration) -> bool {
        let told = self.told.get(&node).map(Vec::as_slice).unwrap_or_default();
        told.iter()
            .any(|t| t.0 >= start && t.0 <= by && t.1 == pb::NodeState::Ready)
    }

    /// Why a request is not yet out of the way of the next with its key.
    fn unsettled(&self, t: &Taken, at: Duration, rest: Duration) -> Option<String> {
        let attempts = || t.attempts.iter().map(|l| &self.attempts[*l]);
        let ok = |l: &Attempt| {
            l.answer
                .as_ref()
                .filter(|a| a.1.result() == pb::Result::Ok)
                .map(|a| a.0.at)
        };
        let ends = t
            .finals
            .first()
            .map(|f| f.0.at)
            .into_iter()
            .chain(t.withdrawn);
        let over = ends.chain(attempts().filter_map(ok)).min();
        // Decided in one step, its end and the next one's attempt may be written in either order.
        let together = over.is_some_and(|o| o <= at + SKEW) && attempts().all(|l| l.seen.at <= at);
        if !together && over.is_none_or(|o| o > at) {
            return Some("was not over".into());
        }
        for attempt in attempts().filter(|l| l.seen.at <= at) {
            if attempt.answer.as_ref().is_some_and(|a| a.0.at <= at) {
                continue;
            }
            let doubts = [
                Some(attempt.until()),
                attempt.cancelled,
                self.closed.get(&attempt.conn).copied(),
            ];
            let doubt = doubts.into_iter().flatten().min().unwrap_or(Duration::MAX);
            if at < doubt {
                return Some("had a leg without an outcome".into());
            }
            if at < doubt + rest {
                return Some("had not rested".into());
            }
        }
        None
    }
}
