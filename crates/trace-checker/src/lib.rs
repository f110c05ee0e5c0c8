//! Checks the seven rules against the frames that crossed the sockets.
//!
//! The checker reads the traces of the clients, hosts and nodes of one run, and finds every place
//! where a rule was broken, with the frames that show it. It never polls a host for the host's own
//! counts, and shares only the wire format with it. All processes of a machine record one clock.
//! `grebecleat check-traces` and `grebecleat scenario` call [`TraceSet::check`]. Each rule is a
//! module of [`rules`]; [`run`] is the run as read from the traces. [`commands`] counts iSCSI
//! commands and checks the history of every block with [`history`]. [`plans`] finds which limits
//! were in force at which time, and [`drains`] how each requested drain went.

pub mod commands;
pub mod drains;
mod error;
pub mod history;
pub mod plans;
pub mod rules;
pub mod run;

pub use error::CheckError;

use grebecleat_settings::Settings;
use grebecleat_wire::pb::Record;
use grebecleat_wire::trace::read_file;
use run::Run;
use std::io;
use std::path::Path;
use std::time::Duration;

/// A rule that was broken, and the frames that show it.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Number of the rule from 1, in the order of the operators' list.
    pub rule: u8,
    /// Description of the violation.
    pub what: String,
    /// Frames that show the violation, as text.
    pub frames: Vec<String>,
}

/// Names of the rules, in the order of the operators' list.
pub const RULES: [&str; 7] = [
    "no transfer is lost",
    "no effect happens twice",
    "drains are kept",
    "a cold node is not pushed over",
    "order is kept",
    "further legs stay within the budget",
    "limits are kept",
];

/// Result of the check of one run, from its traces alone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Verdict {
    /// Violations of the rules, in the order found.
    pub violations: Vec<Violation>,
    /// Number of requests that a host completed.
    pub completed: u64,
    /// Number of requests that a host rejected.
    pub rejected: u64,
    /// Number of requests that a host answered with any other outcome.
    pub failed: u64,
    /// Number of requests whose host ended before the response.
    pub lost_with_host: u64,
    /// Number of attempts that hosts sent.
    pub attempts: u64,
    /// Number of effects that nodes recorded.
    pub effects: u64,
    /// Longest time, in milliseconds, from the notification of a drain to a host until its last
    /// new attempt to the node.
    pub drain_lag_ms: f64,
    /// Commands of iSCSI portals, where the run had portals.
    pub commands: commands::Commands,
    /// Each revision of the catalog, with the time from its first notification until it was stable.
    pub revision_times: Vec<(u64, Duration)>,
    /// Drains that were requested during the run.
    pub drains: Vec<drains::MeasuredDrain>,
}

impl Verdict {
    /// Returns the last line that a scenario prints. Scripts parse it.
    pub fn line(&self) -> String {
        let all = self.completed + self.rejected + self.failed;
        format!(
            "rules broken: {}; transfers {all}, done {}, deferred {}, abandoned {}",
            self.rules_broken(),
            self.completed,
            self.rejected,
            self.failed
        )
    }

    /// Returns the number of rules with at least one violation.
    pub fn rules_broken(&self) -> usize {
        (1..=7)
            .filter(|rule| self.violations.iter().any(|v| v.rule == *rule))
            .count()
    }
}

/// Traces of one run, which are checked together.
#[derive(Debug, Default)]
pub struct TraceSet {
    traces: Vec<Vec<Record>>,
}

impl TraceSet {
    /// Reads all `*.trace` files of a folder, in the order of their names.
    pub fn open(dir: &Path) -> io::Result<Self> {
        let mut paths: Vec<_> = std::fs::read_dir(dir)?
            .flatten()
            .map(|entry| entry.path())
            .collect();
        paths.retain(|path| {
            path.extension()
                .is_some_and(|extension| extension == "trace")
        });
        paths.sort();
        let traces = paths
            .iter()
            .map(|path| read_file(path))
            .collect::<io::Result<_>>()?;
        Ok(TraceSet { traces })
    }

    /// Adds the trace of one process.
    pub fn add(&mut self, records: Vec<Record>) {
        self.traces.push(records);
    }

    /// Returns the verdict on the run.
    ///
    /// # Errors
    ///
    /// Returns an error if a trace is truncated, or does not begin with the record of its process.
    pub fn check(&self, settings: &Settings) -> Result<Verdict, CheckError> {
        let run = Run::read(&self.traces)?;
        let mut verdict = Verdict::default();
        rules::answers::check(settings, &run, &mut verdict);
        rules::effects::check(settings, &run, &mut verdict);
        rules::drains::check(settings, &run, &mut verdict);
        rules::slow_start::check(settings, &run, &mut verdict);
        rules::key_order::check(settings, &run, &mut verdict);
        rules::retry_budget::check(settings, &run, &mut verdict);
        rules::limits::check(settings, &run.hosts, &run.plans, &mut verdict);
        run.plans.check_stable(settings, &mut verdict);
        verdict.revision_times = run.plans.stabilization_times();
        verdict.drains = drains::drains(&run, &drains::requests(&self.traces));
        verdict.commands = commands::check_commands(settings, &self.traces, &run.marks);
        Ok(verdict)
    }
}
