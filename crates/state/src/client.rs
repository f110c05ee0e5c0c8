//! An operator's side of the state service's wire: one connection, one question at a time.

use crate::codec::{changes_of, entry_of};
use grebecleat_plans::changes::{Change, Entry, Version};
use grebecleat_plans::source::Era;
use grebecleat_wire::pb::{self, frame::Body, look::What};
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
pub enum Came {
    Landed(pb::Landed),
    Refused(String),
    /// It was only looked at.
    Would(pb::Would),
}

/// What the service shows, put together.
#[derive(Debug, Clone, Default)]
pub struct Shown {
    pub version: Version,
    pub settled: Version,
    pub era: Era,
    pub state: Vec<Change>,
    pub entries: Vec<Entry>,
    /// The last part as it came: hosts, what is missing, moves, trouble.
    pub last: pb::Shown,
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
                Body::Landed(l) => l.call,
                Body::Refused(r) => r.call,
                Body::Would(w) => w.call,
                Body::Shown(s) => s.call,
                _ => continue,
            };
            if of == call {
                return Ok(answer);
            }
        }
    }

    /// A change, an undo, or an operator's word; `body` gets the number of the question.
    pub fn change(&mut self, body: impl FnOnce(u64) -> Body) -> io::Result<Came> {
        match self.ask(body)? {
            Body::Landed(l) => Ok(Came::Landed(l)),
            Body::Refused(r) => Ok(Came::Refused(r.why)),
            Body::Would(w) => Ok(Came::Would(w)),
            _ => Err(io::Error::other("an answer to something else")),
        }
    }

    pub fn look(
        &mut self,
        what: What,
        after: u64,
        most: u32,
        empty: Vec<u32>,
    ) -> io::Result<Shown> {
        let mut shown = Shown::default();
        let mut answer = self.ask(|call| {
            Body::Look(pb::Look {
                call,
                what: what.into(),
                after,
                most,
                empty,
            })
        })?;
        loop {
            let Body::Shown(mut part) = answer else {
                return Err(io::Error::other("an answer to something else"));
            };
            let bad = |e: crate::codec::NoChange| io::Error::other(e.to_string());
            shown
                .state
                .extend(changes_of(std::mem::take(&mut part.state)).map_err(bad)?);
            let entries = std::mem::take(&mut part.entries).into_iter().map(entry_of);
            shown
                .entries
                .extend(entries.collect::<Result<Vec<_>, _>>().map_err(bad)?);
            (shown.version, shown.settled, shown.era) =
                (Version(part.version), Version(part.settled), Era(part.era));
            if !part.more {
                shown.last = part;
                return Ok(shown);
            }
            answer = self.read()?;
        }
    }
}
