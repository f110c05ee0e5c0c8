//! An operator's side of the state service's wire: one connection, one question at a time.

use crate::codec::{changes_from_proto, revision_from_proto};
use grebecleat_plans::changes::{Change, Revision, Version};
use grebecleat_plans::leader::Epoch;
use grebecleat_wire::pb::{self, frame::Body, query::What};
use grebecleat_wire::{clock, frame, VERSION};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MAX_FRAME: usize = 16 << 20;
const PATIENCE: Duration = Duration::from_secs(30);

pub struct Client {
    stream: TcpStream,
    reader: frame::Reader,
    next: u64,
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Committed(pb::ChangeCommitted),
    Rejected(String),
    /// It was only looked at.
    Would(pb::ChangePreview),
}

/// What the service shows, put together.
#[derive(Debug, Clone, Default)]
pub struct QueryResult {
    pub version: Version,
    pub stable: Version,
    pub epoch: Epoch,
    pub state: Vec<Change>,
    pub revisions: Vec<Revision>,
    /// The last part as it came: hosts, what is missing, moves, trouble.
    pub last: pb::QueryResult,
}

impl Client {
    pub fn connect(address: SocketAddr, name: &str) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, PATIENCE)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        let mut c = Client {
            stream,
            reader: frame::Reader::new(MAX_FRAME),
            next: 0,
        };
        c.put(Body::Hello(pb::Hello {
            version: VERSION,
            role: pb::Role::Operator.into(),
            name: name.into(),
            incarnation: u64::from(std::process::id()),
            max_frame: MAX_FRAME as u32,
        }))?;
        match c.read()? {
            Body::Hello(them) if them.role() == pb::Role::State => Ok(c),
            _ => Err(io::Error::other(format!("{address} is no state service"))),
        }
    }

    fn put(&mut self, body: Body) -> io::Result<()> {
        let mut bytes = Vec::new();
        frame::write(
            &pb::Frame {
                sent_us: clock::micros(clock::now()),
                body: Some(body),
            },
            &mut bytes,
        );
        self.stream.write_all(&bytes)
    }

    fn read(&mut self) -> io::Result<Body> {
        loop {
            match self
                .reader
                .next::<pb::Frame>()
                .map_err(|e| io::Error::other(e.to_string()))?
            {
                Some(f) => {
                    return f
                        .body
                        .ok_or_else(|| io::Error::other("a frame without a body"))
                }
                None if self.reader.fill(&mut self.stream)? == 0 => {
                    return Err(io::Error::other("the state service hung up"));
                }
                None => {}
            }
        }
    }

    /// Asks, and reads until the answer to that.
    fn ask(&mut self, body: impl FnOnce(u64) -> Body) -> io::Result<Body> {
        self.next += 1;
        let call = self.next;
        self.put(body(call))?;
        loop {
            let answer = self.read()?;
            let of = match &answer {
                Body::ChangeCommitted(l) => l.call,
                Body::ChangeRejected(r) => r.call,
                Body::ChangePreview(w) => w.call,
                Body::QueryResult(s) => s.call,
                _ => continue,
            };
            if of == call {
                return Ok(answer);
            }
        }
    }

    /// A change, an undo, or an operator's word; `body` gets the number of the question.
    pub fn change(&mut self, body: impl FnOnce(u64) -> Body) -> io::Result<Reply> {
        match self.ask(body)? {
            Body::ChangeCommitted(l) => Ok(Reply::Committed(l)),
            Body::ChangeRejected(r) => Ok(Reply::Rejected(r.reason)),
            Body::ChangePreview(w) => Ok(Reply::Would(w)),
            _ => Err(io::Error::other("an answer to something else")),
        }
    }

    pub fn query(
        &mut self,
        what: What,
        after: u64,
        most: u32,
        empty: Vec<u32>,
    ) -> io::Result<QueryResult> {
        let mut shown = QueryResult::default();
        let mut answer = self.ask(|call| {
            Body::Query(pb::Query {
                call,
                what: what.into(),
                after,
                most,
                empty,
            })
        })?;
        loop {
            let Body::QueryResult(mut part) = answer else {
                return Err(io::Error::other("an answer to something else"));
            };
            let bad = |e: crate::codec::DecodeError| io::Error::other(e.to_string());
            shown
                .state
                .extend(changes_from_proto(std::mem::take(&mut part.state)).map_err(bad)?);
            let revisions = std::mem::take(&mut part.revisions)
                .into_iter()
                .map(revision_from_proto);
            shown
                .revisions
                .extend(revisions.collect::<Result<Vec<_>, _>>().map_err(bad)?);
            (shown.version, shown.stable, shown.epoch) = (
                Version(part.version),
                Version(part.stable),
                Epoch(part.epoch),
            );
            if !part.more {
                shown.last = part;
                return Ok(shown);
            }
            answer = self.read()?;
        }
    }
}
