//! Sessions: admission after a login, reinstatement, end, and the actions that they request.
//!
//! Called after logins and by every module that passes input to a session; the resulting actions
//! are performed here. A session without connections is kept only until its commands have ended.

use super::messages::{ConnNo, Output};
use super::records::{PendingLogin, Phase, ScsiCommand, SessionState};
use super::Engine;
use crate::pressure::SessionNo;
use grebecleat_iscsi::login::{LoggedIn, Status as LoginStatus, Target};
use grebecleat_iscsi::pdu::Digests;
use grebecleat_iscsi::scsi::Sense;
use grebecleat_iscsi::session::{ConnectionId, Limits, Session, SessionAction};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum data of one command in bytes, and maximum PDUs that a session keeps for retransmission.
const LIMITS: Limits = Limits {
    max_data: 1 << 20,
    max_unacknowledged: 1024,
};
/// Command window of a new session, before its volumes' windows are known.
const FIRST_WINDOW: u32 = 32;

impl Engine {
    /// Admits a connection after its login: creates a session, adds the connection to an existing
    /// one, or reinstates a session (RFC 7143, 6.3.5).
    pub(super) fn admit(
        &mut self,
        conn: ConnNo,
        identity: LoggedIn,
        cmd_sn: u32,
    ) -> Result<u16, LoginStatus> {
        let digests = Digests {
            header: identity.params.header_digest,
            data: identity.params.data_digest,
        };
        let cid = ConnectionId(identity.cid);
        let params = identity.params.clone();
        let existing = self.find_session(&identity);
        let session = match existing {
            _ if identity.tsih == 0 => {
                if let Some(old) = existing {
                    self.log(format!("session of {} reinstated", identity.initiator));
                    self.end_session(old);
                }
                self.create_session(identity, cmd_sn)
            }
            Some(session) if identity.tsih == self.sessions[&session].tsih => {
                self.replace_or_admit(session, cid)?;
                session
            }
            _ => return Err(LoginStatus::SessionDoesNotExist),
        };
        let connection = self
            .connections
            .get_mut(&conn)
            .expect("the connection has just logged in");
        connection.phase = Phase::Full { session, cid };
        connection.digests = digests;
        let stat_sn = connection.stat_sn;
        let since = connection.opened_at;
        self.logins.remove(&PendingLogin { since, conn });
        let state = self
            .sessions
            .get_mut(&session)
            .ok_or(LoginStatus::SessionDoesNotExist)?;
        state.session.add_connection(cid, params, stat_sn);
        state.connections.insert(cid, conn);
        Ok(state.tsih)
    }

    fn find_session(&self, identity: &LoggedIn) -> Option<u64> {
        let same = |other: &LoggedIn| {
            other.initiator == identity.initiator
                && other.isid == identity.isid
                && other.target == identity.target
        };
        self.sessions
            .iter()
            .find(|(_, state)| same(&state.identity))
            .map(|(session, _)| *session)
    }

    fn create_session(&mut self, identity: LoggedIn, cmd_sn: u32) -> u64 {
        let target = identity
            .target
            .as_ref()
            .and_then(|name| self.targets.iter().position(|facts| facts.name == *name));
        let units = target.map_or_else(Vec::new, |target| self.targets[target].luns.clone());
        let number = self.next_number();
        self.last_tsih = self.last_tsih.checked_add(1).unwrap_or(1);
        let visible_targets = self.visible_targets(&identity.initiator);
        let attentions = units
            .iter()
            .map(|unit| (*unit, VecDeque::from([Sense::POWER_ON])))
            .collect();
        let state = SessionState {
            session: Session::new(
                identity.target.clone(),
                visible_targets,
                LIMITS,
                cmd_sn,
                FIRST_WINDOW,
            ),
            identity,
            tsih: self.last_tsih,
            target,
            connections: BTreeMap::new(),
            attentions,
            allowed: BTreeMap::new(),
        };
        self.sessions.insert(number, state);
        for unit in units {
            self.volumes[unit].pressure.join(SessionNo(number));
            self.changed_windows.insert(unit);
        }
        number
    }

    /// Replaces a connection with the same CID (RFC 7143, 6.3.4); a new CID must fit the negotiated
    /// MaxConnections.
    fn replace_or_admit(&mut self, session: u64, cid: ConnectionId) -> Result<(), LoginStatus> {
        let state = &self.sessions[&session];
        if let Some(old) = state.connections.get(&cid).copied() {
            self.outputs.push(Output::Close { conn: old });
            self.connection_closed(old);
        } else if state.connections.len() >= state.identity.params.max_connections as usize {
            return Err(LoginStatus::TooManyConnections);
        }
        Ok(())
    }

    /// Returns the targets visible to an initiator, each with the portal's addresses.
    fn visible_targets(&self, initiator: &str) -> Vec<(String, Vec<String>)> {
        let visible = |target: &&Target| match &target.initiators {
            None => true,
            Some(allowed) => allowed.iter().any(|name| name == initiator),
        };
        let targets = self.portal.targets.iter().filter(visible);
        targets
            .map(|target| (target.name.clone(), self.addresses.clone()))
            .collect()
    }

    fn end_session(&mut self, session: u64) {
        let connections: Vec<ConnNo> = match self.sessions.get(&session) {
            Some(state) => state.connections.values().copied().collect(),
            None => Vec::new(),
        };
        for conn in connections {
            self.outputs.push(Output::Close { conn });
            self.connection_closed(conn);
        }
        self.remove_session_if_ended(session);
    }

    /// Removes a session that has neither connections nor open commands.
    pub(super) fn remove_session_if_ended(&mut self, session: u64) {
        let Some(state) = self.sessions.get(&session) else {
            return;
        };
        if !state.session.is_empty() || state.session.tasks() != 0 {
            return;
        }
        self.sessions.remove(&session);
        for volume in &mut self.volumes {
            volume.pressure.leave(SessionNo(session));
        }
        self.changed_windows.extend(0..self.volumes.len());
    }

    /// Performs the actions that a session requests, in order.
    pub(super) fn perform(&mut self, session: u64, actions: Vec<SessionAction>) {
        for action in actions {
            match action {
                SessionAction::Send { cid, pdu } => {
                    let Some(conn) = self.connection_of(session, cid) else {
                        continue;
                    };
                    let Some(connection) = self.connections.get(&conn) else {
                        continue;
                    };
                    let digests = connection.digests;
                    self.outputs.push(Output::Send { conn, pdu, digests });
                }
                SessionAction::Close { cid } => {
                    if let Some(conn) = self.connection_of(session, cid) {
                        self.outputs.push(Output::Close { conn });
                        self.connection_closed(conn);
                    }
                }
                SessionAction::Start {
                    task,
                    lun,
                    cdb,
                    data,
                    max_read_bytes,
                } => self.start(ScsiCommand {
                    session,
                    task,
                    lun,
                    cdb,
                    data,
                    max_read_bytes,
                }),
                SessionAction::Abort { tasks, .. } => self.abort(session, &tasks),
                SessionAction::Reset { lun, reason } => self.reset(session, lun, reason),
            }
        }
    }

    fn connection_of(&self, session: u64, cid: ConnectionId) -> Option<ConnNo> {
        self.sessions.get(&session)?.connections.get(&cid).copied()
    }

    /// Updates the sessions whose windows have changed. A session has one window over all its
    /// units: the sum of their limits.
    pub(super) fn update_windows(&mut self) {
        let mut changed = BTreeSet::new();
        for volume in std::mem::take(&mut self.changed_windows) {
            for (session, size) in self.volumes[volume].pressure.step() {
                if let Some(state) = self.sessions.get_mut(&session.0) {
                    state.allowed.insert(volume, size);
                    changed.insert(session.0);
                }
            }
        }
        for session in changed {
            if let Some(state) = self.sessions.get_mut(&session) {
                let actions = state.session.set_task_limit(state.allowed.values().sum());
                self.perform(session, actions);
            }
        }
    }
}
