//! Connections of stand-ins: plain threads, one that reads and one that writes each.

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

const MAX_FRAME: usize = 16 << 20;
const PATIENCE: Duration = Duration::from_secs(5);
static CONNS: AtomicU64 = AtomicU64::new(1);

/// What a stand-in's loop hears. `at` names the listener or dial that the connection belongs to.
#[derive(Debug)]
pub enum PeerEvent {
    Up {
        at: u32,
        conn: u64,
        them: pb::Hello,
        line: PeerConnection,
    },
    Frame {
        at: u32,
        conn: u64,
        waited: Duration,
        body: Body,
    },
    Gone {
        at: u32,
        conn: u64,
    },
}

/// The way out of one connection.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    frames: Sender<Body>,
    stream: Arc<TcpStream>,
}

impl PeerConnection {
    pub fn send(&self, body: Body) {
        let _ = self.frames.send(body);
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn hello(role: pb::Role, name: &str, incarnation: u64) -> pb::Hello {
    let max_frame = MAX_FRAME as u32;
    pb::Hello {
        version: VERSION,
        role: role.into(),
        name: name.into(),
        incarnation,
        max_frame,
    }
}

/// Listens; every caller that greets properly is heard of. While `shut` is set callers are hung up
/// on.
pub fn listen(
    listener: TcpListener,
    at: u32,
    me: pb::Hello,
    tracer: Tracer,
    shut: Arc<AtomicBool>,
    to: Sender<PeerEvent>,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if shut.load(Ordering::Relaxed) {
                continue;
            }
            let (me, tracer, to) = (me.clone(), tracer.clone(), to.clone());
            std::thread::spawn(move || drop(converse(stream, at, me, tracer, to)));
        }
    });
}

/// Dials, and then is heard like a caller.
pub fn dial(
    address: SocketAddr,
    at: u32,
    me: pb::Hello,
    tracer: Tracer,
    to: Sender<PeerEvent>,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    std::thread::spawn(move || drop(converse(stream, at, me, tracer, to)));
    Ok(())
}

fn converse(
    mut stream: TcpStream,
    at: u32,
    me: pb::Hello,
    tracer: Tracer,
    to: Sender<PeerEvent>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    let sent_us = clock::micros(clock::now());
    frame::write(
        &pb::Frame {
            sent_us,
            body: Some(Body::Hello(me)),
        },
        &mut bytes,
    );
    stream.write_all(&bytes)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut reader = frame::Reader::new(MAX_FRAME);
    let conn = CONNS.fetch_add(1, Ordering::Relaxed);
    let (frames, from) = mpsc::channel();
    let mut from = Some(from);
    let own = Arc::new(stream.try_clone()?);
    let mut delay = Delay::default();
    let mut up = false;
    let mut name = String::new();
    loop {
        let mut read = Vec::new();
        let now = clock::now();
        while let Ok(Some(f)) = reader
            .next::<pb::Frame>()
            .map_err(|_| own.shutdown(Shutdown::Both))
        {
            read.push(f);
        }
        tracer.read(conn, now, &read);
        for f in read {
            let waited = delay.waited(f.sent_us, now);
            match f.body {
                Some(Body::Hello(them)) if !up && them.version == VERSION => {
                    stream.set_read_timeout(None)?;
                    (up, name) = (true, them.name.clone());
                    tracer.opened(conn, &name);
                    let (writer, tracer) = (own.clone(), tracer.clone());
                    let line = PeerConnection {
                        frames: frames.clone(),
                        stream: own.clone(),
                    };
                    let _ = to.send(PeerEvent::Up {
                        at,
                        conn,
                        them,
                        line,
                    });
                    if let Some(from) = from.take() {
                        std::thread::spawn(move || write_on(&writer, conn, &tracer, &from));
                    }
                }
                Some(body) if up => drop(to.send(PeerEvent::Frame {
                    at,
                    conn,
                    waited,
                    body,
                })),
                _ => drop(stream.shutdown(Shutdown::Both)),
            }
        }
        match reader.fill(&mut stream) {
            Ok(n) if n > 0 => {}
            _ => break,
        }
    }
    let _ = own.shutdown(Shutdown::Both);
    if up {
        tracer.closed(conn, &name);
        let _ = to.send(PeerEvent::Gone { at, conn });
    }
    Ok(())
}

fn write_on(mut stream: &TcpStream, conn: u64, tracer: &Tracer, from: &Receiver<Body>) {
    let mut bytes = Vec::new();
    while let Ok(first) = from.recv() {
        let now = clock::now();
        let sent_us = clock::micros(now);
        let bodies = std::iter::once(first).chain(from.try_iter().take(255));
        let frames: Vec<_> = bodies
            .map(|b| pb::Frame {
                sent_us,
                body: Some(b),
            })
            .collect();
        tracer.written(conn, now, &frames);
        bytes.clear();
        frames.iter().for_each(|f| _ = frame::write(f, &mut bytes));
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}
