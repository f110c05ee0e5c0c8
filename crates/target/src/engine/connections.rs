//! Connections and their logins: from the accepted socket to full feature phase, and its loss.

use super::*;

impl Engine {
    pub(super) fn up(&mut self, conn: ConnNo) {
        if let Some((_, oldest)) = self
            .logins
            .first()
            .copied()
            .filter(|_| self.logins.len() >= MAX_LOGINS)
        {
            self.refuse(oldest, "too many logins at once");
        }
        self.logins.insert((self.now, conn));
        let phase = Phase::Login(Box::new(Login::new(self.portal.clone())));
        self.conns.insert(
            conn,
            Conn {
                phase,
                since: self.now,
                stat_sn: 1,
                digests: Digests::default(),
            },
        );
    }

    pub(super) fn refuse(&mut self, conn: ConnNo, why: &str) {
        self.note(format!("iscsi connection {}: {why}", conn.0));
        self.out.push(Output::Close { conn });
        self.forget(conn);
    }

    pub(super) fn forget(&mut self, conn: ConnNo) -> Option<Conn> {
        let c = self.conns.remove(&conn)?;
        self.logins.remove(&(c.since, conn));
        Some(c)
    }

    pub(super) fn read(&mut self, conn: ConnNo, read: Result<Pdu, Fault>) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        match (&mut c.phase, read) {
            (Phase::Full { session, cid }, read) => {
                let (session, cid) = (*session, *cid);
                if let Err(fault) = &read {
                    self.note(format!("iscsi connection {}: {fault}", conn.0));
                }
                if let Some(s) = self.sessions.get_mut(&session) {
                    let acts = s.session.hear(cid, read);
                    self.acts(session, acts);
                }
            }
            (Phase::Login(_), Err(fault)) => self.refuse(conn, &fault.to_string()),
            (Phase::Login(login), Ok(pdu)) => {
                let opcode = pdu.header.opcode();
                if opcode != Some(grebecleat_iscsi::pdu::Opcode::LoginRequest) {
                    return self.refuse(conn, "no login");
                }
                let sn = pdu.header.cmd_sn();
                let sns = (c.stat_sn, sn, sn.wrapping_add(31));
                c.stat_sn += 1;
                let (answer, standing) = login.request(&pdu, (self.chance)(), sns);
                self.logged(conn, answer, standing, sn);
            }
        }
    }

    pub(super) fn logged(
        &mut self,
        conn: ConnNo,
        mut answer: Pdu,
        standing: Standing,
        cmd_sn: u32,
    ) {
        let plain = Digests::default();
        match standing {
            Standing::Goes => self.out.push(Output::Send {
                conn,
                pdu: answer,
                digests: plain,
            }),
            Standing::Failed(status, why) => {
                self.out.push(Output::Send {
                    conn,
                    pdu: answer,
                    digests: plain,
                });
                self.refuse(conn, &format!("login refused ({status:?}): {why}"));
            }
            Standing::Done(who) => match self.admit(conn, *who, cmd_sn) {
                Ok(tsih) => {
                    answer.header = answer.header.set_tsih(tsih);
                    let c = &self.conns[&conn];
                    let (digests, most) = (c.digests, self.portal.wishes.our_segment as usize);
                    self.out.push(Output::Reads {
                        conn,
                        digests,
                        most,
                    });
                    self.out.push(Output::Send {
                        conn,
                        pdu: answer,
                        digests: plain,
                    });
                }
                Err(status) => {
                    let code = status as u16;
                    answer.header = answer
                        .header
                        .set_byte(36, (code >> 8) as u8)
                        .set_byte(37, code as u8);
                    self.out.push(Output::Send {
                        conn,
                        pdu: answer,
                        digests: plain,
                    });
                    self.refuse(conn, &format!("login refused ({status:?})"));
                }
            },
        }
    }

    pub(super) fn gone(&mut self, conn: ConnNo) {
        let Some(c) = self.forget(conn) else { return };
        let Phase::Full { session, cid } = c.phase else {
            return;
        };
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        s.conns.remove(&cid);
        let acts = s.session.lost(cid);
        self.acts(session, acts);
        self.forget_session(session);
    }
}
