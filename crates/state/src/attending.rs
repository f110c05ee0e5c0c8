//! What an operator's program that attends is told: everything at first, then what has changed.
//!
//! Called by the state service's loop: `note` with what has happened, `tell` with what is so now, which
//! answers the frames for one that attends. Each is told the difference to what it was told before, so one
//! that reads slowly is told less often and nothing twice. Memory: for each that attends what it was last
//! told of nodes, and the last [`MOST_NOTES`] events.

use crate::codec::{change_pb, entry_pb};
use grebecleat_membership::drains::{Membership, Phase, Shown, ShownDrain};
use grebecleat_membership::life::Life;
use grebecleat_plans::changes::{Entry, Version};
use grebecleat_plans::feed::HostNo;
use grebecleat_plans::source::Source;
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Who attends is told no more often than this.
pub const SPACING: Duration = Duration::from_millis(100);
const MAX_NOTES: usize = 1000;

/// Events of nodes, the newest last, each by its number.
#[derive(Default)]
pub struct Notes {
    first: u64,
    notes: VecDeque<pb::Happened>,
}

impl Notes {
    pub fn add(&mut self, at: Duration, node: Option<u32>, text: String) {
        self.notes.push_back(pb::Happened {
            at_us: micros(at),
            node,
            text,
        });
        if self.notes.len() > MAX_NOTES {
            self.notes.pop_front();
            self.first += 1;
        }
    }

    fn end(&self) -> u64 {
        self.first + self.notes.len() as u64
    }

    fn since(&self, number: u64) -> Vec<pb::Happened> {
        let skip = number.saturating_sub(self.first) as usize;
        self.notes.iter().skip(skip).cloned().collect()
    }
}

/// One that attends.
pub struct Attending {
    call: u64,
    version: Option<Version>,
    settled: Version,
    nodes: BTreeMap<u32, pb::NodeShown>,
    head: Option<pb::Attended>,
    notes: u64,
    told: Option<Instant>,
}

/// What all that attend are told of, beside the source and the members.
pub struct Present<'a> {
    pub source: &'a Source,
    pub members: &'a Membership,
    pub notes: &'a Notes,
    pub era: u64,
    pub trouble: &'a str,
    pub hosts: &'a [pb::HostStatus],
}

impl Attending {
    pub fn new(call: u64) -> Self {
        let (nodes, head, settled) = (BTreeMap::new(), None, Version(0));
        Attending {
            call,
            version: None,
            settled,
            nodes,
            head,
            notes: 0,
            told: None,
        }
    }

    /// When it may be told next.
    pub fn due(&self) -> Option<Instant> {
        self.told.map(|t| t + SPACING)
    }

    /// What is new to it, in `give`; nothing if nothing is.
    pub fn tell(&mut self, p: &Present, now: Instant, mut give: impl FnMut(pb::Attended)) {
        if self.due().is_some_and(|at| now < at) {
            return;
        }
        let (version, settled) = (p.source.kept(), p.source.settled());
        let missing = p.source.admission().missing();
        let mut head = pb::Attended {
            call: self.call,
            version: version.0,
            settled: settled.0,
            era: p.era,
            hosts: p.hosts.to_vec(),
            short: missing.short,
            out_of_reach: missing.out_of_reach,
            behind: p.source.behind().map(|v| v.0),
            trouble: p.trouble.to_string(),
            ..pb::Attended::default()
        };
        let names = |h: &HostNo| {
            p.hosts
                .get(h.0 as usize)
                .map(|h| h.name.clone())
                .unwrap_or_default()
        };
        let mut changed = Vec::new();
        for shown in p.members.shown(missing.short + missing.out_of_reach) {
            let node = node_pb(&shown, &names);
            if self
                .nodes
                .get(&shown.node)
                .is_none_or(|told| !alike(told, &node))
            {
                self.nodes.insert(shown.node, node.clone());
                changed.push(node);
            }
        }
        let happened = p.notes.since(self.notes);
        let entries: Option<Vec<&Entry>> = self
            .version
            .and_then(|v| p.source.catalog().since(v))
            .map(Iterator::collect);
        let news = self.head.as_ref() != Some(&head) || !changed.is_empty() || !happened.is_empty();
        if !news && self.version == Some(version) && self.settled == settled {
            return;
        }
        (self.head, self.notes, self.told) = (Some(head.clone()), p.notes.end(), Some(now));
        (self.settled, head.nodes, head.happened) = (settled, changed, happened);
        match entries {
            Some(entries) => {
                head.entries = entries
                    .into_iter()
                    .filter(|e| e.version <= version)
                    .map(entry_pb)
                    .collect();
                give(head);
            }
            // At first, and where the trail no longer reaches back so far.
            None => {
                let state = p.source.catalog().state_at(version).map(|c| change_pb(&c));
                let first = pb::Attended {
                    whole: true,
                    ..head.clone()
                };
                let mut first = Some(first);
                crate::serve::in_parts(state, |state, more| {
                    let part = first.take().unwrap_or(pb::Attended {
                        call: self.call,
                        ..Default::default()
                    });
                    give(pb::Attended {
                        state,
                        more,
                        ..part
                    });
                });
            }
        }
        self.version = Some(version);
    }
}

/// Whether nothing but spans that run by themselves has changed.
fn alike(told: &pb::NodeShown, now: &pb::NodeShown) -> bool {
    let still = |n: &pb::NodeShown| {
        let drain = n.drain.clone().map(|d| pb::DrainShown {
            left_us: None,
            unsure_us: 0,
            ..d
        });
        pb::NodeShown {
            up_us: None,
            drain,
            ..n.clone()
        }
    };
    still(told) == still(now)
}

pub fn life_pb(life: Life) -> pb::LifeKind {
    match life {
        Life::Unknown => pb::LifeKind::Unknown,
        Life::Warming => pb::LifeKind::Warming,
        Life::Ready => pb::LifeKind::IsReady,
        Life::Draining => pb::LifeKind::IsDraining,
        Life::Empty => pb::LifeKind::IsEmpty,
        Life::Out => pb::LifeKind::IsOut,
        Life::Suspect => pb::LifeKind::Suspect,
        Life::Back => pb::LifeKind::Back,
    }
}

pub fn life_of(life: pb::LifeKind) -> Life {
    let all = Life::NAMES.iter().map(|l| l.0);
    all.into_iter()
        .find(|l| life_pb(*l) == life)
        .unwrap_or_default()
}

fn node_pb(n: &Shown, names: &dyn Fn(&HostNo) -> String) -> pb::NodeShown {
    pb::NodeShown {
        node: n.node,
        name: n.facts.name.to_string(),
        zone: n.facts.zone.to_string(),
        shard: n.facts.shard,
        life: life_pb(n.life).into(),
        by: n.wins.to_string(),
        up_us: n.up.map(micros),
        start: n.reading.start,
        drain: n.drain.as_ref().map(|d| drain_pb(d, names)),
    }
}

fn drain_pb(d: &ShownDrain, names: &dyn Fn(&HostNo) -> String) -> pb::DrainShown {
    let mut shown = pb::DrainShown {
        who: d.who.to_string(),
        asked_us: micros(d.asked),
        since_us: micros(d.since),
        left_us: d.left.map(micros),
        extents: d.extents,
        ..pb::DrainShown::default()
    };
    let phase = match &d.phase {
        Phase::Waits { why } => {
            shown.against = vec![why.clone()];
            pb::DrainPhase::Waits
        }
        Phase::Telling { hosts } => {
            shown.untold = hosts.iter().map(|(h, _)| names(h)).collect();
            shown.lost = hosts
                .iter()
                .filter(|(_, up)| !up)
                .map(|(h, _)| names(h))
                .collect();
            pb::DrainPhase::Telling
        }
        Phase::Quiescing {
            attempts,
            most,
            unsure,
        } => {
            (shown.attempts, shown.most, shown.unsure_us) = (*attempts, *most, micros(*unsure));
            pb::DrainPhase::Quiescing
        }
        Phase::Empty { against } => {
            shown.against = against.clone();
            pb::DrainPhase::NowEmpty
        }
        Phase::Out => pb::DrainPhase::TakenOut,
    };
    shown.phase = phase.into();
    shown
}
