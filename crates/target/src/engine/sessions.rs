//! Sessions: admission after a login, reinstatement, their end, and what they ask of the target.

use super::*;

impl Engine {
    /// A new session, one more connection of one, or a session in place of the old one (section 6.3.5).
    pub(super) fn admit(
        &mut self,
        conn: ConnNo,
        who: LoggedIn,
        cmd_sn: u32,
    ) -> Result<u16, LoginStatus> {
        let target = who
            .target
            .as_ref()
            .and_then(|t| self.targets.iter().position(|x| x.name == *t));
        let same = |s: &&SessionState| {
            s.who.initiator == who.initiator && s.who.isid == who.isid && s.who.target == who.target
        };
        let old = self
            .sessions
            .iter()
            .find(|(_, s)| same(s))
            .map(|(no, s)| (*no, s.tsih));
        let digests = Digests {
            header: who.params.header_digest,
            data: who.params.data_digest,
        };
        let cid = Cid(who.cid);
        let session = match (who.tsih, old) {
            (0, old) => {
                if let Some((old, _)) = old {
                    self.note(format!("session of {} reinstated", who.initiator));
                    self.end_session(old);
                }
                let no = self.number();
                self.next_tsih = self.next_tsih.checked_add(1).unwrap_or(1);
                let listing = self.listing(&who.initiator);
                let session = Session::new(who.target.clone(), listing, LIMITS, cmd_sn, 32);
                let attentions = target.iter().flat_map(|t| self.targets[*t].luns.iter());
                let attentions = attentions
                    .map(|v| (*v, VecDeque::from([Sense::POWER_ON])))
                    .collect();
                let conns = BTreeMap::new();
                let (who, tsih) = (who.clone(), self.next_tsih);
                let allowed = BTreeMap::new();
                let state = SessionState {
                    session,
                    who,
                    tsih,
                    target,
                    conns,
                    attentions,
                    allowed,
                };
                self.sessions.insert(no, state);
                for v in target.iter().flat_map(|t| self.targets[*t].luns.clone()) {
                    self.volumes[v].pressure.join(SessionNo(no));
                    self.pressed.insert(v);
                }
                no
            }
            (tsih, Some((no, applied))) if tsih == applied => {
                let s = &self.sessions[&no];
                if let Some(old) = s.conns.get(&cid).copied() {
                    // The same connection again: the old one is gone (section 6.3.4).
                    self.out.push(Output::Close { conn: old });
                    self.gone(old);
                } else if s.conns.len() >= s.who.params.max_connections as usize {
                    return Err(LoginStatus::TooManyConnections);
                }
                no
            }
            _ => return Err(LoginStatus::SessionDoesNotExist),
        };
        let c = self.conns.get_mut(&conn).expect("it has just logged in");
        (c.phase, c.digests) = (Phase::Full { session, cid }, digests);
        self.logins.remove(&(c.since, conn));
        let s = self
            .sessions
            .get_mut(&session)
            .ok_or(LoginStatus::SessionDoesNotExist)?;
        s.session.join(cid, who.params.clone(), c.stat_sn);
        s.conns.insert(cid, conn);
        Ok(s.tsih)
    }

    /// Targets that an initiator may see.
    pub(super) fn listing(&self, initiator: &str) -> Vec<(String, Vec<String>)> {
        let may = |t: &&grebecleat_iscsi::login::Target| {
            t.initiators
                .as_ref()
                .is_none_or(|all| all.iter().any(|i| i == initiator))
        };
        let seen = self.portal.targets.iter().filter(may);
        seen.map(|t| (t.name.clone(), self.addresses.clone()))
            .collect()
    }

    pub(super) fn end_session(&mut self, no: u64) {
        let conns: Vec<ConnNo> = self
            .sessions
            .get(&no)
            .iter()
            .flat_map(|s| s.conns.values())
            .copied()
            .collect();
        for conn in conns {
            self.out.push(Output::Close { conn });
            self.gone(conn);
        }
        self.forget_session(no);
    }

    /// A session without connections stays only while its commands end.
    pub(super) fn forget_session(&mut self, no: u64) {
        let done = |s: &SessionState| s.session.is_empty() && s.session.tasks() == 0;
        if self.sessions.get(&no).is_some_and(done) {
            self.sessions.remove(&no);
            self.volumes
                .iter_mut()
                .for_each(|v| v.pressure.leave(SessionNo(no)));
            self.pressed.extend(0..self.volumes.len());
        }
    }

    pub(super) fn acts(&mut self, session: u64, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Send { cid, pdu } => {
                    let conn = self
                        .sessions
                        .get(&session)
                        .and_then(|s| s.conns.get(&cid))
                        .copied();
                    if let Some((conn, c)) = conn.and_then(|n| Some((n, self.conns.get(&n)?))) {
                        self.out.push(Output::Send {
                            conn,
                            pdu,
                            digests: c.digests,
                        });
                    }
                }
                Act::Close { cid } => {
                    let conn = self
                        .sessions
                        .get(&session)
                        .and_then(|s| s.conns.get(&cid))
                        .copied();
                    if let Some(conn) = conn {
                        self.out.push(Output::Close { conn });
                        self.gone(conn);
                    }
                }
                Act::Start {
                    task,
                    lun,
                    cdb,
                    data,
                    max_in,
                } => self.start(session, task, lun, cdb, data, max_in),
                Act::Abort { tasks, .. } => self.abort(session, &tasks),
                Act::Reset { lun, why } => self.reset(session, lun, why),
            }
        }
    }

    pub(super) fn press(&mut self) {
        let pressed = std::mem::take(&mut self.pressed);
        let mut changed = BTreeSet::new();
        for v in pressed {
            for (session, size) in self.volumes[v].pressure.step() {
                if let Some(s) = self.sessions.get_mut(&session.0) {
                    s.allowed.insert(v, size);
                    changed.insert(session.0);
                }
            }
        }
        // A window is a session's, over all its units: it is the sum of what each allows.
        for no in changed {
            if let Some(s) = self.sessions.get_mut(&no) {
                let acts = s.session.allow(s.allowed.values().sum());
                self.acts(no, acts);
            }
        }
    }
}
