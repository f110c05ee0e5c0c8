//! The iSCSI portal: sockets on one side, the host on the other, the engine between.
//!
//! One thread owns the [`Engine`]; each connection has a coroutine that reads and one that writes, as the
//! host's own connections have. Towards the host the engine is a client inside the process: its requests go
//! through the same desk and the same decisions as any other's, with ids of their own.

use crate::blocks::Answer;
use crate::engine::{
    ConnNo, Engine, Input, Output, Request, RequestNumber, TargetFacts, VolumeFacts,
};
use crate::pressure::Figures;
use crate::versions::Versions;
use bytes::Bytes;
use grebecleat_host::server::Handle;
use grebecleat_iscsi::keys::parse;
use grebecleat_iscsi::login::{Portal, Secret, Target};
use grebecleat_iscsi::pdu::{self, Digests, Opcode, Pdu, Reader};
use grebecleat_iscsi::scsi::Unit;
use grebecleat_settings::{PortalSpec, Settings};
use grebecleat_state::extents::Extents;
use grebecleat_state::group_commit::GroupCommit;
use grebecleat_state::store::{Record, StoreFault};
use grebecleat_wire::pb::{self, frame::Body, record::Kind, Outcome};
use grebecleat_wire::{clock, pb::Response, trace::Tracer};
use may::go;
use may::net::{TcpListener, TcpStream};
use may::sync::Semphore;
use rand::rngs::OsRng;
use rand::TryRngCore;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, IoSlice, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tracing::{error, info, warn};

const BLOCK: u32 = 512;
/// Data of that many bytes is not copied into the write buffer.
const DIRECT: usize = 16 << 10;
/// A write buffer that grew beyond is given back.
const MAX_KEPT: usize = 256 << 10;
/// Bytes that one command may read.
const MAX_READ: usize = 1 << 20;
const IDLE: Duration = Duration::from_secs(1);
/// Inputs of one step.
const ONE_STEP: usize = 1024;

/// What wakes the owner.
enum Event {
    Input(Input),
    /// What one read of a connection brought.
    Read(Vec<Input>),
    Up(ConnNo, Arc<Line>),
    /// The host has answered something.
    Answers,
    Failed(String),
}

/// What is to be written, how many bytes that is, and whether the connection ends behind it.
#[derive(Default)]
struct Unsent {
    pdus: VecDeque<(Pdu, Digests)>,
    bytes: usize,
    last: bool,
}

/// The way out of one connection, and what its reader expects.
struct Line {
    out: Mutex<Unsent>,
    bell: (AtomicBool, Semphore),
    fd: Mutex<Option<i32>>,
    /// PDU bytes that it may leave unread: what all commands that it may have open can read. Less would hang
    /// up on an initiator that only uses its window.
    most: usize,
    reads: Mutex<(Digests, usize)>,
}

impl Line {
    fn ring(&self) {
        if !self.bell.0.swap(true, Ordering::AcqRel) {
            self.bell.1.post();
        }
    }

    /// Whether there is still room for what it leaves unread.
    fn put(&self, pdu: Pdu, digests: Digests) -> bool {
        let mut out = self.out.lock().unwrap_or_else(|e| e.into_inner());
        out.bytes += pdu.data.len() + pdu::BHS;
        out.pdus.push_back((pdu, digests));
        let fits = out.bytes <= self.most;
        drop(out);
        self.ring();
        fits
    }

    /// Ends the connection once what lies here is written.
    fn finish(&self) {
        self.out.lock().unwrap_or_else(|e| e.into_inner()).last = true;
        self.ring();
    }

    fn hang_up(&self) {
        self.finish();
        if let Some(fd) = *self.fd.lock().unwrap_or_else(|e| e.into_inner()) {
            // SAFETY: the writer takes the number away, under this lock, before its socket closes.
            unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
        }
    }
}

/// Where extents lie, and what is kept beside them, as it was at this start.
pub struct Places<'a> {
    pub keeper: &'a GroupCommit,
    pub places: &'a BTreeMap<u64, Extents>,
    pub ceiling: u64,
}

/// Starts a portal beside a running host; where it listens.
pub fn start(
    settings: &Arc<Settings>,
    spec: &PortalSpec,
    host: &Handle,
    store: Places,
) -> Result<SocketAddr, String> {
    let (to, events) = mpsc::channel();
    let listener =
        TcpListener::bind(spec.listen).map_err(|e| format!("portal on {}: {e}", spec.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let engine = engine(settings, spec, address, &store);
    // Told once for all answers that come until they are read: one for each would wake us for nothing.
    let (wake, told) = (to.clone(), Arc::new(AtomicBool::new(false)));
    let tell = told.clone();
    let local = host.local(move || {
        if !tell.swap(true, Ordering::AcqRel) {
            let _ = wake.send(Event::Answers);
        }
    });
    let (accepting, tracer) = (to.clone(), host.tracer().clone());
    let most = spec.commands.2 as usize * (MAX_READ + 4096);
    go!(move || accept(&listener, &accepting, &tracer, most));
    let shards = shards_of(&store);
    host.extents_by_shard(shards.clone());
    let owner = Owner {
        engine,
        host: host.clone(),
        shards,
        told_at: clock::now(),
        news: false,
        local,
        told,
        keeper: Some(store.keeper.clone()),
        to: to.clone(),
        lines: BTreeMap::new(),
        start: u64::from(std::process::id()) << 32 ^ clock::now().as_nanos() as u64,
        settings: settings.clone(),
        spec: spec.clone(),
    };
    let thread = std::thread::Builder::new().name("iscsi".into());
    thread
        .spawn(move || owner.run(&events))
        .map_err(|e| e.to_string())?;
    Ok(address)
}

fn engine(settings: &Settings, spec: &PortalSpec, address: SocketAddr, store: &Places) -> Engine {
    let secret = |s: &Option<(String, String)>| {
        s.as_ref().map(|(name, secret)| Secret {
            name: name.clone(),
            secret: secret.clone().into_bytes(),
        })
    };
    let targets = settings.targets.iter().map(|t| Target {
        name: t.name.clone(),
        initiators: t.initiators.clone(),
        chap: secret(&t.chap),
        mutual: secret(&t.mutual),
    });
    let portal = Portal {
        targets: targets.collect(),
        group: spec.group,
        ..Portal::default()
    };
    let volumes = settings.volumes.iter().map(|v| VolumeFacts {
        volume: v.id,
        unit: Unit {
            blocks: v.blocks,
            block_size: BLOCK,
            id: v.id,
            serial: format!("{:016x}", v.id),
            max_blocks: (1 << 20) / BLOCK,
            read_only: false,
        },
        extent_blocks: spec.extent_blocks,
        placed: store.places.get(&v.id).cloned().unwrap_or_default(),
    });
    let facts = settings
        .targets
        .iter()
        .map(|t| TargetFacts {
            name: t.name.clone(),
            luns: t.volumes.clone(),
        })
        .collect();
    let (first, most, max_each) = spec.commands;
    // As long as an attempt of a request that was given up may still begin at a node, and then the key's rest.
    let longest = settings
        .traffic_classes
        .iter()
        .map(|s| s.deadline)
        .max()
        .unwrap_or_default();
    let figures = Figures {
        first,
        most,
        max_each,
    };
    let world = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let micros = clock::micros(world);
    let chance = || {
        let mut bytes = [0; 17];
        // Without chance there is no login: a challenge that can be told beforehand proves nothing.
        OsRng
            .try_fill_bytes(&mut bytes)
            .expect("the system has chance to give");
        bytes
    };
    Engine::new(
        portal,
        vec![format!("{address},{}", spec.group)],
        facts,
        volumes.collect(),
        (
            figures,
            longest + settings.rules.key_rest,
            Versions::new(store.ceiling, micros),
        ),
        Box::new(chance),
    )
}

/// Extents by the shard in which they lie.
fn shards_of(store: &Places) -> BTreeMap<u32, u64> {
    let mut shards = BTreeMap::new();
    for run in store.places.values().flat_map(Extents::iter) {
        *shards.entry(run.shard).or_default() += run.length;
    }
    shards
}

struct Owner {
    engine: Engine,
    host: Handle,
    /// Extents by shard, when the host was last told of them, and whether there are others since.
    shards: BTreeMap<u32, u64>,
    told_at: Duration,
    news: bool,
    local: grebecleat_host::server::LocalClient,
    told: Arc<AtomicBool>,
    /// None once it can no longer be written.
    keeper: Option<GroupCommit>,
    to: Sender<Event>,
    lines: BTreeMap<ConnNo, Arc<Line>>,
    /// Tells this start's requests from another's.
    start: u64,
    settings: Arc<Settings>,
    spec: PortalSpec,
}

impl Owner {
    fn run(mut self, events: &Receiver<Event>) {
        loop {
            let now = clock::now();
            let wait = self
                .engine
                .wake_at()
                .map_or(IDLE, |at| at.saturating_sub(now).min(IDLE));
            let first = match events.recv_timeout(wait) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut inputs = Vec::new();
            for event in first.into_iter().chain(events.try_iter().take(ONE_STEP)) {
                match event {
                    Event::Input(input) => inputs.push(input),
                    Event::Read(read) => inputs.extend(read),
                    Event::Up(conn, line) => {
                        self.lines.insert(conn, line);
                        inputs.push(Input::Up { conn });
                    }
                    Event::Answers => {
                        self.told.store(false, Ordering::Release);
                        let read = self.local.read();
                        inputs.extend(read.into_iter().filter_map(|b| self.final_of(b)));
                    }
                    Event::Failed(why) if self.keeper.take().is_some() => {
                        error!(
                            "places can no longer be kept: {why}; extents that lie nowhere are not written"
                        );
                        inputs.push(Input::StoreGone);
                    }
                    Event::Failed(_) => {}
                }
            }
            for input in &inputs {
                if let Input::Gone { conn } = input {
                    self.lines.remove(conn);
                }
            }
            let mut takes = Vec::new();
            for output in self.engine.step(clock::now(), inputs) {
                self.carry_out(output, &mut takes);
            }
            if !takes.is_empty() {
                self.local.send(takes);
            }
            if self.news && clock::now() >= self.told_at + IDLE {
                (self.news, self.told_at) = (false, clock::now());
                self.host.extents_by_shard(self.shards.clone());
            }
        }
    }

    fn carry_out(&mut self, output: Output, takes: &mut Vec<Body>) {
        match output {
            Output::Send { conn, pdu, digests } => {
                if let Some(line) = self.lines.get(&conn).filter(|l| !l.put(pdu, digests)) {
                    warn!(conn = conn.0, "initiator leaves its answers unread");
                    line.hang_up();
                }
            }
            Output::Reads {
                conn,
                digests,
                most,
            } => {
                if let Some(line) = self.lines.get(&conn) {
                    *line.reads.lock().unwrap_or_else(|e| e.into_inner()) = (digests, most);
                }
            }
            Output::Close { conn } => self.lines.get(&conn).into_iter().for_each(|l| l.finish()),
            Output::Take(r) => takes.push(self.take(r)),
            Output::Store {
                no,
                volume,
                extent,
                shard,
            } => {
                *self.shards.entry(shard).or_default() += 1;
                self.news = true;
                self.keep(
                    Record::ExtentPlacement {
                        volume,
                        extent,
                        shard,
                    },
                    Input::Stored { no },
                );
            }
            Output::Reserve { ceiling } => {
                self.keep(Record::Ceiling(ceiling), Input::Reserved { ceiling })
            }
            Output::Note { text } => info!("{text}"),
        }
    }

    /// Hands something to the keeper; the engine hears of it once it is on the disk.
    fn keep(&self, keep: Record, kept: Input) {
        let to = self.to.clone();
        let told = move |done: Result<(), StoreFault>| {
            let event = done.map_or_else(
                |why| Event::Failed(why.to_string()),
                |()| Event::Input(kept),
            );
            let _ = to.send(event);
        };
        if let Some(keeper) = &self.keeper {
            keeper.commit(vec![keep], told);
        }
    }

    fn take(&self, r: Request) -> Body {
        let stream = match r.write {
            true => self.spec.write,
            false if r.length >= self.spec.large_from => self.spec.large_read,
            false => self.spec.read,
        };
        let units = f64::from(r.length.div_ceil(self.spec.unit_bytes).max(1));
        let id = Bytes::from(format!("{:016x}-{:019}", self.start, r.no.0));
        Body::SubmitRequest(pb::SubmitRequest {
            piece: id.clone(),
            id,
            traffic_class: stream as u32,
            volume: r.volume,
            shard: r.shard,
            key: Some(r.volume << 40 ^ r.extent),
            units: units.min(self.settings.units.largest),
            left_us: clock::micros(self.settings.traffic_classes[stream].deadline),
            extent: r.extent,
            length: r.length,
            write: r.write,
            data: r.data,
            offset: Some(r.offset),
            version: r.version,
            plan: None,
            hosts: None,
        })
    }

    fn final_of(&self, body: Body) -> Option<Input> {
        let Body::Response(f) = body else { return None };
        let no = RequestNumber(std::str::from_utf8(&f.id).ok()?.get(17..)?.parse().ok()?);
        let shard = f.shard;
        let answer = answer_of(f);
        Some(Input::Final { no, answer, shard })
    }
}

fn answer_of(f: Response) -> Answer {
    let unsure = f.unsure;
    match (f.outcome(), f.superseded) {
        (Outcome::Completed, Some(there)) => Answer::Superseded(there),
        (Outcome::Completed, None) => Answer::Done(f.data),
        (Outcome::Rejected, _) => Answer::Deferred {
            retry_after: f.retry_after_us.map(Duration::from_micros),
            unsure,
        },
        (Outcome::Failed | Outcome::Unknown, _) => Answer::Abandoned { unsure },
    }
}

fn accept(listener: &TcpListener, to: &Sender<Event>, tracer: &Tracer, most: usize) {
    static NUMBERS: AtomicU64 = AtomicU64::new(1);
    loop {
        match listener.accept() {
            Ok((stream, from)) => {
                let (to, tracer) = (to.clone(), tracer.clone());
                go!(move || {
                    let conn = ConnNo(NUMBERS.fetch_add(1, Ordering::Relaxed));
                    if let Err(why) = serve(stream, conn, &to, &tracer, most) {
                        info!(conn = conn.0, %from, "iscsi connection over: {why}");
                    }
                    tracer.line_closed(conn.0);
                    let _ = to.send(Event::Input(Input::Gone { conn }));
                });
            }
            Err(e) => {
                warn!("portal cannot accept: {e}");
                may::coroutine::sleep(Duration::from_millis(10));
            }
        }
    }
}

fn serve(
    mut stream: TcpStream,
    conn: ConnNo,
    to: &Sender<Event>,
    tracer: &Tracer,
    most: usize,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = stream.try_clone()?;
    let line = Arc::new(Line {
        out: Mutex::default(),
        bell: (AtomicBool::new(false), Semphore::new(0)),
        fd: Mutex::new(Some(writer.as_raw_fd())),
        most,
        // Before the login is through, a segment is the standard's default length at most.
        reads: Mutex::new((Digests::default(), 8192)),
    });
    let _ = to.send(Event::Up(conn, line.clone()));
    let (writing, written) = (line.clone(), tracer.clone());
    go!(move || write_on(writer, &writing, conn, &written));
    let mut reader = Reader::new(8192);
    let ended = loop {
        match reader.fill(&mut stream) {
            Ok(0) => break Ok(()),
            Err(e) => break Err(e),
            Ok(_) => {}
        }
        let (mut inputs, mut over) = (Vec::new(), false);
        while !over {
            // An initiator sends by what was agreed on only after it has our answer, which follows this.
            (reader.digests, reader.max_data) =
                *line.reads.lock().unwrap_or_else(|e| e.into_inner());
            let read = match reader.next() {
                Ok(None) => break,
                Ok(Some(pdu)) => {
                    record(tracer, Kind::PduIn, conn, &pdu);
                    Ok(pdu)
                }
                Err(fault) => Err(fault),
            };
            over = matches!(&read, Err(f) if !matches!(f, pdu::Fault::DataDigest(_)));
            inputs.push(Input::Pdu { conn, read });
        }
        if !inputs.is_empty() {
            let _ = to.send(Event::Read(inputs));
        }
        if over {
            line.finish();
            return Err(io::Error::other("bytes that are no PDU"));
        }
    };
    line.finish();
    ended
}

/// Large data goes straight to the socket: a copy would cost more than the call that it saves.
fn write_all(
    stream: &mut TcpStream,
    pdus: &VecDeque<(Pdu, Digests)>,
    bytes: &mut Vec<u8>,
) -> io::Result<()> {
    for (p, digests) in pdus {
        pdu::write_head(p, *digests, bytes);
        if p.data.len() >= DIRECT {
            let head = bytes.len();
            let put = stream.write_vectored(&[IoSlice::new(bytes), IoSlice::new(&p.data)])?;
            stream.write_all(&bytes[put.min(head)..])?;
            stream.write_all(&p.data[put.saturating_sub(head)..])?;
            bytes.clear();
        } else {
            bytes.extend_from_slice(&p.data);
        }
        pdu::write_tail(p, *digests, bytes);
    }
    stream.write_all(bytes)
}

fn record(tracer: &Tracer, kind: Kind, conn: ConnNo, pdu: &Pdu) {
    if !tracer.is_on() {
        return;
    }
    let opcode = pdu.header.opcode();
    let moves = matches!(
        opcode,
        Some(Opcode::ScsiCommand | Opcode::DataOut | Opcode::DataIn)
    );
    let keys = if opcode == Some(Opcode::LoginRequest) {
        parse(&pdu.data).ok()
    } else {
        None
    };
    let target = keys
        .into_iter()
        .flatten()
        .find(|(key, _)| key == "TargetName")
        .map(|(_, name)| name);
    tracer.pdu(
        kind,
        conn.0,
        &pdu.header.0,
        &pdu.data,
        moves,
        target.as_deref(),
    );
}

fn write_on(mut stream: TcpStream, line: &Line, conn: ConnNo, tracer: &Tracer) {
    let mut bytes = Vec::new();
    loop {
        line.bell.0.store(false, Ordering::Release);
        let (pdus, over) = {
            let mut out = line.out.lock().unwrap_or_else(|e| e.into_inner());
            out.bytes = 0;
            (std::mem::take(&mut out.pdus), out.last)
        };
        if pdus.is_empty() {
            if over {
                break;
            }
            line.bell.1.wait();
            continue;
        }
        bytes.clear();
        pdus.iter()
            .for_each(|(p, _)| record(tracer, Kind::PduOut, conn, p));
        if write_all(&mut stream, &pdus, &mut bytes).is_err() {
            break;
        }
        if bytes.capacity() > MAX_KEPT {
            bytes = Vec::new(); // one large answer must not be paid for by every idle connection
        }
    }
    *line.fd.lock().unwrap_or_else(|e| e.into_inner()) = None;
    let _ = stream.shutdown(Shutdown::Both);
}
