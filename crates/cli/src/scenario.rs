//! `grebecleat scenario`: runs a scripted scenario with injected faults on the loopback interface,
//! and checks its traces.

use crate::args::ScenarioArgs;
use crate::common::load;
use crate::exit::{invalid, CommandError};
use crate::scenario_report::{print_changes, print_clients, print_iscsi_counts};
use crate::testbed::fault_kinds;
use crate::trace_checks;
use grebecleat_settings::{FaultKind, Rehearsal, Settings};
use grebecleat_testbed::scenario::{self, ScenarioResult};
use grebecleat_trace_checker::Verdict;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Default script, embedded in the program.
const BAD_DAY: &str = include_str!("../../../examples/bad-day.star");
const BAD_DAY_FILE: &str = "bad-day.star";

/// Runs the scenario and prints its report.
pub fn run(args: ScenarioArgs) -> Result<(), CommandError> {
    let dir = args
        .dir
        .clone()
        .unwrap_or_else(scenario::temporary_directory);
    std::fs::create_dir_all(&dir)?;
    let script = script_in(&args.script, &dir)?;
    let mut settings = load(&script)?;
    let kinds = kinds(&args)?;
    scenario::override_faults(&mut settings, &kinds, args.seed);
    let Some(plan) = &settings.rehearsal else {
        let script = script.display();
        return Err(invalid(format!("{script}: no rehearsal() in the file")));
    };
    print_plan(&settings, plan);
    let bar = progress_bar(plan.length);
    let program = std::env::current_exe()?;
    let result = scenario::run_scenario(scenario::ScenarioOptions {
        settings: &settings,
        script: &script,
        kinds: &kinds,
        seed: args.seed,
        dir: &dir,
        program: &program,
        progress: Box::new(|now, counts| {
            bar.set_position(now.as_millis() as u64);
            bar.set_message(format!(
                "{} done, {} deferred",
                counts.done, counts.deferred
            ));
        }),
    });
    let result = result.map_err(std::io::Error::from)?;
    bar.finish_and_clear();
    print_clients(&settings, &result.counts);
    print_changes(&settings, &result.counts, &result.changes);
    let verdict = trace_checks::verdict(&dir, &settings)?;
    trace_checks::print_verdict(&verdict, &dir);
    let passed = passed(&result, &verdict);
    if passed && args.dir.is_none() && !args.keep {
        std::fs::remove_dir_all(&dir)?;
    } else {
        println!("traces and logs: {}", dir.display());
    }
    print_iscsi_counts(&result.iscsi_load);
    println!("{}", verdict.line());
    if passed {
        Ok(())
    } else {
        Err(CommandError::CheckFailed)
    }
}

/// Returns whether no rule was broken, and no client or initiator got a wrong, missing or duplicate
/// response.
fn passed(result: &ScenarioResult, verdict: &Verdict) -> bool {
    let clients_passed = result.counts.wrong_content == 0 && result.counts.doubled == 0;
    let iscsi_load = &result.iscsi_load;
    let disks_passed = iscsi_load.wrong == 0 && iscsi_load.missing == 0 && iscsi_load.doubled == 0;
    trace_checks::passed(verdict) && clients_passed && disks_passed
}

/// Returns the script's path. If the default script is named but does not exist, the embedded copy is
/// written into the folder.
fn script_in(script: &Path, dir: &Path) -> Result<PathBuf, CommandError> {
    if script.exists() || !script.ends_with(BAD_DAY_FILE) {
        return Ok(script.to_path_buf());
    }
    let path = dir.join(BAD_DAY_FILE);
    std::fs::write(&path, BAD_DAY)?;
    Ok(path)
}

/// Returns the kinds of faults that override the script's; empty if the script's are to be injected.
fn kinds(args: &ScenarioArgs) -> Result<Vec<FaultKind>, CommandError> {
    let kinds = fault_kinds(args.kinds.as_deref())?;
    let Some(journal) = &args.journal else {
        return Ok(kinds);
    };
    let file = journal.display();
    let text = std::fs::read_to_string(journal)
        .map_err(|error| invalid(format!("--journal: cannot read {file}: {error}")))?;
    let kinds = FaultKind::find(&text);
    if kinds.is_empty() {
        return Err(invalid(format!(
            "--journal: {file} names no kinds of trouble"
        )));
    }
    Ok(kinds)
}

fn print_plan(settings: &Settings, plan: &Rehearsal) {
    let faults = plan.injected_faults.iter();
    let names: Vec<&str> = faults.map(|fault| fault.kind.name()).collect();
    let names = if names.is_empty() {
        "none".into()
    } else {
        names.join("+")
    };
    println!(
        "{}: {} hosts, {} nodes, {:?}, seed {}, troubles {names}",
        settings.name,
        settings.hosts.len(),
        settings.nodes.len(),
        plan.length,
        plan.seed,
    );
}

fn progress_bar(length: Duration) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length.as_millis() as u64);
    let style = ProgressStyle::with_template("{bar:30} {percent}% {msg}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
