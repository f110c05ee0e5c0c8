//! Whether a change may land: what it does to the promises that were made.
//!
//! Called as `land` with the catalog as changes would leave it; the answer says what speaks against them, and
//! who asked decides: either they stay, or the catalog takes them back and `undo` is called. It keeps the site
//! that the catalog describes in a [`IncrementalFlow`] flow, wanted drains taken out of it. Against a change speaks
//! that reserves which could be met cannot be met any more, or more of them cannot; it is warned of if they
//! could not with any one node or any one zone out, where they could before. What was already broken is no
//! reason against a change that does not make it worse: or nobody could mend a site step by step. Where no
//! node's capacity has been said, nothing can be judged, and the answer says so.
//!
//! Against a drain speaks, beside that, whatever else its zone is without: another drain, a node that is
//! cold, does not answer as it should or is gone (`unavailable` says so). A zone is what fails as one, and data is
//! laid out so that it may lose one node and not two; and two clerks who each see one drain must not together
//! make it two. A drain that only waits for its turn is judged by reserves alone, as if its turn had come.
//!
//! Losses are looked at one by one, those first that share nodes with what is changed; a look is cut off
//! after a number of steps, and the answer says how many losses were not looked at. Without input or output.
//! Memory: the flow, and one figure for each node and zone.

use crate::changes::{self, Catalog, Change, Drain, Name, Stage};
use crate::incremental_flow::{IncrementalFlow, Shortfall};
use crate::planner::{check, Node, Out, Site, Volume, PARTS};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Volumes that are named; of more the number is told.
const NAMED: usize = 8;

/// What speaks against a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Reserves that cannot be met, units a second, and the volumes that give way, the lightest first.
    Short { by: f64, volumes: Vec<(u64, f64)> },
    /// Reserves of data that lies only where nothing can serve it.
    OutOfReach { by: f64 },
    /// Reserves that could not be met with something out.
    Without {
        out: Out,
        zone: Option<Name>,
        by: f64,
    },
    /// What else the zone of a drained node is without.
    Coincides {
        node: u32,
        zone: Name,
        with: Vec<(u32, ExclusionReason)>,
    },
    /// Reserves that cannot be met while these nodes, of other zones, are gone as well.
    Meanwhile { gone: Vec<u32>, by: f64 },
    /// It is to be taken out, and what was sent to it may still be under way.
    NotEmpty { node: u32 },
}

/// How a node beside a drained one is not what it should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExclusionReason {
    Drains,
    Cold,
    Suspect,
    Removed,
}

impl fmt::Display for ExclusionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExclusionReason::Drains => "drains",
            ExclusionReason::Cold => "has just started and is cold",
            ExclusionReason::Suspect => "does not answer as it should",
            ExclusionReason::Removed => "is gone",
        })
    }
}

/// What a node's zone is without beside it.
///
/// ```
/// use grebecleat_plans::admission::{exclusion_reason, ExclusionReason::*};
/// let zone = |n: u32| if n < 10 { 'a' } else { 'b' };
/// let others = [(1, Drains), (2, Cold), (11, Removed), (3, Drains)];
/// assert_eq!(exclusion_reason(3, zone, others), [(1, Drains), (2, Cold)]);
/// ```
pub fn exclusion_reason<Z: PartialEq>(
    node: u32,
    zone: impl Fn(u32) -> Z,
    others: impl IntoIterator<Item = (u32, ExclusionReason)>,
) -> Vec<(u32, ExclusionReason)> {
    let own = zone(node);
    others
        .into_iter()
        .filter(|o| o.0 != node && zone(o.0) == own)
        .collect()
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Short { by, volumes } => {
                write!(
                    f,
                    "{by:.1} units a second of reserves cannot be met; what gives way:"
                )?;
                for (id, by) in volumes.iter().take(NAMED) {
                    write!(f, " volume {id} by {by:.1}")?;
                }
                match volumes.len().saturating_sub(NAMED) {
                    0 => Ok(()),
                    more => write!(f, " and {more} more"),
                }
            }
            Reason::OutOfReach { by } => {
                write!(f, "{by:.1} units a second of reserves lie out of reach")
            }
            Reason::Without { out, zone, by } => {
                let what = match (out, zone) {
                    (Out::Node(id), _) => format!("node {id}"),
                    (_, Some(zone)) => format!("zone {zone}"),
                    _ => "a part".into(),
                };
                write!(
                    f,
                    "with {what} out, {by:.1} units a second of reserves could not be met"
                )
            }
            Reason::Coincides { node, zone, with } => {
                write!(f, "node {node} must not drain while in zone {zone}")?;
                let each: Vec<String> = with
                    .iter()
                    .map(|(n, how)| format!("node {n} {how}"))
                    .collect();
                write!(f, " {}", each.join(" and "))
            }
            Reason::Meanwhile { gone, by } => {
                let gone: Vec<String> = gone.iter().map(u32::to_string).collect();
                let (s, are) = if gone.len() == 1 {
                    ("", "is")
                } else {
                    ("s", "are")
                };
                let gone = gone.join(", ");
                write!(f, "while node{s} {gone} {are} gone, {by:.1} units a second of reserves cannot be met")
            }
            Reason::NotEmpty { node } => {
                write!(
                    f,
                    "what was sent to node {node} may still be under way; it is empty when its drain says so"
                )
            }
        }
    }
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdmissionVerdict {
    /// Refused for these, unless it is forced.
    pub objections: Vec<Reason>,
    pub warnings: Vec<Reason>,
    /// Losses that were not looked at, since it would have taken too long.
    pub unseen: usize,
    /// No node's capacity is known.
    pub blind: bool,
}

/// What a site can lose, and what would then be missing.
#[derive(Debug, Clone, Default)]
struct Loss {
    nodes: BTreeSet<u32>,
    shortfall: Shortfall,
    /// The figure is of the present state.
    fresh: bool,
}

#[derive(Debug, Clone, Default)]
pub struct Admission {
    volumes_of_plan: IncrementalFlow,
    zones: Vec<Name>,
    /// Which nodes hold a shard.
    holders: BTreeMap<u32, BTreeSet<u32>>,
    reservations: BTreeMap<Name, f64>,
    known: bool,
    /// Nodes that get nothing new.
    drains: BTreeSet<u32>,
    stages: BTreeMap<u32, Stage>,
    unavailable: BTreeMap<u32, ExclusionReason>,
    losses: BTreeMap<Out, Loss>,
    /// Figures of losses before the last changes.
    was: BTreeMap<Out, Loss>,
}

impl Admission {
    /// `spread`: see [`Site`].
    pub fn open(catalog: &Catalog, spread: f64) -> Admission {
        let mut a = Admission {
            volumes_of_plan: IncrementalFlow::of(&Site {
                spread,
                ..Site::default()
            }),
            ..Admission::default()
        };
        let all: Vec<Change> = catalog.state().collect();
        a.apply(catalog, &all);
        a
    }

    /// The site as the catalog describes it, for whoever looks at it whole.
    pub fn site(&self, catalog: &Catalog) -> Site {
        let nodes = catalog.nodes().map(|(id, n)| self.node(id, n)).collect();
        let volumes = catalog
            .volumes()
            .map(|(id, v)| self.planned(catalog, id, v))
            .collect();
        Site {
            nodes,
            volumes,
            spread: self.volumes_of_plan.spread(),
        }
    }

    /// What hosts see of a node that keeps a drain beside it from going; None: it is as it should be.
    pub fn set_unavailable(&mut self, node: u32, how: Option<ExclusionReason>) {
        match how {
            Some(how) => _ = self.unavailable.insert(node, how),
            None => _ = self.unavailable.remove(&node),
        }
    }

    /// Nodes that somebody wants empty and whose turn has come.
    pub fn drains(&self) -> &BTreeSet<u32> {
        &self.drains
    }

    /// How many single losses there are to look at.
    pub fn losses(&self) -> usize {
        self.losses.len()
    }

    pub fn shortfall(&self) -> Shortfall {
        self.volumes_of_plan.shortfall()
    }

    /// What these changes do, which the catalog already has. `steps`: how many losses may be looked at.
    pub fn land(&mut self, after: &Catalog, changes: &[Change], steps: usize) -> AdmissionVerdict {
        let before = self.volumes_of_plan.shortfall();
        self.was = self.losses.clone();
        let mut last_changed = self.homes_of(after, changes);
        let drained = self.newly(changes, Drain::holds);
        let queued = self.newly(changes, |d| !d.holds());
        let gone: BTreeSet<u32> = self.elsewhere_gone(after, &drained);
        let with_gone = if gone.is_empty() {
            before
        } else {
            self.volumes_of_plan.without(&gone)
        };
        let taken_out = self.taken_out(changes);
        self.apply(after, changes);
        last_changed.extend(self.homes_of(after, changes));
        let mut o = AdmissionVerdict::default();
        for node in &drained {
            let others = self.drains.iter().map(|n| (*n, ExclusionReason::Drains));
            let unavailable = self
                .unavailable
                .iter()
                .filter(|u| !self.drains.contains(u.0))
                .map(|(n, how)| (*n, *how));
            let zone = |n: u32| after.node(n).map(|n| n.zone.clone());
            let with = exclusion_reason(*node, zone, others.chain(unavailable));
            if !with.is_empty() {
                let zone = zone(*node).unwrap_or_default();
                o.objections.push(Reason::Coincides {
                    node: *node,
                    zone,
                    with,
                });
            }
        }
        o.objections
            .extend(taken_out.into_iter().map(|node| Reason::NotEmpty { node }));
        if !self.known {
            o.blind = true;
            return o;
        }
        let slack = self.volumes_of_plan.slack();
        // A drain that waits for its turn is judged as if it had come.
        let (now, out) = match queued.is_empty() {
            true => (self.volumes_of_plan.shortfall(), self.drains.clone()),
            false => (
                self.volumes_of_plan.without(&queued),
                self.drains.union(&queued).copied().collect(),
            ),
        };
        if now.short > before.short + slack {
            let volumes = check(&self.site(after), &out).short;
            o.objections.push(Reason::Short {
                by: now.short,
                volumes,
            });
        }
        if now.out_of_reach > before.out_of_reach + slack {
            o.objections.push(Reason::OutOfReach {
                by: now.out_of_reach,
            });
        }
        if !gone.is_empty() && o.objections.is_empty() {
            let now = self.volumes_of_plan.without(&gone);
            if now.exceeds(&with_gone, slack) {
                let (gone, by) = (gone.into_iter().collect(), now.short + now.out_of_reach);
                o.objections.push(Reason::Meanwhile { gone, by });
            }
        }
        if !o.objections.is_empty() {
            return o;
        }
        let mut order: Vec<(bool, Out)> = self
            .losses
            .iter()
            .map(|(out, l)| (l.nodes.is_disjoint(&last_changed), *out))
            .collect();
        order.sort_unstable();
        o.unseen = order.len().saturating_sub(steps);
        for (_, out) in order.into_iter().take(steps) {
            let was = self
                .was
                .get(&out)
                .map_or(Shortfall::default(), |l| l.shortfall);
            let shortfall = self.look(out);
            if shortfall.exceeds(&was, slack) {
                let zone = if let Out::Zone(z) = out {
                    self.zones.get(z as usize).cloned()
                } else {
                    None
                };
                o.warnings.push(Reason::Without {
                    out,
                    zone,
                    by: shortfall.short,
                });
            }
        }
        o
    }

    /// Nodes that these changes drain, as it says, and that nobody drained before.
    fn newly(&self, changes: &[Change], how: impl Fn(&Drain) -> bool) -> BTreeSet<u32> {
        let drained = |c: &Change| match c {
            Change::Drain { node, to: Some(d) } if how(d) => Some(*node),
            _ => None,
        };
        let known = |n: &u32| self.stages.get(n).is_some_and(|s| *s != Stage::Queued);
        changes
            .iter()
            .filter_map(drained)
            .filter(|n| !known(n))
            .collect()
    }

    /// Nodes that are to be out and were never empty.
    fn taken_out(&self, changes: &[Change]) -> Vec<u32> {
        let out = |c: &Change| match c {
            Change::Drain { node, to: Some(d) } if d.stage == Stage::Removed => Some(*node),
            _ => None,
        };
        let going = |n: &u32| self.stages.get(n).is_none_or(|s| *s < Stage::Drained);
        changes.iter().filter_map(out).filter(going).collect()
    }

    /// Nodes that are gone in zones where nothing is drained now.
    fn elsewhere_gone(&self, catalog: &Catalog, drained: &BTreeSet<u32>) -> BTreeSet<u32> {
        let zone = |n: &u32| catalog.node(*n).map(|n| n.zone.clone());
        let zones: BTreeSet<Option<Name>> = drained.iter().map(zone).collect();
        let gone = self
            .unavailable
            .iter()
            .filter(|(n, how)| **how == ExclusionReason::Removed && !zones.contains(&zone(n)));
        let gone = gone.map(|(n, _)| *n).filter(|n| !self.drains.contains(n));
        if drained.is_empty() {
            return BTreeSet::new();
        }
        gone.collect()
    }

    /// The changes of the last [`Admission::land`] were taken back: the catalog is as it was before.
    pub fn undo(&mut self, catalog: &Catalog, changes: &[Change]) {
        self.apply(catalog, changes);
        self.losses = std::mem::take(&mut self.was);
    }

    /// Brings figures of losses up to the present state, so many at most; answers how many are left. Whoever
    /// has time calls it between changes.
    pub fn refresh(&mut self, steps: usize) -> usize {
        let stale: Vec<Out> = self
            .losses
            .iter()
            .filter(|(_, l)| !l.fresh)
            .map(|(out, _)| *out)
            .collect();
        stale.iter().take(steps).for_each(|out| _ = self.look(*out));
        stale.len().saturating_sub(steps)
    }

    /// What would be missing for a loss, beside data that is out of reach with it whatever was promised.
    fn look(&mut self, out: Out) -> Shortfall {
        let short = self.volumes_of_plan.without(&self.losses[&out].nodes).short;
        let l = self.losses.get_mut(&out).expect("listed");
        (l.shortfall, l.fresh) = (
            Shortfall {
                short,
                out_of_reach: 0.0,
            },
            true,
        );
        l.shortfall
    }

    fn list_losses(&mut self) {
        let up = || {
            self.volumes_of_plan
                .nodes()
                .filter(|n| !self.drains.contains(&n.id) && n.capacity > 0.0)
        };
        let mut nodes: BTreeMap<Out, BTreeSet<u32>> = BTreeMap::new();
        for n in up() {
            nodes.entry(Out::Node(n.id)).or_default().insert(n.id);
            nodes.entry(Out::Zone(n.zone)).or_default().insert(n.id);
        }
        // A zone that is all there is leaves nothing to serve with: no promise is meant to hold without it.
        let all = up().count();
        nodes.retain(|out, l| !matches!(out, Out::Zone(_)) || l.len() < all);
        let old = std::mem::take(&mut self.losses);
        let loss = |(out, nodes)| {
            let shortfall = old.get(&out).map_or(Shortfall::default(), |l| l.shortfall);
            (
                out,
                Loss {
                    nodes,
                    shortfall,
                    fresh: false,
                },
            )
        };
        self.losses = nodes.into_iter().map(loss).collect();
    }

    fn zone(&mut self, zone: &Name) -> u32 {
        let at = self
            .zones
            .iter()
            .position(|z| z == zone)
            .unwrap_or_else(|| {
                self.zones.push(zone.clone());
                self.zones.len() - 1
            });
        at as u32
    }

    fn node(&self, id: u32, n: &changes::Node) -> Node {
        let zone = self
            .zones
            .iter()
            .position(|z| *z == n.zone)
            .unwrap_or(self.zones.len());
        Node {
            id,
            zone: zone as u32,
            capacity: n.capacity,
        }
    }

    /// A volume as the planner sees it: spread over its shards alike.
    fn planned(&self, catalog: &Catalog, id: u64, v: &changes::Volume) -> Volume {
        let plan = catalog.plan(&v.plan);
        let quota = 1.0 / v.shards.len().max(1) as f64;
        let holder = |shard: &u32| self.holders.get(shard).and_then(|h| h.first().copied());
        let mut homes: Vec<(u32, f64)> = v
            .shards
            .iter()
            .filter_map(|c| Some((holder(c)?, quota)))
            .collect();
        homes.sort_unstable_by_key(|h| h.0);
        homes.dedup_by_key(|h| h.0);
        let (reserve, weight) = plan.map_or((0.0, 0.0), |p| (p.reservation, p.weight));
        Volume {
            id,
            reserve,
            weight,
            homes,
        }
    }

    /// Brings the site to what the catalog says of what these changes touch.
    fn apply(&mut self, catalog: &Catalog, changes: &[Change]) {
        let mut volumes: BTreeSet<u64> = BTreeSet::new();
        let mut moved = false;
        for change in changes {
            match change {
                Change::Node { id, .. } => {
                    let old: Vec<u32> = self
                        .holders
                        .iter()
                        .filter(|h| h.1.contains(id))
                        .map(|h| *h.0)
                        .collect();
                    let new = catalog.node(*id).map(|n| n.shard);
                    if old != new.into_iter().collect::<Vec<_>>() {
                        moved = true;
                        old.iter().for_each(|c| {
                            _ = self.holders.get_mut(c).is_some_and(|h| h.remove(id))
                        });
                        self.holders.retain(|_, h| !h.is_empty());
                        new.into_iter()
                            .for_each(|c| _ = self.holders.entry(c).or_default().insert(*id));
                    }
                    let node = match catalog.node(*id) {
                        Some(n) => {
                            self.zone(&n.zone);
                            self.known |= n.capacity > 0.0;
                            self.node(*id, n)
                        }
                        None => Node {
                            id: *id,
                            zone: 0,
                            capacity: 0.0,
                        },
                    };
                    self.volumes_of_plan.set_node(node);
                }
                Change::Drain { node, .. } => {
                    let drain = catalog.drain(*node);
                    match drain {
                        Some(d) => _ = self.stages.insert(*node, d.stage),
                        None => _ = self.stages.remove(node),
                    }
                    let holds = drain.is_some_and(Drain::holds);
                    match holds {
                        true => _ = self.drains.insert(*node),
                        false => _ = self.drains.remove(node),
                    }
                    self.volumes_of_plan.set_up(*node, !holds);
                }
                Change::Volume { id, .. } => _ = volumes.insert(*id),
                Change::Plan { name, .. } => {
                    let is = catalog.plan(name).map_or(0.0, |p| p.reservation);
                    let was = self.reservations.insert(name.clone(), is);
                    if was.is_none_or(|was| (was - is).abs() * PARTS >= 0.5) {
                        volumes.extend(catalog.volumes_of_plan(name));
                    }
                }
                Change::Target { .. } | Change::Scheduled { .. } => {}
            }
        }
        if moved {
            volumes.extend(catalog.volumes().map(|(id, _)| id));
        }
        let planned = volumes
            .into_iter()
            .map(|id| (id, catalog.volume(id).map(|v| self.planned(catalog, id, v))));
        let planned: Vec<(u64, Option<Volume>)> = planned.collect();
        self.volumes_of_plan.set_volumes(planned);
        self.list_losses();
    }

    /// Nodes that hold what the changes touch.
    fn homes_of(&self, catalog: &Catalog, changes: &[Change]) -> BTreeSet<u32> {
        let mut homes = BTreeSet::new();
        for change in changes {
            match change {
                Change::Volume { id, .. } => homes.extend(self.volumes_of_plan.homes_of(*id)),
                Change::Plan { name, .. } => {
                    homes.extend(
                        catalog
                            .volumes_of_plan(name)
                            .flat_map(|id| self.volumes_of_plan.homes_of(id)),
                    );
                }
                Change::Node { id, .. } | Change::Drain { node: id, .. } => _ = homes.insert(*id),
                Change::Target { .. } | Change::Scheduled { .. } => {}
            }
        }
        homes
    }
}
