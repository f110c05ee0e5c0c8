//! Connections and their logins: from the accepted socket to the full feature phase, and connection
//! loss.
//!
//! Called by the engine's `step`. The number of logins in progress is bounded: at the limit the
//! oldest is closed, since its initiator has most likely abandoned it.

use super::messages::{ConnNo, Output};
use super::records::{Connection, PendingLogin, Phase};
use super::Engine;
use grebecleat_iscsi::login::{LoggedIn, Login, LoginState};
use grebecleat_iscsi::pdu::{Digests, Opcode, Pdu, PduError};

/// Maximum number of logins in progress; at the limit a new connection closes the oldest one.
const MAX_LOGINS: usize = 256;
/// Commands that a login response allows beyond its own CmdSN.
const LOGIN_WINDOW: u32 = 31;
/// Offsets of the status class and status detail in a login response (RFC 7143, 11.13).
const STATUS_CLASS: usize = 36;
const STATUS_DETAIL: usize = 37;

impl Engine {
    pub(super) fn connection_opened(&mut self, conn: ConnNo) {
        if self.logins.len() >= MAX_LOGINS {
            if let Some(oldest) = self.logins.first().copied() {
                self.refuse(oldest.conn, "too many logins at once");
            }
        }
        let opened_at = self.now;
        self.logins.insert(PendingLogin {
            since: opened_at,
            conn,
        });
        let connection = Connection {
            phase: Phase::Login(Box::new(Login::new(self.portal.clone()))),
            opened_at,
            stat_sn: 1,
            digests: Digests::default(),
        };
        self.connections.insert(conn, connection);
    }

    pub(super) fn refuse(&mut self, conn: ConnNo, reason: &str) {
        self.log(format!("iscsi connection {}: {reason}", conn.0));
        self.outputs.push(Output::Close { conn });
        self.remove_connection(conn);
    }

    fn remove_connection(&mut self, conn: ConnNo) -> Option<Connection> {
        let connection = self.connections.remove(&conn)?;
        self.logins.remove(&PendingLogin {
            since: connection.opened_at,
            conn,
        });
        Some(connection)
    }

    pub(super) fn receive(&mut self, conn: ConnNo, read: Result<Pdu, PduError>) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        match (&mut connection.phase, read) {
            (Phase::Full { session, cid }, read) => {
                let (session, cid) = (*session, *cid);
                if let Err(fault) = &read {
                    self.log(format!("iscsi connection {}: {fault}", conn.0));
                }
                if let Some(state) = self.sessions.get_mut(&session) {
                    let actions = state.session.receive(cid, read);
                    self.perform(session, actions);
                }
            }
            (Phase::Login(_), Err(fault)) => self.refuse(conn, &fault.to_string()),
            (Phase::Login(login), Ok(pdu)) => {
                if pdu.header.opcode() != Some(Opcode::LoginRequest) {
                    return self.refuse(conn, "expected a login request as the first PDU");
                }
                let cmd_sn = pdu.header.cmd_sn();
                let numbers = (
                    connection.stat_sn,
                    cmd_sn,
                    cmd_sn.wrapping_add(LOGIN_WINDOW),
                );
                connection.stat_sn += 1;
                let (response, standing) = login.request(&pdu, (self.challenges)(), numbers);
                self.login_answered(conn, response, standing, cmd_sn);
            }
        }
    }

    fn login_answered(&mut self, conn: ConnNo, response: Pdu, standing: LoginState, cmd_sn: u32) {
        match standing {
            LoginState::NeedsRequest => self.send_login_response(conn, response),
            LoginState::Failed(status, reason) => {
                self.send_login_response(conn, response);
                self.refuse(conn, &format!("login refused ({status:?}): {reason}"));
            }
            LoginState::Done(identity) => self.login_done(conn, response, *identity, cmd_sn),
        }
    }

    fn login_done(&mut self, conn: ConnNo, mut response: Pdu, identity: LoggedIn, cmd_sn: u32) {
        match self.admit(conn, identity, cmd_sn) {
            Ok(tsih) => {
                response.header = response.header.set_tsih(tsih);
                self.outputs.push(Output::SetReader {
                    conn,
                    digests: self.connections[&conn].digests,
                    max_data: self.portal.preferences.own_max_segment as usize,
                });
                self.send_login_response(conn, response);
            }
            Err(status) => {
                let code = status as u16;
                response.header = response
                    .header
                    .set_byte(STATUS_CLASS, (code >> 8) as u8)
                    .set_byte(STATUS_DETAIL, code as u8);
                self.send_login_response(conn, response);
                self.refuse(conn, &format!("login refused ({status:?})"));
            }
        }
    }

    /// Login responses have no digests: the negotiated digests apply after the last login response.
    fn send_login_response(&mut self, conn: ConnNo, pdu: Pdu) {
        self.outputs.push(Output::Send {
            conn,
            pdu,
            digests: Digests::default(),
        });
    }

    pub(super) fn connection_closed(&mut self, conn: ConnNo) {
        let Some(connection) = self.remove_connection(conn) else {
            return;
        };
        let Phase::Full { session, cid } = connection.phase else {
            return;
        };
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        state.connections.remove(&cid);
        let actions = state.session.connection_lost(cid);
        self.perform(session, actions);
        self.remove_session_if_ended(session);
    }
}
