//! Judges the seven rules from what crossed the sockets.
//!
//! For: reading the traces of clients, hosts and nodes of one run, and finding every place where a
//! rule was broken, with the frames that show it. It never asks a host for its own counts, and
//! shares nothing with it but the wire. All processes of a machine record one clock. Begin with
//! [`Case::judge`]; each rule is a function of [`rules`]; [`run`] is the run as read from the
//! traces. [`commands`] counts iSCSI commands and puts every block's reads and writes in order, by
//! [`history`]. [`plans`] says which limits were in force when, [`drains`] how a drain went that
//! somebody asked for.

pub mod commands;
pub mod drains;
pub mod history;
pub mod plans;
pub mod rules;
pub mod run;

use grebecleat_settings::Settings;
use grebecleat_wire::pb::Record;
use grebecleat_wire::trace::read_file;
use run::Run;
use std::io;
use std::path::Path;

/// A rule that was broken, and what shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// From 1, in the order of the operators' list.
    pub rule: u8,
    pub what: String,
    pub frames: Vec<String>,
}

pub const RULES: [&str; 7] = [
    "no transfer is lost",
    "no effect happens twice",
    "drains are kept",
    "a cold node is not pushed over",
    "order is kept",
    "further legs stay within the budget",
    "limits are kept",
];

/// What a run amounted to, by the traces alone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    /// Requests that clients sent and hosts answered.
    pub done: u64,
    pub deferred: u64,
    pub abandoned: u64,
    /// Requests whose host was gone before the answer.
    pub lost: u64,
    pub attempts: u64,
    pub effects: u64,
    /// The longest time from a host being told of a drain to its last new attempt there.
    pub drain_ms: f64,
    /// Of portals, where there were any.
    pub commands: commands::Commands,
    /// How long each change of plans took from when it was first told to when it was over
    /// everywhere.
    pub settled: Vec<(u64, std::time::Duration)>,
    /// Drains that were asked for while it ran.
    pub drained: Vec<drains::Drained>,
}

impl Verdict {
    /// The last line of a rehearsal.
    pub fn line(&self) -> String {
        let all = self.done + self.deferred + self.abandoned;
        format!(
            "rules broken: {}; transfers {all}, done {}, deferred {}, abandoned {}",
            self.rules_broken(),
            self.done,
            self.deferred,
            self.abandoned
        )
    }

    pub fn rules_broken(&self) -> usize {
        (1..=7)
            .filter(|rule| self.breaches.iter().any(|b| b.rule == *rule))
            .count()
    }
}

/// Traces to be judged together.
#[derive(Debug, Default)]
pub struct Case {
    traces: Vec<Vec<Record>>,
}

impl Case {
    /// All `*.trace` files of a folder, by name.
    pub fn open(dir: &Path) -> io::Result<Self> {
        let mut paths: Vec<_> = std::fs::read_dir(dir)?
            .flatten()
            .map(|e| e.path())
            .collect();
        paths.retain(|p| p.extension().is_some_and(|e| e == "trace"));
        paths.sort();
        let traces = paths
            .iter()
            .map(|p| read_file(p))
            .collect::<io::Result<_>>()?;
        Ok(Case { traces })
    }

    pub fn add(&mut self, records: Vec<Record>) {
        self.traces.push(records);
    }

    /// What is wrong with the traces themselves (cut short, nobody named), or the verdict.
    pub fn judge(&self, settings: &Settings) -> Result<Verdict, String> {
        let run = Run::of(&self.traces)?;
        let mut v = Verdict::default();
        rules::lost(settings, &run, &mut v);
        rules::twice(settings, &run, &mut v);
        rules::drains(settings, &run, &mut v);
        rules::cold(settings, &run, &mut v);
        rules::order(settings, &run, &mut v);
        rules::budget(settings, &run, &mut v);
        plans::limits(settings, &run.hosts, &run.plans, &mut v);
        run.plans.judge_stable(settings, &mut v);
        v.settled = run.plans.took();
        v.drained = drains::drains(&run, &drains::asked(&self.traces));
        v.commands = commands::judge(settings, &self.traces, &run.marks);
        Ok(v)
    }
}
