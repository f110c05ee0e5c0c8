//! iSCSI portals and targets.

use super::topology::address;
use crate::fields::Fields;
use std::net::SocketAddr;

/// An iSCSI target, as `target()` declares it. Its volumes are its logical units, in order.
#[derive(Debug, Clone)]
pub struct TargetSpec {
    /// The target's iSCSI name.
    pub name: String,
    /// Indices of its volumes among the volumes.
    pub volumes: Vec<usize>,
    /// Names of the initiators that may log in; `None` if all may.
    pub initiators: Option<Vec<String>>,
    /// Name and secret that an initiator must prove to know (CHAP).
    pub chap: Option<(String, String)>,
    /// Name and secret that the target proves to know (mutual CHAP).
    pub mutual: Option<(String, String)>,
}

/// An iSCSI portal, as `portal()` declares it.
#[derive(Debug, Clone)]
pub struct PortalSpec {
    /// The address on which the portal listens.
    pub listen: SocketAddr,
    /// Index of its host among the hosts.
    pub host: usize,
    /// The portal group tag.
    pub group: u16,
    /// Index of the traffic class of reads.
    pub read: usize,
    /// Index of the traffic class of writes.
    pub write: usize,
    /// Index of the traffic class of large reads.
    pub large_read: usize,
    /// Least number of bytes of a large read.
    pub large_from: u32,
    /// Bytes of one unit.
    pub unit_bytes: u32,
    /// Number of 512-byte blocks in one extent.
    pub extent_blocks: u32,
    /// The command window: the initial and the maximum number of commands of one volume, and the
    /// number of commands of one session.
    pub commands: (f64, f64, u32),
}

/// The least length of a CHAP secret, in bytes (RFC 7143, 9.2.1).
const MIN_SECRET_BYTES: usize = 12;

/// Reads a `portal()`.
pub(super) fn portal(fields: &mut Fields, hosts: &[&str], traffic_classes: &[&str]) -> PortalSpec {
    let listen = address(fields, "listen");
    if listen.is_none() && fields.raw("listen").is_none() {
        fields.fault(
            "listen",
            "missing; expected an address and port such as \"127.0.0.1:3260\"".into(),
        );
    }
    PortalSpec {
        listen: listen.unwrap_or(([127, 0, 0, 1], 0).into()),
        host: fields.one_of("host", Some(0), hosts),
        group: fields.integer("group", Some(1), (1, 65_535)) as u16,
        read: fields.one_of("read", None, traffic_classes),
        write: fields.one_of("write", None, traffic_classes),
        large_read: fields.one_of("large_read", None, traffic_classes),
        large_from: fields.integer("large_from", Some(64 << 10), (512, 1 << 24)) as u32,
        unit_bytes: fields.integer("unit_bytes", Some(16 << 10), (512, 1 << 24)) as u32,
        extent_blocks: fields.integer("extent_blocks", Some(128), (1, 1 << 16)) as u32,
        commands: (
            fields.number("first_commands", Some(64.0), (1.0, 1e6)),
            fields.number("most_commands", Some(512.0), (1.0, 1e6)),
            fields.integer("commands_each", Some(128), (1, 65_535)) as u32,
        ),
    }
}

/// Reads a `target()`. `volumes`: the numbers of all volumes.
pub(super) fn target(fields: &mut Fields, volumes: &[u64]) -> TargetSpec {
    let ids = fields.numbers("volumes", u64::MAX);
    let found: Vec<Option<usize>> = ids
        .iter()
        .map(|id| volumes.iter().position(|v| v == id))
        .collect();
    if ids.is_empty() || found.contains(&None) {
        fields.fault(
            "volumes",
            "expected a list of ids of volumes, at least one".into(),
        );
    }
    let mut secret = |name: &'static str, field: &'static str| {
        let name = fields.optional_text(name)?;
        let secret = fields.text(field, None);
        if secret.len() < MIN_SECRET_BYTES {
            fields.fault(
                field,
                format!(
                    "expected at least {MIN_SECRET_BYTES} bytes, found {}",
                    secret.len()
                ),
            );
        }
        Some((name, secret))
    };
    let chap = secret("chap_name", "chap_secret");
    let mutual = secret("mutual_name", "mutual_secret");
    // With one secret in both directions, an attacker could obtain an initiator's proof from the
    // target (RFC 7143, 9.2.1).
    if chap
        .as_ref()
        .zip(mutual.as_ref())
        .is_some_and(|(a, b)| a.1 == b.1)
    {
        fields.fault("mutual_secret", "expected another than chap_secret".into());
    }
    let initiators = fields.raw("initiators").map(|v| {
        let all = v
            .as_array()
            .map(|a| a.iter().map(|i| i.as_str().map(str::to_string)).collect());
        all.flatten().unwrap_or_else(|| {
            fields.fault("initiators", format!("expected a list of names, found {v}"));
            Vec::new()
        })
    });
    TargetSpec {
        name: fields.text("name", None),
        volumes: found.into_iter().flatten().collect(),
        initiators,
        chap,
        mutual,
    }
}
