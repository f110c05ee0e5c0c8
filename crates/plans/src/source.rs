//! The state service's decisions: which changes land, what is kept before it is told, and who is told what.
//!
//! Called as `step(now, wall, events)` for every batch of what happened, which answers what to keep and what
//! to say; [`Source::wake_at`] says when it must be called again. It holds the catalog, what speaks against a
//! change ([`crate::admission`]) and who follows what ([`crate::feed`]). Three things are wanted at any time,
//! and `bring` brings them about: that what was decided is kept, that who asked is answered once what it
//! rests on is kept, and that what was to land by now has landed.
//!
//! - A change is judged against the catalog with all that is on its way to the disk, so that many are kept at
//!   once; nobody is told of one before it is kept, and if it cannot be kept, it and all after it never were.
//! - What is settled, and that a host was ever heard of, are kept before anyone is told what rests on them.
//! - A store that was put back from a snapshot begins a new era, and hosts say in which era they followed
//!   what they have: versions alone would be taken for the same history once as many new ones have landed. Of
//!   a host that has followed what is not known here nothing is believed, and nobody is granted anything,
//!   until an operator has said that the state here prevails.
//! - A host that has all is answered only when there is something new, or a third of its lease is over: it
//!   learns by answers and not by asking again and again.
//!
//! Without input or output. Memory: the catalog, the flow, one call for each host, and at most
//! [`MOST_WAITING`] changes on their way to the disk.

use crate::admission::{Admission, Beside, Opinion, Reason};
use crate::changes::{Asks, Catalog, Change, Entry, Name, Refused, Subject, Timed, Version};
use crate::feed::{Answer, HostNo, Leases, Lowerings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Changes that are decided and not yet kept; more are turned away until some are.
pub const MAX_WAITING: usize = 4096;
/// Losses that are looked at for one change: some 36 ms at ten thousand volumes. Several at once share a
/// quarter of it: under a flood each is judged by what it does to all that is there, and few by any loss.
const LOSSES: usize = 256;
/// Losses whose figures are brought up to date in a step without changes, and how long until the next.
const IDLE_LOSSES: usize = 16;
const IDLE: Duration = Duration::from_millis(20);
/// A timed change that could not be kept is tried again after this.
const AGAIN: Duration = Duration::from_secs(1);

/// One unbroken history of the catalog.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

/// Whoever waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    pub who: String,
    pub why: String,
    pub looked_at: Version,
    pub changes: Vec<Change>,
    /// To land then, by the wall clock; None: now.
    pub at: Option<Duration>,
    /// Whatever speaks against it.
    pub force: bool,
    /// Nothing is to land: what would come of it is only told.
    pub only_look: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A host wants what it has not: entries after `has`, and what is settled beyond `settled`.
    Asked {
        call: Call,
        host: HostNo,
        era: Era,
        has: Version,
        settled: Version,
        /// As in [`Event::Confirmed`].
        sure: Version,
    },
    /// A host says that nothing of an older version crosses from it any more.
    Confirmed {
        host: HostNo,
        era: Era,
        has: Version,
    },
    Proposed {
        call: Call,
        proposal: Proposal,
    },
    /// Put back what an entry changed.
    Undo {
        call: Call,
        who: String,
        why: String,
        entry: Version,
        force: bool,
    },
    /// Somebody answers for it that this host sends nothing.
    Gone {
        call: Call,
        host: HostNo,
        who: String,
    },
    /// The state here counts, though hosts have followed a newer one.
    Prevail {
        call: Call,
        who: String,
        why: String,
    },
    /// The caller is not there any more.
    Hung {
        call: Call,
    },
    /// What hosts see of a node: see [`Admission::set_unfit`].
    Unfit {
        node: u32,
        how: Option<Beside>,
    },
    /// Everything up to that number is on the disk.
    Kept {
        upto: u64,
    },
    /// What had that number is not, and nothing that was sent after it and rests on it ever will be.
    NotKept {
        number: u64,
        why: String,
    },
}

/// What is to be on the disk, all or nothing and in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Keep {
    Entry(Entry),
    Settled(Version),
    Has(HostNo, Version),
    /// The state as it is, under a version further on: from there on it prevails over all others.
    Prevails(Entry),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Number and what; several may be kept at once.
    Keep {
        number: u64,
        what: Keep,
    },
    /// To a host: all entries after `from` and up to `to`; where the host does not have `from`, the whole
    /// state as it was then before them.
    Grant {
        call: Call,
        from: Version,
        to: Version,
        whole: bool,
        settled: Version,
        lease: Duration,
    },
    /// To a host: it has more than there is here.
    Behind {
        call: Call,
        has: Version,
    },
    /// To an operator.
    Landed {
        call: Call,
        version: Version,
        opinion: Opinion,
    },
    Refused {
        call: Call,
        why: String,
    },
    /// To one who only looked.
    Would {
        call: Call,
        opinion: Opinion,
    },
    /// Hosts on which something waits, for the log.
    Note {
        text: String,
    },
}

/// What the service was when it last was.
#[derive(Debug, Clone)]
pub struct Start {
    pub catalog: Catalog,
    pub settled: Version,
    /// What hosts had said to have; one that is absent was never heard of.
    pub has: BTreeMap<HostNo, Version>,
    /// By their numbers.
    pub hosts: Vec<Name>,
    pub era: Era,
    /// Eras before, and up to which version each is part of this history.
    pub eras: Vec<(Era, Version)>,
    /// The last version at which the state here prevailed over all others.
    pub prevailed: Version,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    call: Call,
    has: Version,
    settled: Version,
    since: Duration,
    /// Its history is another, up to there: it is told the whole once that lies further on.
    other: Option<Version>,
}

#[derive(Debug)]
struct Landing {
    number: u64,
    version: Version,
    call: Option<Call>,
    opinion: Opinion,
    /// Which version prevailed before it.
    prevailed: Version,
}

#[derive(Debug)]
pub struct Source {
    catalog: Catalog,
    admission: Admission,
    leases: Leases,
    lowerings: Lowerings,
    hosts: Vec<Name>,
    era: Era,
    eras: Vec<(Era, Version)>,
    prevailed: Version,
    now: Duration,
    wall: Duration,
    /// Entries decided and not yet kept, oldest first.
    landing: VecDeque<Landing>,
    /// The newest version that is kept.
    kept: Version,
    settled_kept: Version,
    /// On its way to the disk.
    settled_sent: Option<(u64, Version)>,
    known: BTreeMap<HostNo, Version>,
    known_sent: BTreeMap<u64, (HostNo, Version)>,
    waiting: BTreeMap<HostNo, Waiting>,
    next: u64,
    /// Up to that number what was sent to the disk counts for nothing any more.
    void: u64,
    next_timed: u64,
    not_before: Duration,
    /// Losses whose figures are of an older state, and how many may still be looked at in this step.
    stale: usize,
    losses: usize,
    out: Vec<Action>,
}

impl Source {
    /// `spread`: see [`crate::planner::Site`].
    pub fn new(
        start: Start,
        lease: Duration,
        margin: Duration,
        spread: f64,
        now: Duration,
    ) -> Self {
        let Start {
            mut catalog,
            settled,
            has,
            hosts,
            era,
            eras,
            prevailed,
        } = start;
        catalog.need(settled);
        let each = (0..hosts.len() as u32).map(|h| (HostNo(h), has.get(&HostNo(h)).copied()));
        let leases = Leases::new(lease, margin, now, settled, each);
        let first = catalog.trail().next().map_or(catalog.version(), |e| e.from);
        let mut lowerings = Lowerings::new(first);
        catalog
            .trail()
            .for_each(|e| lowerings.add(e.version, e.lowers));
        let admission = Admission::open(&catalog, spread);
        let next_timed = catalog.timed().map(|(id, _)| id + 1).max().unwrap_or(1);
        Source {
            prevailed,
            stale: 0,
            losses: 0,
            kept: catalog.version(),
            settled_kept: settled,
            settled_sent: None,
            known: has,
            known_sent: BTreeMap::new(),
            waiting: BTreeMap::new(),
            landing: VecDeque::new(),
            not_before: Duration::ZERO,
            wall: Duration::ZERO,
            next: 0,
            void: 0,
            out: Vec::new(),
            catalog,
            admission,
            leases,
            lowerings,
            hosts,
            era,
            eras,
            now,
            next_timed,
        }
    }

    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The newest version that may be shown: what is not kept may never have been.
    pub fn kept(&self) -> Version {
        self.kept
    }

    pub fn settled(&self) -> Version {
        self.settled_kept
    }

    /// What some host has followed and nobody here knows of, until an operator has said what counts.
    pub fn behind(&self) -> Option<Version> {
        self.leases.behind()
    }

    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Hosts on which that version waits, and whether nothing but their own word, or an operator's, can end
    /// that.
    pub fn waits_for(&self, version: Version) -> Vec<(Name, bool)> {
        let waits = self.leases.waits_for(self.now, version, &self.lowerings);
        waits
            .into_iter()
            .map(|(h, silent)| (self.hosts[h.0 as usize].clone(), silent))
            .collect()
    }

    /// What each host has said to have.
    pub fn follows(&self) -> impl Iterator<Item = (&Name, Option<Version>)> {
        self.hosts
            .iter()
            .enumerate()
            .map(|(i, name)| (name, self.leases.has(HostNo(i as u32))))
    }

    pub fn step(&mut self, now: Duration, wall: Duration, events: Vec<Event>) -> Vec<Action> {
        (self.now, self.wall) = (now.max(self.now), wall);
        let several = events
            .iter()
            .filter(|e| matches!(e, Event::Proposed { .. }))
            .nth(1)
            .is_some();
        let budget = if several { LOSSES / 4 } else { LOSSES };
        self.losses = budget;
        events.into_iter().for_each(|e| self.hear(e));
        self.land_timed();
        self.bring();
        if self.losses == budget {
            self.stale = self.admission.refresh(IDLE_LOSSES);
        }
        std::mem::take(&mut self.out)
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let held = self
            .waiting
            .values()
            .map(|w| w.since + self.leases.lease() / 3);
        let timed = self
            .catalog
            .timed()
            .map(|(_, t)| self.now + t.at.saturating_sub(self.wall))
            .min();
        let timed = timed.map(|at| at.max(self.not_before));
        let idle = (self.stale > 0).then(|| self.now + IDLE);
        held.chain(self.leases.wake_at(self.now))
            .chain(timed)
            .chain(idle)
            .min()
    }

    fn hear(&mut self, event: Event) {
        match event {
            Event::Asked {
                call,
                host,
                era,
                has,
                settled,
                sure,
            } => {
                if host.0 as usize >= self.hosts.len() {
                    return self.refuse(call, "this host is not in the settings".into());
                }
                let (shared, first) = (self.shares(era, has), has == Version(0));
                if !shared && has >= self.prevailed && !first {
                    self.leases.is_behind(has);
                }
                if self.shares(era, sure) {
                    self.leases.heard(host, sure, self.catalog.version());
                }
                let other = (!shared).then_some(has);
                let (has, settled) = if shared {
                    (has, settled)
                } else {
                    Default::default()
                };
                self.waiting.insert(
                    host,
                    Waiting {
                        call,
                        has,
                        settled,
                        since: self.now,
                        other,
                    },
                );
            }
            Event::Confirmed { host, era, has } if self.shares(era, has) => {
                self.leases.heard(host, has, self.catalog.version());
            }
            Event::Confirmed { .. } => {}
            Event::Proposed { call, proposal } => self.propose(call, proposal),
            Event::Undo {
                call,
                who,
                why,
                entry,
                force,
            } => {
                let entry = self.catalog.undo(entry, asks(&who, &why, self.wall));
                self.land(Some(call), entry, force, false);
            }
            Event::Gone { call, host, who } => {
                self.leases.gone(host);
                let name = self.hosts.get(host.0 as usize).cloned().unwrap_or_default();
                self.note(format!(
                    "{who} answers for it that host {name} sends nothing"
                ));
                let (version, opinion) = (self.kept, Opinion::default());
                self.out.push(Action::Landed {
                    call,
                    version,
                    opinion,
                });
            }
            Event::Prevail { call, who, why } => self.prevail(call, &who, &why),
            Event::Unfit { node, how } => self.admission.set_unfit(node, how),
            Event::Hung { call } => self.waiting.retain(|_, w| w.call != call),
            // Of what was taken back with an earlier one the disk may still speak.
            Event::Kept { upto } if upto > self.void => self.is_kept(upto),
            Event::NotKept { number, why } if number > self.void => self.take_back(&why),
            Event::Kept { .. } | Event::NotKept { .. } => {}
        }
    }

    /// Whether what was followed in that era up to there is part of this history.
    fn shares(&self, era: Era, has: Version) -> bool {
        let upto = if era == self.era {
            Some(self.catalog.version())
        } else {
            None
        };
        let past = self.eras.iter().find(|e| e.0 == era).map(|e| e.1);
        upto.or(past).is_some_and(|upto| has <= upto)
    }

    fn propose(&mut self, call: Call, p: Proposal) {
        let Proposal {
            who,
            why,
            looked_at,
            mut changes,
            at,
            force,
            only_look,
        } = p;
        if self.landing.len() >= MAX_WAITING {
            return self.refuse(
                call,
                format!("{MAX_WAITING} changes wait to be kept; try again"),
            );
        }
        changes.iter_mut().for_each(|c| self.stamp(c, &who));
        if let Some(at) = at.filter(|at| *at > self.wall && !only_look) {
            // What is wrong with it by itself is told now and not at night.
            if let Err(why) =
                self.catalog
                    .propose(looked_at, asks(&who, &why, self.wall), changes.clone())
            {
                return self.refuse(call, why.to_string());
            }
            let id = self.next_timed;
            self.next_timed += 1;
            let expects = changes
                .iter()
                .map(|c| self.catalog.now(&c.subject()))
                .collect();
            let timed = Timed {
                at,
                who: who.clone(),
                why: why.clone(),
                force,
                changes,
                expects,
            };
            changes = vec![Change::Timed {
                id,
                to: Some(timed),
            }];
        }
        let entry = self
            .catalog
            .propose(looked_at, asks(&who, &why, self.wall), changes);
        self.land(Some(call), entry, force, only_look);
    }

    /// A drain tells by itself who asked for it, when, and since when it is as far as it is; whoever asks for
    /// what is so already changes nothing of that.
    fn stamp(&self, change: &mut Change, who: &str) {
        let Change::Drain { node, to: Some(d) } = change else {
            return;
        };
        let was = self.catalog.drain(*node);
        (d.who, d.asked) = was.map_or((who.into(), self.wall), |w| (w.who.clone(), w.asked));
        d.since = was
            .filter(|w| w.stage == d.stage)
            .map_or(self.wall, |w| w.since);
    }

    /// The one place where a change lands: judged, laid over the catalog and sent to the disk.
    fn land(
        &mut self,
        call: Option<Call>,
        entry: Result<Entry, Refused>,
        force: bool,
        only_look: bool,
    ) {
        let entry = match entry {
            Ok(entry) => entry,
            Err(why) => return self.refuse_some(call, why.to_string()),
        };
        // Hosts hear of a volume from when it works through them, and would not know of one by its name that
        // others may still reckon with.
        let anew = |c: &&Change| {
            matches!(c, Change::Volume { to: Some(_), .. }) && self.catalog.now(&c.subject()).ends()
        };
        let last = |c: &Change| {
            self.catalog
                .touched(&c.subject())
                .filter(|v| *v > self.settled_kept)
        };
        if let Some((c, v)) = entry
            .changes
            .iter()
            .filter(anew)
            .find_map(|c| Some((c, last(c)?)))
        {
            let why = format!(
                "{} was before, and entry {} that ended it is not settled yet",
                c.subject(),
                v.0
            );
            return self.refuse_some(call, why);
        }
        if self.catalog.trail_is_full() {
            return self.refuse_some(
                call,
                "too many changes wait for hosts that do not answer".into(),
            );
        }
        self.catalog
            .take(entry.clone())
            .expect("proposed as the next");
        let opinion = self
            .admission
            .land(&self.catalog, &entry.changes, self.losses);
        let looked = self.admission.losses() - opinion.unseen.min(self.admission.losses());
        self.losses = self.losses.saturating_sub(looked.max(1));
        if let (true, Some(call)) = (only_look, call) {
            self.catalog.take_back();
            self.admission.undo(&self.catalog, &entry.changes);
            return self.out.push(Action::Would { call, opinion });
        }
        let against = said(&opinion.against);
        let mut entry = entry;
        if !against.is_empty() {
            self.catalog.take_back();
            if !force {
                self.admission.undo(&self.catalog, &entry.changes);
                return self.refuse_some(call, against);
            }
            entry.against = against;
            self.catalog
                .take(entry.clone())
                .expect("taken back just now");
        }
        let version = entry.version;
        self.lowerings.add(version, entry.lowers);
        let number = self.keep(Keep::Entry(entry));
        self.landing.push_back(Landing {
            number,
            version,
            call,
            opinion,
            prevailed: self.prevailed,
        });
    }

    /// Hosts have followed what is not known here any more: the state as it is gets a version beyond theirs.
    fn prevail(&mut self, call: Call, who: &str, why: &str) {
        let Some(behind) = self.leases.behind() else {
            return self.refuse(
                call,
                "no host has followed anything that is not known here".into(),
            );
        };
        if !self.landing.is_empty() {
            return self.refuse(call, "changes wait to be kept; try again".into());
        }
        let entry = self.catalog.prevail(behind, asks(who, why, self.wall));
        let version = entry.version;
        self.catalog.take(entry.clone()).expect("beyond all");
        self.lowerings.add(version, true);
        self.leases.caught_up();
        let prevailed = std::mem::replace(&mut self.prevailed, version);
        let (number, call) = (self.keep(Keep::Prevails(entry)), Some(call));
        self.landing.push_back(Landing {
            number,
            version,
            call,
            opinion: Opinion::default(),
            prevailed,
        });
    }

    fn land_timed(&mut self) {
        if self.now < self.not_before {
            return;
        }
        let due: Vec<(u64, Timed)> = self
            .catalog
            .timed()
            .filter(|(_, t)| t.at <= self.wall)
            .map(|(id, t)| (id, t.clone()))
            .collect();
        for (id, t) in due {
            let over = Change::Timed { id, to: None };
            let other = t
                .expects
                .iter()
                .find(|c| self.catalog.now(&c.subject()) != **c);
            let why = match other {
                Some(c) => Err(format!(
                    "{} has changed since it was asked for",
                    c.subject()
                )),
                None => self.timed(&t, &over),
            };
            if let Err(why) = why {
                self.note(format!("timed change {id} of {} lapses: {why}", t.who));
                let why = format!("lapsed: {why}");
                let asks = asks("the state service", &why, self.wall);
                let entry = self
                    .catalog
                    .propose(self.catalog.version(), asks, vec![over]);
                self.land(None, entry, false, false);
            }
        }
    }

    fn timed(&mut self, t: &Timed, over: &Change) -> Result<(), String> {
        let mut changes: Vec<Change> = t.changes.iter().chain([over]).cloned().collect();
        changes.iter_mut().for_each(|c| self.stamp(c, &t.who));
        let asks = asks(&t.who, &t.why, self.wall);
        let entry = self
            .catalog
            .propose(self.catalog.version(), asks, changes)
            .map_err(|e| e.to_string())?;
        let before = self.landing.len();
        let told = self.out.len();
        self.land(None, Ok(entry), t.force, false);
        match self.out.split_off(told) {
            // Refused: nothing was sent to the disk, and why is in its note.
            said if self.landing.len() == before => {
                let why = said.into_iter().find_map(|a| {
                    if let Action::Note { text } = a {
                        Some(text)
                    } else {
                        None
                    }
                });
                Err(why.unwrap_or_default())
            }
            said => {
                self.out.extend(said);
                Ok(())
            }
        }
    }

    fn keep(&mut self, what: Keep) -> u64 {
        self.next += 1;
        self.out.push(Action::Keep {
            number: self.next,
            what,
        });
        self.next
    }

    fn is_kept(&mut self, upto: u64) {
        while let Some(l) = self.landing.pop_front_if(|l| l.number <= upto) {
            self.kept = l.version;
            if let Some(call) = l.call {
                self.out.push(Action::Landed {
                    call,
                    version: self.kept,
                    opinion: l.opinion,
                });
            }
        }
        if let Some((_, settled)) = self.settled_sent.take_if(|s| s.0 <= upto) {
            self.settled_kept = settled;
            self.lowerings.forget(settled);
            self.catalog.need(settled);
        }
        let known = self.known_sent.split_off(&(upto + 1));
        for (_, (host, has)) in std::mem::replace(&mut self.known_sent, known) {
            self.known.insert(host, has);
        }
    }

    /// What was decided and could not be kept never was.
    fn take_back(&mut self, why: &str) {
        for l in std::mem::take(&mut self.landing).into_iter().rev() {
            if let Some(entry) = self.catalog.take_back() {
                self.admission.undo(&self.catalog, &entry.changes);
            }
            self.prevailed = l.prevailed;
            self.refuse_some(l.call, format!("not kept: {why}"));
        }
        self.lowerings = Lowerings::new(self.settled_kept);
        self.catalog
            .trail()
            .filter(|e| e.version > self.settled_kept)
            .for_each(|e| self.lowerings.add(e.version, e.lowers));
        (self.settled_sent, self.known_sent) = (None, BTreeMap::new());
        (self.not_before, self.void) = (self.now + AGAIN, self.next);
        self.note(format!("not kept: {why}"));
    }

    /// Keeps what must be kept, and answers whoever can be answered.
    fn bring(&mut self) {
        // Of versions that are on their way to the disk nobody has been told, so none of them is settled.
        let settled = self.leases.settled(self.now, &self.lowerings, self.kept);
        if settled > self.settled_kept && self.settled_sent.is_none() && self.now >= self.not_before
        {
            let number = self.keep(Keep::Settled(settled));
            self.settled_sent = Some((number, settled));
        }
        if let Some(has) = self.leases.behind() {
            for (_, w) in std::mem::take(&mut self.waiting) {
                self.out.push(Action::Behind { call: w.call, has });
            }
            return;
        }
        let sent: BTreeSet<HostNo> = self.known_sent.values().map(|k| k.0).collect();
        for host in self.waiting.keys().copied().collect::<Vec<_>>() {
            // Once it has been granted anything, it must never again be taken for one that has not; and what
            // it has must not be forgotten for long, or what waits for its word would wait again after a
            // start.
            let has = self.leases.has(host).unwrap_or_default();
            if self.known.get(&host) != Some(&has)
                && !sent.contains(&host)
                && self.now >= self.not_before
            {
                let number = self.keep(Keep::Has(host, has));
                self.known_sent.insert(number, (host, has));
            }
            let w = self.waiting[&host];
            let news = self.kept > w.has || self.settled_kept > w.settled;
            let due = self.now >= w.since + self.leases.lease() / 3;
            let ahead = w.other.is_some_and(|other| other > self.kept);
            if !self.known.contains_key(&host) || ahead || !(news || due) {
                continue;
            }
            if let Answer::Grant { lease } = self.leases.grant(self.now, host) {
                let whole = w.other.is_some() || self.catalog.since(w.has).is_none();
                // The whole is told from what is settled on, or the host would not know what to reckon with.
                let (to, settled) = (self.kept, self.settled_kept);
                let from = if whole { settled } else { w.has };
                self.out.push(Action::Grant {
                    call: w.call,
                    from,
                    to,
                    whole,
                    settled,
                    lease,
                });
                self.waiting.remove(&host);
            }
        }
    }

    fn refuse(&mut self, call: Call, why: String) {
        self.out.push(Action::Refused { call, why });
    }

    fn refuse_some(&mut self, call: Option<Call>, why: String) {
        match call {
            Some(call) => self.refuse(call, why),
            None => self.note(why),
        }
    }

    fn note(&mut self, text: String) {
        self.out.push(Action::Note { text });
    }
}

fn asks<'a>(who: &'a str, why: &'a str, at: Duration) -> Asks<'a> {
    Asks {
        who,
        why,
        against: "",
        at,
    }
}

pub fn said(reasons: &[Reason]) -> String {
    reasons
        .iter()
        .map(|r| r.to_string())
        .collect::<Vec<_>>()
        .join("; ")
}

/// An entry as one host needs it: without volumes that do not and did not work through it, and without what
/// is not for hosts at all. Of a volume that now works through it and did not, it is told how that was before
/// each entry after `settled`: it must reckon with all of them.
pub fn for_host(catalog: &Catalog, settled: Version, entry: &Entry, host: &Name) -> Entry {
    let was: BTreeSet<Subject> = entry
        .before
        .iter()
        .filter(|c| !c.ends() && is_for(c, host))
        .map(|c| c.subject())
        .collect();
    let wanted = |c: &&Change| match c {
        Change::Volume { to: None, .. } => was.contains(&c.subject()),
        c => is_for(c, host) || was.contains(&c.subject()),
    };
    let changes: Vec<Change> = entry.changes.iter().filter(wanted).cloned().collect();
    let new: BTreeSet<Subject> = changes
        .iter()
        .map(|c| c.subject())
        .filter(|s| !was.contains(s))
        .collect();
    let volume = |c: &&Change| matches!(c, Change::Volume { .. }) && new.contains(&c.subject());
    let before: Vec<Change> = entry.before.iter().filter(volume).cloned().collect();
    let mut also = Vec::new();
    if !before.is_empty() {
        for e in catalog
            .trail()
            .rev()
            .skip_while(|e| e.version >= entry.version)
        {
            if e.version <= settled {
                break;
            }
            also.extend(
                e.before
                    .iter()
                    .filter(volume)
                    .map(|c| (e.version, c.clone())),
            );
        }
    }
    Entry {
        changes,
        before,
        also,
        ..entry.clone()
    }
}

/// Whether a host needs to know something that is so.
pub fn is_for(c: &Change, host: &Name) -> bool {
    match c {
        Change::Volume { to: Some(v), .. } => v.hosts.contains(host),
        Change::Timed { .. } => false,
        _ => true,
    }
}
