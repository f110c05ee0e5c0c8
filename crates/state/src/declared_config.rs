//! What a settings file declares, as changes that would make it.

use grebecleat_plans::changes::{Change, Deployment, Name, Node, Plan, Volume};
use grebecleat_settings::Settings;

/// What no change touches: hosts, and how long an attempt may take to cross.
pub fn deployment(s: &Settings) -> Deployment {
    let hosts = s
        .hosts
        .iter()
        .map(|h| Name::from(h.name.as_str()))
        .collect();
    Deployment {
        hosts,
        max_dispatch_delay: s.bounds.max_dispatch_delay,
    }
}

/// Plans, nodes, volumes and targets of a settings file, in an order in which each rests on what came before.
pub fn declared(s: &Settings) -> Vec<Change> {
    let plans = s.plans.iter().map(|p| {
        let f = &p.facts;
        let to = Plan {
            rate: f.base_rate,
            reservation: f.reservation,
            limit: f.limit,
            burst: f.limit_burst,
            slack: f.limit_slack,
            weight: f.weight,
            price: f.price,
        };
        Change::Plan {
            name: p.name.as_str().into(),
            to: Some(to),
        }
    });
    let nodes = s.nodes.iter().map(|n| {
        let (name, zone) = (n.name.as_str().into(), s.zones[n.zone].as_str().into());
        let to = Node {
            name,
            zone,
            shard: n.shard,
            capacity: n.capacity,
        };
        Change::Node {
            id: n.id,
            to: Some(to),
        }
    });
    let volumes = s.volumes.iter().map(|v| {
        let to = Volume {
            plan: s.plans[v.plan].name.as_str().into(),
            hosts: v
                .hosts
                .iter()
                .map(|h| Name::from(s.hosts[*h].name.as_str()))
                .collect(),
            shards: v.shards.clone().into(),
            blocks: v.blocks,
        };
        Change::Volume {
            id: v.id,
            to: Some(to),
        }
    });
    let targets = s.targets.iter().map(|t| {
        let volumes = t.volumes.iter().map(|v| s.volumes[*v].id).collect();
        Change::Target {
            name: t.name.as_str().into(),
            to: Some(volumes),
        }
    });
    plans.chain(nodes).chain(volumes).chain(targets).collect()
}
