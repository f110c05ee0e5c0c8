//! Socket I/O of connections: accepting, reading PDUs into events, and writing the queued PDUs.
//!
//! Each connection has a coroutine that reads and one that writes; neither touches the engine.

use super::line::{OutgoingPdu, ReaderLimits, SendQueue};
use super::owner::Event;
use crate::engine::{ConnNo, Input};
use grebecleat_iscsi::keys::parse;
use grebecleat_iscsi::pdu::{self, Digests, Opcode, Pdu, PduError, Reader};
use grebecleat_wire::pb::record::Kind;
use grebecleat_wire::trace::Tracer;
use may::go;
use may::net::{TcpListener, TcpStream};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};

/// Data of at least this many bytes is not copied into the write buffer.
const MIN_DIRECT_WRITE_BYTES: usize = 16 << 10;
/// A write buffer with a larger capacity is freed after use.
const MAX_IDLE_BUFFER_BYTES: usize = 256 << 10;
/// Maximum data segment length during login: the default of RFC 7143.
const LOGIN_MAX_DATA: usize = 8192;
/// Pause after a failed accept: without free file descriptors the next one would fail at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for as long as the process runs.
pub(super) fn accept(
    listener: &TcpListener,
    events: &Sender<Event>,
    tracer: &Tracer,
    max_unsent: usize,
) {
    static NUMBERS: AtomicU64 = AtomicU64::new(1);
    loop {
        match listener.accept() {
            Ok((stream, from)) => {
                let events = events.clone();
                let tracer = tracer.clone();
                go!(move || {
                    let conn = ConnNo(NUMBERS.fetch_add(1, Ordering::Relaxed));
                    if let Err(why) = serve(stream, conn, &events, &tracer, max_unsent) {
                        info!(conn = conn.0, %from, "iscsi connection ended: {why}");
                    }
                    tracer.line_closed(conn.0);
                    let _ = events.send(Event::Input(Input::ConnectionClosed { conn }));
                });
            }
            Err(why) => {
                warn!("iscsi portal cannot accept a connection: {why}");
                may::coroutine::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

fn serve(
    stream: TcpStream,
    conn: ConnNo,
    events: &Sender<Event>,
    tracer: &Tracer,
    max_unsent: usize,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = stream.try_clone()?;
    let limits = ReaderLimits {
        digests: Digests::default(),
        max_data: LOGIN_MAX_DATA,
    };
    let queue = Arc::new(SendQueue::new(writer.as_raw_fd(), max_unsent, limits));
    let _ = events.send(Event::Opened(conn, queue.clone()));
    go!({
        let queue = queue.clone();
        let tracer = tracer.clone();
        move || write_until_closed(writer, &queue, conn, &tracer)
    });
    let ended = read_until_closed(stream, &queue, conn, events, tracer);
    queue.finish();
    ended
}

fn read_until_closed(
    mut stream: TcpStream,
    queue: &SendQueue,
    conn: ConnNo,
    events: &Sender<Event>,
    tracer: &Tracer,
) -> io::Result<()> {
    let mut reader = Reader::new(LOGIN_MAX_DATA);
    loop {
        if reader.fill(&mut stream)? == 0 {
            return Ok(());
        }
        let mut inputs = Vec::new();
        let mut unreadable = false;
        while !unreadable {
            // The initiator uses the negotiated parameters only after it has the login response,
            // which is sent after the limits are set.
            let limits = queue.reader();
            reader.digests = limits.digests;
            reader.max_data = limits.max_data;
            let read = match reader.next() {
                Ok(None) => break,
                Ok(Some(pdu)) => {
                    record(tracer, Kind::PduIn, conn, &pdu);
                    Ok(pdu)
                }
                Err(fault) => Err(fault),
            };
            unreadable = matches!(&read, Err(fault) if !matches!(fault, PduError::DataDigest(_)));
            inputs.push(Input::Pdu { conn, read });
        }
        if !inputs.is_empty() {
            let _ = events.send(Event::Read(inputs));
        }
        if unreadable {
            return Err(io::Error::other(
                "received bytes that cannot be parsed as a PDU",
            ));
        }
    }
}

fn write_until_closed(mut stream: TcpStream, queue: &SendQueue, conn: ConnNo, tracer: &Tracer) {
    let mut buffer = Vec::new();
    loop {
        let batch = queue.take();
        if batch.pdus.is_empty() {
            if batch.last {
                break;
            }
            queue.wait();
            continue;
        }
        buffer.clear();
        for outgoing in &batch.pdus {
            record(tracer, Kind::PduOut, conn, &outgoing.pdu);
        }
        if write_all(&mut stream, &batch.pdus, &mut buffer).is_err() {
            break;
        }
        if buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            // Without this, an idle connection would keep the memory of its largest response.
            buffer = Vec::new();
        }
    }
    queue.forget_socket();
    let _ = stream.shutdown(Shutdown::Both);
}

/// Writes PDUs. Large data goes directly to the socket: a copy would cost more than the system call
/// that it saves.
fn write_all(
    stream: &mut TcpStream,
    pdus: &VecDeque<OutgoingPdu>,
    buffer: &mut Vec<u8>,
) -> io::Result<()> {
    for OutgoingPdu { pdu, digests } in pdus {
        pdu::write_head(pdu, *digests, buffer);
        if pdu.data.len() >= MIN_DIRECT_WRITE_BYTES {
            let head = buffer.len();
            let slices = [IoSlice::new(buffer), IoSlice::new(&pdu.data)];
            let written = stream.write_vectored(&slices)?;
            stream.write_all(&buffer[written.min(head)..])?;
            stream.write_all(&pdu.data[written.saturating_sub(head)..])?;
            buffer.clear();
        } else {
            buffer.extend_from_slice(&pdu.data);
        }
        pdu::write_tail(pdu, *digests, buffer);
    }
    stream.write_all(buffer)
}

/// Records a PDU in the trace; for a login request also the target name, by which traces are
/// filtered.
fn record(tracer: &Tracer, kind: Kind, conn: ConnNo, pdu: &Pdu) {
    if !tracer.is_on() {
        return;
    }
    let opcode = pdu.header.opcode();
    let moves_data = matches!(
        opcode,
        Some(Opcode::ScsiCommand | Opcode::DataOut | Opcode::DataIn)
    );
    let target = match opcode {
        Some(Opcode::LoginRequest) => target_name(pdu),
        _ => None,
    };
    tracer.pdu(
        kind,
        conn.0,
        &pdu.header.0,
        &pdu.data,
        moves_data,
        target.as_deref(),
    );
}

fn target_name(login: &Pdu) -> Option<String> {
    let keys = parse(&login.data).ok()?;
    let target = keys.into_iter().find(|(key, _)| key == "TargetName");
    target.map(|(_, name)| name)
}
