//! Trace files: what crossed the sockets of one process, for the audit.
//!
//! A frame is recorded before it is written and after it is read, and each record goes to the file
//! at once: a process that is killed leaves all that it may have sent. Data is left out but for its
//! length and checksum. The file has a bound; at the bound a last record says that it was cut, and
//! the audit then refuses to judge.

use crate::pb::{self, frame::Body, record::Kind, Record};
use crate::{clock, frame};
use bytes::Bytes;
use std::fs::{File, OpenOptions};
use std::hash::{DefaultHasher, Hasher};
use std::io::{self, Read, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Debug)]
struct Sink {
    file: File,
    left: u64,
    scratch: Vec<u8>,
}

/// Where a process records; without a file nothing is recorded.
#[derive(Debug, Clone, Default)]
pub struct Tracer(Option<Arc<Mutex<Sink>>>);

impl Tracer {
    /// A new file at the path, with a first record of who writes.
    pub fn create(path: &Path, most: u64, who: pb::Hello) -> io::Result<Self> {
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(path)?;
        let sink = Sink {
            file,
            left: most,
            scratch: Vec::new(),
        };
        let tracer = Tracer(Some(Arc::new(Mutex::new(sink))));
        tracer.put([Record {
            kind: Kind::Process.into(),
            process: Some(who),
            ..Record::default()
        }]);
        Ok(tracer)
    }

    pub fn is_on(&self) -> bool {
        self.0.is_some()
    }

    pub fn opened(&self, conn: u64, peer: &str) {
        self.put([Record {
            kind: Kind::Opened.into(),
            conn,
            peer: peer.into(),
            ..Record::default()
        }]);
    }

    pub fn closed(&self, conn: u64, peer: &str) {
        self.put([Record {
            kind: Kind::Closed.into(),
            conn,
            peer: peer.into(),
            ..Record::default()
        }]);
    }

    /// Frames read at that moment.
    pub fn read(&self, conn: u64, at: Duration, frames: &[pb::Frame]) {
        self.frames(Kind::In, conn, at, frames);
    }

    /// Frames that from that moment on can no longer be kept from the socket.
    pub fn written(&self, conn: u64, at: Duration, frames: &[pb::Frame]) {
        self.frames(Kind::Out, conn, at, frames);
    }

    pub fn mark(&self, mark: pb::Marked) {
        self.put([Record {
            kind: Kind::Mark.into(),
            mark: Some(mark),
            ..Record::default()
        }]);
    }

    /// A PDU read from a portal's connection, or one that can no longer be kept from it. `blocks`:
    /// its data is a command's.
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
        let sums = if blocks {
            data.chunks(BLOCK).map(block_sum).collect()
        } else {
            Vec::new()
        };
        let header = Bytes::copy_from_slice(header);
        let target = target.unwrap_or_default().to_string();
        let pdu = pb::Pdu {
            header,
            blocks: sums,
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
            self.put(frames.iter().map(|f| Record {
                at_ns,
                ..bare(kind, conn, f)
            }));
        }
    }

    fn put(&self, records: impl IntoIterator<Item = Record>) {
        let Some(sink) = &self.0 else { return };
        let mut sink = sink.lock().unwrap_or_else(|e| e.into_inner());
        if sink.left == 0 {
            return;
        }
        let mut scratch = std::mem::take(&mut sink.scratch);
        scratch.clear();
        for mut record in records {
            if record.at_ns == 0 {
                record.at_ns = clock::now().as_nanos() as u64;
            }
            frame::write(&record, &mut scratch);
        }
        sink.left = sink.left.saturating_sub(scratch.len() as u64);
        if sink.left == 0 {
            let at_ns = clock::now().as_nanos() as u64;
            frame::write(
                &Record {
                    at_ns,
                    kind: Kind::Cut.into(),
                    ..Record::default()
                },
                &mut scratch,
            );
        }
        if sink.file.write_all(&scratch).is_err() {
            sink.left = 0; // a full disk must not stop the host; the audit sees that the trace ends early
        }
        sink.scratch = scratch;
    }
}

/// Blocks that are summed one by one.
pub const BLOCK: usize = 512;

/// What tells one block's content from another's in a trace; not proof against who wants them
/// alike.
pub fn block_sum(block: &[u8]) -> u64 {
    let mut sum = DefaultHasher::new(); // with its fixed keys: alike in all processes of one build
    sum.write(block);
    sum.finish()
}

/// The frame without its data, whose length and checksum stay.
fn bare(kind: Kind, conn: u64, frame: &pb::Frame) -> Record {
    let mut frame = frame.clone();
    let data = match &mut frame.body {
        Some(Body::SubmitRequest(m)) => std::mem::take(&mut m.data),
        Some(Body::Response(m)) => std::mem::take(&mut m.data),
        Some(Body::Attempt(m)) => std::mem::take(&mut m.data),
        Some(Body::AttemptResponse(m)) => std::mem::take(&mut m.data),
        _ => Bytes::new(),
    };
    let (data_len, data_crc) = (data.len() as u32, crc32c::crc32c(&data));
    Record {
        kind: kind.into(),
        conn,
        frame: Some(frame),
        data_len,
        data_crc,
        ..Record::default()
    }
}

/// All records of a file. A torn last record, as a kill leaves it, is dropped; other damage is a
/// fault.
pub fn read_file(path: &Path) -> io::Result<Vec<Record>> {
    let mut reader = frame::Reader::new(64 << 20);
    let mut bytes = Vec::new();
    File::open(path)?.read_to_end(&mut bytes)?;
    reader.push(&bytes);
    let mut records = Vec::new();
    loop {
        match reader.next::<Record>() {
            Ok(Some(r)) => records.push(r),
            Ok(None) => return Ok(records),
            Err(fault) => {
                let what = format!(
                    "{}: after {} records: {fault}",
                    path.display(),
                    records.len()
                );
                return Err(io::Error::new(io::ErrorKind::InvalidData, what));
            }
        }
    }
}
