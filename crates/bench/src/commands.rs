//! Counts the allocations of one command in the iSCSI path, from the bytes of the command PDU to the
//! bytes of its response: PDU reader, target engine and PDU writer, with a host that responds
//! immediately. Every copy of the data needs a buffer, so bytes allocated beyond the length of the
//! command's data reveal copies.

use bytes::Bytes;
use grebecleat_iscsi::keys::format;
use grebecleat_iscsi::login::{Portal, Target};
use grebecleat_iscsi::pdu::{self, Digests, Header, Opcode, Pdu, Reader};
use grebecleat_iscsi::scsi::Unit;
use grebecleat_iscsi_target::blocks::RequestOutcome;
use grebecleat_iscsi_target::engine::{
    ConnNo, Engine, EngineConfig, Input, Output, Request, TargetDescription, VolumeDescription,
};
use grebecleat_iscsi_target::pressure::WindowLimits;
use grebecleat_iscsi_target::versions::Versions;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The system allocator with counters of allocations and bytes.
struct CountingAllocator;
/// Whether `ALLOCATION_COUNT` and `ALLOCATION_BYTES` are updated.
static COUNTING: AtomicBool = AtomicBool::new(false);
static ALLOCATION_COUNT: AtomicU64 = AtomicU64::new(0);
static ALLOCATION_BYTES: AtomicU64 = AtomicU64::new(0);
/// Bytes currently allocated.
static HELD_BYTES: AtomicU64 = AtomicU64::new(0);

/// Bytes allocated by this process and not yet freed.
pub fn held_bytes() -> u64 {
    HELD_BYTES.load(Ordering::Relaxed)
}

// SAFETY: every call is forwarded unchanged to the system allocator; the counters do not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        if COUNTING.load(Ordering::Relaxed) {
            ALLOCATION_COUNT.fetch_add(1, Ordering::Relaxed);
            ALLOCATION_BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        }
        HELD_BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD_BYTES.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        if COUNTING.load(Ordering::Relaxed) {
            ALLOCATION_COUNT.fetch_add(1, Ordering::Relaxed);
            ALLOCATION_BYTES.fetch_add(size as u64, Ordering::Relaxed);
        }
        HELD_BYTES.fetch_add(size as u64, Ordering::Relaxed);
        HELD_BYTES.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.realloc(pointer, layout, size) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const TARGET_NAME: &str = "iqn.2026-12.org.example:v";
const COMMANDS: u32 = 2000;
const CONN: ConnNo = ConnNo(1);

/// The iSCSI path of one connection, without sockets.
struct IscsiPath {
    engine: Engine,
    reader: Reader,
    digests: Digests,
    now: Duration,
    out: Vec<u8>,
    data: Bytes,
}

impl IscsiPath {
    fn new(digests: bool, data: Bytes) -> Self {
        let target = Target {
            name: TARGET_NAME.into(),
            ..Target::default()
        };
        let portal = Portal {
            targets: vec![target],
            group: 1,
            ..Portal::default()
        };
        let unit = Unit {
            blocks: 1 << 20,
            block_size: 512,
            id: 1,
            serial: "v".into(),
            max_blocks: 2048,
            read_only: false,
        };
        let placed = (0..2048).map(|extent| (extent, 1)).collect();
        let volume = VolumeDescription {
            volume: 1,
            unit,
            extent_blocks: 512,
            placed,
        };
        let facts = vec![TargetDescription {
            name: TARGET_NAME.into(),
            luns: vec![0],
        }];
        let window_limits = WindowLimits {
            initial: 128.0,
            maximum: 128.0,
            max_per_session: 128,
        };
        let engine = Engine::new(EngineConfig {
            portal,
            addresses: vec![],
            targets: facts,
            volumes: vec![volume],
            window_limits,
            late_write_time: Duration::from_secs(1),
            versions: Versions::new(0, 1),
            challenges: Box::new(|| [7; 17]),
        });
        let (reader, now) = (Reader::new(256 << 10), Duration::ZERO);
        let mut path = IscsiPath {
            engine,
            reader,
            digests: Digests::default(),
            now,
            out: Vec::with_capacity(1 << 20),
            data,
        };
        path.step(vec![Input::ConnectionOpened { conn: CONN }]);
        let digest = if digests { "CRC32C" } else { "None" };
        let keys = [
            ("InitiatorName", "iqn.i"),
            ("TargetName", TARGET_NAME),
            ("HeaderDigest", digest),
            ("DataDigest", digest),
            ("InitialR2T", "No"),
            ("MaxBurstLength", "262144"),
            ("FirstBurstLength", "262144"),
            ("MaxRecvDataSegmentLength", "262144"),
        ];
        let keys: Vec<(String, String)> = keys
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        let h = Header::new(Opcode::LoginRequest)
            .set_immediate(true)
            .set_flags(0x80 | 1 << 2 | 3);
        path.receive_pdu(&Pdu::new(h.set_itt(1).set_cmd_sn(1), format(&keys)));
        path.digests = Digests {
            header: digests,
            data: digests,
        };
        path.reader.digests = path.digests;
        // Takes the power-on UNIT ATTENTION condition, which the first command on a logical unit reports.
        path.run_command(1, &[0; 16], 0, 0);
        path
    }

    fn step(&mut self, mut inputs: Vec<Input>) {
        while !inputs.is_empty() {
            self.now += Duration::from_micros(10);
            let mut next_inputs = Vec::new();
            for output in self.engine.step(self.now, inputs) {
                match output {
                    Output::Submit(Request { no, write, .. }) => {
                        let data = if write {
                            Bytes::new()
                        } else {
                            self.data.clone()
                        };
                        next_inputs.push(Input::RequestFinished {
                            no,
                            outcome: RequestOutcome::Completed(data),
                            shard: Some(1),
                        });
                    }
                    Output::PersistCeiling { ceiling } => {
                        next_inputs.push(Input::CeilingPersisted { ceiling })
                    }
                    Output::Send { pdu, digests, .. } => {
                        // As in the portal, large data is not copied into the output buffer.
                        self.out.clear();
                        pdu::write_head(&pdu, digests, &mut self.out);
                        if pdu.data.len() < 16 << 10 {
                            self.out.extend_from_slice(&pdu.data);
                        }
                        pdu::write_tail(&pdu, digests, &mut self.out);
                    }
                    _ => {}
                }
            }
            inputs = next_inputs;
        }
    }

    fn receive_pdu(&mut self, pdu: &Pdu) {
        let mut bytes = Vec::new();
        pdu::write(pdu, self.digests, &mut bytes);
        self.receive_bytes(&bytes);
    }

    fn receive_bytes(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            self.reader
                .fill(&mut bytes)
                .expect("reading from a slice cannot fail");
            while let Ok(Some(pdu)) = self.reader.next() {
                self.step(vec![Input::Pdu {
                    conn: CONN,
                    read: Ok(pdu),
                }]);
            }
        }
    }

    fn command_bytes(&self, cmd_sn: u32, cdb: &[u8; 16], flags: u8, length: u32) -> Vec<u8> {
        let h = Header::new(Opcode::ScsiCommand)
            .set_flags(0x80 | flags)
            .set_itt(cmd_sn)
            .set_ttt(length);
        let h = h.set_cmd_sn(cmd_sn).set_exp_stat_sn(cmd_sn).set_cdb(*cdb);
        let data = if flags & 0x20 != 0 {
            self.data.clone()
        } else {
            Bytes::new()
        };
        let mut bytes = Vec::new();
        pdu::write(&Pdu::new(h, data), self.digests, &mut bytes);
        bytes
    }

    fn run_command(&mut self, cmd_sn: u32, cdb: &[u8; 16], flags: u8, length: u32) {
        let bytes = self.command_bytes(cmd_sn, cdb, flags, length);
        self.receive_bytes(&bytes);
    }
}

pub fn measure() {
    println!("| bytes | digests | command | allocations | bytes allocated | bytes allocated / data bytes | us |");
    println!("| ---: | --- | --- | ---: | ---: | ---: | ---: |");
    for bytes in [512u32, 4096, 65_536, 262_144] {
        for digests in [false, true] {
            for (name, code, flags) in [("read", 0x88u8, 0x40u8), ("write", 0x8a, 0x20)] {
                let mut path = IscsiPath::new(digests, Bytes::from(vec![7; bytes as usize]));
                let (mut count, mut allocated, mut elapsed) = (0, 0, Duration::ZERO);
                for n in 0..COMMANDS {
                    let mut cdb = [0; 16];
                    cdb[0] = code;
                    cdb[2..10].copy_from_slice(&(u64::from(n % 64) * 512).to_be_bytes());
                    cdb[10..14].copy_from_slice(&(bytes / 512).to_be_bytes());
                    let request = path.command_bytes(n + 2, &cdb, flags, bytes);
                    let before = (
                        ALLOCATION_COUNT.load(Ordering::Relaxed),
                        ALLOCATION_BYTES.load(Ordering::Relaxed),
                    );
                    let started = Instant::now();
                    COUNTING.store(true, Ordering::Relaxed);
                    path.receive_bytes(&request);
                    COUNTING.store(false, Ordering::Relaxed);
                    elapsed += started.elapsed();
                    count += ALLOCATION_COUNT.load(Ordering::Relaxed) - before.0;
                    allocated += ALLOCATION_BYTES.load(Ordering::Relaxed) - before.1;
                }
                assert_eq!(
                    path.engine.open(),
                    (0, 0),
                    "every command must have been completed"
                );
                let per_command = |n: u64| n as f64 / f64::from(COMMANDS);
                println!(
                    "| {bytes} | {} | {name} | {:.1} | {:.0} | {:.2} | {:.1} |",
                    if digests { "on" } else { "off" },
                    per_command(count),
                    per_command(allocated),
                    per_command(allocated) / f64::from(bytes),
                    elapsed.as_secs_f64() * 1e6 / f64::from(COMMANDS)
                );
            }
        }
    }
}
