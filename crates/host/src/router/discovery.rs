//! Discovery: the connections to it, its calls, and what becomes of them.

use super::types::{frame, DiscoveryLink, HeardDiscoveryLink};
use super::{ConnId, Output, RequestRouter};
use crate::log_event::{LogEvent, ProtocolViolation};
use crate::outbox::Outbox;
use crate::poll_deadline::{self, PollDeadline};
use grebecleat_scheduler::api::*;
use grebecleat_wire::pb::{self, frame::Body};
use std::sync::Arc;
use std::time::Duration;

/// Connections to discovery that are heard beside the one that is called. A call begins a second
/// after the one before at the least, so an answer is heard that is three seconds late.
const MAX_HEARD_LINKS: usize = 3;

impl RequestRouter {
    pub(super) fn discovery_connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        if self.discovery.conn != Some(conn) {
            return outbox.close();
        }
        self.discovery.outbox = Some(outbox);
        self.dial_or_send_to_discovery();
    }

    pub(super) fn handle_discovery_frames(&mut self, conn: ConnId, frames: Vec<pb::Frame>) {
        self.promote_heard_discovery(conn);
        let current = self.discovery.conn == Some(conn);
        let heard = self.heard_discovery.iter().any(|link| link.conn == conn);
        for frame in frames {
            let Some(Body::EndpointUpdate(update)) = frame.body.filter(|_| current || heard) else {
                self.effects
                    .log_violation(conn, ProtocolViolation::UnexpectedDiscoveryMessage);
                continue;
            };
            if current {
                self.discovery.answer_by = None;
                self.discovery.answered = true;
                self.discovery_answered();
                self.close_heard_discovery();
            }
            self.handle_endpoint_update(update);
            if current {
                self.effects.event(Event::EndpointsConfirmed);
                self.poll_before_deadline(Some(poll_deadline::Event::Answered));
            }
        }
    }

    /// What was called after it may be long in coming, or refused, and is dropped: two calls that
    /// are served cost discovery twice as much.
    fn promote_heard_discovery(&mut self, conn: ConnId) {
        let is_overdue = |link: &HeardDiscoveryLink| link.conn == conn && !link.has_moved;
        let overdue = self.heard_discovery.iter().position(is_overdue);
        let Some(index) = overdue.filter(|_| !self.discovery.answered) else {
            return;
        };
        let link = self.heard_discovery.remove(index);
        let promoted = DiscoveryLink {
            conn: Some(conn),
            outbox: Some(link.outbox),
            watching: true,
            ..DiscoveryLink::default()
        };
        let called_later = std::mem::replace(&mut self.discovery, promoted);
        if let Some(outbox) = called_later.outbox {
            outbox.close();
        }
        let text = "list of nodes: an overdue call is answered".to_string();
        self.effects.log(LogEvent::Discovery { text });
    }

    fn close_heard_discovery(&mut self) {
        for link in std::mem::take(&mut self.heard_discovery) {
            link.outbox.close();
        }
    }

    pub(super) fn discovery_disconnected(&mut self, conn: ConnId) {
        if self.discovery.conn == Some(conn) {
            self.discovery_lost("connection lost");
        }
        self.heard_discovery.retain(|link| link.conn != conn);
    }

    /// Discovery answers elsewhere. Not a failure: the decisions keep what they have, and the new
    /// one is dialled at once.
    pub(super) fn discovery_moved(&mut self) {
        let before = std::mem::take(&mut self.discovery);
        if self.heard_discovery.iter().any(|link| link.has_moved) {
            // It has moved again before it was heard there.
            if let Some(outbox) = before.outbox {
                outbox.close();
            }
        } else {
            self.go_on_hearing(before);
        }
        for link in &mut self.heard_discovery {
            link.has_moved = true;
        }
        self.effects.event(Event::DiscoveryMoved);
        self.poll_before_deadline(Some(poll_deadline::Event::Moved));
        self.call_discovery(Body::Watch(pb::Watch { on: true }));
    }

    pub(super) fn call_discovery(&mut self, call: Body) {
        self.discovery.pending.push(call);
        self.dial_or_send_to_discovery();
    }

    fn dial_or_send_to_discovery(&mut self) {
        let answer_by = self.clock.now() + self.discovery_timeout();
        let Some(outbox) = self.discovery.outbox.clone() else {
            if self.discovery.conn.is_none() {
                let conn = ConnId(self.effects.next_number());
                self.discovery.conn = Some(conn);
                self.discovery.answer_by = Some(answer_by);
                self.effects.output(Output::DialDiscovery { conn });
                self.poll_before_deadline(Some(poll_deadline::Event::Called));
            }
            return;
        };
        for body in std::mem::take(&mut self.discovery.pending) {
            if let Body::Watch(watch) = &body {
                // One that is open needs no second: its answer may be longer in coming than that of
                // a call.
                let was_watching = std::mem::replace(&mut self.discovery.watching, watch.on);
                if was_watching && watch.on {
                    continue;
                }
            }
            outbox.put(frame(body));
            if self.discovery.continues_watch {
                self.discovery.answer_by = None;
                continue;
            }
            // One span for dial and call: two in a row would be twice as long where both are slow.
            self.discovery.answer_by.get_or_insert(answer_by);
        }
    }

    /// A host that has no endpoints yet serves no request, and no term runs: it waits for a slow
    /// answer rather than call again. Guards a start against a discovery that takes longer than a
    /// call may take later, which would never be had. Harm: a call that is lost then is found so
    /// much later.
    fn discovery_timeout(&self) -> Duration {
        let served = !self.endpoints.nodes.is_empty();
        let poll_deadline = self.poll_deadline.as_ref().filter(|_| served);
        poll_deadline.map_or(self.host.bounds().patience, PollDeadline::call_timeout)
    }

    /// No failure: the watch goes on at once on another connection.
    pub(super) fn discovery_ended(&mut self, conn: ConnId) {
        self.heard_discovery.retain(|link| link.conn != conn);
        if self.discovery.conn != Some(conn) {
            return;
        }
        self.close_discovery();
        self.discovery.continues_watch = true;
        self.call_discovery(Body::Watch(pb::Watch { on: true }));
    }

    pub(super) fn discovery_refused(&mut self, conn: ConnId, waited: Duration, up_to_date: bool) {
        let is_heard = self.heard_discovery.iter().any(|link| link.conn == conn);
        let is_current = self.discovery.conn == Some(conn);
        if is_heard || is_current {
            self.poll_before_deadline(Some(poll_deadline::Event::Refused));
        }
        if is_current {
            if up_to_date {
                self.effects.event(Event::EndpointsConfirmed);
            }
            self.close_discovery();
            self.call_failed("refused");
            self.effects.event(Event::FetchRefused { waited });
        }
    }

    /// Calls discovery where the decisions would wait for too long. What they ask for later finds
    /// the watch.
    pub(super) fn poll_before_deadline(&mut self, event: Option<poll_deadline::Event>) {
        let served = !self.endpoints.nodes.is_empty();
        let Some(poll_deadline) = self.poll_deadline.as_mut().filter(|_| served) else {
            return;
        };
        let due = poll_deadline.step(self.clock.now(), event);
        if due.is_some() && self.discovery.conn.is_none() {
            self.call_discovery(Body::Watch(pb::Watch { on: true }));
        }
    }

    fn discovery_lost(&mut self, reason: &str) {
        self.close_discovery();
        self.call_failed(reason);
        self.fetch_failed();
    }

    fn close_discovery(&mut self) {
        let link = std::mem::take(&mut self.discovery);
        if let Some(outbox) = link.outbox {
            outbox.close();
        }
    }

    /// Another call is made in time, as after one that has failed; but the overdue one goes on being
    /// heard. Discovery goes on serving what it has taken in and counts its answer as told, however
    /// late it is written. A host that hangs up just then is told what it does not know.
    pub(super) fn discovery_overdue(&mut self) {
        let link = std::mem::take(&mut self.discovery);
        self.go_on_hearing(link);
        self.call_failed("no answer in time");
        self.fetch_failed();
    }

    /// The oldest goes where there are too many.
    fn go_on_hearing(&mut self, link: DiscoveryLink) {
        let (Some(conn), Some(outbox)) = (link.conn, link.outbox) else {
            return;
        };
        self.heard_discovery.push(HeardDiscoveryLink {
            conn,
            outbox,
            has_moved: false,
        });
        if self.heard_discovery.len() > MAX_HEARD_LINKS {
            self.heard_discovery.remove(0).outbox.close();
        }
    }

    fn call_failed(&mut self, reason: &str) {
        self.discovery_history.failures += 1;
        let text = self.discovery_failure_text(reason);
        self.effects.log(LogEvent::Discovery { text });
        self.poll_before_deadline(Some(poll_deadline::Event::Failed));
    }

    fn discovery_failure_text(&self, reason: &str) -> String {
        let history = &self.discovery_history;
        let age = history
            .answered_at
            .map_or("since the start".to_string(), |at| {
                format!("for {}ms", self.clock.now().saturating_sub(at).as_millis())
            });
        let failures = history.failures;
        format!("list of nodes: {reason}; no answer {age}, {failures} failed calls in a row")
    }

    fn discovery_answered(&mut self) {
        let failures = std::mem::take(&mut self.discovery_history.failures);
        if failures > 0 {
            let text = format!("list of nodes: answered after {failures} failed calls");
            self.effects.log(LogEvent::Discovery { text });
        }
        self.discovery_history.answered_at = Some(self.clock.now());
    }

    fn fetch_failed(&mut self) {
        self.effects.event(Event::EndpointUpdate {
            kind: EndpointUpdateKind::FetchFailed,
            endpoints: Vec::new(),
        });
    }

    fn handle_endpoint_update(&mut self, update: pb::EndpointUpdate) {
        let kind = match update.kind() {
            pb::EndpointUpdateKind::Delta => EndpointUpdateKind::Delta,
            pb::EndpointUpdateKind::Snapshot => EndpointUpdateKind::Snapshot,
            _ => return self.fetch_failed(),
        };
        self.apply_endpoints(kind, &update.endpoints, update.revision);
    }
}
