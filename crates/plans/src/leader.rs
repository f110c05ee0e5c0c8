//! The state service's decisions: which changes land, what is kept before it is told, and who is told what.
//!
//! Called as `step(now, wall, events)` for every batch of what happened, which answers what to keep and what
//! to say; [`Leader::wake_at`] says when it must be called again. It holds the catalog, what speaks against a
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

use crate::admission::{Admission, AdmissionVerdict, ExclusionReason, Reason};
use crate::changes::{
    Catalog, Change, ChangeContext, ChangeError, Name, Revision, ScheduledChange, Subject, Version,
};
use crate::feed::{HostNumber, Leases, LimitReductions, PollDecision};
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
pub struct Epoch(pub u64);

/// Whoever waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    pub author: String,
    pub reason: String,
    pub base_version: Version,
    pub changes: Vec<Change>,
    /// To land then, by the wall clock; None: now.
    pub at: Option<Duration>,
    /// Whatever speaks against it.
    pub force: bool,
    /// Nothing is to land: what would come of it is only told.
    pub dry_run: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A host wants what it has not: entries after `applied`, and what is settled beyond `stable`.
    Polled {
        call: CallId,
        host: HostNumber,
        epoch: Epoch,
        applied: Version,
        stable: Version,
        /// As in [`Event::Acknowledged`].
        acknowledged: Version,
    },
    /// A host says that nothing of an older version crosses from it any more.
    Acknowledged {
        host: HostNumber,
        epoch: Epoch,
        applied: Version,
    },
    Proposed {
        call: CallId,
        proposal: Proposal,
    },
    /// Put back what an entry changed.
    Undo {
        call: CallId,
        author: String,
        reason: String,
        revision: Version,
        force: bool,
    },
    /// Somebody answers for it that this host sends nothing.
    HostRemoved {
        call: CallId,
        host: HostNumber,
        author: String,
    },
    /// The state here counts, though hosts have followed a newer one.
    ForceEpoch {
        call: CallId,
        author: String,
        reason: String,
    },
    /// The caller is not there any more.
    CallerDisconnected {
        call: CallId,
    },
    /// What hosts see of a node: see [`Admission::set_unavailable`].
    NodeUnavailable {
        node: u32,
        how: Option<ExclusionReason>,
    },
    /// Everything up to that number is on the disk.
    Persisted {
        upto: u64,
    },
    /// What had that number is not, and nothing that was sent after it and rests on it ever will be.
    PersistFailed {
        number: u64,
        reason: String,
    },
}

/// What is to be on the disk, all or nothing and in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Persist {
    Revision(Revision),
    Stable(Version),
    Has(HostNumber, Version),
    /// The state as it is, under a version further on: from there on it prevails over all others.
    EpochForced(Revision),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Number and what; several may be kept at once.
    Persist {
        number: u64,
        what: Persist,
    },
    /// To a host: all entries after `from` and up to `to`; where the host does not have `from`, the whole
    /// state as it was then before them.
    Grant {
        call: CallId,
        from: Version,
        to: Version,
        snapshot: bool,
        stable: Version,
        lease: Duration,
    },
    /// To a host: it has more than there is here.
    Behind {
        call: CallId,
        applied: Version,
    },
    /// To an operator.
    Committed {
        call: CallId,
        version: Version,
        verdict: AdmissionVerdict,
    },
    Reject {
        call: CallId,
        reason: String,
    },
    /// To one who only looked.
    Preview {
        call: CallId,
        verdict: AdmissionVerdict,
    },
    /// Hosts on which something waits, for the log.
    Note {
        text: String,
    },
}

/// What the service was when it last was.
#[derive(Debug, Clone)]
pub struct InitialState {
    pub catalog: Catalog,
    pub stable: Version,
    /// What hosts had said to have; one that is absent was never heard of.
    pub applied: BTreeMap<HostNumber, Version>,
    /// By their numbers.
    pub hosts: Vec<Name>,
    pub epoch: Epoch,
    /// Eras before, and up to which version each is part of this history.
    pub epochs: Vec<(Epoch, Version)>,
    /// The last version at which the state here prevailed over all others.
    pub epoch_forced_at: Version,
}

#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    call: CallId,
    applied: Version,
    stable: Version,
    since: Duration,
    /// Its history is another, up to there: it is told the whole once that lies further on.
    other: Option<Version>,
}

#[derive(Debug)]
struct PendingCommit {
    number: u64,
    version: Version,
    call: Option<CallId>,
    verdict: AdmissionVerdict,
    /// Which version prevailed before it.
    epoch_forced_at: Version,
}

#[derive(Debug)]
pub struct Leader {
    catalog: Catalog,
    admission: Admission,
    leases: Leases,
    limit_reductions: LimitReductions,
    hosts: Vec<Name>,
    epoch: Epoch,
    epochs: Vec<(Epoch, Version)>,
    epoch_forced_at: Version,
    now: Duration,
    wall: Duration,
    /// Entries decided and not yet kept, oldest first.
    pending_commits: VecDeque<PendingCommit>,
    /// The newest version that is kept.
    persisted: Version,
    stable_persisted: Version,
    /// On its way to the disk.
    stable_sent: Option<(u64, Version)>,
    known: BTreeMap<HostNumber, Version>,
    known_sent: BTreeMap<u64, (HostNumber, Version)>,
    waiting: BTreeMap<HostNumber, PendingPoll>,
    next: u64,
    /// Up to that number what was sent to the disk counts for nothing any more.
    void: u64,
    next_scheduled: u64,
    not_before: Duration,
    /// Losses whose figures are of an older state, and how many may still be looked at in this step.
    stale: usize,
    losses: usize,
    out: Vec<Action>,
}

impl Leader {
    /// `spread`: see [`crate::planner::Site`].
    pub fn new(
        start: InitialState,
        lease: Duration,
        margin: Duration,
        spread: f64,
        now: Duration,
    ) -> Self {
        let InitialState {
            mut catalog,
            stable,
            applied,
            hosts,
            epoch,
            epochs,
            epoch_forced_at,
        } = start;
        catalog.need(stable);
        let each =
            (0..hosts.len() as u32).map(|h| (HostNumber(h), applied.get(&HostNumber(h)).copied()));
        let leases = Leases::new(lease, margin, now, stable, each);
        let first = catalog
            .audit_log()
            .next()
            .map_or(catalog.version(), |e| e.from);
        let mut limit_reductions = LimitReductions::new(first);
        catalog
            .audit_log()
            .for_each(|e| limit_reductions.add(e.version, e.lowers_limits));
        let admission = Admission::open(&catalog, spread);
        let next_scheduled = catalog.scheduled().map(|(id, _)| id + 1).max().unwrap_or(1);
        Leader {
            epoch_forced_at,
            stale: 0,
            losses: 0,
            persisted: catalog.version(),
            stable_persisted: stable,
            stable_sent: None,
            known: applied,
            known_sent: BTreeMap::new(),
            waiting: BTreeMap::new(),
            pending_commits: VecDeque::new(),
            not_before: Duration::ZERO,
            wall: Duration::ZERO,
            next: 0,
            void: 0,
            out: Vec::new(),
            catalog,
            admission,
            leases,
            limit_reductions,
            hosts,
            epoch,
            epochs,
            now,
            next_scheduled,
        }
    }

    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The newest version that may be shown: what is not kept may never have been.
    pub fn persisted(&self) -> Version {
        self.persisted
    }

    pub fn stable(&self) -> Version {
        self.stable_persisted
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
        let waits = self
            .leases
            .waits_for(self.now, version, &self.limit_reductions);
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
            .map(|(i, name)| (name, self.leases.applied(HostNumber(i as u32))))
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
        self.land_scheduled();
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
        let scheduled = self
            .catalog
            .scheduled()
            .map(|(_, t)| self.now + t.at.saturating_sub(self.wall))
            .min();
        let scheduled = scheduled.map(|at| at.max(self.not_before));
        let idle = (self.stale > 0).then(|| self.now + IDLE);
        held.chain(self.leases.wake_at(self.now))
            .chain(scheduled)
            .chain(idle)
            .min()
    }

    fn hear(&mut self, event: Event) {
        match event {
            Event::Polled {
                call,
                host,
                epoch,
                applied,
                stable,
                acknowledged,
            } => {
                if host.0 as usize >= self.hosts.len() {
                    return self.refuse(call, "this host is not in the settings".into());
                }
                let (shared, first) = (self.shares(epoch, applied), applied == Version(0));
                if !shared && applied >= self.epoch_forced_at && !first {
                    self.leases.is_behind(applied);
                }
                if self.shares(epoch, acknowledged) {
                    self.leases
                        .heard(host, acknowledged, self.catalog.version());
                }
                let other = (!shared).then_some(applied);
                let (applied, stable) = if shared {
                    (applied, stable)
                } else {
                    Default::default()
                };
                self.waiting.insert(
                    host,
                    PendingPoll {
                        call,
                        applied,
                        stable,
                        since: self.now,
                        other,
                    },
                );
            }
            Event::Acknowledged {
                host,
                epoch,
                applied,
            } if self.shares(epoch, applied) => {
                self.leases.heard(host, applied, self.catalog.version());
            }
            Event::Acknowledged { .. } => {}
            Event::Proposed { call, proposal } => self.propose(call, proposal),
            Event::Undo {
                call,
                author,
                reason,
                revision,
                force,
            } => {
                let revision = self
                    .catalog
                    .undo(revision, asks(&author, &reason, self.wall));
                self.land(Some(call), revision, force, false);
            }
            Event::HostRemoved { call, host, author } => {
                self.leases.gone(host);
                let name = self.hosts.get(host.0 as usize).cloned().unwrap_or_default();
                self.note(format!(
                    "{author} answers for it that host {name} sends nothing"
                ));
                let (version, verdict) = (self.persisted, AdmissionVerdict::default());
                self.out.push(Action::Committed {
                    call,
                    version,
                    verdict,
                });
            }
            Event::ForceEpoch {
                call,
                author,
                reason,
            } => self.force_epoch(call, &author, &reason),
            Event::NodeUnavailable { node, how } => self.admission.set_unavailable(node, how),
            Event::CallerDisconnected { call } => self.waiting.retain(|_, w| w.call != call),
            // Of what was taken back with an earlier one the disk may still speak.
            Event::Persisted { upto } if upto > self.void => self.is_persisted(upto),
            Event::PersistFailed { number, reason } if number > self.void => {
                self.revert_last(&reason)
            }
            Event::Persisted { .. } | Event::PersistFailed { .. } => {}
        }
    }

    /// Whether what was followed in that era up to there is part of this history.
    fn shares(&self, epoch: Epoch, applied: Version) -> bool {
        let upto = if epoch == self.epoch {
            Some(self.catalog.version())
        } else {
            None
        };
        let past = self.epochs.iter().find(|e| e.0 == epoch).map(|e| e.1);
        upto.or(past).is_some_and(|upto| applied <= upto)
    }

    fn propose(&mut self, call: CallId, p: Proposal) {
        let Proposal {
            author,
            reason,
            base_version,
            mut changes,
            at,
            force,
            dry_run,
        } = p;
        if self.pending_commits.len() >= MAX_WAITING {
            return self.refuse(
                call,
                format!("{MAX_WAITING} changes wait to be kept; try again"),
            );
        }
        changes.iter_mut().for_each(|c| self.stamp(c, &author));
        if let Some(at) = at.filter(|at| *at > self.wall && !dry_run) {
            // What is wrong with it by itself is told now and not at night.
            if let Err(reason) = self.catalog.propose(
                base_version,
                asks(&author, &reason, self.wall),
                changes.clone(),
            ) {
                return self.refuse(call, reason.to_string());
            }
            let id = self.next_scheduled;
            self.next_scheduled += 1;
            let expects = changes
                .iter()
                .map(|c| self.catalog.now(&c.subject()))
                .collect();
            let scheduled = ScheduledChange {
                at,
                author: author.clone(),
                reason: reason.clone(),
                force,
                changes,
                expects,
            };
            changes = vec![Change::Scheduled {
                id,
                to: Some(scheduled),
            }];
        }
        let revision =
            self.catalog
                .propose(base_version, asks(&author, &reason, self.wall), changes);
        self.land(Some(call), revision, force, dry_run);
    }

    /// A drain tells by itself who asked for it, when, and since when it is as far as it is; whoever asks for
    /// what is so already changes nothing of that.
    fn stamp(&self, change: &mut Change, author: &str) {
        let Change::Drain { node, to: Some(d) } = change else {
            return;
        };
        let was = self.catalog.drain(*node);
        (d.author, d.asked) =
            was.map_or((author.into(), self.wall), |w| (w.author.clone(), w.asked));
        d.since = was
            .filter(|w| w.stage == d.stage)
            .map_or(self.wall, |w| w.since);
    }

    /// The one place where a change lands: judged, laid over the catalog and sent to the disk.
    fn land(
        &mut self,
        call: Option<CallId>,
        revision: Result<Revision, ChangeError>,
        force: bool,
        dry_run: bool,
    ) {
        let revision = match revision {
            Ok(revision) => revision,
            Err(reason) => return self.refuse_some(call, reason.to_string()),
        };
        // Hosts hear of a volume from when it works through them, and would not know of one by its name that
        // others may still reckon with.
        let anew = |c: &&Change| {
            matches!(c, Change::Volume { to: Some(_), .. }) && self.catalog.now(&c.subject()).ends()
        };
        let last = |c: &Change| {
            self.catalog
                .last_changed(&c.subject())
                .filter(|v| *v > self.stable_persisted)
        };
        if let Some((c, v)) = revision
            .changes
            .iter()
            .filter(anew)
            .find_map(|c| Some((c, last(c)?)))
        {
            let reason = format!(
                "{} was before, and entry {} that ended it is not settled yet",
                c.subject(),
                v.0
            );
            return self.refuse_some(call, reason);
        }
        if self.catalog.audit_log_is_full() {
            return self.refuse_some(
                call,
                "too many changes wait for hosts that do not answer".into(),
            );
        }
        self.catalog
            .apply(revision.clone())
            .expect("proposed as the next");
        let verdict = self
            .admission
            .land(&self.catalog, &revision.changes, self.losses);
        let looked = self.admission.losses() - verdict.unseen.min(self.admission.losses());
        self.losses = self.losses.saturating_sub(looked.max(1));
        if let (true, Some(call)) = (dry_run, call) {
            self.catalog.revert_last();
            self.admission.undo(&self.catalog, &revision.changes);
            return self.out.push(Action::Preview { call, verdict });
        }
        let objections = said(&verdict.objections);
        let mut revision = revision;
        if !objections.is_empty() {
            self.catalog.revert_last();
            if !force {
                self.admission.undo(&self.catalog, &revision.changes);
                return self.refuse_some(call, objections);
            }
            revision.objections = objections;
            self.catalog
                .apply(revision.clone())
                .expect("taken back just now");
        }
        let version = revision.version;
        self.limit_reductions.add(version, revision.lowers_limits);
        let number = self.keep(Persist::Revision(revision));
        self.pending_commits.push_back(PendingCommit {
            number,
            version,
            call,
            verdict,
            epoch_forced_at: self.epoch_forced_at,
        });
    }

    /// Hosts have followed what is not known here any more: the state as it is gets a version beyond theirs.
    fn force_epoch(&mut self, call: CallId, author: &str, reason: &str) {
        let Some(behind) = self.leases.behind() else {
            return self.refuse(
                call,
                "no host has followed anything that is not known here".into(),
            );
        };
        if !self.pending_commits.is_empty() {
            return self.refuse(call, "changes wait to be kept; try again".into());
        }
        let revision = self
            .catalog
            .force_epoch(behind, asks(author, reason, self.wall));
        let version = revision.version;
        self.catalog.apply(revision.clone()).expect("beyond all");
        self.limit_reductions.add(version, true);
        self.leases.caught_up();
        let epoch_forced_at = std::mem::replace(&mut self.epoch_forced_at, version);
        let (number, call) = (self.keep(Persist::EpochForced(revision)), Some(call));
        self.pending_commits.push_back(PendingCommit {
            number,
            version,
            call,
            verdict: AdmissionVerdict::default(),
            epoch_forced_at,
        });
    }

    fn land_scheduled(&mut self) {
        if self.now < self.not_before {
            return;
        }
        let due: Vec<(u64, ScheduledChange)> = self
            .catalog
            .scheduled()
            .filter(|(_, t)| t.at <= self.wall)
            .map(|(id, t)| (id, t.clone()))
            .collect();
        for (id, t) in due {
            let over = Change::Scheduled { id, to: None };
            let other = t
                .expects
                .iter()
                .find(|c| self.catalog.now(&c.subject()) != **c);
            let reason = match other {
                Some(c) => Err(format!(
                    "{} has changed since it was asked for",
                    c.subject()
                )),
                None => self.scheduled(&t, &over),
            };
            if let Err(reason) = reason {
                self.note(format!(
                    "timed change {id} of {} lapses: {reason}",
                    t.author
                ));
                let reason = format!("lapsed: {reason}");
                let asks = asks("the state service", &reason, self.wall);
                let revision = self
                    .catalog
                    .propose(self.catalog.version(), asks, vec![over]);
                self.land(None, revision, false, false);
            }
        }
    }

    fn scheduled(&mut self, t: &ScheduledChange, over: &Change) -> Result<(), String> {
        let mut changes: Vec<Change> = t.changes.iter().chain([over]).cloned().collect();
        changes.iter_mut().for_each(|c| self.stamp(c, &t.author));
        let asks = asks(&t.author, &t.reason, self.wall);
        let revision = self
            .catalog
            .propose(self.catalog.version(), asks, changes)
            .map_err(|e| e.to_string())?;
        let before = self.pending_commits.len();
        let told = self.out.len();
        self.land(None, Ok(revision), t.force, false);
        match self.out.split_off(told) {
            // Refused: nothing was sent to the disk, and why is in its note.
            said if self.pending_commits.len() == before => {
                let reason = said.into_iter().find_map(|a| {
                    if let Action::Note { text } = a {
                        Some(text)
                    } else {
                        None
                    }
                });
                Err(reason.unwrap_or_default())
            }
            said => {
                self.out.extend(said);
                Ok(())
            }
        }
    }

    fn keep(&mut self, what: Persist) -> u64 {
        self.next += 1;
        self.out.push(Action::Persist {
            number: self.next,
            what,
        });
        self.next
    }

    fn is_persisted(&mut self, upto: u64) {
        while let Some(l) = self.pending_commits.pop_front_if(|l| l.number <= upto) {
            self.persisted = l.version;
            if let Some(call) = l.call {
                self.out.push(Action::Committed {
                    call,
                    version: self.persisted,
                    verdict: l.verdict,
                });
            }
        }
        if let Some((_, stable)) = self.stable_sent.take_if(|s| s.0 <= upto) {
            self.stable_persisted = stable;
            self.limit_reductions.forget(stable);
            self.catalog.need(stable);
        }
        let known = self.known_sent.split_off(&(upto + 1));
        for (_, (host, applied)) in std::mem::replace(&mut self.known_sent, known) {
            self.known.insert(host, applied);
        }
    }

    /// What was decided and could not be kept never was.
    fn revert_last(&mut self, reason: &str) {
        for l in std::mem::take(&mut self.pending_commits).into_iter().rev() {
            if let Some(revision) = self.catalog.revert_last() {
                self.admission.undo(&self.catalog, &revision.changes);
            }
            self.epoch_forced_at = l.epoch_forced_at;
            self.refuse_some(l.call, format!("not kept: {reason}"));
        }
        self.limit_reductions = LimitReductions::new(self.stable_persisted);
        self.catalog
            .audit_log()
            .filter(|e| e.version > self.stable_persisted)
            .for_each(|e| self.limit_reductions.add(e.version, e.lowers_limits));
        (self.stable_sent, self.known_sent) = (None, BTreeMap::new());
        (self.not_before, self.void) = (self.now + AGAIN, self.next);
        self.note(format!("not kept: {reason}"));
    }

    /// Keeps what must be kept, and answers whoever can be answered.
    fn bring(&mut self) {
        // Of versions that are on their way to the disk nobody has been told, so none of them is settled.
        let stable = self
            .leases
            .stable(self.now, &self.limit_reductions, self.persisted);
        if stable > self.stable_persisted
            && self.stable_sent.is_none()
            && self.now >= self.not_before
        {
            let number = self.keep(Persist::Stable(stable));
            self.stable_sent = Some((number, stable));
        }
        if let Some(applied) = self.leases.behind() {
            for (_, w) in std::mem::take(&mut self.waiting) {
                self.out.push(Action::Behind {
                    call: w.call,
                    applied,
                });
            }
            return;
        }
        let sent: BTreeSet<HostNumber> = self.known_sent.values().map(|k| k.0).collect();
        for host in self.waiting.keys().copied().collect::<Vec<_>>() {
            // Once it has been granted anything, it must never again be taken for one that has not; and what
            // it has must not be forgotten for long, or what waits for its word would wait again after a
            // start.
            let applied = self.leases.applied(host).unwrap_or_default();
            if self.known.get(&host) != Some(&applied)
                && !sent.contains(&host)
                && self.now >= self.not_before
            {
                let number = self.keep(Persist::Has(host, applied));
                self.known_sent.insert(number, (host, applied));
            }
            let w = self.waiting[&host];
            let news = self.persisted > w.applied || self.stable_persisted > w.stable;
            let due = self.now >= w.since + self.leases.lease() / 3;
            let ahead = w.other.is_some_and(|other| other > self.persisted);
            if !self.known.contains_key(&host) || ahead || !(news || due) {
                continue;
            }
            if let PollDecision::Grant { lease } = self.leases.grant(self.now, host) {
                let snapshot = w.other.is_some() || self.catalog.since(w.applied).is_none();
                // The whole is told from what is settled on, or the host would not know what to reckon with.
                let (to, stable) = (self.persisted, self.stable_persisted);
                let from = if snapshot { stable } else { w.applied };
                self.out.push(Action::Grant {
                    call: w.call,
                    from,
                    to,
                    snapshot,
                    stable,
                    lease,
                });
                self.waiting.remove(&host);
            }
        }
    }

    fn refuse(&mut self, call: CallId, reason: String) {
        self.out.push(Action::Reject { call, reason });
    }

    fn refuse_some(&mut self, call: Option<CallId>, reason: String) {
        match call {
            Some(call) => self.refuse(call, reason),
            None => self.note(reason),
        }
    }

    fn note(&mut self, text: String) {
        self.out.push(Action::Note { text });
    }
}

fn asks<'a>(author: &'a str, reason: &'a str, at: Duration) -> ChangeContext<'a> {
    ChangeContext {
        author,
        reason,
        objections: "",
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
/// each entry after `stable`: it must reckon with all of them.
pub fn for_host(catalog: &Catalog, stable: Version, revision: &Revision, host: &Name) -> Revision {
    let was: BTreeSet<Subject> = revision
        .before
        .iter()
        .filter(|c| !c.ends() && is_for(c, host))
        .map(|c| c.subject())
        .collect();
    let wanted = |c: &&Change| match c {
        Change::Volume { to: None, .. } => was.contains(&c.subject()),
        c => is_for(c, host) || was.contains(&c.subject()),
    };
    let changes: Vec<Change> = revision.changes.iter().filter(wanted).cloned().collect();
    let new: BTreeSet<Subject> = changes
        .iter()
        .map(|c| c.subject())
        .filter(|s| !was.contains(s))
        .collect();
    let volume = |c: &&Change| matches!(c, Change::Volume { .. }) && new.contains(&c.subject());
    let before: Vec<Change> = revision.before.iter().filter(volume).cloned().collect();
    let mut also = Vec::new();
    if !before.is_empty() {
        for e in catalog
            .audit_log()
            .rev()
            .skip_while(|e| e.version >= revision.version)
        {
            if e.version <= stable {
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
    Revision {
        changes,
        before,
        also,
        ..revision.clone()
    }
}

/// Whether a host needs to know something that is so.
pub fn is_for(c: &Change, host: &Name) -> bool {
    match c {
        Change::Volume { to: Some(v), .. } => v.hosts.contains(host),
        Change::Scheduled { .. } => false,
        _ => true,
    }
}
