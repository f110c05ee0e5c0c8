//! `grebecleat node` and `grebecleat discovery-service`: processes of the testbed, which inject a
//! script's faults.

use crate::args::{DiscoveryServiceArgs, NodeArgs, ScriptArgs};
use crate::common::{address, load, print_listening, tracer};
use crate::exit::{could_not_run, invalid, CommandError};
use grebecleat_settings::FaultKind;
use grebecleat_testbed::{net, scenario, serve};
use grebecleat_wire::{clock, pb};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// Runs nodes of a deployment until the process is killed.
pub fn nodes(args: NodeArgs) -> Result<(), CommandError> {
    let context = script_context(&args.script, pb::Role::Node, "nodes")?;
    let known = |id: &u32| context.settings.nodes.iter().any(|node| node.id == *id);
    if let Some(id) = args.ids.iter().find(|id| !known(id)) {
        let file = args.script.file.display();
        return Err(invalid(format!("--ids: {file} has no node {id}")));
    }
    serve::run_nodes(&context, &args.ids, args.list, |count| {
        print_listening(format_args!("with {count} nodes"))
    })?;
    Ok(())
}

/// Runs the discovery service until the process is killed.
pub fn discovery_service(args: DiscoveryServiceArgs) -> Result<(), CommandError> {
    let context = script_context(&args.script, pb::Role::List, "list")?;
    let listen = address(args.listen, context.settings.list.address, "--listen")?;
    let listener = TcpListener::bind(listen)
        .map_err(|error| could_not_run(format!("cannot listen on {listen}: {error}")))?;
    print_listening(listener.local_addr()?);
    serve::run_discovery_service(&context, listener)?;
    Ok(())
}

fn script_context(
    args: &ScriptArgs,
    role: pb::Role,
    name: &str,
) -> Result<serve::ScriptContext, CommandError> {
    let mut settings = load(&args.file)?;
    let kinds = fault_kinds(args.kinds.as_deref())?;
    scenario::override_faults(&mut settings, &kinds, args.seed);
    let tracer = tracer(args.trace.clone(), net::hello(role, name, 1))?;
    Ok(serve::ScriptContext {
        settings: Arc::new(settings),
        t0: args.t0.map_or_else(clock::now, Duration::from_nanos),
        tracer,
    })
}

/// Parses the kinds of faults that `--kinds` names, joined by `+`.
pub fn fault_kinds(text: Option<&str>) -> Result<Vec<FaultKind>, CommandError> {
    let Some(text) = text else {
        return Ok(Vec::new());
    };
    FaultKind::read(text).map_err(|name| {
        let known: Vec<&str> = FaultKind::ALL.iter().map(|(name, _)| *name).collect();
        let known = known.join(", ");
        invalid(format!("--kinds: expected some of {known}, found {name}"))
    })
}
