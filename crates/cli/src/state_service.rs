//! `grebecleat state-service`: the service that stores the catalog.

use crate::args::StateArgs;
use crate::common::{address, load, print_listening, tracer};
use crate::exit::{could_not_run, invalid, CommandError};
use grebecleat_catalog_service::service;
use grebecleat_host::server as host;
use grebecleat_testbed::net;
use grebecleat_wire::pb;
use std::sync::Arc;
use tracing::info;

/// Runs the service until it has shut down.
pub fn run(args: StateArgs) -> Result<(), CommandError> {
    let settings = Arc::new(load(&args.file)?);
    let file = args.file.display().to_string();
    let Some(spec) = &settings.state else {
        return Err(invalid(format!("{file}: no state_service() in the file")));
    };
    let listen = address(args.listen, spec.address, "--listen")?;
    let tracer = tracer(args.trace, net::hello(pb::Role::State, "state", 1))?;
    let options = service::Options {
        settings: settings.clone(),
        file,
        store: args.store,
        listen,
        tracer,
    };
    let started = |address, handle: service::Handle| {
        print_listening(address);
        info!(%address, "state service up");
        host::call_on_signals(move || handle.stop());
    };
    service::serve(options, started).map_err(could_not_run)?;
    info!("state service ended");
    Ok(())
}
