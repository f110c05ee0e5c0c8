//! Handles polls and acknowledgements of hosts, and responds to polls.
//!
//! [`Leader::step`] calls these methods for each such event, and to respond once at the end of each
//! step.

use super::messages::{Action, Epoch, Grant};
use super::polls::PendingPoll;
use super::rejection::Rejection;
use super::Leader;
use crate::feed::{HostNumber, PollDecision};
use crate::records::Version;

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
        let latest = self.writer.catalog().version();
        let is_in_history = self.epochs.is_in_history(epoch, poll.applied, latest);
        let is_first = poll.applied == Version(0);
        if !is_in_history && poll.applied >= self.epochs.forced_at() && !is_first {
            self.leases.set_behind(poll.applied);
        }
        self.handle_acknowledged(host, epoch, acknowledged);
        if !is_in_history {
            poll.foreign_version = Some(poll.applied);
            poll.applied = Version::default();
            poll.stable = Version::default();
        }
        self.polls.insert(host, poll);
        Ok(())
    }

    pub(super) fn handle_acknowledged(&mut self, host: HostNumber, epoch: Epoch, applied: Version) {
        let latest = self.writer.catalog().version();
        if self.epochs.is_in_history(epoch, applied, latest) {
            self.leases.acknowledge(host, applied, latest);
        }
    }

    /// Responds to the polls that can be responded to now.
    pub(super) fn answer_polls(&mut self) {
        if let Some(applied) = self.leases.behind() {
            let calls = self.polls.take_calls();
            self.actions
                .extend(calls.map(|call| Action::Behind { call, applied }));
            return;
        }
        for host in self.polls.hosts() {
            let applied = self.leases.applied(host).unwrap_or_default();
            self.persistence
                .write_applied(self.now, host, applied, &mut self.actions);
            self.answer_poll(host);
        }
    }

    fn answer_poll(&mut self, host: HostNumber) {
        if !self.persistence.has_applied(host) {
            return;
        }
        let persisted = self.persistence.persisted();
        let stable = self.persistence.stable();
        let Some(poll) = self.polls.ready(self.now, host, persisted, stable) else {
            return;
        };
        let PollDecision::Grant { lease } = self.leases.grant(self.now, host) else {
            return;
        };
        let is_in_audit_log = self.writer.catalog().since(poll.applied).is_some();
        let snapshot = poll.foreign_version.is_some() || !is_in_audit_log;
        // The snapshot is the state at the stable version, followed by the later revisions. With a
        // newer snapshot, the host would not know the versions since the stable one, whose limits it
        // must still take into account.
        let from = if snapshot { stable } else { poll.applied };
        self.actions.push(Action::Grant(Grant {
            call: poll.call,
            from,
            to: persisted,
            snapshot,
            stable,
            lease,
        }));
        self.polls.remove(host);
    }
}
