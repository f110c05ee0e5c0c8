//! Connects the [`DiscoveryClient`] to its connections: passes it their events and frames, and
//! performs its actions.
//!
//! The client identifies a connection by a [`LinkId`]. This module maps links to connections.
//!
//! [`DiscoveryClient`]: grebecleat_discovery::DiscoveryClient

use super::types::frame;
use super::{ConnId, Output, RequestRouter};
use crate::log_event::{LogEvent, ProtocolViolation};
use crate::outbox::Outbox;
use grebecleat_discovery::{Action as DiscoveryAction, Event as DiscoveryEvent, LinkId};
use grebecleat_scheduler::api::{EndpointUpdateKind, Event};
use grebecleat_wire::pb::{self, frame::Body};
use std::sync::Arc;
use std::time::Duration;

/// One connection or dial to the discovery service.
#[derive(Debug)]
struct DiscoveryConnection {
    conn: ConnId,
    link: LinkId,
    /// `None` until the dial has succeeded.
    outbox: Option<Arc<Outbox>>,
}

/// The connections to the discovery service. The client uses only a few at a time.
#[derive(Debug, Default)]
pub(super) struct DiscoveryConnections {
    connections: Vec<DiscoveryConnection>,
}

impl DiscoveryConnections {
    fn link_of(&self, conn: ConnId) -> Option<LinkId> {
        let mut connections = self.connections.iter();
        let found = connections.find(|connection| connection.conn == conn);
        found.map(|connection| connection.link)
    }

    fn dialled(&mut self, conn: ConnId, link: LinkId) {
        self.connections.push(DiscoveryConnection {
            conn,
            link,
            outbox: None,
        });
    }

    /// Records that a dial has succeeded, and returns its link. If the dial was abandoned, closes the
    /// connection and returns `None`.
    fn connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) -> Option<LinkId> {
        let mut connections = self.connections.iter_mut();
        let Some(connection) = connections.find(|connection| connection.conn == conn) else {
            outbox.close();
            return None;
        };
        connection.outbox = Some(outbox);
        Some(connection.link)
    }

    fn send(&self, link: LinkId, request: Body) {
        let mut connections = self.connections.iter();
        let connection = connections.find(|connection| connection.link == link);
        if let Some(outbox) = connection.and_then(|connection| connection.outbox.as_ref()) {
            outbox.put(frame(request));
        }
    }

    fn close(&mut self, link: LinkId) {
        for connection in &self.connections {
            if let Some(outbox) = connection
                .outbox
                .as_ref()
                .filter(|_| connection.link == link)
            {
                outbox.close();
            }
        }
        self.remove(link);
    }

    fn remove(&mut self, link: LinkId) {
        self.connections
            .retain(|connection| connection.link != link);
    }

    fn conn_of(&self, link: LinkId) -> Option<ConnId> {
        let mut connections = self.connections.iter();
        let found = connections.find(|connection| connection.link == link);
        found.map(|connection| connection.conn)
    }
}

impl RequestRouter {
    pub(super) fn step_discovery(&mut self, event: DiscoveryEvent) {
        for action in self.discovery.step(self.clock.now(), event) {
            self.perform_discovery(action);
        }
    }

    fn perform_discovery(&mut self, action: DiscoveryAction) {
        match action {
            DiscoveryAction::Dial { link } => {
                let conn = ConnId(self.effects.next_id());
                self.discovery_connections.dialled(conn, link);
                self.effects.add_output(Output::DialDiscovery { conn });
            }
            DiscoveryAction::Send { link, request } => {
                self.discovery_connections.send(link, request)
            }
            DiscoveryAction::Close { link } => self.discovery_connections.close(link),
            DiscoveryAction::Apply(update) => self.apply_list_update(update),
            DiscoveryAction::ConfirmList => self.effects.add_event(Event::EndpointsConfirmed),
            DiscoveryAction::ReportFailure => self.effects.add_event(Event::EndpointUpdate {
                kind: EndpointUpdateKind::FetchFailed,
                endpoints: Vec::new(),
            }),
            DiscoveryAction::ReportRefusal { waited } => {
                self.effects.add_event(Event::FetchRefused { waited })
            }
            DiscoveryAction::ReportMove => self.effects.add_event(Event::DiscoveryMoved),
            DiscoveryAction::Store { bytes } => {
                self.effects.add_output(Output::CacheEndpoints { bytes })
            }
            DiscoveryAction::UnexpectedMessage { link } => {
                if let Some(conn) = self.discovery_connections.conn_of(link) {
                    self.log_unexpected_message(conn);
                }
            }
            DiscoveryAction::Log(event) => self.effects.log(LogEvent::Discovery(event)),
        }
    }

    pub(super) fn discovery_connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        if let Some(link) = self.discovery_connections.connected(conn, outbox) {
            self.step_discovery(DiscoveryEvent::Connected { link });
        }
    }

    pub(super) fn handle_discovery_frames(&mut self, conn: ConnId, frames: Vec<pb::Frame>) {
        match self.discovery_connections.link_of(conn) {
            Some(link) => self.step_discovery(DiscoveryEvent::Received { link, frames }),
            None => {
                for _ in frames {
                    self.log_unexpected_message(conn);
                }
            }
        }
    }

    fn log_unexpected_message(&mut self, conn: ConnId) {
        self.effects
            .log_violation(conn, ProtocolViolation::UnexpectedDiscoveryMessage);
    }

    pub(super) fn discovery_disconnected(&mut self, conn: ConnId) {
        if let Some(link) = self.discovery_connections.link_of(conn) {
            self.step_discovery(DiscoveryEvent::Disconnected { link });
            self.discovery_connections.remove(link);
        }
    }

    pub(super) fn discovery_ended(&mut self, conn: ConnId) {
        if let Some(link) = self.discovery_connections.link_of(conn) {
            self.step_discovery(DiscoveryEvent::Ended { link });
            self.discovery_connections.remove(link);
        }
    }

    pub(super) fn discovery_refused(&mut self, conn: ConnId, waited: Duration, up_to_date: bool) {
        if let Some(link) = self.discovery_connections.link_of(conn) {
            self.step_discovery(DiscoveryEvent::Refused {
                link,
                waited,
                up_to_date,
            });
        }
    }

    pub(super) fn discovery_overdue(&mut self, conn: ConnId) {
        if let Some(link) = self.discovery_connections.link_of(conn) {
            self.step_discovery(DiscoveryEvent::Overdue { link });
        }
    }
}
