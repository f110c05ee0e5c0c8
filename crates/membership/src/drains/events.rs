//! What each event changes in the membership's records.

use super::messages::{Action, Event, NodeFacts, NodeObservation, ProposalId};
use super::records::{DrainState, Node, Report};
use super::{Membership, MIN_TIME_AFTER_RESTART, RETRY_INTERVAL};
use crate::answers::Answers;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Stage, Version};
use std::time::Duration;

impl Membership {
    pub(super) fn apply(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Node { node, to } => self.set_node(node, to),
            Event::Drain { node, to, version } => {
                let notice = self.set_drain(node, to, version);
                actions.extend(notice.map(|text| Action::Notify { node, text }));
            }
            Event::Persisted { version } => self.version = self.version.max(version),
            Event::Acknowledged { host, version } => self.set_acknowledged(host, version),
            Event::HostRemoved { host } => self.hosts.entry(host).or_default().removed = true,
            Event::HostConnected { host, incarnation } => self.host_connected(host, incarnation),
            Event::HostDisconnected { host } => self.host_disconnected(host),
            Event::Observed {
                host,
                node,
                observation,
            } => self.set_observation(host, node, observation),
            Event::Committed { proposal } => self.proposal_ended(proposal, String::new()),
            Event::Rejected { proposal, reason } => self.proposal_ended(proposal, reason),
        }
    }

    fn set_node(&mut self, number: u32, facts: Option<NodeFacts>) {
        let node = self.nodes.entry(number).or_default();
        node.known = facts.is_some();
        node.facts = facts.unwrap_or_default();
        self.changed_nodes.insert(number);
        self.retry_queued = true;
    }

    /// Takes in a drain of the catalog. Returns what to tell operators.
    fn set_drain(&mut self, number: u32, drain: Option<Drain>, version: Version) -> Option<String> {
        let (now, wall) = (self.now, self.wall);
        let node = self.nodes.entry(number).or_default();
        let before = node.drain.take();
        self.changed_nodes.insert(number);
        self.retry_queued = true;
        let Some(drain) = drain else {
            return before.map(|_| "no longer drained".into());
        };
        let same_stage = before.filter(|before| before.stage == drain.stage);
        let expires_at = same_stage.as_ref().and_then(|before| before.expires_at);
        let notice = match same_stage {
            Some(_) => None,
            None => Some(stage_notice(&drain)),
        };
        node.drain = Some(DrainState {
            stage: drain.stage,
            timeout: drain.timeout,
            requested_at: drain.requested_at,
            since: drain.since,
            version,
            expires_at: expires_at.or_else(|| expiry(&drain, now, wall)),
            peak_attempts: same_stage.map_or(0, |before| before.peak_attempts),
            waits_for: String::new(),
            retry_at: now,
            // The outcome of an earlier proposal may still come, and then counts for nothing.
            pending: None,
            author: drain.author,
        });
        notice
    }

    fn set_acknowledged(&mut self, host: HostNumber, version: Option<Version>) {
        let host = self.hosts.entry(host).or_default();
        // A host that is heard of is not gone, whatever an operator said before.
        host.removed &= host.acknowledged == version;
        host.acknowledged = version;
    }

    fn host_connected(&mut self, number: HostNumber, incarnation: u64) {
        let unaccounted_until = self.now + self.max_attempt_time * 2;
        let host = self.hosts.entry(number).or_default();
        host.connected = true;
        host.removed = false;
        // The one before may have sent up to now; the same one counts what it has in flight by
        // itself.
        if host.incarnation.replace(incarnation) != Some(incarnation) {
            host.unaccounted_until = unaccounted_until;
        }
    }

    fn host_disconnected(&mut self, number: HostNumber) {
        let unaccounted_until = self.now + self.max_attempt_time * 2;
        let host = self.hosts.entry(number).or_default();
        host.connected = false;
        host.unaccounted_until = unaccounted_until;
        // What comes back may be another incarnation, which knows less than the one that counted:
        // its attempts must not be missed because the other had none.
        for node in self.nodes.values_mut() {
            if let Some(report) = node.reports.get_mut(&number) {
                report.observation.catalog_version = Version(0);
                report.observation.answers = Answers::None;
            }
        }
    }

    fn set_observation(&mut self, host: HostNumber, number: u32, observation: NodeObservation) {
        let node = self.nodes.entry(number).or_default();
        let earlier = node.reports.get(&host);
        // One incarnation has one start, or each observation would look like a restart.
        let earlier = earlier.filter(|r| r.observation.incarnation == observation.incarnation);
        let started = earlier.and_then(|report| report.started);
        let started_by_age = || observation.age.map(|age| self.now.saturating_sub(age));
        let report = Report {
            observation,
            received: self.now,
            started: started.or_else(started_by_age),
        };
        node.reports.insert(host, report);
        update_peak_attempts(node);
        self.changed_nodes.insert(number);
    }

    /// A proposal has its outcome. What a committed one changed comes as an event of the catalog.
    fn proposal_ended(&mut self, proposal: ProposalId, reason: String) {
        let mut drains = self
            .nodes
            .values_mut()
            .filter_map(|node| node.drain.as_mut());
        if let Some(drain) = drains.find(|drain| drain.awaits(proposal)) {
            drain.pending = None;
            drain.waits_for = reason;
            drain.retry_at = self.now + RETRY_INTERVAL;
        }
    }
}

fn stage_notice(drain: &Drain) -> String {
    match drain.stage {
        Stage::Queued => format!("{} wants it empty, in its turn", drain.author),
        Stage::Draining => format!("drains, as {} wants", drain.author),
        Stage::Drained => "empty: nothing that was sent to it is under way".into(),
        Stage::Removed => "taken out".into(),
    }
}

/// When a drain is given up. Of one from before this process started, only the wall clock tells how
/// long it has run.
fn expiry(drain: &Drain, now: Duration, wall: Duration) -> Option<Duration> {
    if drain.timeout.is_zero() {
        return None;
    }
    let most = drain.timeout.saturating_sub(MIN_TIME_AFTER_RESTART);
    let spent = wall.saturating_sub(drain.since).min(most);
    Some(now + (drain.timeout - spent))
}

fn update_peak_attempts(node: &mut Node) {
    let reports = node.reports.values();
    let attempts = reports.map(|report| report.observation.attempts).sum();
    let drain = node.drain.as_mut();
    if let Some(drain) = drain.filter(|drain| drain.stage == Stage::Draining) {
        drain.peak_attempts = drain.peak_attempts.max(attempts);
    }
}
