//! `grebecleat run`: one host of a deployment, with its iSCSI portals and its connection to the state
//! service.

use crate::args::HostArgs;
use crate::common::{address, load, open_store, print_listening, tracer};
use crate::exit::{invalid, CommandError, COULD_NOT_RUN};
use grebecleat_catalog::follower::{Follower, InitialState};
use grebecleat_catalog_service::{
    declared_config::deployment, group_commit::GroupCommit, store::StoreContents,
};
use grebecleat_host::server as host;
use grebecleat_iscsi_target::portal::{self, PersistedState};
use grebecleat_settings::{PortalSpec, Settings};
use grebecleat_testbed::net;
use grebecleat_wire::{clock, pb};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::info;

/// An open store, and the contents that were read from it.
type OpenStore = (GroupCommit, StoreContents);

/// Runs the host until it has shut down.
pub fn run(args: HostArgs) -> Result<(), CommandError> {
    let settings = Arc::new(load(&args.file)?);
    let host = host_index(&settings, args.host.as_deref())?;
    let name = settings.hosts[host].name.clone();
    let listen = address(args.listen, settings.hosts[host].listen, "--listen")?;
    let list = address(args.list, settings.list.address, "--list")?;
    let peers = peers(&settings, host, &args.peers)?.into_iter();
    let peers = peers.map(|(index, address)| (host::peer(index), address));
    let seed = args.seed.unwrap_or_else(random_seed);
    let hello = net::hello(pb::Role::Host, &name, seed);
    let tracer = tracer(args.trace.clone(), hello)?;
    let portals = portals(&settings, host, args.portal);
    if !portals.is_empty() && args.store.is_none() {
        return Err(invalid(
            "--store: needed, since the settings give this host a portal",
        ));
    }
    let store = args.store.as_deref().map(open_store).transpose()?;
    let state = state_link(&settings, args.state, store.as_ref())?;
    let options = host::Options {
        settings: settings.clone(),
        host,
        listen,
        list,
        state,
        peers: peers.collect(),
        incarnation: millis_since_1970(),
        tracer,
        remember: args.remember,
        seed,
        workers: args.workers,
    };
    let counts = host::run(options, |address, handle| {
        if let Some(store) = &store {
            start_portals(&settings, &name, &portals, &handle, store);
        }
        print_listening(address);
        info!(host = %name, %address, "up");
        host::shut_down_on_signals(handle);
    })?;
    info!(host = %name, ?counts, "drained and ended");
    Ok(())
}

/// Returns this host's index in the settings. The name may be omitted if there is a single host.
fn host_index(settings: &Settings, name: Option<&str>) -> Result<usize, CommandError> {
    let names = host_names(settings);
    let expected = || format!("--host: expected one of {}", names.join(", "));
    match name {
        None if names.len() == 1 => Ok(0),
        None => Err(invalid(expected())),
        Some(name) => {
            let index = names.iter().position(|known| *known == name);
            index.ok_or_else(|| invalid(format!("{}, found {name}", expected())))
        }
    }
}

fn host_names(settings: &Settings) -> Vec<&str> {
    let hosts = settings.hosts.iter();
    hosts.map(|host| host.name.as_str()).collect()
}

/// Returns the indexes and addresses of the other hosts: those given by `--peer`, or else those from
/// the settings.
fn peers(
    settings: &Settings,
    host: usize,
    given: &[String],
) -> Result<Vec<(usize, SocketAddr)>, CommandError> {
    let names = host_names(settings);
    let mut addresses: Vec<Option<SocketAddr>> =
        settings.hosts.iter().map(|host| host.listen).collect();
    let given: Vec<_> = given
        .iter()
        .map(|text| parse_peer(text, &names))
        .collect::<Result<_, _>>()?;
    // If a peer is given more than once, the first address wins.
    for (index, address) in given.into_iter().rev() {
        addresses[index] = Some(address);
    }
    let others = addresses.into_iter().enumerate();
    let others = others.filter(|(index, _)| *index != host);
    Ok(others
        .filter_map(|(index, address)| Some((index, address?)))
        .collect())
}

/// Parses `NAME=ADDRESS`, and returns the host's index and address.
fn parse_peer(text: &str, names: &[&str]) -> Result<(usize, SocketAddr), CommandError> {
    let parse = || {
        let (name, address) = text.split_once('=')?;
        let index = names.iter().position(|known| *known == name)?;
        Some((index, address.parse().ok()?))
    };
    parse().ok_or_else(|| {
        invalid(format!(
            "--peer: expected NAME=ADDRESS with one of {}, found {text}",
            names.join(", ")
        ))
    })
}

/// Returns the portals of this host. `given` overrides the address of the first one.
fn portals(settings: &Settings, host: usize, given: Option<SocketAddr>) -> Vec<PortalSpec> {
    let portals = settings.portals.iter();
    let mut portals: Vec<PortalSpec> = portals
        .filter(|portal| portal.host == host)
        .cloned()
        .collect();
    if let (Some(portal), Some(address)) = (portals.first_mut(), given) {
        portal.listen = address;
    }
    portals
}

/// Returns the address of the state service and the catalog from the store; `None` if the settings
/// define no state service.
fn state_link(
    settings: &Settings,
    given: Option<SocketAddr>,
    store: Option<&OpenStore>,
) -> Result<Option<host::StateLink>, CommandError> {
    let Some(spec) = &settings.state else {
        return Ok(None);
    };
    let Some((store, contents)) = store else {
        return Err(invalid(
            "--store: needed, since the settings name a state_service()",
        ));
    };
    let stored = &contents.state;
    let address = address(given, spec.address, "--state")?;
    let catalog = Follower::empty_catalog(deployment(settings));
    let catalog = catalog.restored(
        stored.version,
        stored.state.clone(),
        stored.audit_log.clone(),
    );
    Ok(Some(host::StateLink {
        address,
        store: store.clone(),
        start: InitialState {
            catalog,
            stable: stored.stable,
            epoch: stored.epoch,
        },
    }))
}

/// Starts the host's portals. Exits the process if one cannot start.
fn start_portals(
    settings: &Arc<Settings>,
    host_name: &str,
    portals: &[PortalSpec],
    handle: &host::Handle,
    (store, contents): &OpenStore,
) {
    for spec in portals {
        let places = PersistedState {
            keeper: store,
            places: &contents.extents,
            ceiling: contents.state.ceiling,
        };
        match portal::start(settings, spec, handle, places) {
            Ok(address) => info!(host = %host_name, portal = %address, "iscsi portal up"),
            Err(reason) => {
                eprintln!("grebecleat: {reason}");
                std::process::exit(i32::from(COULD_NOT_RUN));
            }
        }
    }
}

/// Returns a seed that differs at each start.
fn random_seed() -> u64 {
    clock::now().as_nanos() as u64 ^ u64::from(std::process::id()) << 40
}

/// Returns the wall clock time, in milliseconds since the Unix epoch.
fn millis_since_1970() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
