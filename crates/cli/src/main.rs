//! The `grebecleat` program: command-line arguments, logging and exit codes.
//!
//! There is one module for each group of commands; the logic is in the other crates. The modules are
//! `run`, `platform` (`platform` and `shed-report`), `state_service`, `plans`, `host_status` (`fleet`),
//! `testbed` (`node` and `discovery-service`), `scenario`, and `trace_checks` (`check-traces` and
//! `show`).

#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

mod args;
mod common;
mod exit;
mod host_status;
mod logs;
mod plans;
mod platform;
mod run;
mod scenario;
mod scenario_report;
mod state_service;
mod testbed;
mod trace_checks;

use args::{Args, Command};
use clap::{CommandFactory, Parser};
use exit::CommandError;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = Args::parse();
    if let Err(error) = logs::start(&args.logs) {
        return exit::report(Err(error.into()));
    }
    exit::report(execute(args.command))
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Run(args) => run::run(args),
        Command::Platform => platform::run(),
        Command::ShedReport { logs, every, parts } => platform::shed_report(&logs, every, parts),
        Command::StateService(args) => state_service::run(args),
        Command::Plans(args) => plans::run(args),
        Command::Fleet { at } => host_status::show(at),
        Command::Check { file } => check(&file),
        Command::Scenario(args) => scenario::run(args),
        Command::CheckTraces { dir, script } => trace_checks::check(&dir, &script),
        Command::Show { file, with } => trace_checks::show_trace(&file, &with),
        Command::Node(args) => testbed::nodes(args),
        Command::DiscoveryService(args) => testbed::discovery_service(args),
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "grebecleat", &mut std::io::stdout());
            Ok(())
        }
    }
}

/// Checks a settings file and prints a summary.
fn check(file: &Path) -> Result<(), CommandError> {
    let settings = common::load(file)?;
    println!(
        "{}: {} is in order: {} zones, {} hosts, {} nodes, {} volumes on {} plans, {} stream types",
        file.display(),
        settings.name,
        settings.zones.len(),
        settings.hosts.len(),
        settings.nodes.len(),
        settings.volumes.len(),
        settings.plans.len(),
        settings.traffic_classes.len()
    );
    Ok(())
}
