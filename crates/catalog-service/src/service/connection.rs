//! One connection: a thread that reads its frames, and one that writes them.
//!
//! The listener calls [`run_connection`] on a separate thread. State: the stream, and partially read
//! frames. Limits: [`MAX_FRAME_BYTES`], [`MAX_QUEUED_FRAMES`] and [`IO_TIMEOUT`].

use super::event::ServiceEvent;
use super::frame_sender::{FrameSender, MAX_QUEUED_FRAMES};
use grebecleat_wire::frame::FrameFault;
use grebecleat_wire::pb::{self, frame::Body};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, frame, VERSION};
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a received frame. A smaller limit rejects large proposals; a larger
/// one lets a peer occupy more memory.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Maximum number of frames that are written with one system call. It bounds the size of the
/// writer's buffer.
const MAX_FRAMES_PER_WRITE: usize = 16;
/// Timeout of a peer's hello, and of each write. A shorter timeout disconnects slow peers; with a
/// longer one a silent peer occupies its connection for longer.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// The reason why a connection ended with an error.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The socket failed, or the hello did not arrive in time.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// A frame is invalid.
    #[error(transparent)]
    Frame(#[from] FrameFault),
    /// The first frame is not a hello of this protocol version.
    #[error("the first frame is not a hello of protocol version {VERSION}")]
    MissingHello,
    /// A frame has no body.
    #[error("expected a frame with a body, found an empty frame")]
    MissingBody,
}

/// Reads a connection's frames until the connection ends. Returns an error if the peer breaks the
/// protocol before or after its hello, or if the hello does not arrive in time.
pub(super) fn run_connection(
    mut stream: TcpStream,
    conn: u64,
    tracer: &Tracer,
    to_owner: &Sender<ServiceEvent>,
) -> Result<(), ConnectionError> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    send_hello(&mut stream)?;
    let mut frames = frame::Reader::new(MAX_FRAME_BYTES);
    let mut reader = ConnectionReader {
        conn,
        tracer,
        to_owner,
        stream: Arc::new(stream.try_clone()?),
        peer: None,
    };
    loop {
        reader.handle_frames(&mut frames)?;
        match frames.fill(&mut stream) {
            Ok(0) => break,
            Ok(_) => {}
            // The peer or this service has closed the connection.
            Err(_) if reader.peer.is_some() => break,
            Err(error) => return Err(error.into()),
        }
    }
    tracer.closed(conn, reader.peer.as_deref().unwrap_or_default());
    Ok(())
}

fn send_hello(stream: &mut TcpStream) -> io::Result<()> {
    let hello = pb::Hello {
        version: VERSION,
        role: pb::Role::State.into(),
        name: "state".into(),
        incarnation: 1,
        max_frame: MAX_FRAME_BYTES as u32,
    };
    let hello = pb::Frame {
        sent_us: clock::micros(clock::now()),
        body: Some(Body::Hello(hello)),
    };
    let mut bytes = Vec::new();
    frame::write(&hello, &mut bytes);
    stream.write_all(&bytes)
}

struct ConnectionReader<'a> {
    conn: u64,
    tracer: &'a Tracer,
    to_owner: &'a Sender<ServiceEvent>,
    stream: Arc<TcpStream>,
    /// Name of the peer; `None` until its hello.
    peer: Option<String>,
}

impl ConnectionReader<'_> {
    /// Passes the complete frames that were read so far to the owner.
    fn handle_frames(&mut self, frames: &mut frame::Reader) -> Result<(), ConnectionError> {
        let now = clock::now();
        let mut read = Vec::new();
        while let Some(frame) = frames.next::<pb::Frame>()? {
            read.push(frame);
        }
        self.tracer.read(self.conn, now, &read);
        for frame in read {
            self.handle_frame(frame)?;
        }
        Ok(())
    }

    fn handle_frame(&mut self, frame: pb::Frame) -> Result<(), ConnectionError> {
        match (frame.body, &self.peer) {
            (Some(Body::Hello(hello)), None) if hello.version == VERSION => {
                Ok(self.handle_hello(hello)?)
            }
            (Some(body), Some(_)) => {
                let _ = self.to_owner.send(ServiceEvent::Frame {
                    conn: self.conn,
                    body: Box::new(body),
                });
                Ok(())
            }
            (Some(_), None) => Err(ConnectionError::MissingHello),
            (None, _) => Err(ConnectionError::MissingBody),
        }
    }

    /// Starts the writer thread, and removes the read timeout: from now on the peer may be silent.
    fn handle_hello(&mut self, hello: pb::Hello) -> io::Result<()> {
        self.stream.set_read_timeout(None)?;
        self.tracer.opened(self.conn, &hello.name);
        self.peer = Some(hello.name.clone());
        let (sender, frames) = mpsc::sync_channel(MAX_QUEUED_FRAMES);
        let conn = self.conn;
        let stream = self.stream.clone();
        let tracer = self.tracer.clone();
        std::thread::spawn(move || write_frames(&stream, conn, &tracer, &frames));
        let _ = self.to_owner.send(ServiceEvent::Connected {
            conn,
            hello: Box::new(hello),
            frames: FrameSender::new(sender, self.stream.clone()),
        });
        Ok(())
    }
}

/// Writes queued frames, several at once, until the queue ends or a write fails.
fn write_frames(mut stream: &TcpStream, conn: u64, tracer: &Tracer, queue: &Receiver<Body>) {
    let mut bytes = Vec::new();
    while let Ok(first) = queue.recv() {
        let now = clock::now();
        let sent_us = clock::micros(now);
        let further = queue.try_iter().take(MAX_FRAMES_PER_WRITE - 1);
        let frames: Vec<pb::Frame> = std::iter::once(first)
            .chain(further)
            .map(|body| pb::Frame {
                sent_us,
                body: Some(body),
            })
            .collect();
        tracer.written(conn, now, &frames);
        bytes.clear();
        for frame in &frames {
            frame::write(frame, &mut bytes);
        }
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
