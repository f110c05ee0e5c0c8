//! Creates the engine of a portal from the settings and the persisted state.
//!
//! Called once, when a portal starts.

use super::PersistedState;
use crate::engine::{
    ChallengeSource, Engine, EngineConfig, TargetDescription, VolumeDescription, CHALLENGE_BYTES,
};
use crate::pressure::WindowLimits;
use crate::versions::Versions;
use grebecleat_iscsi::login::{Portal, Secret, Target};
use grebecleat_iscsi::scsi::Unit;
use grebecleat_settings::{PortalSpec, Settings};
use grebecleat_wire::clock;
use rand::rngs::OsRng;
use rand::TryRngCore;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// Bytes of a logical block.
const BLOCK_SIZE: u32 = 512;
/// Maximum bytes that one command may read or write.
const MAX_TRANSFER_BYTES: u32 = 1 << 20;

pub(super) fn engine(
    settings: &Settings,
    spec: &PortalSpec,
    address: SocketAddr,
    store: &PersistedState,
) -> Engine {
    let (initial, maximum, max_per_session) = spec.commands;
    Engine::new(EngineConfig {
        portal: login_portal(settings, spec),
        addresses: vec![format!("{address},{}", spec.group)],
        targets: targets(settings),
        volumes: volumes(settings, spec, store),
        window_limits: WindowLimits {
            initial,
            maximum,
            max_per_session,
        },
        late_write_time: late_write_time(settings),
        versions: Versions::new(store.ceiling, unix_micros()),
        challenges: challenges(),
    })
}

fn login_portal(settings: &Settings, spec: &PortalSpec) -> Portal {
    let secret = |pair: &Option<(String, String)>| {
        let (name, secret) = pair.as_ref()?;
        Some(Secret {
            name: name.clone(),
            secret: secret.clone().into_bytes(),
        })
    };
    let targets = settings.targets.iter().map(|target| Target {
        name: target.name.clone(),
        initiators: target.initiators.clone(),
        chap: secret(&target.chap),
        mutual: secret(&target.mutual),
    });
    Portal {
        targets: targets.collect(),
        group: spec.group,
        ..Portal::default()
    }
}

fn targets(settings: &Settings) -> Vec<TargetDescription> {
    let targets = settings.targets.iter();
    targets
        .map(|target| TargetDescription {
            name: target.name.clone(),
            luns: target.volumes.clone(),
        })
        .collect()
}

fn volumes(
    settings: &Settings,
    spec: &PortalSpec,
    store: &PersistedState,
) -> Vec<VolumeDescription> {
    let volumes = settings.volumes.iter();
    volumes
        .map(|volume| VolumeDescription {
            volume: volume.id,
            unit: Unit {
                blocks: volume.blocks,
                block_size: BLOCK_SIZE,
                id: volume.id,
                serial: format!("{:016x}", volume.id),
                max_blocks: MAX_TRANSFER_BYTES / BLOCK_SIZE,
                read_only: false,
            },
            extent_blocks: spec.extent_blocks,
            placed: store.places.get(&volume.id).cloned().unwrap_or_default(),
        })
        .collect()
}

/// Time for which an attempt of a failed request may still start at a node, plus the time for which
/// its ordering key then stays in use.
fn late_write_time(settings: &Settings) -> Duration {
    settings.longest_deadline() + settings.rules.key_cool_down
}

fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    clock::micros(since_epoch.unwrap_or_default())
}

/// Returns the source of CHAP challenges. It panics without system randomness: a predictable
/// challenge would not authenticate the initiator.
fn challenges() -> ChallengeSource {
    Box::new(|| {
        let mut bytes = [0; CHALLENGE_BYTES];
        OsRng
            .try_fill_bytes(&mut bytes)
            .expect("the system's random number generator is available");
        bytes
    })
}
