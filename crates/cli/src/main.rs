//! The `grebecleat` program: arguments, logs and exit codes. A module for each command, which has
//! no logic of its own: `run`, `platform` (and `account`), `state_service`, `plans`, `fleet`,
//! `standins` (`node` and `list-service`), `rehearsal`, `audit` (and `show`).

#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

mod args;
mod audit;
mod common;
mod exit;
mod fleet;
mod logs;
mod plans;
mod platform;
mod rehearsal;
mod rehearsal_report;
mod run;
mod standins;
mod state_service;

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
        Command::Account { logs, every, parts } => platform::account(&logs, every, parts),
        Command::StateService(args) => state_service::run(args),
        Command::Plans(args) => plans::run(args),
        Command::Fleet { at } => fleet::show(at),
        Command::Check { file } => check(&file),
        Command::Rehearse(args) => rehearsal::run(args),
        Command::Audit { dir, script } => audit::audit(&dir, &script),
        Command::Show { file, with } => audit::show_trace(&file, &with),
        Command::Node(args) => standins::nodes(args),
        Command::ListService(args) => standins::list(args),
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "grebecleat", &mut std::io::stdout());
            Ok(())
        }
    }
}

/// Checks a settings file.
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
