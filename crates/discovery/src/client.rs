//! The discovery client: its links, their requests and timeouts, and the endpoint list.
//!
//! [`DiscoveryClient`] is a state machine without I/O; [`DiscoveryClient::step`] is its only input.

use crate::endpoint_list::EndpointList;
use crate::events::{Action, Event, FailureReason, LinkId, LogEvent};
use crate::history::FailureHistory;
use crate::links::{ActiveLink, OverdueLinks};
use crate::poll_deadline::{self, PollDeadline};
use grebecleat_scheduler::api::EndpointUpdateKind;
use grebecleat_wire::pb::{self, frame::Body};
use std::time::Duration;

/// Keeps the endpoint list of one host up to date.
#[derive(Debug)]
pub struct DiscoveryClient {
    now: Duration,
    endpoints: EndpointList,
    /// Whether the list differs from its stored copy.
    is_copy_stale: bool,
    active: ActiveLink,
    overdue: OverdueLinks,
    last_link: u64,
    history: FailureHistory,
    /// `None` if there is no deadline: after a failure, the client then calls only when the scheduler requests
    /// it, however long that takes.
    poll_deadline: Option<PollDeadline>,
    /// Timeout of a call, its dial included, while no poll deadline applies.
    default_call_timeout: Duration,
    /// Actions of the current step.
    actions: Vec<Action>,
}

impl DiscoveryClient {
    /// Returns a client without endpoints. `default_call_timeout` is the timeout of a call, its dial included,
    /// while no poll deadline applies.
    pub fn new(default_call_timeout: Duration) -> Self {
        DiscoveryClient {
            now: Duration::ZERO,
            endpoints: EndpointList::default(),
            is_copy_stale: false,
            active: ActiveLink::default(),
            overdue: OverdueLinks::default(),
            last_link: 0,
            history: FailureHistory::default(),
            poll_deadline: None,
            default_call_timeout,
            actions: Vec::new(),
        }
    }

    /// Adds a poll deadline: the client learns of a change within `max_staleness` after discovery has it, even
    /// if calls fail. `call_timeout` is the timeout of a call, its dial included; `seed` initializes the
    /// jitter.
    pub fn with_poll_deadline(
        mut self,
        max_staleness: Duration,
        call_timeout: Duration,
        seed: u64,
    ) -> Self {
        self.poll_deadline = Some(PollDeadline::new(max_staleness, call_timeout, seed));
        self
    }

    /// Returns the endpoint list.
    pub fn endpoints(&self) -> &EndpointList {
        &self.endpoints
    }

    /// Returns when [`Event::CheckTimeout`] or [`Event::CheckPollDeadline`] is due if no other event occurs
    /// before.
    pub fn wake_at(&self) -> Option<Duration> {
        let deadline = self.poll_deadline.as_ref().and_then(PollDeadline::wake_at);
        [self.active.timeout_at, deadline]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes an event and returns the actions to perform, in order.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Watch { on } => self.request(Body::Watch(pb::Watch { on })),
            Event::Fetch => self.request(Body::FetchEndpoints(pb::FetchEndpoints {})),
            Event::Connected { link } => self.connected(link),
            Event::Received { link, frames } => self.received(link, frames),
            Event::Disconnected { link } => self.disconnected(link),
            Event::Refused {
                link,
                waited,
                up_to_date,
            } => self.refused(link, waited, up_to_date),
            Event::Ended { link } => self.ended(link),
            Event::Overdue { link } if self.active.id == Some(link) => self.active_overdue(),
            Event::Overdue { .. } => {}
            Event::Moved => self.moved(),
            Event::CachedList { list } => {
                self.update_list(EndpointUpdateKind::Cached, &list.endpoints, 0)
            }
            Event::CheckTimeout => {
                if self.active.timeout_at.is_some_and(|by| now >= by) {
                    self.active_overdue();
                }
            }
            Event::CheckPollDeadline => self.check_poll_deadline(None),
            Event::StoreDue => self.store_list(),
        }
        std::mem::take(&mut self.actions)
    }

    fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    fn connected(&mut self, link: LinkId) {
        if self.active.id != Some(link) {
            return self.push_action(Action::Close { link });
        }
        self.active.is_connected = true;
        self.dial_or_send();
    }

    fn received(&mut self, link: LinkId, frames: Vec<pb::Frame>) {
        self.promote_overdue(link);
        let is_active = self.active.id == Some(link);
        let is_read = is_active || self.overdue.contains(link);
        for frame in frames {
            let Some(Body::EndpointUpdate(update)) = frame.body.filter(|_| is_read) else {
                self.push_action(Action::UnexpectedMessage { link });
                continue;
            };
            if is_active {
                self.active.timeout_at = None;
                self.active.has_response = true;
                if let Some(event) = self.history.responded(self.now) {
                    self.push_action(Action::Log(event));
                }
                self.close_overdue();
            }
            self.take_update(&update);
            if is_active {
                self.push_action(Action::ConfirmList);
                self.check_poll_deadline(Some(poll_deadline::Event::Answered));
            }
        }
    }

    /// Makes an overdue link the active link again once discovery has responded on it. The client closes the
    /// link of the later call, which may take long or may be refused, because discovery would otherwise serve
    /// two calls at twice the cost.
    fn promote_overdue(&mut self, link: LinkId) {
        if self.active.has_response || !self.overdue.take_at_current_address(link) {
            return;
        }
        let promoted = ActiveLink {
            id: Some(link),
            is_connected: true,
            is_watching: true,
            ..ActiveLink::default()
        };
        let later = std::mem::replace(&mut self.active, promoted);
        if let Some(link) = later.id {
            self.push_action(Action::Close { link });
        }
        self.push_action(Action::Log(LogEvent::OverdueCallAnswered));
    }

    fn close_overdue(&mut self) {
        for link in self.overdue.take_all() {
            self.push_action(Action::Close { link });
        }
    }

    fn disconnected(&mut self, link: LinkId) {
        if self.active.id == Some(link) {
            self.close_active();
            self.call_failed(FailureReason::ConnectionLost);
            self.push_action(Action::ReportFailure);
        }
        self.overdue.remove(link);
    }

    /// Calls discovery at its new address at once. A change of the address is not a failure: the scheduler
    /// continues to use the current list.
    fn moved(&mut self) {
        let former = std::mem::take(&mut self.active);
        if self.overdue.has_former_address() {
            // The address has changed again before discovery responded at the previous one, so this link is not
            // needed.
            if let Some(link) = former.id {
                self.push_action(Action::Close { link });
            }
        } else {
            self.read_overdue(former);
        }
        self.overdue.mark_former_address();
        self.push_action(Action::ReportMove);
        self.check_poll_deadline(Some(poll_deadline::Event::Moved));
        self.watch();
    }

    fn watch(&mut self) {
        self.request(Body::Watch(pb::Watch { on: true }));
    }

    fn request(&mut self, request: Body) {
        self.active.pending.push(request);
        self.dial_or_send();
    }

    fn dial_or_send(&mut self) {
        let timeout_at = self.now + self.call_timeout();
        match self.active.id {
            None => self.dial(timeout_at),
            Some(link) if self.active.is_connected => self.send_pending(link, timeout_at),
            Some(_) => {}
        }
    }

    fn dial(&mut self, timeout_at: Duration) {
        self.last_link += 1;
        let link = LinkId(self.last_link);
        self.active.id = Some(link);
        self.active.timeout_at = Some(timeout_at);
        self.push_action(Action::Dial { link });
        self.check_poll_deadline(Some(poll_deadline::Event::CallStarted));
    }

    fn send_pending(&mut self, link: LinkId, timeout_at: Duration) {
        for request in std::mem::take(&mut self.active.pending) {
            if let Body::Watch(watch) = &request {
                // If a watch is already open, another call is not needed. The response to the open watch may
                // take longer than the timeout of a call.
                let was_watching = std::mem::replace(&mut self.active.is_watching, watch.on);
                if was_watching && watch.on {
                    continue;
                }
            }
            self.push_action(Action::Send { link, request });
            if self.active.continues_watch {
                self.active.timeout_at = None;
                continue;
            }
            // Dial and call share one timeout, because separate timeouts would double the time until a failure
            // is detected if both are slow.
            self.active.timeout_at.get_or_insert(timeout_at);
        }
    }

    /// Returns the timeout of the next call. A host without endpoints serves no request and has no list that
    /// could become stale, so it waits longer for a slow response instead of calling again. Otherwise a host
    /// would never start if discovery always took longer to respond than the timeout of a later call. The cost
    /// is that the client detects a lost call later.
    fn call_timeout(&self) -> Duration {
        let has_endpoints = !self.endpoints.is_empty();
        let poll_deadline = self.poll_deadline.as_ref().filter(|_| has_endpoints);
        poll_deadline.map_or(self.default_call_timeout, PollDeadline::call_timeout)
    }

    /// Continues the watch on another link at once. A connection that ends with a response is not a failure.
    fn ended(&mut self, link: LinkId) {
        self.overdue.remove(link);
        if self.active.id != Some(link) {
            return;
        }
        self.close_active();
        self.active.continues_watch = true;
        self.watch();
    }

    fn refused(&mut self, link: LinkId, waited: Duration, up_to_date: bool) {
        let is_active = self.active.id == Some(link);
        if is_active || self.overdue.contains(link) {
            self.check_poll_deadline(Some(poll_deadline::Event::Refused));
        }
        if !is_active {
            return;
        }
        if up_to_date {
            self.push_action(Action::ConfirmList);
        }
        self.close_active();
        self.call_failed(FailureReason::Refused);
        self.push_action(Action::ReportRefusal { waited });
    }

    /// Calls discovery if the poll deadline has passed. A later request of the scheduler then finds the watch
    /// open.
    fn check_poll_deadline(&mut self, event: Option<poll_deadline::Event>) {
        let has_endpoints = !self.endpoints.is_empty();
        let Some(poll_deadline) = self.poll_deadline.as_mut().filter(|_| has_endpoints) else {
            return;
        };
        let due = poll_deadline.step(self.now, event);
        if due.is_some() && self.active.id.is_none() {
            self.watch();
        }
    }

    fn close_active(&mut self) {
        let link = std::mem::take(&mut self.active);
        if let Some(link) = link.id {
            self.push_action(Action::Close { link });
        }
    }

    /// Treats the active call as failed, so that another call follows in time, and continues to read its link.
    /// Discovery continues to process a call that it has accepted, and counts its response as delivered however
    /// late it sends it. A host that closed the connection just before would miss a change that discovery
    /// counts as known to the host.
    fn active_overdue(&mut self) {
        let link = std::mem::take(&mut self.active);
        self.read_overdue(link);
        self.call_failed(FailureReason::TimedOut);
        self.push_action(Action::ReportFailure);
    }

    /// Continues to read a link that is connected, and abandons one that is still dialling. Closes the oldest
    /// overdue link if there are too many.
    fn read_overdue(&mut self, link: ActiveLink) {
        let Some(id) = link.id else {
            return;
        };
        let closed = if link.is_connected {
            self.overdue.add(id)
        } else {
            Some(id)
        };
        if let Some(link) = closed {
            self.push_action(Action::Close { link });
        }
    }

    fn call_failed(&mut self, reason: FailureReason) {
        let event = self.history.failed(self.now, reason);
        self.push_action(Action::Log(event));
        self.check_poll_deadline(Some(poll_deadline::Event::Failed));
    }

    fn take_update(&mut self, update: &pb::EndpointUpdate) {
        let kind = match update.kind() {
            pb::EndpointUpdateKind::Delta => EndpointUpdateKind::Delta,
            pb::EndpointUpdateKind::Snapshot => EndpointUpdateKind::Snapshot,
            _ => return self.push_action(Action::ReportFailure),
        };
        self.update_list(kind, &update.endpoints, update.revision);
    }

    fn update_list(&mut self, kind: EndpointUpdateKind, endpoints: &[pb::Endpoint], revision: u64) {
        let update = self.endpoints.update(kind, endpoints, self.now, revision);
        let entries = endpoints.len() - update.endpoints.len();
        if entries > 0 {
            self.push_action(Action::Log(LogEvent::EntriesIgnored { entries }));
        }
        self.is_copy_stale = kind != EndpointUpdateKind::Cached;
        self.push_action(Action::Apply(update));
    }

    fn store_list(&mut self) {
        if std::mem::take(&mut self.is_copy_stale) {
            let bytes = self.endpoints.to_bytes(self.now);
            self.push_action(Action::Store { bytes });
        }
    }
}
