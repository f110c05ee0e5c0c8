//! Rehearsals: a scripted run with injected faults, load and changes of the configuration.

use super::{ms, DAY};
use crate::fields::Fields;
use crate::kinds::FaultKind;
use std::collections::BTreeSet;
use std::time::Duration;

/// An injected fault, as `trouble()` declares it.
#[derive(Debug, Clone)]
pub struct FaultSpec {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// When the fault begins, counted from the rehearsal's start.
    pub at: Duration,
    /// How long the fault lasts.
    pub len: Duration,
    /// Fraction of the nodes, hosts or volumes that it affects, if `nodes`, `hosts` and `zone` name
    /// none.
    pub part: f64,
    /// Strength of the fault.
    pub size: f64,
    /// The nodes that it affects.
    pub nodes: Vec<u32>,
    /// Indices of the hosts that it affects, among the hosts.
    pub hosts: Vec<usize>,
    /// Index of the zone that it affects, among the zones.
    pub zone: Option<usize>,
}

/// A change of the configuration while a rehearsal runs, in the syntax of `grebecleat plans set`.
#[derive(Debug, Clone)]
pub struct ScriptedChange {
    /// When the change is made, counted from the rehearsal's start.
    pub at: Duration,
    /// The lines of the change.
    pub words: Vec<String>,
    /// The author.
    pub who: String,
    /// Whether the change is made in spite of objections.
    pub force: bool,
}

/// A rehearsal, as `rehearsal()` and `load_of()` declare it.
#[derive(Debug, Clone)]
pub struct Rehearsal {
    /// The seed of all random choices.
    pub seed: u64,
    /// The length of the run.
    pub length: Duration,
    /// Requests a second over all volumes, without retries; 0 if the volumes' plans determine them.
    pub per_second: f64,
    /// Retries of a client for one request.
    pub retries: u32,
    /// The wait of a client before a retry.
    pub retry_wait: Duration,
    /// Fraction of the reads that read data written by the same client.
    pub reread: f64,
    /// Bytes of data for one unit.
    pub bytes_per_unit: u32,
    /// iSCSI sessions at each target of each portal.
    pub sessions: u8,
    /// The injected faults.
    pub injected_faults: Vec<FaultSpec>,
    /// The changes of the configuration.
    pub changes: Vec<ScriptedChange>,
}

/// The part of a rehearsal that `rehearsal()` declares.
#[derive(Debug, Clone, Copy)]
pub(super) struct Run {
    seed: u64,
    length: Duration,
}

/// Reads a `rehearsal()`.
pub(super) fn run(fields: &mut Fields) -> Run {
    Run {
        seed: fields.integer("seed", Some(1), (0, u64::MAX)),
        length: fields.duration("length", None, DAY),
    }
}

/// Reads a `load_of()`, and completes the rehearsal.
pub(super) fn load(
    fields: &mut Fields,
    run: Run,
    injected_faults: &[FaultSpec],
    changes: &[ScriptedChange],
) -> Rehearsal {
    Rehearsal {
        seed: run.seed,
        length: run.length,
        per_second: fields.number("per_second", Some(0.0), (0.0, 1e6)),
        retries: fields.integer("retries", Some(1), (0, 10)) as u32,
        retry_wait: fields.duration("retry_wait", Some(ms(100)), DAY),
        reread: fields.number("reread", Some(0.3), (0.0, 1.0)),
        bytes_per_unit: fields.integer("bytes_per_unit", Some(512), (1, 1 << 20)) as u32,
        sessions: fields.integer("sessions", Some(4), (0, 64)) as u8,
        injected_faults: injected_faults.to_vec(),
        changes: changes.to_vec(),
    }
}

/// Reads a `trouble()`.
pub(super) fn trouble(
    fields: &mut Fields,
    zones: &[&str],
    hosts: &[&str],
    nodes: &BTreeSet<u32>,
) -> FaultSpec {
    let names: Vec<&str> = FaultKind::ALL.iter().map(|(name, _)| *name).collect();
    let kind = FaultKind::ALL[fields.one_of("kind", None, &names)].1;
    let affected: Vec<u32> = fields
        .numbers("nodes", u64::from(u32::MAX))
        .into_iter()
        .map(|n| n as u32)
        .collect();
    if let Some(unknown) = affected.iter().find(|node| !nodes.contains(node)) {
        let expected = format!("expected ids of nodes, found {unknown}");
        fields.fault("nodes", expected);
    }
    let zone = fields
        .raw("zone")
        .is_some()
        .then(|| fields.one_of("zone", None, zones));
    FaultSpec {
        kind,
        at: fields.duration("at", None, DAY),
        len: fields.duration("len", Some(ms(5000)), DAY),
        part: fields.number("part", Some(0.2), (0.0, 1.0)),
        size: fields.number("size", Some(0.9), (0.0, 1000.0)),
        nodes: affected,
        hosts: fields.some_of("hosts", hosts),
        zone,
    }
}

/// Reads a `change()`.
pub(super) fn change(fields: &mut Fields) -> ScriptedChange {
    let words = fields.raw("words").and_then(|v| {
        v.as_array()
            .map(|a| a.iter().map(|w| w.as_str().map(str::to_string)).collect())
    });
    let words: Option<Vec<String>> = words.flatten();
    if words.as_ref().is_none_or(|w| w.is_empty()) {
        fields.fault(
            "words",
            "expected a list of changes such as [\"plan basic limit=20\"]".into(),
        );
    }
    ScriptedChange {
        at: fields.duration("at", None, DAY),
        words: words.unwrap_or_default(),
        who: fields.text("who", Some("rehearsal")),
        force: fields.boolean("force", Some(false)),
    }
}
