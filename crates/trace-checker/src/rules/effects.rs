//! Rule 2: retries only as far as the traffic class's idempotency allows, and rejections only
//! where a client's retry does no harm. `TraceSet::check` calls it.

use super::{add_violation, id_text};
use crate::run::{Attempt, HostTrace, ReceivedRequest, Run};
use crate::Verdict;
use grebecleat_settings::{DeduplicationScope, Idempotency, Settings};
use grebecleat_wire::pb::{marked::What, Outcome};
use std::collections::HashMap;

/// Zone and shard of a node.
#[derive(Clone, Copy)]
struct Place {
    zone: usize,
    shard: u32,
}

type Places = HashMap<u32, Place>;

/// Checks the attempts and rejections of each host, then the effects that nodes recorded.
pub fn check(settings: &Settings, run: &Run, verdict: &mut Verdict) {
    let places = settings.nodes.iter().map(|node| {
        let (zone, shard) = (node.zone, node.shard);
        (node.id, Place { zone, shard })
    });
    let places: Places = places.collect();
    for host in &run.hosts {
        verdict.attempts += host.attempts.len() as u64;
        for request in &host.requests {
            let class = request.submit.traffic_class as usize;
            let Some(class) = settings.traffic_classes.get(class) else {
                continue;
            };
            let idempotency = class.facts.idempotency;
            check_retries(&places, idempotency, host, request, verdict);
            check_rejections(idempotency, host, request, verdict);
        }
    }
    check_recorded_effects(settings, run, verdict);
}

fn check_retries(
    places: &Places,
    idempotency: Idempotency,
    host: &HostTrace,
    request: &ReceivedRequest,
    verdict: &mut Verdict,
) {
    let name = id_text(&request.submit.id);
    let attempts = request.attempts.iter().map(|index| &host.attempts[*index]);
    let attempts: Vec<&Attempt> = attempts.collect();
    for (index, later) in attempts.iter().enumerate() {
        for earlier in &attempts[..index] {
            if earlier.never_ran(later.frame.at) {
                continue;
            }
            if !may_follow(places, idempotency, earlier, later) {
                let what =
                    format!("{name}: retry of an attempt that may have run ({idempotency:?})");
                add_violation(verdict, 2, what, &[&earlier.frame, &later.frame]);
            }
        }
    }
}

/// Returns whether an attempt may follow one that may have run.
fn may_follow(
    places: &Places,
    idempotency: Idempotency,
    earlier: &Attempt,
    later: &Attempt,
) -> bool {
    let (scope, window) = match idempotency {
        Idempotency::Idempotent => return true,
        Idempotency::NonIdempotent => return false,
        Idempotency::WithKey { scope, window } => (scope, window),
    };
    let first = places.get(&earlier.attempt.node);
    let second = places.get(&later.attempt.node);
    let in_scope = match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.map(|p| p.zone) == second.map(|p| p.zone),
        DeduplicationScope::Shard => first.map(|p| p.shard) == second.map(|p| p.shard),
    };
    in_scope && later.frame.at < earlier.frame.at + window
}

fn check_rejections(
    idempotency: Idempotency,
    host: &HostTrace,
    request: &ReceivedRequest,
    verdict: &mut Verdict,
) {
    let retry_is_harmless = matches!(
        idempotency,
        Idempotency::Idempotent
            | Idempotency::WithKey {
                scope: DeduplicationScope::All,
                ..
            }
    );
    if retry_is_harmless {
        return;
    }
    let rejections = request.responses.iter();
    for (frame, response) in rejections.filter(|f| f.1.outcome() == Outcome::Rejected) {
        let mut attempts = request.attempts.iter().map(|index| &host.attempts[*index]);
        let ran = attempts.find(|a| a.frame.at <= frame.at && !a.never_ran(frame.at));
        if let Some(attempt) = ran {
            let name = id_text(&response.id);
            let what = format!("{name}: rejected, although an attempt may have run");
            add_violation(verdict, 2, what, &[&attempt.frame, frame]);
        }
    }
}

fn check_recorded_effects(settings: &Settings, run: &Run, verdict: &mut Verdict) {
    let mut effects: HashMap<&[u8], u32> = HashMap::new();
    for (_, mark) in run.marks.iter().filter(|m| m.1.what() == What::Effect) {
        verdict.effects += 1;
        *effects.entry(&mark.id).or_default() += 1;
    }
    let classes = run.client_requests.values().map(|request| {
        let class = request.submit.traffic_class as usize;
        (&request.submit.piece[..], class)
    });
    let classes: HashMap<&[u8], usize> = classes.collect();
    for (piece, times) in effects.into_iter().filter(|effect| effect.1 > 1) {
        let class = classes.get(piece);
        let class = class.and_then(|index| settings.traffic_classes.get(*index));
        if class.is_some_and(|class| class.facts.idempotency != Idempotency::Idempotent) {
            let what = format!(
                "{}: executed {times} times; expected at most once",
                id_text(piece)
            );
            add_violation(verdict, 2, what, &[]);
        }
    }
}
