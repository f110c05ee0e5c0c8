//! One connection: greeting, reading and writing until it ends.

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

/// Bytes that a writer takes from its outbox at a time.
const MAX_WRITE: usize = 128 << 10;
/// A larger buffer is given back: one large frame must not be paid for by every idle connection.
const MAX_BUFFER: usize = 4 * MAX_WRITE;

/// Why a connection has ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] FrameFault),
    #[error("speaks version {theirs}, expected {VERSION}")]
    Version { theirs: u32 },
    #[error("no greeting")]
    NoGreeting,
    #[error("no greeting: {0}")]
    NoGreetingInTime(io::Error),
    #[error("hung up before a greeting")]
    EndBeforeGreeting,
    #[error("hung up inside a frame")]
    EndInsideFrame,
    #[error("half a frame, then silence")]
    SilentInsideFrame,
    #[error("{found} where {expected} was expected")]
    UnexpectedRole {
        found: &'static str,
        expected: &'static str,
    },
    #[error("{0} is no client")]
    NoClient(&'static str),
    #[error("unknown host {0}")]
    UnknownHost(String),
    #[error("a host sent no word")]
    UnexpectedPeerMessage,
    #[error("the host has ended")]
    HostEnded,
}

/// What a connection's reader hands to the owner.
pub(super) type FramesInput = Box<dyn Fn(Duration, Vec<pb::Frame>) -> Input + Send>;
/// How the owner hears that the connection is up.
pub(super) type UpInput = Box<dyn FnOnce(Arc<Outbox>) -> Input + Send>;

/// Both sides say who they are. A peer of another version is told ours before it is disconnected.
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
                _ => Err(ConnectionError::NoGreeting),
            };
        }
        match reader.fill(stream) {
            Ok(0) => return Err(ConnectionError::EndBeforeGreeting),
            Ok(_) => {}
            Err(error) => return Err(ConnectionError::NoGreetingInTime(error)),
        }
    }
}

/// Serves a connection whose peer has greeted, until it ends.
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
        outbox.note_cancels(&read);
        let sent = shared.to_owner.send(frames(at, read));
        sent.map_err(|_| ConnectionError::HostEnded)
    });
    outbox.close();
    tracer.closed(conn.0, &peer.name);
    ended
}

/// Reads frames until the peer ends; a frame that has begun must go on within the time-out.
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
        let begun = reader.partial() > 0;
        stream.set_read_timeout(begun.then_some(timeout))?;
        match reader.fill(stream) {
            Ok(0) if begun => return Err(ConnectionError::EndInsideFrame),
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => return Err(ConnectionError::SilentInsideFrame),
            Err(error) => return Err(error.into()),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    use io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

/// Wakes a connection's writer.
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

    fn lower(&self) {
        self.raised.store(false, Ordering::Release);
    }
}

/// A writer's socket, by its descriptor, which is void once the writer has ended.
struct WriterSocket(Mutex<Option<RawFd>>);

impl WriterSocket {
    /// Frees a writer that waits in a full socket.
    fn shut_down(&self) {
        if let Some(descriptor) = *self.0.lock().unwrap_or_else(|e| e.into_inner()) {
            // SAFETY: the writer takes the number away, under this lock, before its socket closes.
            unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
        }
    }

    fn forget(&self) {
        *self.0.lock().unwrap_or_else(|e| e.into_inner()) = None;
    }
}

/// Starts the coroutine that writes a connection's outbox.
fn start_writer(mut stream: TcpStream, conn: ConnId, tracer: Tracer) -> Arc<Outbox> {
    let signal = Arc::new(WriterSignal::new());
    let socket = Arc::new(WriterSocket(Mutex::new(Some(stream.as_raw_fd()))));
    let (raised, shut) = (signal.clone(), socket.clone());
    let outbox = Arc::new(Outbox::new(
        move || raised.raise(),
        move || shut.shut_down(),
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
        signal.lower();
        let batch = outbox.take_batch(clock::now, MAX_WRITE);
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
        if bytes.capacity() > MAX_BUFFER {
            bytes = Vec::new();
        }
    }
}
