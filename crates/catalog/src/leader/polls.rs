//! Hosts' polls and acknowledgements, and their answers.
//!
//! A host that has everything is answered only when there is something new, or a third of its lease
//! is over: it learns by answers, and not by asking again and again.

use super::messages::{Action, Epoch, Grant};
use super::pending::PendingPoll;
use super::rejection::Rejection;
use super::Leader;
use crate::feed::{HostNumber, PollDecision};
use crate::records::Version;
use std::time::Duration;

/// A poll without news is answered after its lease divided by this, so that the next lease begins
/// in time.
const POLL_HOLD_DIVISOR: u32 = 3;

impl Leader {
    pub(super) fn handle_poll(
        &mut self,
        host: HostNumber,
        epoch: Epoch,
        acknowledged: Version,
        mut poll: PendingPoll,
    ) -> Result<(), Rejection> {
        if host.0 as usize >= self.hosts.len() {
            return Err(Rejection::UnknownHost);
        }
        let is_shared = self.is_shared_history(epoch, poll.applied);
        let is_first = poll.applied == Version(0);
        if !is_shared && poll.applied >= self.epoch_forced_at && !is_first {
            self.leases.set_behind(poll.applied);
        }
        self.handle_acknowledged(host, epoch, acknowledged);
        if !is_shared {
            poll.foreign_version = Some(poll.applied);
            poll.applied = Version::default();
            poll.stable = Version::default();
        }
        self.polls.insert(host, poll);
        Ok(())
    }

    pub(super) fn handle_acknowledged(&mut self, host: HostNumber, epoch: Epoch, applied: Version) {
        if self.is_shared_history(epoch, applied) {
            self.leases
                .acknowledge(host, applied, self.catalog.version());
        }
    }

    /// When the poll that has waited longest must be answered.
    pub(super) fn next_poll_deadline(&self) -> Option<Duration> {
        let oldest = self.polls.values().map(|poll| poll.since).min();
        oldest.map(|since| self.poll_deadline(since))
    }

    fn poll_deadline(&self, since: Duration) -> Duration {
        since + self.leases.lease() / POLL_HOLD_DIVISOR
    }

    /// Answers the polls that can be answered now.
    pub(super) fn answer_polls(&mut self) {
        if let Some(applied) = self.leases.behind() {
            for poll in std::mem::take(&mut self.polls).into_values() {
                self.actions.push(Action::Behind {
                    call: poll.call,
                    applied,
                });
            }
            return;
        }
        let hosts: Vec<HostNumber> = self.polls.keys().copied().collect();
        for host in hosts {
            self.persist_applied(host);
            self.answer_poll(host);
        }
    }

    fn answer_poll(&mut self, host: HostNumber) {
        let poll = self.polls[&host];
        let has_news = self.persisted > poll.applied || self.stable_persisted > poll.stable;
        let is_due = self.now >= self.poll_deadline(poll.since);
        let is_ahead = poll
            .foreign_version
            .is_some_and(|foreign| foreign > self.persisted);
        let is_known = self.applied_persisted.contains_key(&host);
        if !is_known || is_ahead || !(has_news || is_due) {
            return;
        }
        let PollDecision::Grant { lease } = self.leases.grant(self.now, host) else {
            return;
        };
        let snapshot = poll.foreign_version.is_some() || self.catalog.since(poll.applied).is_none();
        // A snapshot is of the stable version, or the host would not know what else to reckon with.
        let from = if snapshot {
            self.stable_persisted
        } else {
            poll.applied
        };
        self.actions.push(Action::Grant(Grant {
            call: poll.call,
            from,
            to: self.persisted,
            snapshot,
            stable: self.stable_persisted,
            lease,
        }));
        self.polls.remove(&host);
    }
}
