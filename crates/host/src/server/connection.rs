//! One connection: the greeting, then reading and writing until it ends.
//!
//! The listener and the dials call it in the coroutine that reads the connection; a second coroutine
//! writes it. Memory: the frame that is being read, and one batch that is being written.

use super::Shared;
use crate::outbox::Outbox;
use crate::router::{ConnId, Input};
use grebecleat_wire::frame::{self, FrameFault};
use grebecleat_wire::pb::{self, frame::Body};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, VERSION};
use may::go;
use may::net::TcpStream;
use may::sync::Semphore;
use std::io::{self, Write};
use std::net::Shutdown;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The approximate number of bytes that a writer takes from its outbox at a time. Frames that were taken
/// can no longer be revoked: with a larger batch, more of them are written for requests that have been
/// cancelled meanwhile; a smaller one needs more system calls.
const MAX_BATCH_BYTES: usize = 128 << 10;
/// The largest buffer, in bytes, that a writer retains. Without the bound, every connection that once
/// carried a large frame would retain its memory; with a smaller bound, buffers would be reallocated
/// frequently.
const MAX_RETAINED_BUFFER_BYTES: usize = 4 * MAX_BATCH_BYTES;

/// The error that ended a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] FrameFault),
    #[error("peer has protocol version {theirs}, expected {VERSION}")]
    Version { theirs: u32 },
    #[error("first message is no greeting")]
    FirstMessageNotGreeting,
    #[error("no greeting received: {0}")]
    GreetingNotReceived(io::Error),
    #[error("connection closed by the peer before its greeting")]
    ClosedBeforeGreeting,
    #[error("connection closed by the peer in the middle of a frame")]
    ClosedInsideFrame,
    #[error("incomplete frame timed out")]
    IncompleteFrameTimedOut,
    #[error("peer has role {found}, expected {expected}")]
    UnexpectedRole {
        found: &'static str,
        expected: &'static str,
    },
    #[error("peer has role {0}, expected a client, an operator or a host")]
    UnservedRole(&'static str),
    #[error("unknown host {0}")]
    UnknownHost(String),
    #[error("unexpected message from a host")]
    UnexpectedPeerMessage,
    #[error("this host has shut down")]
    HostShutDown,
}

/// Makes the input by which a connection's reader hands frames to the owner.
pub(super) type FramesInput = Box<dyn Fn(Duration, Vec<pb::Frame>) -> Input + Send>;
/// Makes the input that tells the owner that a connection is up.
pub(super) type UpInput = Box<dyn FnOnce(Arc<Outbox>) -> Input + Send>;

/// Exchanges greetings, and returns the greeting of the peer. A peer with another protocol version
/// receives this host's greeting before it is disconnected.
pub(super) fn greet(
    stream: &mut TcpStream,
    reader: &mut frame::Reader,
    hello: &pb::Hello,
    timeout: Duration,
) -> Result<pb::Hello, ConnectionError> {
    let _ = stream.set_nodelay(true);
    let greeting = pb::Frame {
        sent_us: clock::micros(clock::now()),
        body: Some(Body::Hello(hello.clone())),
    };
    let mut bytes = Vec::new();
    frame::write(&greeting, &mut bytes);
    stream.write_all(&bytes)?;
    stream.set_read_timeout(Some(timeout))?;
    loop {
        if let Some(frame) = reader.next::<pb::Frame>()? {
            return match frame.body {
                Some(Body::Hello(theirs)) if theirs.version == VERSION => Ok(theirs),
                Some(Body::Hello(theirs)) => Err(ConnectionError::Version {
                    theirs: theirs.version,
                }),
                _ => Err(ConnectionError::FirstMessageNotGreeting),
            };
        }
        match reader.fill(stream) {
            Ok(0) => return Err(ConnectionError::ClosedBeforeGreeting),
            Ok(_) => {}
            Err(error) => return Err(ConnectionError::GreetingNotReceived(error)),
        }
    }
}

/// Serves a connection after its greeting, until it ends.
pub(super) fn serve(
    shared: &Shared,
    conn: ConnId,
    mut stream: TcpStream,
    mut reader: frame::Reader,
    peer: &pb::Hello,
    up: UpInput,
    frames: &FramesInput,
) -> Result<(), ConnectionError> {
    let writer = stream.try_clone()?;
    let tracer = &shared.options.tracer;
    tracer.opened(conn.0, &peer.name);
    let outbox = start_writer(writer, conn, tracer.clone());
    shared.send(up(outbox.clone()));
    let timeout = shared.bounds().patience;
    let ended = read_frames(&mut stream, &mut reader, timeout, |at, read| {
        tracer.read(conn.0, at, &read);
        outbox.record_cancellations(&read);
        let sent = shared.to_owner.send(frames(at, read));
        sent.map_err(|_| ConnectionError::HostShutDown)
    });
    outbox.close();
    tracer.closed(conn.0, &peer.name);
    ended
}

/// Reads frames until the peer closes the connection. While a frame is incomplete, more of it must arrive
/// within the time-out.
pub(super) fn read_frames(
    stream: &mut TcpStream,
    reader: &mut frame::Reader,
    timeout: Duration,
    mut handle: impl FnMut(Duration, Vec<pb::Frame>) -> Result<(), ConnectionError>,
) -> Result<(), ConnectionError> {
    loop {
        let mut frames = Vec::new();
        while let Some(frame) = reader.next::<pb::Frame>()? {
            frames.push(frame);
        }
        if !frames.is_empty() {
            handle(clock::now(), frames)?;
        }
        let is_incomplete = reader.partial() > 0;
        stream.set_read_timeout(is_incomplete.then_some(timeout))?;
        match reader.fill(stream) {
            Ok(0) if is_incomplete => return Err(ConnectionError::ClosedInsideFrame),
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {
                return Err(ConnectionError::IncompleteFrameTimedOut)
            }
            Err(error) => return Err(error.into()),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    use io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

/// Wakes a connection's writer when there is new work for it.
struct WriterSignal {
    raised: AtomicBool,
    semaphore: Semphore,
}

impl WriterSignal {
    fn new() -> Self {
        WriterSignal {
            raised: AtomicBool::new(false),
            semaphore: Semphore::new(0),
        }
    }

    fn raise(&self) {
        if !self.raised.swap(true, Ordering::AcqRel) {
            self.semaphore.post();
        }
    }

    fn reset(&self) {
        self.raised.store(false, Ordering::Release);
    }
}

/// The descriptor of a writer's socket, or `None` if the writer has ended.
struct WriterSocket(Mutex<Option<RawFd>>);

impl WriterSocket {
    /// Ends a writer that waits for a socket whose peer does not read.
    fn shut_down(&self) {
        if let Some(descriptor) = *self.0.lock().unwrap_or_else(|e| e.into_inner()) {
            // SAFETY: the writer removes the descriptor under this lock before its socket is closed, so the
            // descriptor belongs to an open socket.
            unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
        }
    }

    fn forget(&self) {
        *self.0.lock().unwrap_or_else(|e| e.into_inner()) = None;
    }
}

/// Starts the coroutine that writes the frames of a connection's outbox.
fn start_writer(mut stream: TcpStream, conn: ConnId, tracer: Tracer) -> Arc<Outbox> {
    let signal = Arc::new(WriterSignal::new());
    let socket = Arc::new(WriterSocket(Mutex::new(Some(stream.as_raw_fd()))));
    let (writer_signal, writer_socket) = (signal.clone(), socket.clone());
    let outbox = Arc::new(Outbox::new(
        move || writer_signal.raise(),
        move || writer_socket.shut_down(),
    ));
    let batches = outbox.clone();
    go!(move || {
        write_batches(&mut stream, &batches, &signal, conn, &tracer);
        socket.forget();
        let _ = stream.shutdown(Shutdown::Both);
    });
    outbox
}

fn write_batches(
    stream: &mut TcpStream,
    outbox: &Outbox,
    signal: &WriterSignal,
    conn: ConnId,
    tracer: &Tracer,
) {
    let mut bytes = Vec::new();
    loop {
        signal.reset();
        let batch = outbox.take_batch(clock::now, MAX_BATCH_BYTES);
        if batch.frames.is_empty() {
            if batch.closed {
                return;
            }
            signal.semaphore.wait();
            continue;
        }
        tracer.written(conn.0, batch.at, &batch.frames);
        bytes.clear();
        for frame in &batch.frames {
            frame::write(frame, &mut bytes);
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        outbox.batch_written();
        if bytes.capacity() > MAX_RETAINED_BUFFER_BYTES {
            bytes = Vec::new();
        }
    }
}
