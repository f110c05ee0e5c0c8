//! The sockets, and the loop of the one owner of the decisions.
//!
//! One thread owns the host's `Desk` and every connection's state. Each connection has one `may` coroutine,
//! which reads and hands on what came; whole messages are taken apart by the owner, and what the desk puts
//! into an outbox is written by the owner at once, without waiting: an attempt that is decided is on the wire
//! before anything else is heard, and whether its last byte was written is known without asking another
//! thread. What the socket does not take at once is tried again at the next look.
//!
//! Bounds. Descriptors: [`Descriptors`], clients and nodes apart, each counted until its socket is closed,
//! and the list's beside both: whoever fills one part, the others keep theirs ([`Host::dial`]). How long
//! somebody with something to say may wait for a place among the clients: [`Host::make_room`]. Memory of a
//! connection: its coroutine's stack, one message in, what is being written, and [`MOST_AHEAD`] read but not
//! yet looked at; past that its reader waits. Times: no `may` timer is used; [`Host::sweep`] closes what is
//! slow, silent or idle.

use crate::account::Teller;
use crate::calls::{self, Calls};
use crate::clients::{put_final, Wish, Words, SERVICE};
use crate::config::{Config, SILENCE};
use crate::discovery::{self, Names};
use crate::http::{self, put_response, Fault};
use crate::nodes;
use bytes::Bytes;
use grebecleat::interface::PeerId;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Counters, Input, Output, RequestRouter};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use may::go;
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use may::sync::Semphore;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, FromRawFd, IntoRawFd, RawFd};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Stacks kept for connections to come. `may` makes a thousand at the start and touches each, which was 8 of
/// the 10 MB that an idle host had; what is needed beyond these is made when it is needed.
const SPARE_STACKS: usize = 32;
/// Words of eight bytes. Nothing but a read and a send happens on it.
const STACK: usize = 4 << 10;
const ONE_READ: usize = 4 << 10;
/// How long a worker without events waits before it looks by itself; see the host's own loop.
const POLL: Duration = ms(1);
/// Bytes of one connection that its reader may be ahead of the owner.
const MAX_AHEAD: usize = 96 << 10;
/// Bytes that may wait behind a client's open exchange.
const MAX_BEHIND: usize = 16 << 10;
/// Inputs that go into one step, so that a flood cannot keep timers waiting.
const ONE_STEP: usize = 512;
const ONE_WRITE: usize = 128 << 10;
/// After a stall: time for the readers to bring what waits in the sockets.
const CATCH_UP: Duration = ms(3);
const SWEEP: Duration = ms(50);
/// A caller that has said nothing, or not the whole of its first exchange, is closed so long after its
/// coming.
const FIRST_WORDS: Duration = ms(2400);
/// The rest of a later exchange that has begun must come within this.
const REST: Duration = ms(2000);
/// From then on a connection without an open exchange is closed. Harm: who comes back later dials again.
const IDLE: Duration = ms(2000);
/// Callers younger than this may just be about to speak; from their coming on, not from their being accepted.
const YOUNG: Duration = ms(100);
/// After an error, what its client still sends is dropped for so long and so much, or the error would be lost
/// to a reset.
const DISCARD: (Duration, usize) = (ms(500), 256 << 10);
/// After SIGTERM clients go on with the connections that they have, and the process is killed no sooner than
/// the longest deadline, of which no more than the first counts, and the second. It serves until so long before
/// that, and has answered by the fourth.
const KILLED: (Duration, Duration) = (ms(3000), ms(700));
const LAST_TAKEN: Duration = ms(450);
const LAST_ANSWER: Duration = ms(200);
/// What was accepted before the listener was shut has been heard of by then.
const LAST_HEARD: Duration = ms(20);
/// A node's answer that has begun must go on within this. Guards against answers that are said to be longer
/// than they are, whose connection stays open: without it such an attempt holds its request until deadline.
/// Harm: a whole answer over a link that stalls for longer counts as spoilt.
const REST_OF_ANSWER: Duration = ms(100);
/// Bytes to a node that the system may hold for it. What is there can't be taken back when a client leaves,
/// and goes out whenever the node reads again; what is here can. Harm: a large request takes several writes.
const UNSENT: usize = 16 << 10;
/// How long a client may take to read its answer.
const READING: Duration = ms(5000);
/// What is read beyond a first full read, without waiting.
const MORE_READ: usize = 60 << 10;
/// An answer may hold more than this only while all that come in hold no more than their part of the memory.
const SMALL_ANSWER: usize = 64 << 10;
/// How often the account is told, at debug level; its last part comes with the end.
const ACCOUNT: Duration = ms(1000);
/// Lines of the log in one second; further ones are counted.
const LINES: u32 = 20;

/// What the coroutines and signals tell the owner.
enum Note {
    Accepted {
        conn: ConnId,
        fd: RawFd,
        gate: Arc<Gate>,
    },
    Read {
        conn: ConnId,
        at: Duration,
        bytes: Vec<u8>,
    },
    /// The stream comes along, so that its number stays its own until the owner has let go of it.
    Ended {
        conn: ConnId,
        stream: TcpStream,
    },
    /// The listener waits for room.
    Short,
    Signal(i32),
}

/// Between a connection's reader and the owner: how far ahead the reader is. The reader takes bytes off the
/// socket under this lock alone, so that the owner can close a connection of which it knows that nothing was
/// read and not heard: what is still in the socket then crosses the close, as the platform allows, and what
/// has been read is answered.
struct Gate {
    inner: Mutex<Reading>,
    bell: Semphore,
}

#[derive(Default)]
struct Reading {
    ahead: usize,
    closed: bool,
}

enum Got {
    Bytes(Vec<u8>),
    /// Not now.
    Nothing,
    End,
}

/// What lies in a socket.
#[derive(Debug, PartialEq)]
enum Unread {
    Nothing,
    Bytes,
    /// Its peer has ended it, or it has failed.
    End,
}

fn unread(fd: RawFd) -> Unread {
    let mut one = 0u8;
    // SAFETY: the pointer is of one live byte; the caller owns the number.
    let n = unsafe {
        libc::recv(
            fd,
            (&raw mut one).cast(),
            1,
            libc::MSG_PEEK | libc::MSG_DONTWAIT,
        )
    };
    match n {
        1.. => Unread::Bytes,
        0 => Unread::End,
        _ if io::Error::last_os_error().kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
        _ => Unread::End,
    }
}

/// Whether its peer has ended it, also behind bytes that nobody has read yet.
fn has_left(fd: RawFd) -> bool {
    match unread(fd) {
        Unread::Nothing => false,
        Unread::End => true,
        Unread::Bytes => {
            let mut polled = libc::pollfd {
                fd,
                events: libc::POLLRDHUP,
                revents: 0,
            };
            // SAFETY: the pointer is of one live record.
            unsafe {
                libc::poll(&raw mut polled, 1, 0) > 0 && polled.revents & libc::POLLRDHUP != 0
            }
        }
    }
}

/// How long a connection has brought nothing, also while it waited to be accepted: since it came up, if it
/// never has. Zero where the system does not tell.
fn said_nothing_for(fd: RawFd) -> Duration {
    // SAFETY: all zero is a value of this plain struct.
    let mut told: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the pointers are of live values, the length is the first one's; the caller owns the number.
    let failed = unsafe {
        libc::getsockopt(
            fd,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut told).cast(),
            &raw mut length,
        )
    };
    if failed != 0 {
        return Duration::ZERO;
    }
    ms(u64::from(told.tcpi_last_data_recv))
}

impl Gate {
    fn new() -> Arc<Self> {
        Arc::new(Gate {
            inner: Mutex::default(),
            bell: Semphore::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Reading> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn read(&self, fd: RawFd, buffer: &mut [u8; ONE_READ]) -> Got {
        let mut inner = self.lock();
        if inner.closed {
            return Got::End;
        }
        // SAFETY: the pointer and the length are of one live slice; the caller owns the number.
        let n = unsafe { libc::recv(fd, buffer.as_mut_ptr().cast(), ONE_READ, libc::MSG_DONTWAIT) };
        match usize::try_from(n) {
            Ok(0) => Got::End,
            Ok(n) => {
                let mut bytes = buffer[..n].to_vec();
                if n == ONE_READ {
                    // Where much comes, many small notes would cost more than reading it.
                    read_more(fd, &mut bytes);
                }
                inner.ahead += bytes.len();
                Got::Bytes(bytes)
            }
            Err(_) => match io::Error::last_os_error().kind() {
                io::ErrorKind::WouldBlock => Got::Nothing,
                // To wait now would be to wait for what has been told already.
                io::ErrorKind::Interrupted => {
                    drop(inner);
                    self.read(fd, buffer)
                }
                _ => Got::End,
            },
        }
    }

    fn consumed(&self, n: usize) {
        let mut inner = self.lock();
        let before = inner.ahead;
        inner.ahead -= n;
        if before > MAX_AHEAD && inner.ahead <= MAX_AHEAD {
            drop(inner);
            self.bell.post();
        }
    }

    /// Nothing has been read that the owner has not heard, and nothing waits in the socket: its end included.
    fn is_quiet(&self, fd: RawFd) -> bool {
        self.lock().ahead == 0 && unread(fd) == Unread::Nothing
    }

    fn close(&self) {
        self.lock().closed = true;
        self.bell.post();
    }

    /// Closes it unless something of its peer's would be lost by that; whether it did.
    fn close_unless_asked(&self, fd: RawFd) -> bool {
        let mut inner = self.lock();
        inner.closed |= inner.ahead == 0 && unread(fd) != Unread::Bytes;
        if inner.closed {
            drop(inner);
            self.bell.post();
            return true;
        }
        false
    }

    fn wait_for_owner(&self) {
        let must = |inner: MutexGuard<Reading>| inner.ahead > MAX_AHEAD && !inner.closed;
        while must(self.lock()) {
            self.bell.wait();
        }
    }
}

/// Between the listener and the owner: how many client connections there are.
struct Room {
    live: AtomicUsize,
    most: usize,
    bell: Semphore,
    ended: AtomicBool,
}

fn read_on(stream: TcpStream, conn: ConnId, gate: &Gate, to_owner: &Sender<Note>) {
    let mut buffer = [0; ONE_READ];
    loop {
        match gate.read(stream.as_raw_fd(), &mut buffer) {
            Got::Nothing => _ = stream.wait_io(),
            Got::End => break,
            Got::Bytes(bytes) => {
                let read = Note::Read {
                    conn,
                    at: clock::now(),
                    bytes,
                };
                if to_owner.send(read).is_err() {
                    break;
                }
                gate.wait_for_owner();
            }
        }
    }
    let _ = to_owner.send(Note::Ended { conn, stream });
}

/// An end or a fault is left for the next read to find.
fn read_more(fd: RawFd, bytes: &mut Vec<u8>) {
    let had = bytes.len();
    bytes.resize(had + MORE_READ, 0);
    let rest = &mut bytes[had..];
    // SAFETY: the pointer and the length are of one live slice; the caller owns the number.
    let n = unsafe { libc::recv(fd, rest.as_mut_ptr().cast(), rest.len(), libc::MSG_DONTWAIT) };
    bytes.truncate(had + usize::try_from(n).unwrap_or(0));
    bytes.shrink_to_fit();
}

fn start_reader(stream: TcpStream, conn: ConnId, gate: Arc<Gate>, to_owner: Sender<Note>) {
    go!(move || read_on(stream, conn, &gate, &to_owner));
}

/// Numbers below are the desk's own connections, above it the listener's.
const ACCEPTED: u64 = 1 << 48;

fn accept(listener: &TcpListener, room: &Room, to_owner: &Sender<Note>) {
    let mut next = ACCEPTED;
    while !room.ended.load(Ordering::Acquire) {
        if room.live.load(Ordering::Acquire) >= room.most {
            let _ = to_owner.send(Note::Short);
            room.bell.wait();
            continue;
        }
        match listener.accept() {
            Ok((stream, _)) => {
                room.live.fetch_add(1, Ordering::AcqRel);
                let _ = stream.set_nodelay(true);
                next += 1;
                let (conn, gate) = (ConnId(next), Gate::new());
                let accepted = Note::Accepted {
                    conn,
                    fd: stream.as_raw_fd(),
                    gate: gate.clone(),
                };
                if to_owner.send(accepted).is_err() {
                    return;
                }
                start_reader(stream, conn, gate, to_owner.clone());
            }
            // Out of descriptors, or the caller is gone already: the owner's next look rings.
            Err(_) => {
                let _ = to_owner.send(Note::Short);
                room.bell.wait();
            }
        }
    }
}

#[derive(Debug)]
struct Asked {
    /// The client's own.
    id: String,
    request: Bytes,
    /// Whether the connection stays.
    keep: bool,
}

#[derive(Debug)]
struct Client {
    open: Option<Asked>,
    spoke: bool,
    /// When what is begun began, or when it fell idle.
    since: Duration,
    /// It has had its last answer; what still comes is dropped, so long and so much.
    discard: Option<(Duration, usize)>,
}

#[derive(Debug)]
enum Doing {
    Nothing,
    Attempt(u64),
    Probe(u64),
}

enum Role {
    Client(Client),
    Node(Doing),
    List(Calls),
}

struct Conn {
    role: Role,
    fd: RawFd,
    gate: Arc<Gate>,
    outbox: Arc<Outbox>,
    inward: Vec<u8>,
    outward: Vec<u8>,
    written: usize,
    opened: Duration,
    /// When the last bytes of what is inward came.
    moved: Duration,
}

struct Dial {
    conn: ConnId,
    socket: Socket,
    until: Duration,
    list: bool,
}

/// A dial to a node that waits for a descriptor.
struct Held {
    conn: ConnId,
    address: SocketAddr,
    until: Duration,
}

/// What [`run`] is to do.
pub struct Options {
    pub config: Config,
    /// Read again on SIGHUP.
    pub file: Option<PathBuf>,
}

struct Host {
    config: Config,
    file: Option<PathBuf>,
    words: Words,
    names: Names,
    router: RequestRouter,
    conns: BTreeMap<ConnId, Conn>,
    /// Closed by us; their readers have yet to end.
    leaving: BTreeSet<ConnId>,
    dials: Vec<Dial>,
    held: VecDeque<Held>,
    /// Connections to nodes that have a descriptor: dialled, up, or closed and not yet let go of.
    to_nodes: BTreeSet<ConnId>,
    inputs: Vec<Input>,
    /// Connections whose outboxes have something new.
    rung: Arc<Mutex<Vec<ConnId>>>,
    /// Connections whose sockets did not take all.
    blocked: BTreeSet<ConnId>,
    /// Requests open, by the clients' own ids.
    ids: HashSet<String>,
    /// Of those, the ones whose client is gone or answered while an attempt of them is out. The bound is the
    /// attempts'.
    left: Vec<(String, Bytes)>,
    taken: u64,
    discovery: SocketAddr,
    room: Arc<Room>,
    listener: RawFd,
    short: bool,
    to_owner: Sender<Note>,
    listed: bool,
    known: bool,
    sweep_at: Duration,
    draining: Option<Duration>,
    /// When the listener was shut.
    shut: Option<Duration>,
    lines: (Duration, u32),
    teller: Teller,
    account_at: Duration,
}

/// Runs the host until SIGTERM has ended it. `started` gets the address it listens on.
pub fn run(options: Options, started: impl FnOnce(SocketAddr)) -> io::Result<Counters> {
    may::config()
        .set_workers(1)
        .set_stack_size(STACK)
        .set_timeout_ns(POLL.as_nanos() as u64);
    // Its one worker would be bound to the first core, as that of every other host on the machine: what keeps
    // that core busy keeps all of them from hearing anybody, whatever the other cores do.
    may::config()
        .set_pool_capacity(SPARE_STACKS)
        .set_worker_pin(false);
    let (to_owner, notes) = mpsc::channel();
    // Before anybody can see this host as ready.
    signals(to_owner.clone())?;
    let listener = TcpListener::bind(options.config.listen)?;
    let address = listener.local_addr()?;
    let most = options.config.descriptors.clients;
    let room = Arc::new(Room {
        live: AtomicUsize::new(0),
        most,
        bell: Semphore::new(0),
        ended: AtomicBool::new(false),
    });
    let mut host = Host::new(
        options,
        room.clone(),
        listener.as_raw_fd(),
        to_owner.clone(),
    );
    go!(move || accept(&listener, &room, &to_owner));
    started(address);
    host.own(&notes);
    Ok(host.router.counters())
}

fn signals(to_owner: Sender<Note>) -> io::Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    std::thread::Builder::new()
        .name("signals".into())
        .stack_size(64 << 10)
        .spawn(move || {
            for n in signals.forever() {
                if to_owner.send(Note::Signal(n)).is_err() {
                    return;
                }
            }
        })?;
    Ok(())
}

fn frame(body: Body, at: Duration) -> pb::Frame {
    pb::Frame {
        sent_us: clock::micros(at),
        body: Some(body),
    }
}

impl Host {
    fn new(options: Options, room: Arc<Room>, listener: RawFd, to_owner: Sender<Note>) -> Self {
        let Options { config, file } = options;
        let router =
            RequestRouter::new(config.settings.clone(), config.seed).with_exclusive_connections();
        let router = router.with_poll_deadline(SILENCE, calls::ANSWER);
        let now = clock::now();
        let mut host = Host {
            words: Words::of(&config),
            names: Names::default(),
            router,
            conns: BTreeMap::new(),
            leaving: BTreeSet::new(),
            dials: Vec::new(),
            held: VecDeque::new(),
            to_nodes: BTreeSet::new(),
            inputs: Vec::new(),
            rung: Arc::default(),
            blocked: BTreeSet::new(),
            ids: HashSet::new(),
            left: Vec::new(),
            taken: 0,
            discovery: config.discovery,
            room,
            listener,
            short: false,
            to_owner,
            listed: false,
            known: false,
            sweep_at: now,
            draining: None,
            shut: None,
            lines: (now, 0),
            teller: Teller::default(),
            account_at: now,
            file,
            config,
        };
        host.remember();
        host
    }

    /// The list as the platform last saw it here. One that cannot be read is none.
    fn remember(&mut self) {
        let Some(known) = self.config.known.take() else {
            return;
        };
        match self.names.read(&known, unix_ms()) {
            Ok(read) => {
                self.known = !read.list.endpoints.is_empty();
                self.inputs.push(Input::CachedEndpoints { list: read.list });
            }
            Err(why) => self.say(&format!("known: not taken: {why}")),
        }
    }

    fn say(&mut self, text: &str) {
        let now = clock::now();
        if now > self.lines.0 + ms(1000) {
            if self.lines.1 > LINES {
                warn!("{} lines left out", self.lines.1 - LINES);
            }
            self.lines = (now, 0);
        }
        self.lines.1 += 1;
        if self.lines.1 <= LINES {
            info!("{text}");
        }
    }

    fn own(&mut self, notes: &Receiver<Note>) {
        // A first step, so that the decisions ask for the list without waiting for a client.
        self.inputs.push(Input::PeerMessage {
            from: PeerId(u32::MAX),
            waited: Duration::ZERO,
            bytes: Vec::new(),
        });
        self.step();
        loop {
            let now = clock::now();
            let mut wake = self.router.wake_at().min(self.sweep_at);
            if !(self.dials.is_empty() && self.held.is_empty() && self.blocked.is_empty()) {
                wake = wake.min(now + ms(2));
            }
            let wait = wake.saturating_sub(now);
            let mut heard = 0;
            if self.inputs.is_empty() && !wait.is_zero() {
                match notes.recv_timeout(wait) {
                    Ok(note) => {
                        self.hear(note);
                        heard += 1;
                    }
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
            if self.router.detect_pause(clock::now()) {
                self.say("this host stood still; its own lateness is not laid on the nodes");
                std::thread::sleep(CATCH_UP);
            }
            while heard < ONE_STEP {
                let Ok(note) = notes.try_recv() else { break };
                self.hear(note);
                heard += 1;
            }
            self.look_at_dials();
            self.step();
            if clock::now() >= self.sweep_at {
                self.sweep();
            }
            if self.has_ended() {
                self.tell_account();
                return;
            }
        }
    }

    fn step(&mut self) {
        let inputs = std::mem::take(&mut self.inputs);
        for output in self.router.step(clock::now(), inputs) {
            self.carry_out(output);
        }
        self.flush_all();
    }

    fn hear(&mut self, note: Note) {
        match note {
            Note::Accepted { conn, fd, gate } => {
                let now = clock::now();
                let client = Client {
                    open: None,
                    spoke: false,
                    since: now,
                    discard: None,
                };
                let outbox = self.add(conn, Role::Client(client), fd, gate, now);
                self.inputs.push(Input::ClientUp { conn, outbox });
            }
            Note::Read { conn, at, bytes } => self.read(conn, at, &bytes),
            Note::Ended { conn, stream } => {
                if !self.leaving.remove(&conn) {
                    self.lost(conn);
                    self.leaving.remove(&conn);
                }
                drop(stream);
                self.to_nodes.remove(&conn);
                if conn.0 > ACCEPTED {
                    self.room.live.fetch_sub(1, Ordering::AcqRel);
                    if std::mem::take(&mut self.short) {
                        self.room.bell.post();
                    }
                }
            }
            Note::Short => {
                self.short = true;
                self.make_room();
            }
            Note::Signal(signal_hook::consts::SIGHUP) => self.reload(),
            Note::Signal(_) if self.draining.is_none() => {
                self.draining = Some(clock::now());
                self.say("told to end: serving on until shortly before it may be killed");
            }
            Note::Signal(_) => {}
        }
    }

    fn add(
        &mut self,
        conn: ConnId,
        role: Role,
        fd: RawFd,
        gate: Arc<Gate>,
        now: Duration,
    ) -> Arc<Outbox> {
        let rung = self.rung.clone();
        let ring = move || rung.lock().unwrap_or_else(|e| e.into_inner()).push(conn);
        // Closing rings as well, and nobody sits in the socket.
        let outbox = Arc::new(Outbox::new(ring, || ()));
        let new = Conn {
            role,
            fd,
            gate,
            outbox: outbox.clone(),
            inward: Vec::new(),
            outward: Vec::new(),
            written: 0,
            opened: now,
            moved: now,
        };
        self.conns.insert(conn, new);
        outbox
    }

    /// Lets go of a connection; its reader ends, and with it the descriptor.
    fn close(&mut self, conn: ConnId) {
        let Some(c) = self.conns.remove(&conn) else {
            return;
        };
        if let Role::Client(Client {
            open: Some(Asked { id, request, .. }),
            ..
        }) = c.role
        {
            forget(&mut self.ids, &mut self.left, &self.router, id, request);
        }
        self.blocked.remove(&conn);
        // SAFETY: the number is its own until `Note::Ended` has brought the stream.
        unsafe { libc::shutdown(c.fd, libc::SHUT_RDWR) };
        c.gate.close();
        self.leaving.insert(conn);
    }

    /// A connection has ended, or is of no further use.
    fn lost(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get(&conn) else {
            return;
        };
        self.inputs.push(match c.role {
            Role::Client(_) => Input::ClientGone { conn },
            Role::Node(_) => Input::NodeGone { conn },
            Role::List(_) => Input::DiscoveryGone { conn },
        });
        self.close(conn);
    }

    /// Ends a client's connection that only waits, unless the client has said something that is not heard
    /// yet: closed now, its request would be lost. Then nothing is done, and the next look finds it. Whether
    /// it was ended.
    fn leave(&mut self, conn: ConnId) -> bool {
        let leaves = self
            .conns
            .get(&conn)
            .is_some_and(|c| c.gate.close_unless_asked(c.fd));
        if leaves {
            self.lost(conn);
        }
        leaves
    }

    fn read(&mut self, conn: ConnId, at: Duration, bytes: &[u8]) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        c.gate.consumed(bytes.len());
        match &mut c.role {
            Role::Client(Client {
                discard: Some((_, left)),
                ..
            }) => {
                *left = left.saturating_sub(bytes.len());
                if *left == 0 {
                    self.lost(conn);
                }
            }
            Role::Client(client) => {
                if c.inward.is_empty() && client.open.is_none() && client.spoke {
                    client.since = at;
                }
                client.spoke = true;
                c.inward.extend_from_slice(bytes);
                if client.open.is_some() && c.inward.len() > MAX_BEHIND {
                    return self.lost(conn);
                }
                self.advance(conn, at);
            }
            Role::Node(_) => {
                c.moved = at;
                c.inward.extend_from_slice(bytes);
                if c.inward.len() > SMALL_ANSWER
                    && self.inward_of_nodes() > self.config.settings.bounds.max_held_bytes
                {
                    return self.spoilt(conn);
                }
                self.node_answers(conn, at);
            }
            Role::List(_) => {
                c.inward.extend_from_slice(bytes);
                self.list_answers(conn);
            }
        }
    }

    // Clients

    /// Takes apart what a client has sent, as far as it may: one exchange at a time.
    fn advance(&mut self, conn: ConnId, at: Duration) {
        let last = self.killed_at();
        loop {
            let Some(c) = self.conns.get_mut(&conn) else {
                return;
            };
            let Role::Client(client) = &mut c.role else {
                return;
            };
            if client.open.is_some() || client.discard.is_some() || c.inward.is_empty() {
                return;
            }
            let read = match http::request(&c.inward) {
                Ok(None) => return,
                Ok(Some((r, used))) => self.words.read(&r).map(|wish| (wish, r.keep, used)),
                Err(fault) => Err(fault),
            };
            let (wish, keep, used) = match read {
                Ok(read) => read,
                Err(fault) => return self.turn_down(conn, fault),
            };
            match wish {
                Wish::Ready => {
                    // With a remembered list it is of use at once: what has changed since counts as told only a
                    // term after the list could be reached, and the list may be down or have too many callers
                    // just when most hosts start. Without any, all it was given would be deferred, so it waits
                    // for the list. Harm: what it sends to nodes that are no more finds no connection.
                    let ready = self.listed || self.known;
                    let status = if ready { 200 } else { 503 };
                    drained(&mut c.inward, used);
                    client.since = at;
                    put_response(&mut c.outward, status, "", keep, b"");
                    if !keep {
                        client.discard = Some((at + DISCARD.0, DISCARD.1));
                    }
                    self.flush(conn);
                }
                Wish::Take { id, mut take } => {
                    // Who has waited for his turn to be accepted may be gone for long.
                    if client.since <= c.opened && unread(c.fd) == Unread::End {
                        return self.lost(conn);
                    }
                    if self.ids.contains(&id) {
                        return self.turn_down(
                            conn,
                            Fault {
                                status: 409,
                                what: "an id that is open",
                            },
                        );
                    }
                    drained(&mut c.inward, used);
                    self.taken += 1;
                    if let Some(killed) = last {
                        let left = killed.saturating_sub(at + LAST_ANSWER);
                        take.left_us = take.left_us.min(clock::micros(left));
                    }
                    take.id = Bytes::from(format!("{:036x}", self.taken));
                    client.open = Some(Asked {
                        id: id.clone(),
                        request: take.id.clone(),
                        keep,
                    });
                    self.ids.insert(id);
                    let frames = vec![frame(Body::SubmitRequest(*take), at)];
                    self.inputs.push(Input::ClientFrames { conn, at, frames });
                    return;
                }
            }
        }
    }

    /// Says what is wrong, and hangs up once that has been read.
    fn turn_down(&mut self, conn: ConnId, fault: Fault) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        let Role::Client(client) = &mut c.role else {
            return;
        };
        client.discard = Some((clock::now() + DISCARD.0, DISCARD.1));
        c.inward = Vec::new();
        put_response(
            &mut c.outward,
            fault.status,
            "",
            false,
            fault.what.as_bytes(),
        );
        tracing::debug!(
            conn = conn.0,
            status = fault.status,
            "client: {}",
            fault.what
        );
        self.flush(conn);
    }

    /// Where clients hold all they may: the silent go first, then those that have been idle for long.
    ///
    /// How long one that has something to say waits for a place: those before it in the listener's queue came
    /// before it. Once it has waited for [`YOUNG`], all of them are older than that, and each that is silent
    /// is closed at the look that follows its being accepted: from the next [`Host::sweep`] on the queue
    /// moves as fast as we accept and close, however many are in it, and who comes back comes back behind.
    /// Reckoned from their being accepted, each round of as many as have places would cost that span anew.
    /// For longer a place is held only by one that has said something: by an open request until its deadline, an
    /// answer that is not read for [`READING`], half an exchange for [`FIRST_WORDS`] or [`REST`]. Harm: what
    /// one that is slow to speak says may cross the close, and it comes again.
    fn make_room(&mut self) {
        let now = clock::now();
        let order = |c: &Conn| {
            let Role::Client(client) = &c.role else {
                return None;
            };
            let idle = now.saturating_sub(client.since);
            match client {
                Client { open: Some(_), .. } => None,
                // Closed now, the rest of its answer would be lost.
                _ if c.written < c.outward.len() => None,
                Client {
                    discard: Some(_), ..
                } => Some((0, idle)),
                Client { spoke: false, .. } if idle > YOUNG || said_nothing_for(c.fd) > YOUNG => {
                    Some((1, idle))
                }
                _ if idle > IDLE => Some((2, idle)),
                Client { spoke: true, .. } if c.inward.is_empty() => Some((3, idle)),
                _ => Some((4, idle)),
            }
        };
        let all = self
            .conns
            .iter()
            .filter_map(|(id, c)| Some((order(c)?, *id)));
        let mut all: Vec<_> = all.collect();
        all.sort_unstable_by_key(|((kind, idle), _)| (*kind, std::cmp::Reverse(*idle)));
        // A host that was told to end keeps as many of those that have asked as it may ever keep: late in its
        // end they get no other connection here. But no more, or who comes now gets none for their sake.
        let mut over = if self.draining.is_some() {
            self.over_kept()
        } else {
            usize::MAX
        };
        // A few at a time: each costs a look at all. Who turns out to have said something is none of them, or
        // one that is yet to be heard would leave the listener waiting for the next sweep.
        let mut few = 1 + self.room.most / 16;
        for ((kind, _), conn) in all {
            let closed = match kind {
                // An error was its last answer.
                0 => {
                    self.lost(conn);
                    true
                }
                1 => self.leave(conn),
                2 | 3 if over > 0 => self.leave(conn),
                _ => false,
            };
            over -= usize::from(closed && kind > 1);
            few -= usize::from(closed);
            if few == 0 {
                return;
            }
        }
    }

    /// How many more clients that have asked keep connections than may.
    fn over_kept(&self) -> usize {
        let asked =
            |c: &&Conn| matches!(&c.role, Role::Client(k) if k.spoke && k.discard.is_none());
        self.conns
            .values()
            .filter(asked)
            .count()
            .saturating_sub(self.config.descriptors.kept)
    }

    /// Where more clients keep connections than may, those go that have been idle the longest: whoever asks
    /// again and again is among the last. Guards against many who ask once and stay, for whom others are kept
    /// out. Harm: with very many clients in turn each dials anew.
    fn keep_few(&mut self) {
        let idle = |(id, c): (&ConnId, &Conn)| match &c.role {
            Role::Client(k) if k.spoke && k.discard.is_none() => {
                let idle = k.open.is_none() && c.inward.is_empty() && c.written >= c.outward.len();
                idle.then_some((k.since, *id))
            }
            _ => None,
        };
        let mut idle: Vec<_> = self.conns.iter().filter_map(idle).collect();
        let over = self.over_kept();
        if over > 0 && self.draining.is_none() {
            idle.sort_unstable();
            idle.into_iter()
                .take(over)
                .for_each(|(_, conn)| _ = self.leave(conn));
        }
    }

    // Nodes

    fn node_answers(&mut self, conn: ConnId, at: Duration) {
        let Some(c) = self.conns.get(&conn) else {
            return;
        };
        let Role::Node(doing) = &c.role else { return };
        let (body, leaving) = match (http::response(&c.inward), doing) {
            // Bytes that nothing waits for.
            (_, Doing::Nothing) => return self.lost(conn),
            (Ok(None), _) => return,
            (Err(fault), _) => {
                tracing::debug!(conn = conn.0, "node: {}", fault.what);
                return self.spoilt(conn);
            }
            (Ok(Some((r, used))), doing) => {
                let partly = c.written < c.outward.len();
                let leaving = !r.keep || used < c.inward.len() || partly;
                let body = match doing {
                    Doing::Probe(probe) => probed(*probe, r.status),
                    Doing::Attempt(attempt) => Body::AttemptResponse(nodes::answer(*attempt, &r)),
                    Doing::Nothing => return,
                };
                // What answers an attempt that has not come whole is made for another, but for a node's no.
                if partly
                    && !matches!(&body, Body::AttemptResponse(a) if a.result() == pb::Result::Full)
                {
                    return self.lost(conn);
                }
                (body, leaving)
            }
        };
        self.exchange_over(conn, body, leaving, at);
    }

    /// Tells the desk how an exchange with a node ended, and that the connection goes, where it does.
    fn exchange_over(&mut self, conn: ConnId, body: Body, leaving: bool, at: Duration) {
        let Some(Conn {
            role: Role::Node(doing),
            inward,
            ..
        }) = self.conns.get_mut(&conn)
        else {
            return;
        };
        *doing = Doing::Nothing;
        *inward = Vec::new();
        // That it goes comes first, or the next attempt would be given to it.
        let going = leaving.then(|| frame(Body::GoingAway(pb::GoingAway {}), at));
        let frames = going.into_iter().chain([frame(body, at)]).collect();
        self.inputs.push(Input::NodeFrames { conn, at, frames });
        if leaving {
            self.lost(conn);
        }
    }

    fn inward_of_nodes(&self) -> usize {
        let nodes = self
            .conns
            .values()
            .filter(|c| matches!(c.role, Role::Node(_)));
        nodes.map(|c| c.inward.len()).sum()
    }

    /// An answer that will never be whole: what it was for has run, and the connection is of no further use.
    fn spoilt(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get(&conn) else {
            return;
        };
        let Role::Node(doing) = &c.role else { return };
        if c.written < c.outward.len() {
            return self.lost(conn); // it has not come whole, so it has not run
        }
        let body = match *doing {
            Doing::Attempt(attempt) => Body::AttemptResponse(nodes::spoilt(attempt)),
            Doing::Probe(probe) => probed(probe, 502),
            Doing::Nothing => return self.lost(conn),
        };
        self.exchange_over(conn, body, true, clock::now());
    }

    /// The desk counts a connection out when it gives it up, and its descriptor is free a little later: many
    /// that end together, with as many dials in their place, would take the descriptors of all others, and
    /// the list or a client would find none. So what is beyond the nodes' part waits for the first that is
    /// let go of, within the time of its dial. The list's own are at most one that is up, one from before a
    /// move and one dial, which stand beside all parts: it is dialled as soon as the decisions ask. Harm: a
    /// attempt may wait for a dial that is held; it is swept as behind a slow one.
    fn dial(&mut self, conn: ConnId, address: SocketAddr, list: bool) {
        let until = clock::now() + self.config.settings.bounds.dial_timeout;
        if list {
            // Only the last is waited for: a list that moves often leaves no dials behind.
            self.dials.retain(|d| !d.list);
        } else if self.to_nodes.len() >= self.config.descriptors.nodes {
            return self.held.push_back(Held {
                conn,
                address,
                until,
            });
        }
        self.connect(conn, address, list, until);
    }

    /// Without waiting: on this machine and near it a connection is up or refused at once, and what is
    /// neither is looked at again.
    fn connect(&mut self, conn: ConnId, address: SocketAddr, list: bool, until: Duration) {
        let domain = if address.is_ipv4() {
            Domain::IPV4
        } else {
            Domain::IPV6
        };
        let dialled = Socket::new(domain, Type::STREAM, Some(Protocol::TCP)).and_then(|socket| {
            socket.set_nonblocking(true)?;
            socket.set_nodelay(true)?;
            if !list {
                let _ = socket.set_send_buffer_size(UNSENT); // as it is, where that is not to be had
            }
            match socket.connect(&address.into()) {
                Err(e) if e.raw_os_error() != Some(libc::EINPROGRESS) => Err(e),
                _ => Ok(socket),
            }
        });
        match dialled {
            Ok(socket) => {
                if !list {
                    self.to_nodes.insert(conn);
                }
                self.dials.push(Dial {
                    conn,
                    socket,
                    until,
                    list,
                });
            }
            Err(e) => {
                tracing::debug!(%address, "cannot dial: {e}");
                self.inputs.push(if list {
                    Input::DiscoveryGone { conn }
                } else {
                    Input::NodeGone { conn }
                });
            }
        }
    }

    fn dial_held(&mut self) {
        let now = clock::now();
        while self.held.front().is_some_and(|h| now >= h.until) {
            let late = self
                .held
                .pop_front()
                .map(|h| Input::NodeGone { conn: h.conn });
            self.inputs.extend(late);
        }
        while self.to_nodes.len() < self.config.descriptors.nodes {
            let Some(Held {
                conn,
                address,
                until,
            }) = self.held.pop_front()
            else {
                return;
            };
            self.connect(conn, address, false, until);
        }
    }

    fn look_at_dials(&mut self) {
        self.dial_held();
        if self.dials.is_empty() {
            return;
        }
        let mut polled: Vec<libc::pollfd> = self
            .dials
            .iter()
            .map(|d| libc::pollfd {
                fd: d.socket.as_raw_fd(),
                events: libc::POLLOUT,
                revents: 0,
            })
            .collect();
        // SAFETY: the pointer and the length are of one live vector.
        unsafe { libc::poll(polled.as_mut_ptr(), polled.len() as libc::nfds_t, 0) };
        let now = clock::now();
        let dials = std::mem::take(&mut self.dials);
        for (d, p) in dials.into_iter().zip(polled) {
            let (conn, list) = (d.conn, d.list);
            let ready = p.revents != 0;
            if !ready && now < d.until {
                self.dials.push(d);
                continue;
            }
            let up =
                ready && matches!(d.socket.take_error(), Ok(None)) && d.socket.peer_addr().is_ok();
            if !up {
                self.to_nodes.remove(&conn);
                self.inputs.push(if list {
                    Input::DiscoveryGone { conn }
                } else {
                    Input::NodeGone { conn }
                });
                continue;
            }
            // SAFETY: the number has just been given up by its only owner.
            let stream = unsafe { TcpStream::from_raw_fd(d.socket.into_raw_fd()) };
            let (fd, gate) = (stream.as_raw_fd(), Gate::new());
            let role = if list {
                Role::List(Calls::new(self.config.settings.bounds.patience))
            } else {
                Role::Node(Doing::Nothing)
            };
            let outbox = self.add(conn, role, fd, gate.clone(), now);
            start_reader(stream, conn, gate, self.to_owner.clone());
            self.inputs.push(match list {
                true => Input::DiscoveryUp { conn, outbox },
                false => Input::NodeUp { conn, outbox },
            });
        }
    }

    // The list

    fn list_answers(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        let Role::List(calls) = &mut c.role else {
            return;
        };
        if calls.by().is_none() {
            return self.lost(conn);
        }
        let (told, keep) = match http::response(&c.inward) {
            Ok(None) => return,
            Ok(Some((r, used))) if r.status == 200 => {
                let keep = r.keep && used == c.inward.len();
                (self.names.read(&r.body, unix_ms()), keep)
            }
            Ok(Some((r, _))) => (Err(format!("status {}", r.status)), false),
            Err(fault) => (Err(fault.what.to_string()), false),
        };
        c.inward = Vec::new();
        match told {
            Ok(read) => {
                self.listed = true;
                let frames = vec![frame(Body::EndpointUpdate(read.list), clock::now())];
                self.inputs.push(Input::DiscoveryFrames { conn, frames });
                if read.spoilt > 0 {
                    self.say(&format!(
                        "list of nodes: {} entries cannot be read",
                        read.spoilt
                    ));
                }
                match keep {
                    true => self.call_list(
                        conn,
                        calls::Event::Told {
                            revision: read.revision,
                        },
                    ),
                    false => self.lost(conn),
                }
            }
            Err(why) => {
                self.say(&format!("list of nodes: {why}"));
                self.lost(conn);
            }
        }
    }

    fn call_list(&mut self, conn: ConnId, event: calls::Event) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        let Role::List(calls) = &mut c.role else {
            return;
        };
        let poll_interval = self.config.settings.list.rule.poll_interval;
        let Some(call) = calls.step(clock::now(), poll_interval, event) else {
            return;
        };
        c.outward.extend_from_slice(&discovery::ask(SERVICE, call));
        self.flush(conn);
    }

    /// A bad file changes nothing.
    fn reload(&mut self) {
        let Some(file) = &self.file else { return };
        match Config::load(file) {
            Ok(new) if new.name != self.config.name => {
                let named = format!(
                    "configuration not taken: it is {}'s, the last good one stays",
                    new.name
                );
                self.say(&named);
            }
            Ok(new) => {
                if new.discovery != self.discovery {
                    self.discovery = new.discovery;
                    self.inputs.push(Input::DiscoveryMoved);
                }
                self.say("configuration read again");
            }
            Err(why) => self.say(&format!(
                "configuration not taken, the last good one stays: {why}"
            )),
        }
    }

    // Writing

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial { conn, address, .. } => self.dial(conn, address, false),
            Output::DialDiscovery { conn } => self.dial(conn, self.discovery, true),
            Output::Log { text } => self.say(&text),
            // No disk, no state service, no peers here.
            Output::CacheEndpoints { .. }
            | Output::DialStateService { .. }
            | Output::Persist { .. } => {}
            Output::SendToPeer { .. } | Output::ShutdownComplete => {}
        }
    }

    fn flush_all(&mut self) {
        let rung = std::mem::take(&mut *self.rung.lock().unwrap_or_else(|e| e.into_inner()));
        let blocked = std::mem::take(&mut self.blocked);
        for conn in rung.into_iter().chain(blocked) {
            self.flush(conn);
        }
    }

    /// Writes what the socket takes; then what its outbox has.
    fn flush(&mut self, conn: ConnId) {
        loop {
            let Some(c) = self.conns.get_mut(&conn) else {
                return;
            };
            let client = matches!(c.role, Role::Client(_));
            if !client && c.outbox.is_closed() {
                // What is left of an attempt that was given up must not cross any more.
                return self.close(conn);
            }
            while c.written < c.outward.len() {
                let rest = &c.outward[c.written..];
                let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
                // SAFETY: the pointer and the length are of one live slice; the number is still its own.
                let n = unsafe { libc::send(c.fd, rest.as_ptr().cast(), rest.len(), flags) };
                match usize::try_from(n) {
                    Ok(n) => c.written += n,
                    Err(_) => match io::Error::last_os_error().kind() {
                        io::ErrorKind::Interrupted => {}
                        io::ErrorKind::WouldBlock => {
                            self.blocked.insert(conn);
                            return;
                        }
                        _ => return self.lost(conn),
                    },
                }
            }
            if !c.outward.is_empty() {
                c.written = 0;
                drained(&mut c.outward, usize::MAX);
                if let Role::Client(Client {
                    discard: Some(_), ..
                }) = c.role
                {
                    // SAFETY: as above.
                    unsafe { libc::shutdown(c.fd, libc::SHUT_WR) };
                }
            }
            c.outbox.batch_written();
            // Its node has ended it, or says more than it was asked for: an attempt written now would be reset, or
            // be taken to have that answer. It is still ours, and goes elsewhere.
            if let (Role::Node(Doing::Nothing), false) = (&c.role, c.outbox.is_flushed()) {
                if !c.gate.is_quiet(c.fd) {
                    return self.lost(conn);
                }
            }
            if !client && self.nobody_waits(conn) {
                return;
            }
            let Some(c) = self.conns.get_mut(&conn) else {
                return;
            };
            let pulled = c.outbox.take_batch(clock::now, ONE_WRITE);
            if pulled.frames.is_empty() {
                if pulled.closed {
                    self.close(conn);
                }
                return;
            }
            for f in pulled.frames {
                if let Some(body) = f.body {
                    self.put(conn, body);
                }
            }
        }
    }

    /// Whether an attempt lies in a node's outbox whose client has gone: its end may lie in the socket, or with its
    /// reader, behind all that the owner has yet to hear. Nobody waits for the attempt's answer, and it stays
    /// where the desk takes it back.
    ///
    /// So no attempt begins later than its client's end has come to this machine, however long the owner is busy,
    /// a dial took or a repeat waited: the look is made at the last instant, and nothing lies between it and
    /// the write. Guards as well against attempts of a client that was hung up on. Harm: a look at the client's
    /// socket for each attempt.
    fn nobody_waits(&mut self, conn: ConnId) -> bool {
        let left = |client: &ConnId| self.conns.get(client).is_none_or(|c| has_left(c.fd));
        let Some(client) = self.router.clients_waiting_on(conn).find(left) else {
            return false;
        };
        self.lost(client);
        true
    }

    fn put(&mut self, conn: ConnId, body: Body) {
        let ending = self.closing();
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        match (&mut c.role, body) {
            (Role::Client(client), Body::Response(told)) => {
                let Some(Asked { id, request, keep }) = client.open.take() else {
                    return;
                };
                // What it sent behind this one has been read, and is answered too.
                let keep = keep && (!ending || !c.inward.is_empty());
                let now = clock::now();
                client.since = now;
                if !keep {
                    client.discard = Some((now + DISCARD.0, DISCARD.1));
                }
                forget(&mut self.ids, &mut self.left, &self.router, id, request);
                put_final(&mut c.outward, &told, keep);
                if keep && !c.inward.is_empty() {
                    // What waited behind it; the answer goes first, since it stands in the buffer.
                    self.advance(conn, now);
                }
            }
            (Role::Node(doing), Body::Attempt(attempt)) => {
                *doing = Doing::Attempt(attempt.attempt);
                nodes::put_attempt(&mut c.outward, &attempt);
            }
            (Role::Node(doing), Body::HealthCheck(probe)) => {
                if matches!(doing, Doing::Nothing) {
                    *doing = Doing::Probe(probe.probe);
                    nodes::put_probe(&mut c.outward);
                } else {
                    let at = clock::now();
                    let frames = vec![frame(probed(probe.probe, 0), at)];
                    self.inputs.push(Input::NodeFrames { conn, at, frames });
                }
            }
            (Role::List(_), Body::Watch(w)) => {
                self.call_list(conn, calls::Event::Watch { on: w.on })
            }
            (Role::List(_), Body::FetchEndpoints(_)) => self.call_list(conn, calls::Event::Fetch),
            _ => {}
        }
    }

    // Time and the end

    /// When this process may be killed, once it was told to end.
    fn killed_at(&self) -> Option<Duration> {
        let longest = self
            .config
            .settings
            .traffic_classes
            .iter()
            .map(|s| s.deadline)
            .max()
            .unwrap_or_default();
        Some(self.draining? + longest.min(KILLED.0) + KILLED.1)
    }

    /// Whether answers now end their connections. Until then a host that was told to end serves on: its
    /// clients would find nobody else there before the next start.
    fn closing(&self) -> bool {
        self.killed_at()
            .is_some_and(|at| clock::now() + LAST_TAKEN >= at)
    }

    /// Whether a client is still owed something: an answer, or a look at what it has said.
    fn owes(&self, c: &Conn, now: Duration) -> bool {
        let Role::Client(client) = &c.role else {
            return false;
        };
        if client.discard.is_some() {
            // Ended with something unread, its connection would be reset, and the answer with it.
            return c.written < c.outward.len() || unread(c.fd) == Unread::Bytes;
        }
        let begun = client.open.is_some() || c.written < c.outward.len() || !c.inward.is_empty();
        begun || !client.spoke && now < c.opened + YOUNG || !c.gate.is_quiet(c.fd)
    }

    /// Whose exchange crossed the close of an idle connection comes again, so the listener stays until the
    /// last answers are due, and until nobody is in its queue: whoever is there would be reset with what he
    /// has sent.
    fn shut_listener(&mut self, now: Duration) {
        let due = self.killed_at().is_some_and(|at| now + LAST_ANSWER >= at);
        let last = self
            .killed_at()
            .is_some_and(|at| now + LAST_ANSWER / 2 >= at);
        if self.shut.is_some() || !due || waits(self.listener) && !last {
            return;
        }
        self.shut = Some(now);
        self.room.ended.store(true, Ordering::Release);
        // SAFETY: the listener lives in its coroutine until it sees this.
        unsafe { libc::shutdown(self.listener, libc::SHUT_RDWR) };
        self.room.bell.post();
    }

    fn sweep(&mut self) {
        let now = clock::now();
        self.sweep_at = now + SWEEP;
        let closing = self.closing();
        let (mut lost, mut idle) = (Vec::new(), Vec::new());
        let (mut slow, mut spoilt) = (Vec::new(), Vec::new());
        for (id, c) in &self.conns {
            match end_of(c) {
                End::Hang(at) if now >= at => lost.push(*id),
                End::Silent(at) if now >= at || closing && now >= c.opened + YOUNG => {
                    idle.push(*id)
                }
                // A host that was told to end keeps what it has: its clients get no other connection here.
                End::Idle(at) if closing || now >= at && self.draining.is_none() => idle.push(*id),
                End::Complain(at) if now >= at => slow.push(*id),
                End::Spoilt(at) if now >= at => spoilt.push(*id),
                _ => {}
            }
        }
        lost.into_iter().for_each(|conn| self.lost(conn));
        idle.into_iter().for_each(|conn| _ = self.leave(conn));
        self.keep_few();
        spoilt.into_iter().for_each(|conn| self.spoilt(conn));
        let late = Fault {
            status: 408,
            what: "the rest did not come",
        };
        slow.into_iter().for_each(|conn| self.turn_down(conn, late));
        if self.short {
            self.make_room();
            self.room.bell.post();
        }
        if closing {
            self.shut_listener(now);
        }
        self.left.retain(|(id, request)| {
            let out = self.router.is_open(request);
            if !out {
                self.ids.remove(id);
            }
            out
        });
        if now >= self.account_at {
            self.account_at = now + ACCOUNT;
            self.tell_account();
        }
    }

    fn tell_account(&mut self) {
        if tracing::enabled!(tracing::Level::DEBUG) {
            let (second, counts) = ((unix_ms() / 1000.0) as u64, self.router.counters());
            let kinds: Vec<String> = self.config.kinds.iter().map(|k| k.name.clone()).collect();
            tracing::debug!(
                "{}",
                self.teller
                    .line(second, counts, self.router.control(), &kinds)
            );
        }
    }

    fn has_ended(&self) -> bool {
        let now = clock::now();
        let heard = self.shut.is_some_and(|at| now >= at + LAST_HEARD);
        heard && self.inputs.is_empty() && !self.conns.values().any(|c| self.owes(c, now))
    }
}

/// Whether somebody is in a listener's queue.
fn waits(listener: RawFd) -> bool {
    let mut polled = libc::pollfd {
        fd: listener,
        events: libc::POLLIN,
        revents: 0,
    };
    // SAFETY: the pointer is of one live value.
    unsafe { libc::poll(&raw mut polled, 1, 0) > 0 }
}

/// When a connection that only waits has waited long enough.
enum End {
    Never,
    Hang(Duration),
    /// It has never said anything.
    Silent(Duration),
    Idle(Duration),
    Complain(Duration),
    Spoilt(Duration),
}

fn end_of(c: &Conn) -> End {
    match &c.role {
        Role::Node(_) if !c.inward.is_empty() => End::Spoilt(c.moved + REST_OF_ANSWER),
        Role::Client(Client { open: Some(_), .. }) | Role::Node(_) => End::Never,
        Role::Client(client) if c.written < c.outward.len() => End::Hang(client.since + READING),
        Role::Client(Client {
            discard: Some((until, _)),
            ..
        }) => End::Hang(*until),
        Role::Client(Client { spoke: false, .. }) => End::Silent(c.opened + FIRST_WORDS),
        Role::Client(client) if c.inward.is_empty() => End::Idle(client.since + IDLE),
        // Until a first exchange has ended, its time counts from the caller's coming.
        Role::Client(client) if client.since <= c.opened => End::Complain(c.opened + FIRST_WORDS),
        Role::Client(client) => End::Complain(client.since + REST),
        Role::List(calls) => calls.by().map_or(End::Never, End::Hang),
    }
}

/// A client's id is free once nothing of its request is out: until then a node could meet the id of an attempt
/// that it has, and take it for a second copy.
fn forget(
    ids: &mut HashSet<String>,
    left: &mut Vec<(String, Bytes)>,
    router: &RequestRouter,
    id: String,
    request: Bytes,
) {
    if router.is_open(&request) {
        left.push((id, request));
    } else {
        ids.remove(&id);
    }
}

fn probed(probe: u64, status: u16) -> Body {
    let result = if status == 200 {
        pb::Result::Ok
    } else {
        pb::Result::Error
    };
    Body::HealthCheckResult(pb::HealthCheckResult {
        probe,
        result: result.into(),
    })
}

/// Takes the first bytes away, and gives the memory back once nothing is left.
fn drained(buffer: &mut Vec<u8>, used: usize) {
    if used >= buffer.len() {
        *buffer = Vec::new();
    } else {
        buffer.drain(..used);
    }
}

/// The wall clock, by which the list tells when nodes started.
fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

#[cfg(test)]
mod tests;
