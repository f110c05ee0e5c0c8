//! How drains went that somebody asked for: from the asking to the last new attempt, by frames and
//! marks alone.

use crate::run::{drain_change, Run};
use grebecleat_wire::pb::{frame::Body, marked::What, record::Kind, Record};
use std::time::Duration;

/// An act at a console and the change that it makes lie no further apart.
const NEAR: Duration = Duration::from_secs(2);

/// One drain from when it began to hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Drained {
    pub node: u32,
    /// When it was asked for; None: nothing recorded shows it.
    pub asked: Option<Duration>,
    /// From then until the first and the last host was told.
    pub told: (Duration, Duration),
    /// From then until the last new attempt went there; None: none did.
    pub last_attempt: Option<Duration>,
    /// New attempts after the asking.
    pub attempts: usize,
}

/// When changes that drain a node came to the state service, and marks of acts that ask for one.
pub fn asked(traces: &[Vec<Record>]) -> Vec<(Duration, u32)> {
    let mut all = Vec::new();
    for r in traces.iter().flatten() {
        let at = Duration::from_nanos(r.at_ns);
        match (
            r.kind(),
            r.frame.as_ref().and_then(|f| f.body.as_ref()),
            &r.mark,
        ) {
            (Kind::In, Some(Body::Propose(p)), _) => {
                let drains = p
                    .changes
                    .iter()
                    .filter_map(drain_change)
                    .filter(|d| d.drains);
                all.extend(drains.map(|d| (at, d.node)));
            }
            (Kind::Mark, _, Some(m)) if m.what() == What::Asked => all.push((at, m.node)),
            _ => {}
        }
    }
    all.sort_unstable();
    all
}

/// Every drain that hosts were told of, in the order told: from the first host that hears of one to
/// the first that hears that it is over.
pub fn drains(run: &Run, asked: &[(Duration, u32)]) -> Vec<Drained> {
    let mut words: Vec<(u32, Duration, bool)> = Vec::new();
    for (node, told) in run.hosts.iter().flat_map(|h| &h.drain_requests) {
        words.extend(
            told.iter()
                .map(|request| (*node, request.at, request.drains)),
        );
    }
    words.sort_unstable();
    // Each by its node: first and last word that it drains, and the word that ended it.
    let mut all: Vec<(u32, Duration, Duration, Duration)> = Vec::new();
    for (node, at, on) in words {
        match (
            all.last_mut()
                .filter(|d| d.0 == node && d.3 == Duration::MAX),
            on,
        ) {
            (Some(d), true) => d.2 = at,
            (Some(d), false) => d.3 = at,
            (None, true) => all.push((node, at, at, Duration::MAX)),
            (None, false) => {}
        }
    }
    all.sort_by_key(|d| d.1);
    let one = |(node, first, last, end): (u32, Duration, Duration, Duration)| {
        let before = asked
            .iter()
            .filter(|a| a.1 == node && a.0 <= first)
            .map(|a| a.0);
        // The act at the console comes before the change at the service: of those close by the
        // first.
        let near = before.clone().max().map(|at| at.saturating_sub(NEAR));
        let asked = before.filter(|a| near.is_some_and(|n| *a >= n)).min();
        let from = asked.unwrap_or(first);
        let attempts = run
            .hosts
            .iter()
            .flat_map(|h| &h.attempts)
            .filter(|l| l.attempt.node == node)
            .map(|l| l.frame.at);
        let attempts: Vec<Duration> = attempts.filter(|at| (from..end).contains(at)).collect();
        let last_attempt = attempts.iter().max().map(|at| *at - from);
        Drained {
            node,
            asked,
            told: (first - from, last - from),
            last_attempt,
            attempts: attempts.len(),
        }
    };
    all.into_iter().map(one).collect()
}
