//! An iSCSI initiator over TCP, with one connection for each session.
//!
//! It shares only the PDU codec and the CHAP algorithms with the target. Sequence numbers, login and data
//! transfer are implemented separately, so that a misreading of RFC 7143 on one side shows as a failure.

use grebecleat_iscsi::chap::{from_text, to_text, Algorithm};
use grebecleat_iscsi::pdu::{write, Digests, Header, Opcode, Pdu, Reader, NO_TAG};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MAX_SEGMENT_BYTES: usize = 64 << 10;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// The parameters of a login.
#[derive(Debug, Clone)]
pub struct LoginParameters {
    pub initiator: String,
    pub target: String,
    pub isid: u8,
    pub digests: bool,
    pub chap: Option<(String, String)>,
}

/// The result of a command.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    pub status: u8,
    /// The sense key, additional sense code and qualifier.
    pub sense: (u8, u8, u8),
    /// The retry delay of a BUSY status (RFC 7144); `None` if the target gives none.
    pub retry: Option<Duration>,
    pub data: Vec<u8>,
}

struct Command {
    /// The data that the command writes.
    out: Vec<u8>,
    lun: u64,
    answer: Answer,
}

pub struct Initiator {
    stream: TcpStream,
    reader: Reader,
    digests: Digests,
    cmd_sn: u32,
    max_cmd_sn: u32,
    exp_stat_sn: u32,
    itt: u32,
    unsent: Vec<u8>,
    /// The task tag of the last answered task management request.
    answered_task_request: Option<u32>,
    outstanding: BTreeMap<u32, Command>,
    /// The results in the order of their arrival. The order matters to the caller's checks: a read that
    /// was answered before a write may have returned the old data.
    results: VecDeque<(u32, Answer)>,
    /// Responses to commands that are unknown or already answered.
    pub unexpected_responses: u64,
}

fn text(pairs: &[(&str, &str)]) -> Vec<u8> {
    pairs
        .iter()
        .flat_map(|(k, v)| format!("{k}={v}\0").into_bytes())
        .collect()
}

fn pairs(data: &[u8]) -> BTreeMap<String, String> {
    let text = String::from_utf8_lossy(data);
    text.split('\0')
        .filter_map(|p| p.split_once('='))
        .map(|(k, v)| (k.into(), v.into()))
        .collect()
}

fn other(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

impl Initiator {
    pub fn login(at: SocketAddr, parameters: &LoginParameters) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        let mut i = Initiator {
            stream,
            reader: Reader::new(MAX_SEGMENT_BYTES),
            digests: Digests::default(),
            cmd_sn: 1,
            max_cmd_sn: 1,
            exp_stat_sn: 0,
            itt: 0,
            unsent: Vec::new(),
            answered_task_request: None,
            outstanding: BTreeMap::new(),
            results: VecDeque::new(),
            unexpected_responses: 0,
        };
        let name_keys = [
            ("InitiatorName", parameters.initiator.as_str()),
            ("SessionType", "Normal"),
            ("TargetName", &parameters.target),
        ];
        if let Some((name, secret)) = &parameters.chap {
            i.step(
                parameters,
                0,
                0,
                &[&name_keys[..], &[("AuthMethod", "CHAP")]].concat(),
            )?;
            let response_keys = i.step(parameters, 0, 0, &[("CHAP_A", "7,5")])?;
            let get = |k: &str| {
                response_keys
                    .get(k)
                    .cloned()
                    .ok_or_else(|| other(format!("{k} is missing")))
            };
            let algorithm = Algorithm::choose(&get("CHAP_A")?)
                .ok_or_else(|| other("CHAP_A: expected one of the offered algorithms 7 and 5"))?;
            let id = get("CHAP_I")?.parse().map_err(io::Error::other)?;
            let challenge = from_text(&get("CHAP_C")?)
                .ok_or_else(|| other("CHAP_C: expected a hex or base64 value"))?;
            let response = to_text(&algorithm.response(id, secret.as_bytes(), &challenge));
            i.step(
                parameters,
                0,
                0x81,
                &[("CHAP_N", name), ("CHAP_R", &response)],
            )?;
        }
        let digest = if parameters.digests { "CRC32C" } else { "None" };
        let keys = [
            ("HeaderDigest", digest),
            ("DataDigest", digest),
            ("InitialR2T", "No"),
            ("ImmediateData", "Yes"),
            ("MaxRecvDataSegmentLength", "65536"),
            ("MaxBurstLength", "131072"),
            ("FirstBurstLength", "65536"),
            ("ErrorRecoveryLevel", "0"),
            ("iSCSIProtocolLevel", "2"),
        ];
        let all = if parameters.chap.is_some() {
            keys.to_vec()
        } else {
            [&name_keys[..], &keys].concat()
        };
        i.step(parameters, 1, 0x80 | 3, &all)?;
        i.digests = Digests {
            header: parameters.digests,
            data: parameters.digests,
        };
        i.reader.digests = i.digests;
        Ok(i)
    }

    /// Sends one login request and returns the keys of the response. `to` is 0, or the T bit with the next
    /// stage.
    fn step(
        &mut self,
        parameters: &LoginParameters,
        stage: u8,
        to: u8,
        keys: &[(&str, &str)],
    ) -> io::Result<BTreeMap<String, String>> {
        let h = Header::new(Opcode::LoginRequest)
            .set_immediate(true)
            .set_flags(to | stage << 2);
        let h = h
            .set_isid([0x80, 0, 0, 0, 0, parameters.isid])
            .set_itt(0)
            .set_cmd_sn(self.cmd_sn);
        self.send(&Pdu::new(h.set_exp_stat_sn(self.exp_stat_sn), text(keys)))?;
        let p = self.next()?;
        if p.header.opcode() != Some(Opcode::LoginResponse) || p.header.byte(36) != 0 {
            return Err(other(format!(
                "login refused: {:02x}{:02x}",
                p.header.byte(36),
                p.header.byte(37)
            )));
        }
        self.update_sequence_numbers(&p.header, true);
        Ok(pairs(&p.data))
    }

    fn update_sequence_numbers(&mut self, h: &Header, status: bool) {
        if status {
            self.exp_stat_sn = h.cmd_sn().wrapping_add(1);
        }
        self.max_cmd_sn = h.word32();
    }

    fn send(&mut self, pdu: &Pdu) -> io::Result<()> {
        write(pdu, self.digests, &mut self.unsent);
        if self.unsent.len() > MAX_SEGMENT_BYTES {
            return self.flush();
        }
        Ok(())
    }

    /// Writes the submitted commands to the socket. Waiting for a response does so as well.
    pub fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all(&std::mem::take(&mut self.unsent))
    }

    /// Returns a result that is available without reading from the socket.
    pub fn ready(&mut self) -> io::Result<Option<(u32, Answer)>> {
        while self.results.is_empty() {
            let Some(p) = self.reader.next().map_err(io::Error::other)? else {
                break;
            };
            self.handle_pdu(p)?;
        }
        Ok(self.results.pop_front())
    }

    fn next(&mut self) -> io::Result<Pdu> {
        loop {
            if let Some(p) = self.reader.next().map_err(io::Error::other)? {
                return Ok(p);
            }
            self.flush()?;
            if self.reader.fill(&mut self.stream)? == 0 {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "the target closed the connection",
                ));
            }
        }
    }

    /// Returns whether the command window allows another command.
    pub fn may_send(&self) -> bool {
        (self.max_cmd_sn.wrapping_sub(self.cmd_sn) as i32) >= 0
    }

    /// Submits a command and returns its task tag. Waits while the command window is closed.
    pub fn submit(&mut self, lun: u64, cdb: &[u8], out: &[u8], max_in: u32) -> io::Result<u32> {
        while !self.may_send() {
            self.receive_pdu()?;
        }
        self.itt += 1;
        let mut block = [0; 16];
        block[..cdb.len()].copy_from_slice(cdb);
        let immediate = &out[..out.len().min(8192)];
        let flags =
            0x80 | if max_in > 0 { 0x40 } else { 0 } | if out.is_empty() { 0 } else { 0x20 };
        let length = if out.is_empty() {
            max_in
        } else {
            out.len() as u32
        };
        let h = Header::new(Opcode::ScsiCommand)
            .set_flags(flags)
            .set_lun(lun << 48)
            .set_itt(self.itt);
        let h = h
            .set_ttt(length)
            .set_cmd_sn(self.cmd_sn)
            .set_exp_stat_sn(self.exp_stat_sn)
            .set_cdb(block);
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        let command = Command {
            out: out.to_vec(),
            lun,
            answer: Answer::default(),
        };
        self.outstanding.insert(self.itt, command);
        self.send(&Pdu::new(h, immediate.to_vec()))?;
        Ok(self.itt)
    }

    /// Waits for the result of a command.
    pub fn wait(&mut self, itt: u32) -> io::Result<Answer> {
        loop {
            if let Some(at) = self.results.iter().position(|d| d.0 == itt) {
                return Ok(self.results.remove(at).expect("found above").1);
            }
            self.receive_pdu()?;
        }
    }

    /// Waits for the next result of any command.
    pub fn any(&mut self) -> io::Result<(u32, Answer)> {
        while self.results.is_empty() {
            self.receive_pdu()?;
        }
        Ok(self.results.pop_front().expect("checked above"))
    }

    pub fn command(&mut self, lun: u64, cdb: &[u8], out: &[u8], max_in: u32) -> io::Result<Answer> {
        let itt = self.submit(lun, cdb, out, max_in)?;
        self.wait(itt)
    }

    /// Reads whole blocks of 512 bytes with READ (16).
    pub fn read(&mut self, lun: u64, lba: u64, blocks: u32) -> io::Result<Answer> {
        self.command(lun, &cdb16(0x88, lba, blocks), &[], blocks * 512)
    }

    /// Writes whole blocks of 512 bytes with WRITE (16).
    pub fn write(&mut self, lun: u64, lba: u64, data: &[u8]) -> io::Result<Answer> {
        self.command(lun, &cdb16(0x8a, lba, (data.len() / 512) as u32), data, 0)
    }

    /// Returns the next result of any command; `None` if none arrives within `span`.
    pub fn wait_any_timeout(&mut self, span: Duration) -> io::Result<Option<(u32, Answer)>> {
        self.flush()?;
        let until = grebecleat_wire::clock::now() + span;
        loop {
            if let Some(result) = self.ready()? {
                return Ok(Some(result));
            }
            let left = until.saturating_sub(grebecleat_wire::clock::now());
            if left.is_zero() {
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(left))?;
            let read = self.reader.fill(&mut self.stream);
            self.stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
            match read {
                Ok(0) => {
                    return Err(io::Error::new(
                        io::ErrorKind::UnexpectedEof,
                        "the target closed the connection",
                    ))
                }
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Sends ABORT TASK and waits for its response. Returns `false` if the command was answered before; its
    /// result remains valid.
    pub fn abort(&mut self, itt: u32) -> io::Result<bool> {
        self.itt += 1;
        let h = Header::new(Opcode::TaskManagement)
            .set_immediate(true)
            .set_flags(0x81)
            .set_itt(self.itt);
        let h = h
            .set_ttt(itt)
            .set_cmd_sn(self.cmd_sn)
            .set_exp_stat_sn(self.exp_stat_sn);
        let abort_tag = self.itt;
        self.send(&Pdu::new(h, Vec::new()))?;
        self.answered_task_request = None;
        while self.answered_task_request != Some(abort_tag) {
            self.receive_pdu()?;
        }
        // A later response to the command counts as a stray.
        Ok(self.outstanding.remove(&itt).is_some())
    }

    fn receive_pdu(&mut self) -> io::Result<()> {
        let p = self.next()?;
        self.handle_pdu(p)
    }

    fn handle_pdu(&mut self, p: Pdu) -> io::Result<()> {
        let (h, itt) = (p.header, p.header.itt());
        match h.opcode() {
            Some(Opcode::DataIn) => {
                let last = h.flags() & 1 != 0;
                self.update_sequence_numbers(&h, last);
                let Some(c) = self.outstanding.get_mut(&itt) else {
                    self.unexpected_responses += 1;
                    return Ok(());
                };
                let at = h.word40() as usize;
                c.answer
                    .data
                    .resize(c.answer.data.len().max(at + p.data.len()), 0);
                c.answer.data[at..at + p.data.len()].copy_from_slice(&p.data);
                if last {
                    self.finish(itt);
                }
            }
            Some(Opcode::ScsiResponse) => {
                self.update_sequence_numbers(&h, true);
                let Some(c) = self.outstanding.get_mut(&itt) else {
                    self.unexpected_responses += 1;
                    return Ok(());
                };
                c.answer.status = h.byte(3);
                let steps = u32::from(h.byte(8) & 0x3f) << 8 | u32::from(h.byte(9));
                c.answer.retry = (steps > 0).then(|| Duration::from_millis(100) * steps);
                if let Some(s) = p.data.get(2..16) {
                    c.answer.sense = (s[2] & 0xf, s[12], s[13]);
                }
                self.finish(itt);
            }
            Some(Opcode::R2t) => {
                self.update_sequence_numbers(&h, false);
                self.data_out(&h)?;
            }
            Some(Opcode::TaskManagementResponse) => {
                self.update_sequence_numbers(&h, true);
                self.answered_task_request = Some(itt);
            }
            Some(Opcode::NopIn) if itt == NO_TAG => self.update_sequence_numbers(&h, false),
            Some(Opcode::Reject) => {
                return Err(other(format!(
                    "the target rejected a PDU: reason {:#x}",
                    h.byte(2)
                )))
            }
            _ => self.update_sequence_numbers(&h, true),
        }
        Ok(())
    }

    fn finish(&mut self, itt: u32) {
        if let Some(c) = self.outstanding.remove(&itt) {
            self.results.push_back((itt, c.answer));
        }
    }

    fn data_out(&mut self, r2t: &Header) -> io::Result<()> {
        let Some(c) = self.outstanding.get(&r2t.itt()) else {
            return Ok(());
        };
        let (lun, from) = (c.lun, r2t.word40() as usize);
        let wanted = c.out[from..from + r2t.word44() as usize].to_vec();
        for (sn, piece) in wanted.chunks(MAX_SEGMENT_BYTES).enumerate() {
            let at = sn * MAX_SEGMENT_BYTES;
            let last = at + piece.len() == wanted.len();
            let h = Header::new(Opcode::DataOut)
                .set_flags(if last { 0x80 } else { 0 })
                .set_lun(lun << 48);
            let h = h
                .set_itt(r2t.itt())
                .set_ttt(r2t.ttt())
                .set_exp_stat_sn(self.exp_stat_sn);
            let h = h.set_word36(sn as u32).set_word40((from + at) as u32);
            self.send(&Pdu::new(h, piece.to_vec()))?;
        }
        Ok(())
    }
}

/// Returns a CDB of 16 bytes with a logical block address and a number of blocks.
pub fn cdb16(code: u8, lba: u64, blocks: u32) -> [u8; 16] {
    let mut cdb = [0; 16];
    cdb[0] = code;
    cdb[2..10].copy_from_slice(&lba.to_be_bytes());
    cdb[10..14].copy_from_slice(&blocks.to_be_bytes());
    cdb
}
