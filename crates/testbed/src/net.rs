//! Connections of the testbed, each with a reader thread and a writer thread.
//!
//! [`crate::serve`] and [`crate::clients`] call it. The threads send a [`PeerEvent`] for each event
//! of a connection, and the caller's loop responds through a [`PeerConnection`]. A connection owns its
//! socket; the only state that connections share is the counter of connections.
//!
//! Bounds: `MAX_FRAME` bytes for each frame; the frames that are queued for the writer are not bounded.

use grebecleat_wire::delay::Delay;
use grebecleat_wire::pb::{self, frame::Body};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, frame, VERSION};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Limit on the bytes of one frame. A smaller limit rejects large writes; a larger one lets a
/// faulty peer take more memory.
const MAX_FRAME: usize = 16 << 20;
/// Timeout of a dial, and of the peer's greeting. A shorter one drops peers on a busy machine; a
/// longer one holds a thread for a silent peer.
const GREETING_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on the frames that one system call writes. A larger limit delays the first of them.
const MAX_WRITE_BATCH: usize = 256;
/// The number of the next connection of this process.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// An event of a connection. `source` names the listener or the dial that the connection belongs
/// to; `conn` is the connection's number in this process.
#[derive(Debug)]
pub enum PeerEvent {
    /// The peer greeted with a supported version.
    Connected {
        /// The listener or the dial.
        source: u32,
        /// The connection's number.
        conn: u64,
        /// The peer's greeting.
        peer: pb::Hello,
        /// The sending side of the connection.
        connection: PeerConnection,
    },
    /// A frame was received.
    Frame {
        /// The listener or the dial.
        source: u32,
        /// The connection's number.
        conn: u64,
        /// The time that the frame spent in transit and in queues.
        waited: Duration,
        /// The frame's content.
        body: Body,
    },
    /// A connection closed whose peer had greeted.
    Closed {
        /// The listener or the dial.
        source: u32,
        /// The connection's number.
        conn: u64,
    },
}

/// The sending side of one connection.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    frames: Sender<Body>,
    stream: Arc<TcpStream>,
}

impl PeerConnection {
    /// Queues a frame for the writer. A frame to a closed connection is dropped.
    pub fn send(&self, body: Body) {
        let _ = self.frames.send(body);
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Returns the greeting of a process of the testbed.
pub fn hello(role: pb::Role, name: &str, incarnation: u64) -> pb::Hello {
    pb::Hello {
        version: VERSION,
        role: role.into(),
        name: name.into(),
        incarnation,
        max_frame: MAX_FRAME as u32,
    }
}

/// Accepts connections in a separate thread. While `closed` is set, connections are dropped.
pub fn listen(
    listener: TcpListener,
    source: u32,
    me: pb::Hello,
    tracer: Tracer,
    closed: Arc<AtomicBool>,
    events: Sender<PeerEvent>,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if closed.load(Ordering::Relaxed) {
                continue;
            }
            spawn_reader(stream, source, me.clone(), tracer.clone(), events.clone());
        }
    });
}

/// Opens a connection; it has the same events as an accepted one.
///
/// # Errors
///
/// Returns an error if nothing accepts the connection in time.
pub fn dial(
    address: SocketAddr,
    source: u32,
    me: pb::Hello,
    tracer: Tracer,
    events: Sender<PeerEvent>,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, GREETING_TIMEOUT)?;
    spawn_reader(stream, source, me, tracer, events);
    Ok(())
}

fn spawn_reader(
    stream: TcpStream,
    source: u32,
    me: pb::Hello,
    tracer: Tracer,
    events: Sender<PeerEvent>,
) {
    std::thread::spawn(move || {
        // An error closes only this connection, which its peer observes.
        let _ = greet(stream, me)
            .and_then(|stream| ConnectionReader::new(stream, source, tracer, events)?.run());
    });
}

/// Sends the greeting, and sets the timeout for the peer's greeting.
fn greet(mut stream: TcpStream, me: pb::Hello) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    let greeting = pb::Frame {
        sent_us: clock::micros(clock::now()),
        body: Some(Body::Hello(me)),
    };
    frame::write(&greeting, &mut bytes);
    stream.write_all(&bytes)?;
    stream.set_read_timeout(Some(GREETING_TIMEOUT))?;
    Ok(stream)
}

/// The reading thread of one connection. It starts the writing thread once the peer greets.
struct ConnectionReader {
    source: u32,
    conn: u64,
    stream: TcpStream,
    shared_stream: Arc<TcpStream>,
    reader: frame::Reader,
    tracer: Tracer,
    events: Sender<PeerEvent>,
    delay: Delay,
    /// The peer's name, after its greeting.
    peer: Option<String>,
}

impl ConnectionReader {
    fn new(
        stream: TcpStream,
        source: u32,
        tracer: Tracer,
        events: Sender<PeerEvent>,
    ) -> io::Result<Self> {
        let conn = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
        let shared_stream = Arc::new(stream.try_clone()?);
        Ok(ConnectionReader {
            source,
            conn,
            stream,
            shared_stream,
            reader: frame::Reader::new(MAX_FRAME),
            tracer,
            events,
            delay: Delay::default(),
            peer: None,
        })
    }

    /// Reads until the connection closes.
    fn run(mut self) -> io::Result<()> {
        loop {
            let now = clock::now();
            let frames = self.decode();
            self.tracer.read(self.conn, now, &frames);
            for frame in frames {
                self.receive(frame, now)?;
            }
            match self.reader.fill(&mut self.stream) {
                Ok(count) if count > 0 => {}
                _ => break,
            }
        }
        self.shut_down();
        if let Some(peer) = &self.peer {
            self.tracer.closed(self.conn, peer);
            let (source, conn) = (self.source, self.conn);
            let _ = self.events.send(PeerEvent::Closed { source, conn });
        }
        Ok(())
    }

    /// Returns the complete frames among the bytes that were read. A malformed frame closes the
    /// connection.
    fn decode(&mut self) -> Vec<pb::Frame> {
        let mut frames = Vec::new();
        loop {
            match self.reader.next::<pb::Frame>() {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => return frames,
                Err(_) => {
                    self.shut_down();
                    return frames;
                }
            }
        }
    }

    fn receive(&mut self, frame: pb::Frame, now: Duration) -> io::Result<()> {
        let waited = self.delay.waited(frame.sent_us, now);
        let (source, conn) = (self.source, self.conn);
        match frame.body {
            Some(Body::Hello(peer)) if self.peer.is_none() && peer.version == VERSION => {
                self.accept_greeting(peer)?;
            }
            Some(body) if self.peer.is_some() => {
                let _ = self.events.send(PeerEvent::Frame {
                    source,
                    conn,
                    waited,
                    body,
                });
            }
            _ => self.shut_down(),
        }
        Ok(())
    }

    fn accept_greeting(&mut self, peer: pb::Hello) -> io::Result<()> {
        self.stream.set_read_timeout(None)?;
        self.peer = Some(peer.name.clone());
        self.tracer.opened(self.conn, &peer.name);
        let (frames, queued) = mpsc::channel();
        let connection = PeerConnection {
            frames,
            stream: self.shared_stream.clone(),
        };
        let conn = self.conn;
        let _ = self.events.send(PeerEvent::Connected {
            source: self.source,
            conn,
            peer,
            connection,
        });
        let stream = self.shared_stream.clone();
        let tracer = self.tracer.clone();
        std::thread::spawn(move || write_frames(&stream, conn, &tracer, &queued));
        Ok(())
    }

    fn shut_down(&self) {
        let _ = self.shared_stream.shutdown(Shutdown::Both);
    }
}

/// Writes the queued frames in batches, until the connection closes.
fn write_frames(mut stream: &TcpStream, conn: u64, tracer: &Tracer, queued: &Receiver<Body>) {
    let mut bytes = Vec::new();
    while let Ok(first) = queued.recv() {
        let now = clock::now();
        let sent_us = clock::micros(now);
        let bodies = std::iter::once(first).chain(queued.try_iter().take(MAX_WRITE_BATCH - 1));
        let frames: Vec<pb::Frame> = bodies
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
            return;
        }
    }
}
