//! The client of discovery: its links, their requests and timeouts, and the endpoint list.
//!
//! State machine: [`DiscoveryClient::step`]. No I/O.

use crate::endpoint_list::EndpointList;
use crate::events::{Action, Event, FailureReason, LinkId, LogEvent};
use crate::history::CallHistory;
use crate::links::{ActiveLink, OverdueLinks};
use crate::poll_deadline::{self, PollDeadline};
use grebecleat_scheduler::api::EndpointUpdateKind;
use grebecleat_wire::pb::{self, frame::Body};
use std::time::Duration;

/// Keeps the endpoint list of one host current.
#[derive(Debug)]
pub struct DiscoveryClient {
    now: Duration,
    endpoints: EndpointList,
    /// Whether the list differs from its stored copy.
    is_copy_stale: bool,
    active: ActiveLink,
    overdue: OverdueLinks,
    last_link: u64,
    history: CallHistory,
    /// None: after a failure, the client calls only when the scheduler requests it, however long
    /// that takes.
    poll_deadline: Option<PollDeadline>,
    /// Timeout of a call where no poll deadline applies.
    patience: Duration,
    /// Actions of the current step.
    actions: Vec<Action>,
}

impl DiscoveryClient {
    /// Returns a client without endpoints. `patience`: timeout of a call, its dial included, where
    /// no poll deadline applies.
    pub fn new(patience: Duration) -> Self {
        DiscoveryClient {
            now: Duration::ZERO,
            endpoints: EndpointList::default(),
            is_copy_stale: false,
            active: ActiveLink::default(),
            overdue: OverdueLinks::default(),
            last_link: 0,
            history: CallHistory::default(),
            poll_deadline: None,
            patience,
            actions: Vec::new(),
        }
    }

    /// Adds a poll deadline: the client knows a change within `term` after discovery has it, also
    /// if calls fail. `call`: timeout of a call, its dial included. `seed`: of the jitter.
    pub fn with_poll_deadline(mut self, term: Duration, call: Duration, seed: u64) -> Self {
        self.poll_deadline = Some(PollDeadline::new(term, call, seed));
        self
    }

    /// The endpoint list.
    pub fn endpoints(&self) -> &EndpointList {
        &self.endpoints
    }

    /// Returns when [`Event::CheckTimeout`] or [`Event::CheckPollDeadline`] is due, if nothing
    /// happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let deadline = self.poll_deadline.as_ref().and_then(PollDeadline::wake_at);
        [self.active.answer_by, deadline]
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
                if self.active.answer_by.is_some_and(|by| now >= by) {
                    self.active_overdue();
                }
            }
            Event::CheckPollDeadline => self.check_poll_deadline(None),
            Event::StoreDue => self.store_list(),
        }
        std::mem::take(&mut self.actions)
    }

    fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    fn connected(&mut self, link: LinkId) {
        if self.active.id != Some(link) {
            return self.act(Action::Close { link });
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
                self.act(Action::UnexpectedMessage { link });
                continue;
            };
            if is_active {
                self.active.answer_by = None;
                self.active.has_response = true;
                if let Some(event) = self.history.responded(self.now) {
                    self.act(Action::Log(event));
                }
                self.close_overdue();
            }
            self.take_update(&update);
            if is_active {
                self.act(Action::ConfirmList);
                self.check_poll_deadline(Some(poll_deadline::Event::Answered));
            }
        }
    }

    /// Makes an overdue link that has sent a response the active link again. The later call may
    /// take long, or may be refused. The client drops it, because two served calls cost discovery
    /// twice as much.
    fn promote_overdue(&mut self, link: LinkId) {
        if self.active.has_response || !self.overdue.take_unmoved(link) {
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
            self.act(Action::Close { link });
        }
        self.act(Action::Log(LogEvent::OverdueCallAnswered));
    }

    fn close_overdue(&mut self) {
        for link in self.overdue.take_all() {
            self.act(Action::Close { link });
        }
    }

    fn disconnected(&mut self, link: LinkId) {
        if self.active.id == Some(link) {
            self.close_active();
            self.call_failed(FailureReason::ConnectionLost);
            self.act(Action::ReportFailure);
        }
        self.overdue.remove(link);
    }

    /// Calls discovery at its new address at once. A move is no failure: the scheduler continues to
    /// use the list that it has.
    fn moved(&mut self) {
        let former = std::mem::take(&mut self.active);
        if self.overdue.has_moved() {
            // Discovery has moved again before it responded at the address in between.
            if let Some(link) = former.id {
                self.act(Action::Close { link });
            }
        } else {
            self.read_overdue(former);
        }
        self.overdue.mark_moved();
        self.act(Action::ReportMove);
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
        let answer_by = self.now + self.call_timeout();
        match self.active.id {
            None => self.dial(answer_by),
            Some(link) if self.active.is_connected => self.send_pending(link, answer_by),
            Some(_) => {}
        }
    }

    fn dial(&mut self, answer_by: Duration) {
        self.last_link += 1;
        let link = LinkId(self.last_link);
        self.active.id = Some(link);
        self.active.answer_by = Some(answer_by);
        self.act(Action::Dial { link });
        self.check_poll_deadline(Some(poll_deadline::Event::CallStarted));
    }

    fn send_pending(&mut self, link: LinkId, answer_by: Duration) {
        for request in std::mem::take(&mut self.active.pending) {
            if let Body::Watch(watch) = &request {
                // An open watch needs no second one: its response may take longer than the
                // response to a call.
                let was_watching = std::mem::replace(&mut self.active.is_watching, watch.on);
                if was_watching && watch.on {
                    continue;
                }
            }
            self.act(Action::Send { link, request });
            if self.active.continues_watch {
                self.active.answer_by = None;
                continue;
            }
            // Dial and call share one timeout: two timeouts in a row would be twice as long where
            // both are slow.
            self.active.answer_by.get_or_insert(answer_by);
        }
    }

    /// Returns the timeout of the next call. A host that has no endpoints yet serves no request,
    /// and no term runs: it waits for a slow response instead of calling again. This guards a start
    /// against a discovery that takes longer than a later call may take; the host would never get
    /// its response. Harm: the client detects a lost call that much later.
    fn call_timeout(&self) -> Duration {
        let has_endpoints = !self.endpoints.is_empty();
        let poll_deadline = self.poll_deadline.as_ref().filter(|_| has_endpoints);
        poll_deadline.map_or(self.patience, PollDeadline::call_timeout)
    }

    /// Continues the watch on another link at once. The end of a connection together with a
    /// response is no failure.
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
            self.act(Action::ConfirmList);
        }
        self.close_active();
        self.call_failed(FailureReason::Refused);
        self.act(Action::ReportRefusal { waited });
    }

    /// Calls discovery where the scheduler would wait for too long. The scheduler's later request
    /// finds the watch open.
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
            self.act(Action::Close { link });
        }
    }

    /// Treats the active call as failed, so that another call follows in time, and continues to
    /// read its link. Discovery continues to serve a call that it has accepted, and counts its
    /// response as delivered, however late it sends it. A host that closed the connection just
    /// before would miss a change that discovery counts as known to it.
    fn active_overdue(&mut self) {
        let link = std::mem::take(&mut self.active);
        self.read_overdue(link);
        self.call_failed(FailureReason::TimedOut);
        self.act(Action::ReportFailure);
    }

    /// Continues to read a connected link, and abandons a dial. Closes the oldest overdue link if
    /// there are too many.
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
            self.act(Action::Close { link });
        }
    }

    fn call_failed(&mut self, reason: FailureReason) {
        let event = self.history.failed(self.now, reason);
        self.act(Action::Log(event));
        self.check_poll_deadline(Some(poll_deadline::Event::Failed));
    }

    fn take_update(&mut self, update: &pb::EndpointUpdate) {
        let kind = match update.kind() {
            pb::EndpointUpdateKind::Delta => EndpointUpdateKind::Delta,
            pb::EndpointUpdateKind::Snapshot => EndpointUpdateKind::Snapshot,
            _ => return self.act(Action::ReportFailure),
        };
        self.update_list(kind, &update.endpoints, update.revision);
    }

    fn update_list(&mut self, kind: EndpointUpdateKind, endpoints: &[pb::Endpoint], revision: u64) {
        let update = self.endpoints.update(kind, endpoints, self.now, revision);
        let entries = endpoints.len() - update.endpoints.len();
        if entries > 0 {
            self.act(Action::Log(LogEvent::EntriesIgnored { entries }));
        }
        self.is_copy_stale = kind != EndpointUpdateKind::Cached;
        self.act(Action::Apply(update));
    }

    fn store_list(&mut self) {
        if std::mem::take(&mut self.is_copy_stale) {
            let bytes = self.endpoints.to_bytes(self.now);
            self.act(Action::Store { bytes });
        }
    }
}
