//! Blocking client of the state service for operators: one connection, one call at a time.
//!
//! The operator's commands and the benchmark call it. A call without an answer for thirty seconds
//! fails. After an error the state of the connection is unknown, and the caller has to connect
//! again.

use crate::codec::{changes_from_proto, revision_from_proto, DecodeError};
use grebecleat_catalog::change::{Change, Revision};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::Version;
use grebecleat_wire::frame::FrameFault;
use grebecleat_wire::pb::{self, frame::Body, query::What};
use grebecleat_wire::{clock, frame, VERSION};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum size of a received frame. The service sends frames of about 128 KiB, or one record; a
/// smaller limit would fail on large records.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Timeout of the connection attempt, and of each read. A shorter timeout expires while the service
/// computes moves; with a longer one an operator waits longer for a service that does not answer.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason why a frame of the service is not accepted. Operators see its text.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The peer's first frame is not the hello of a state service.
    #[error("{address}: expected the hello of a state service, found another frame or role")]
    NotStateService {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The service closed the connection.
    #[error("the state service closed the connection before it answered")]
    Disconnected,
    /// A frame is invalid.
    #[error(transparent)]
    Frame(#[from] FrameFault),
    /// A frame has no body.
    #[error("the state service sent a frame without a body; expected an answer")]
    MissingBody,
    /// A frame is not of a type that answers the call.
    #[error("the state service sent a frame of another type than the answers to the call")]
    UnexpectedAnswer,
    /// A change or a revision of an answer is invalid.
    #[error(transparent)]
    Content(#[from] DecodeError),
}

impl From<ProtocolError> for io::Error {
    fn from(error: ProtocolError) -> Self {
        io::Error::other(error)
    }
}

/// A connection to the state service.
pub struct Client {
    stream: TcpStream,
    reader: frame::Reader,
    last_call: u64,
}

/// The result of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The change is in force, or scheduled.
    Committed(pb::ChangeCommitted),
    /// The change is rejected, and nothing has changed; the reason, for the operator.
    Rejected(String),
    /// The call was a dry run; the objections to the change.
    Preview(pb::ChangePreview),
}

/// The result of a query, assembled from its parts.
#[derive(Debug, Clone, Default)]
pub struct QueryResult {
    /// Version of the catalog.
    pub version: Version,
    /// The stable version: every host has acknowledged it, or its lease is over.
    pub stable: Version,
    /// The epoch of the catalog's history.
    pub epoch: Epoch,
    /// One change for each subject that exists, for a query of the state.
    pub state: Vec<Change>,
    /// Revisions, oldest first, for a query of the audit log.
    pub revisions: Vec<Revision>,
    /// The last part as received: hosts, unmet reservations, moves, faults of the store.
    pub last: pb::QueryResult,
}

impl Client {
    /// Connects to a state service. `name`: identifies this client in the service's trace.
    pub fn connect(address: SocketAddr, name: &str) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        let mut client = Client {
            stream,
            reader: frame::Reader::new(MAX_FRAME_BYTES),
            last_call: 0,
        };
        client.write(Body::Hello(pb::Hello {
            version: VERSION,
            role: pb::Role::Operator.into(),
            name: name.into(),
            incarnation: u64::from(std::process::id()),
            max_frame: MAX_FRAME_BYTES as u32,
        }))?;
        match client.read()? {
            Body::Hello(hello) if hello.role() == pb::Role::State => Ok(client),
            _ => Err(ProtocolError::NotStateService { address }.into()),
        }
    }

    fn write(&mut self, body: Body) -> io::Result<()> {
        let frame = pb::Frame {
            sent_us: clock::micros(clock::now()),
            body: Some(body),
        };
        let mut bytes = Vec::new();
        frame::write(&frame, &mut bytes);
        self.stream.write_all(&bytes)
    }

    fn read(&mut self) -> io::Result<Body> {
        loop {
            let frame = self.reader.next::<pb::Frame>();
            if let Some(frame) = frame.map_err(ProtocolError::Frame)? {
                return Ok(frame.body.ok_or(ProtocolError::MissingBody)?);
            }
            if self.reader.fill(&mut self.stream)? == 0 {
                return Err(ProtocolError::Disconnected.into());
            }
        }
    }

    /// Sends a call, and reads until the first frame of its answer. Discards frames of other calls.
    fn call(&mut self, body: impl FnOnce(u64) -> Body) -> io::Result<Body> {
        self.last_call += 1;
        let call = self.last_call;
        self.write(body(call))?;
        loop {
            let answer = self.read()?;
            if answered_call(&answer) == Some(call) {
                return Ok(answer);
            }
        }
    }

    /// Sends a change, an undo, or another decision of an operator. `body`: receives the number of
    /// the call.
    pub fn change(&mut self, body: impl FnOnce(u64) -> Body) -> io::Result<Reply> {
        match self.call(body)? {
            Body::ChangeCommitted(committed) => Ok(Reply::Committed(committed)),
            Body::ChangeRejected(rejected) => Ok(Reply::Rejected(rejected.reason)),
            Body::ChangePreview(preview) => Ok(Reply::Preview(preview)),
            _ => Err(ProtocolError::UnexpectedAnswer.into()),
        }
    }

    /// Queries the service.
    ///
    /// `after`, `most`: for the audit log, the newest `most` revisions after that version (0: all).
    /// `empty`: for a proposal of moves, the nodes from which all extents have to be moved.
    pub fn query(
        &mut self,
        what: What,
        after: u64,
        most: u32,
        empty: Vec<u32>,
    ) -> io::Result<QueryResult> {
        let mut result = QueryResult::default();
        let mut answer = self.call(|call| {
            Body::Query(pb::Query {
                call,
                what: what.into(),
                after,
                most,
                empty,
            })
        })?;
        loop {
            let Body::QueryResult(part) = answer else {
                return Err(ProtocolError::UnexpectedAnswer.into());
            };
            let more = part.more;
            result.add(part).map_err(ProtocolError::Content)?;
            if !more {
                return Ok(result);
            }
            answer = self.read()?;
        }
    }
}

impl QueryResult {
    /// Adds a part of the answer.
    fn add(&mut self, mut part: pb::QueryResult) -> Result<(), DecodeError> {
        let state = changes_from_proto(std::mem::take(&mut part.state))?;
        self.state.extend(state);
        for revision in std::mem::take(&mut part.revisions) {
            self.revisions.push(revision_from_proto(revision)?);
        }
        self.version = Version(part.version);
        self.stable = Version(part.stable);
        self.epoch = Epoch(part.epoch);
        if !part.more {
            self.last = part;
        }
        Ok(())
    }
}

/// Returns the number of the call that a frame answers; `None` if the frame is not an answer.
fn answered_call(answer: &Body) -> Option<u64> {
    match answer {
        Body::ChangeCommitted(committed) => Some(committed.call),
        Body::ChangeRejected(rejected) => Some(rejected.call),
        Body::ChangePreview(preview) => Some(preview.call),
        Body::QueryResult(result) => Some(result.call),
        _ => None,
    }
}
