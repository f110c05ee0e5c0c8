//! Builders for changes and catalogs, shared by the test programs. No program uses all of them, hence
//! `allow(dead_code)`.
#![allow(dead_code)]

use grebecleat_catalog::catalog::*;
use grebecleat_catalog::change::*;
use grebecleat_catalog::errors::*;
use grebecleat_catalog::records::*;
use std::time::Duration;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn plan(name: &str, reservation: f64) -> Change {
    let to = Some(Plan {
        rate: 100.0,
        reservation,
        weight: 1.0,
        ..Plan::default()
    });
    Change::Plan {
        name: name.into(),
        to,
    }
}

pub fn limited(name: &str, limit: f64, reservation: f64, burst: f64) -> Change {
    let to = Some(Plan {
        limit,
        reservation,
        burst,
        slack: limit,
        ..Plan::default()
    });
    Change::Plan {
        name: name.into(),
        to,
    }
}

pub fn no_plan(name: &str) -> Change {
    Change::Plan {
        name: name.into(),
        to: None,
    }
}

pub fn volume(id: u64, plan: &str) -> Change {
    volume_on_hosts(id, plan, &["h"])
}

pub fn volume_on_hosts(id: u64, plan: &str, hosts: &[&str]) -> Change {
    volume_on(id, plan, hosts, &[])
}

pub fn volume_on(id: u64, plan: &str, hosts: &[&str], shards: &[u32]) -> Change {
    let to = Some(Volume {
        plan: plan.into(),
        hosts: hosts.iter().map(|host| Name::from(*host)).collect(),
        shards: shards.into(),
        blocks: 8,
    });
    Change::Volume { id, to }
}

/// A node that holds the shard whose number is the node's own.
pub fn node_in(id: u32, zone: &str, capacity: f64) -> Change {
    let to = Some(Node {
        zone: zone.into(),
        shard: id,
        capacity,
        ..Node::default()
    });
    Change::Node { id, to }
}

pub fn node(id: u32, shard: u32) -> Change {
    Change::Node {
        id,
        to: Some(Node {
            zone: "a".into(),
            shard,
            capacity: 100.0,
            ..Node::default()
        }),
    }
}

pub fn drain(node: u32) -> Change {
    stage(node, Stage::Draining)
}

pub fn stage(node: u32, stage: Stage) -> Change {
    let to = Some(Drain {
        stage,
        ..Drain::default()
    });
    Change::Drain { node, to }
}

pub fn target(name: &str, volumes: &[u64]) -> Change {
    Change::Target {
        name: name.into(),
        to: Some(volumes.into()),
    }
}

pub fn context<'a>(author: &'a str, reason: &'a str) -> ChangeContext<'a> {
    ChangeContext {
        author,
        reason,
        ..ChangeContext::default()
    }
}

pub fn empty_catalog(max_audit_log: usize) -> Catalog {
    let hosts = ["h", "i", "j"].map(Name::from).into();
    Catalog::new(
        Deployment {
            hosts,
            max_dispatch_delay: Duration::from_millis(250),
        },
        max_audit_log,
    )
}

pub fn removal(id: u64) -> Change {
    Change::Volume { id, to: None }
}

pub fn commit(catalog: &mut Catalog, changes: Vec<Change>) -> Result<Version, ChangeError> {
    let revision = catalog.propose(catalog.version(), context("operator", "test"), changes)?;
    catalog
        .apply(revision)
        .expect("the revision has the next version");
    Ok(catalog.version())
}

pub fn sample_catalog() -> Catalog {
    let mut catalog = empty_catalog(100);
    commit(
        &mut catalog,
        vec![
            plan("basic", 10.0),
            plan("priority", 50.0),
            volume(1, "basic"),
            volume(2, "basic"),
        ],
    )
    .unwrap();
    catalog
}
