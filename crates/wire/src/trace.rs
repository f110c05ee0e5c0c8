//! Trace files: records of the frames of one process, for the trace checker.
//!
//! A frame is recorded before it is written and after it is read. Each record goes to the file at
//! once, so that a killed process leaves records of all frames that it may have sent. The records
//! contain the length and checksum of data, and not the data. The file has a bound. At the bound a
//! last record states that the trace is cut; the trace checker then reports no result.
//!
//! State: the open file and its remaining bytes, which all threads of a process share.

use crate::frame::FrameFault;
use crate::pb::{self, frame::Body, record::Kind, Record};
use crate::{clock, frame};
use bytes::Bytes;
use std::fs::{File, OpenOptions};
use std::hash::{DefaultHasher, Hasher};
use std::io::{self, Read, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes of the largest record that is read.
const MAX_RECORD_BYTES: usize = 64 << 20;

#[derive(Debug)]
struct Sink {
    file: File,
    /// Bytes that may still be written; 0 after the bound, and after the disk failed.
    remaining: u64,
    /// The frames of one write, whose allocation each write reuses.
    buffer: Vec<u8>,
}

/// The trace of a process; without a file it records nothing.
#[derive(Debug, Clone, Default)]
pub struct Tracer(Option<Arc<Mutex<Sink>>>);

impl Tracer {
    /// Creates a trace file, and records the process that writes it. `max_bytes`: the bound of the
    /// file.
    pub fn create(path: &Path, max_bytes: u64, process: pb::Hello) -> io::Result<Self> {
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(path)?;
        let sink = Sink {
            file,
            remaining: max_bytes,
            buffer: Vec::new(),
        };
        let tracer = Tracer(Some(Arc::new(Mutex::new(sink))));
        tracer.put([Record {
            kind: Kind::Process.into(),
            process: Some(process),
            ..Record::default()
        }]);
        Ok(tracer)
    }

    /// Returns whether the process records a trace.
    pub fn is_on(&self) -> bool {
        self.0.is_some()
    }

    /// Records that a connection is open. `peer`: the name of its hello.
    pub fn opened(&self, conn: u64, peer: &str) {
        self.put([Record {
            kind: Kind::Opened.into(),
            conn,
            peer: peer.into(),
            ..Record::default()
        }]);
    }

    /// Records that a connection is closed. `peer`: the name of its hello.
    pub fn closed(&self, conn: u64, peer: &str) {
        self.put([Record {
            kind: Kind::Closed.into(),
            conn,
            peer: peer.into(),
            ..Record::default()
        }]);
    }

    /// Records frames that were read at the time `at`.
    pub fn read(&self, conn: u64, at: Duration, frames: &[pb::Frame]) {
        self.frames(Kind::In, conn, at, frames);
    }

    /// Records frames that are written after the time `at`.
    pub fn written(&self, conn: u64, at: Duration, frames: &[pb::Frame]) {
        self.frames(Kind::Out, conn, at, frames);
    }

    /// Records a mark of the process.
    pub fn mark(&self, mark: pb::Marked) {
        self.put([Record {
            kind: Kind::Mark.into(),
            mark: Some(mark),
            ..Record::default()
        }]);
    }

    /// Records a PDU that was read from a portal's connection, or that is about to be written to
    /// it. `blocks`: the data belongs to a command.
    pub fn pdu(
        &self,
        kind: Kind,
        conn: u64,
        header: &[u8],
        data: &[u8],
        blocks: bool,
        target: Option<&str>,
    ) {
        if !self.is_on() {
            return;
        }
        let block_sums = if blocks {
            data.chunks(BLOCK).map(block_sum).collect()
        } else {
            Vec::new()
        };
        let header = Bytes::copy_from_slice(header);
        let target = target.unwrap_or_default().to_string();
        let pdu = pb::Pdu {
            header,
            blocks: block_sums,
            data_len: data.len() as u32,
            target,
        };
        self.put([Record {
            kind: kind.into(),
            conn,
            pdu: Some(pdu),
            ..Record::default()
        }]);
    }

    /// Records that a portal's connection is closed.
    pub fn line_closed(&self, conn: u64) {
        self.put([Record {
            kind: Kind::LineClosed.into(),
            conn,
            ..Record::default()
        }]);
    }

    fn frames(&self, kind: Kind, conn: u64, at: Duration, frames: &[pb::Frame]) {
        let at_ns = at.as_nanos() as u64;
        if self.is_on() && !frames.is_empty() {
            self.put(frames.iter().map(|frame| Record {
                at_ns,
                ..without_data(kind, conn, frame)
            }));
        }
    }

    fn put(&self, records: impl IntoIterator<Item = Record>) {
        let Some(sink) = &self.0 else { return };
        let mut sink = sink.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if sink.remaining == 0 {
            return;
        }
        let mut buffer = std::mem::take(&mut sink.buffer);
        buffer.clear();
        for mut record in records {
            if record.at_ns == 0 {
                record.at_ns = clock::now().as_nanos() as u64;
            }
            frame::write(&record, &mut buffer);
        }
        sink.remaining = sink.remaining.saturating_sub(buffer.len() as u64);
        if sink.remaining == 0 {
            let cut = Record {
                at_ns: clock::now().as_nanos() as u64,
                kind: Kind::Cut.into(),
                ..Record::default()
            };
            frame::write(&cut, &mut buffer);
        }
        if sink.file.write_all(&buffer).is_err() {
            // A full disk must not stop the host. The trace checker finds that the trace ends
            // early.
            sink.remaining = 0;
        }
        sink.buffer = buffer;
    }
}

/// Bytes of a block; each block has a checksum of its own.
pub const BLOCK: usize = 512;

/// Returns the checksum by which a trace distinguishes the contents of blocks. It is not
/// cryptographic: a forger can make two contents with the same checksum.
pub fn block_sum(block: &[u8]) -> u64 {
    // The hasher has fixed keys, so that all processes of one build compute the same checksum.
    let mut hasher = DefaultHasher::new();
    hasher.write(block);
    hasher.finish()
}

/// Returns the record of a frame, with the length and checksum of the frame's data instead of the
/// data.
fn without_data(kind: Kind, conn: u64, frame: &pb::Frame) -> Record {
    let mut frame = frame.clone();
    let data = match &mut frame.body {
        Some(Body::SubmitRequest(message)) => std::mem::take(&mut message.data),
        Some(Body::Response(message)) => std::mem::take(&mut message.data),
        Some(Body::Attempt(message)) => std::mem::take(&mut message.data),
        Some(Body::AttemptResponse(message)) => std::mem::take(&mut message.data),
        _ => Bytes::new(),
    };
    Record {
        kind: kind.into(),
        conn,
        frame: Some(frame),
        data_len: data.len() as u32,
        data_crc: crc32c::crc32c(&data),
        ..Record::default()
    }
}

/// A record of a trace file that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{path}: after {records} records: {fault}")]
struct DamagedTrace {
    path: String,
    /// Number of valid records before the damage.
    records: usize,
    #[source]
    fault: FrameFault,
}

/// Returns all records of a file. Drops an incomplete last record, as a killed process leaves it.
///
/// Returns an error if the file cannot be read, or if another record is damaged.
pub fn read_file(path: &Path) -> io::Result<Vec<Record>> {
    let mut reader = frame::Reader::new(MAX_RECORD_BYTES);
    let mut bytes = Vec::new();
    File::open(path)?.read_to_end(&mut bytes)?;
    reader.push(&bytes);
    let mut records = Vec::new();
    loop {
        match reader.next::<Record>() {
            Ok(Some(record)) => records.push(record),
            Ok(None) => return Ok(records),
            Err(fault) => {
                let damaged = DamagedTrace {
                    path: path.display().to_string(),
                    records: records.len(),
                    fault,
                };
                return Err(io::Error::new(io::ErrorKind::InvalidData, damaged));
            }
        }
    }
}
