//! `grebecleat plans`: shows and changes plans and volumes through the state service, as text or as
//! JSON.

mod changes;
mod files;
mod json;
mod output;
mod queries;

use crate::args::{PlansArgs, PlansCommand};
use crate::exit::{could_not_run, invalid, CommandError};
use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::Subject;
use grebecleat_catalog::records::Deployment;
use grebecleat_catalog_service::client::{Client, QueryResult};
use grebecleat_wire::pb::query::What;
use output::Output;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub fn run(args: PlansArgs) -> Result<(), CommandError> {
    let output = Output::new(args.output);
    let author = args.author.or_else(|| std::env::var("USER").ok());
    let author = author.unwrap_or_else(|| "operator".into());
    let address = args.at;
    match args.command {
        PlansCommand::Check { file } => files::check(&file, &output),
        PlansCommand::Restore { snapshot, store } => files::restore(&snapshot, &store, &output),
        command => {
            let mut session = Session {
                client: connect(address, &author)?,
                author,
                output,
            };
            session.execute(command)
        }
    }
}

fn connect(address: SocketAddr, author: &str) -> Result<Client, CommandError> {
    Client::connect(address, &format!("{author} by plans")).map_err(|error| {
        could_not_run(format!(
            "no state service at {address}: {error}; is it running, or elsewhere (--at)?"
        ))
    })
}

/// One operator's connection to the state service.
struct Session {
    client: Client,
    author: String,
    output: Output,
}

impl Session {
    fn execute(&mut self, command: PlansCommand) -> Result<(), CommandError> {
        match command {
            PlansCommand::List => self.list(),
            PlansCommand::Show { kind, name } => self.show(&kind, &name),
            PlansCommand::Set {
                changes,
                at_time,
                base_version,
                change,
            } => self.set(&changes, at_time.as_deref(), base_version, change),
            PlansCommand::History { most, of } => self.history(most, of.as_deref()),
            PlansCommand::Undo { revision, change } => self.undo(revision, change),
            PlansCommand::Diff { file } => self.diff(&file),
            PlansCommand::Declare { file, change } => self.declare(&file, change),
            PlansCommand::Status => self.status(),
            PlansCommand::Moves { empty } => self.moves(empty),
            PlansCommand::Gone { host } => self.declare_host_gone(host),
            PlansCommand::Prevail { reason } => self.force_epoch(reason),
            PlansCommand::Snapshot { file } => self.write_snapshot(&file),
            PlansCommand::Check { .. } | PlansCommand::Restore { .. } => {
                unreachable!("commands on files run without a session")
            }
        }
    }

    fn query(&mut self, what: What) -> Result<QueryResult, CommandError> {
        let result = self.client.query(what, 0, 0, Vec::new());
        result.map_err(could_not_run)
    }

    fn state(&mut self) -> Result<QueryResult, CommandError> {
        self.query(What::State)
    }
}

/// Builds a catalog from the service's state.
fn catalog(state: &QueryResult) -> Catalog {
    let hosts = state.last.hosts.iter();
    let deployment = Deployment {
        hosts: hosts.map(|host| host.name.as_str().into()).collect(),
        max_dispatch_delay: Duration::ZERO,
    };
    Catalog::new(deployment, 1).restored(state.version, state.state.iter().cloned(), Vec::new())
}

/// Parses a subject given as a kind and a name, such as `volume` and `103`.
fn subject(kind: &str, name: &str) -> Result<Subject, CommandError> {
    let number = || {
        let number = name.parse::<u64>();
        number.map_err(|_| invalid(format!("{kind}: expected a number, found {name}")))
    };
    Ok(match kind {
        "plan" => Subject::Plan(name.into()),
        "volume" => Subject::Volume(number()?),
        "node" => Subject::Node(number()? as u32),
        "drain" => Subject::Drain(number()? as u32),
        "target" => Subject::Target(name.into()),
        "timed" => Subject::Scheduled(number()?),
        _ => {
            return Err(invalid(format!(
                "expected plan, volume, node, drain, target or timed, found {kind}"
            )))
        }
    })
}

/// Returns the time since the Unix epoch.
fn now() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}
