//! `grebecleat check-traces`: checks a run's traces against the rules; `grebecleat show`: prints a
//! trace.

use crate::common::load;
use crate::exit::{could_not_run, CommandError};
use grebecleat_settings::Settings;
use grebecleat_trace_checker::{TraceSet, Verdict, RULES};
use grebecleat_wire::trace;
use std::io::Write;
use std::path::Path;
use std::time::Duration;
use tracing::info;

/// Checks the traces in a folder and prints the verdict.
pub fn check(dir: &Path, script: &Path) -> Result<(), CommandError> {
    let settings = load(script)?;
    let verdict = verdict(dir, &settings)?;
    print_verdict(&verdict, dir);
    println!("{}", verdict.line());
    if passed(&verdict) {
        Ok(())
    } else {
        Err(CommandError::CheckFailed)
    }
}

/// Returns the verdict on the traces in a folder.
pub fn verdict(dir: &Path, settings: &Settings) -> Result<Verdict, CommandError> {
    TraceSet::open(dir)?.check(settings).map_err(could_not_run)
}

/// Returns whether no rule was broken and no command of an initiator failed.
pub fn passed(verdict: &Verdict) -> bool {
    verdict.violations.is_empty() && verdict.commands.is_correct()
}

/// Prints the rules that were broken, with the frames that show it, and the counts.
pub fn print_verdict(verdict: &Verdict, dir: &Path) {
    for violation in &verdict.violations {
        let rule = RULES[usize::from(violation.rule) - 1];
        println!("rule {} ({rule}): {}", violation.rule, violation.what);
        for frame in &violation.frames {
            println!("    {frame}");
        }
    }
    info!(dir = %dir.display(), attempts = verdict.attempts, effects = verdict.effects, "traces checked");
    println!(
        "audit: {} legs, {} effects, {} transfers lost with their host; \
         last new leg {:.0} ms after a drain was told",
        verdict.attempts, verdict.effects, verdict.lost_with_host, verdict.drain_lag_ms
    );
    print_revision_times(verdict);
    if verdict.commands.received > 0 {
        for fault in &verdict.commands.faults {
            println!("{fault}");
        }
        println!("{}", verdict.commands.line());
    }
}

/// Prints how long revisions took from their notification until they were in force at every host.
fn print_revision_times(verdict: &Verdict) {
    let mut times: Vec<Duration> = verdict
        .revision_times
        .iter()
        .map(|(_, time)| *time)
        .collect();
    times.sort_unstable();
    let Some(longest) = times.last() else {
        return;
    };
    println!(
        "plans: {} entries over everywhere, half of them within {:.1} s of being told, \
         all within {:.1} s",
        times.len(),
        times[times.len() / 2].as_secs_f64(),
        longest.as_secs_f64()
    );
}

/// Prints the records of a trace file that contain a text.
pub fn show_trace(file: &Path, text: &str) -> Result<(), CommandError> {
    let mut out = std::io::stdout().lock();
    for record in trace::read_file(file)? {
        let line = grebecleat_trace_checker::run::record_text("", &record);
        if line.contains(text) && writeln!(out, "{line}").is_err() {
            // The reader has closed the pipe.
            return Ok(());
        }
    }
    Ok(())
}
