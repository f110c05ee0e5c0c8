use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LIMIT: usize = 1 << 20;
const READ: usize = 4 << 10;
/// Largest response of a node, and the last read of it.
const LARGEST_RESPONSE: usize = 600 << 10;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn incomplete(bytes: usize) -> HeldBytes {
    HeldBytes {
        incomplete_request: bytes,
        ..HeldBytes::default()
    }
}

fn unread(bytes: usize) -> HeldBytes {
    HeldBytes {
        unread_response: bytes,
        ..HeldBytes::default()
    }
}

fn open(bytes: usize) -> HeldBytes {
    HeldBytes {
        open_request: bytes,
        ..HeldBytes::default()
    }
}

fn from_node(bytes: usize) -> HeldBytes {
    HeldBytes {
        node_message: bytes,
        ..HeldBytes::default()
    }
}

/// Guards against clients that hold the memory of others: the one that has sent nothing for the longest
/// is rejected first, and accepted requests and small incomplete ones are kept.
#[test]
fn the_client_without_a_byte_for_the_longest_is_rejected_first_and_no_accepted_request() {
    let mut budget = MemoryBudget::new(LIMIT);
    let part = LIMIT / 4;
    budget.set(ConnId(1), open(part), ms(0), true);
    budget.set(ConnId(2), incomplete(part), ms(1), true);
    budget.set(ConnId(3), incomplete(part), ms(2), true);
    budget.set(ConnId(4), incomplete(READ / 2), ms(0), true);
    assert_eq!(budget.eviction(ms(9)), None, "within the connections' part");
    budget.set(ConnId(2), incomplete(part + 1), ms(5), true);
    budget.set(ConnId(5), incomplete(part), ms(6), true);
    let mut evicted = Vec::new();
    while let Some(Eviction::RejectIncomplete(conn)) = budget.eviction(ms(9)) {
        budget.count_eviction(Eviction::RejectIncomplete(conn));
        budget.remove(conn);
        evicted.push(conn.0);
    }
    assert_eq!(evicted, [3], "the others fit without it");
    budget.set(ConnId(1), open(LIMIT), ms(9), true);
    for conn in [2, 5] {
        let eviction = Eviction::RejectIncomplete(ConnId(conn));
        assert_eq!(budget.eviction(ms(9)), Some(eviction));
        budget.remove(ConnId(conn));
    }
    assert_eq!(
        budget.eviction(ms(9)),
        None,
        "only the accepted request is left"
    );
    assert_eq!(budget.evicted().total(), 1);
}

/// Guards against clients that never read: they are closed after the incomplete and the pipelined
/// requests were rejected, and only if they have accepted no byte for the grace.
#[test]
fn a_client_that_does_not_read_is_closed_last_and_not_while_it_makes_progress() {
    let mut budget = MemoryBudget::new(LIMIT);
    let pipelined = HeldBytes {
        pipelined: LIMIT / 8,
        ..open(10)
    };
    budget.set(ConnId(1), unread(LIMIT), ms(0), true);
    budget.set(ConnId(2), pipelined, ms(0), true);
    budget.set(ConnId(3), incomplete(LIMIT / 8), ms(400), true);
    let mut seen = Vec::new();
    while let Some(eviction) = budget.eviction(ms(600)) {
        seen.push(eviction);
        let (Eviction::RejectIncomplete(conn)
        | Eviction::RejectPipelined(conn)
        | Eviction::CloseUnread(conn)) = eviction;
        budget.remove(conn);
    }
    let expected = [
        Eviction::RejectIncomplete(ConnId(3)),
        Eviction::RejectPipelined(ConnId(2)),
        Eviction::CloseUnread(ConnId(1)),
    ];
    assert_eq!(seen, expected);
    budget.set(ConnId(4), unread(LIMIT), ms(700), false);
    budget.set(ConnId(4), unread(LIMIT - 1), ms(1100), false);
    assert_eq!(budget.eviction(ms(1500)), None, "it has read a byte");
    let closes = Some(Eviction::CloseUnread(ConnId(4)));
    assert_eq!(budget.eviction(ms(1600)), closes);
}

/// Guards against nodes that stop inside large responses and block each other: one may always go on, and
/// the next one takes its place when its response is complete.
#[test]
fn nodes_wait_beyond_their_part_but_one_always_goes_on() {
    let mut budget = MemoryBudget::new(LIMIT);
    let part = LIMIT / 4;
    budget.set(ConnId(1), from_node(part), ms(0), true);
    for conn in 1..=3 {
        let is_granted = budget.request_read(ConnId(conn), PeerKind::Node, READ);
        assert_eq!(is_granted, conn == 1, "{conn}");
    }
    let reserved = budget.read_ahead();
    assert_eq!(reserved, READ);
    budget.set(ConnId(1), from_node(LIMIT), ms(1), true);
    assert_eq!(budget.take_grants(), []);
    assert!(budget.request_read(ConnId(9), PeerKind::Discovery, READ));
    assert!(!budget.request_read(ConnId(8), PeerKind::Client, READ));
    // The first response is complete: its node holds nothing.
    budget.set(ConnId(1), HeldBytes::default(), ms(2), true);
    let granted: Vec<u64> = budget.take_grants().iter().map(|g| g.conn.0).collect();
    assert_eq!(granted, [2, 3, 8], "nodes before clients");
    assert!(!budget.has_waiting());
}

/// Guards against an idle node that keeps the privilege to go on: the next node that waits gets it.
#[test]
fn a_node_that_has_sent_nothing_does_not_keep_the_others_waiting() {
    let mut budget = MemoryBudget::new(LIMIT);
    budget.set(ConnId(1), from_node(LIMIT / 4), ms(0), true);
    assert!(budget.request_read(ConnId(2), PeerKind::Node, READ));
    assert!(!budget.request_read(ConnId(1), PeerKind::Node, READ));
    assert_eq!(budget.finish_read(ConnId(2), READ, 0), 0);
    let grant = ReadGrant {
        conn: ConnId(1),
        bytes: READ,
    };
    assert_eq!(budget.take_grants(), [grant]);
}

/// Guards against a queue of unprocessed reads without a bound, also if each read is of one byte.
#[test]
fn unprocessed_reads_of_one_byte_count_with_their_bookkeeping_and_stop_at_their_part() {
    let mut budget = MemoryBudget::new(LIMIT);
    let mut reads = 0;
    while budget.request_read(ConnId(1), PeerKind::Client, READ) {
        let charged = budget.finish_read(ConnId(1), READ, 1);
        assert!(charged > 1 + size_of::<Vec<u8>>());
        reads += 1;
    }
    assert!(budget.read_ahead() <= LIMIT / READ_AHEAD_DIVISOR);
    assert!(reads < LIMIT / READ_AHEAD_DIVISOR / READ_OVERHEAD_BYTES);
    assert_eq!(budget.finish_read(ConnId(1), 0, 0), 0);
    budget.processed(budget.read_ahead());
    let grant = ReadGrant {
        conn: ConnId(1),
        bytes: READ,
    };
    assert_eq!(budget.take_grants(), [grant]);
    budget.remove(ConnId(1));
    assert_eq!(budget.held(), HeldBytes::default());
}

/// What the model of a connection does with the bytes that it has read.
struct Peer {
    conn: ConnId,
    kind: PeerKind,
    held: HeldBytes,
    is_waiting: bool,
}

impl Peer {
    fn receive(&mut self, bytes: usize, random: &mut Pcg64Mcg) {
        match self.kind {
            PeerKind::Client => {
                self.held.incomplete_request += bytes;
                if self.held.incomplete_request > 80 << 10 || random.random_bool(0.02) {
                    self.held = HeldBytes::default();
                }
            }
            _ => {
                self.held.node_message += bytes;
                if self.held.node_message + READ > LARGEST_RESPONSE {
                    self.held = HeldBytes::default();
                }
            }
        }
    }
}

/// Guards the bound itself: whatever clients and nodes send, and in whatever order, no more than the
/// limit and one response of a node counts at any time, and somebody can always go on.
#[test]
fn the_bound_holds_for_random_peers_and_never_stops_all_of_them() {
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut budget = MemoryBudget::new(LIMIT);
        let mut peers: Vec<Peer> = (0..60)
            .map(|number| Peer {
                conn: ConnId(number),
                kind: [PeerKind::Client, PeerKind::Node][(number % 2) as usize],
                held: HeldBytes::default(),
                is_waiting: false,
            })
            .collect();
        for step in 0..3000 {
            let now = ms(step);
            let peer = &mut peers[random.random_range(0..60)];
            if peer.is_waiting {
                continue;
            }
            if !budget.request_read(peer.conn, peer.kind, READ) {
                peer.is_waiting = true;
                let others = budget.held().total() + budget.read_ahead();
                assert!(others > 0, "seed {seed}, step {step}: waits for nothing");
                continue;
            }
            let received = random.random_range(0..=READ);
            let charged = budget.finish_read(peer.conn, READ, received);
            peer.receive(received, &mut random);
            budget.set(peer.conn, peer.held, now, received > 0);
            budget.processed(charged);
            while let Some(Eviction::RejectIncomplete(conn)) = budget.eviction(now) {
                peers[conn.0 as usize].held = HeldBytes::default();
                budget.set(conn, HeldBytes::default(), now, false);
            }
            for grant in budget.take_grants() {
                peers[grant.conn.0 as usize].is_waiting = false;
                budget.finish_read(grant.conn, grant.bytes, 0);
            }
            assert!(
                budget.peak() <= LIMIT + LARGEST_RESPONSE,
                "seed {seed}, step {step}: {}",
                budget.peak()
            );
            let waiting = peers.iter().filter(|peer| peer.is_waiting).count();
            assert!(waiting < 60, "seed {seed}, step {step}: all wait");
        }
        assert_eq!(budget.read_ahead(), 0, "seed {seed}");
    }
}
