//! `grebecleat audit` and `grebecleat show`: the verdict on a run's traces, and the traces
//! themselves.

use crate::common::load;
use crate::exit::{could_not_run, CommandError};
use grebecleat_settings::Settings;
use grebecleat_trace_checker::{Case, Verdict, RULES};
use grebecleat_wire::trace;
use std::io::Write;
use std::path::Path;
use std::time::Duration;
use tracing::info;

pub fn audit(dir: &Path, script: &Path) -> Result<(), CommandError> {
    let settings = load(script)?;
    let verdict = judge(dir, &settings)?;
    print_verdict(&verdict, dir);
    println!("{}", verdict.line());
    if passed(&verdict) {
        Ok(())
    } else {
        Err(CommandError::CheckFailed)
    }
}

/// The verdict on the traces in a folder.
pub fn judge(dir: &Path, settings: &Settings) -> Result<Verdict, CommandError> {
    Case::open(dir)?.judge(settings).map_err(could_not_run)
}

/// Whether no rule was broken and no command of an initiator went wrong.
pub fn passed(verdict: &Verdict) -> bool {
    verdict.breaches.is_empty() && verdict.commands.fine()
}

pub fn print_verdict(verdict: &Verdict, dir: &Path) {
    for breach in &verdict.breaches {
        let rule = RULES[usize::from(breach.rule) - 1];
        println!("rule {} ({rule}): {}", breach.rule, breach.what);
        for frame in &breach.frames {
            println!("    {frame}");
        }
    }
    info!(dir = %dir.display(), attempts = verdict.attempts, effects = verdict.effects, "audited");
    println!(
        "audit: {} legs, {} effects, {} transfers lost with their host; \
         last new leg {:.0} ms after a drain was told",
        verdict.attempts, verdict.effects, verdict.lost, verdict.drain_ms
    );
    print_revision_times(verdict);
    if verdict.commands.taken > 0 {
        for wrong in &verdict.commands.wrong {
            println!("{wrong}");
        }
        println!("{}", verdict.commands.line());
    }
}

/// How long it took until revisions were in force everywhere.
fn print_revision_times(verdict: &Verdict) {
    let mut times: Vec<Duration> = verdict.settled.iter().map(|(_, time)| *time).collect();
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
        let line = grebecleat_trace_checker::run::show("", &record);
        if line.contains(text) && writeln!(out, "{line}").is_err() {
            // Nobody reads any more.
            return Ok(());
        }
    }
    Ok(())
}
