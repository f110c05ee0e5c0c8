//! What one command costs the iSCSI path in allocations, from the bytes of its PDU to those of its
//! answer: reader, engine and writer, with a host that answers at once. Bytes that are allocated
//! beyond a command's data tell of copies, since every copy needs somewhere to go.

use bytes::Bytes;
use grebecleat_iscsi::keys::format;
use grebecleat_iscsi::login::{Portal, Target};
use grebecleat_iscsi::pdu::{self, Digests, Header, Opcode, Pdu, Reader};
use grebecleat_iscsi::scsi::Unit;
use grebecleat_iscsi_target::blocks::RequestOutcome;
use grebecleat_iscsi_target::engine::{
    ConnNo, Engine, EngineConfig, Input, Output, Request, TargetFacts, VolumeFacts,
};
use grebecleat_iscsi_target::pressure::WindowLimits;
use grebecleat_iscsi_target::versions::Versions;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

struct Counting;
static ON: AtomicBool = AtomicBool::new(false);
static COUNT: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);
/// Bytes that are held now.
static HELD: AtomicU64 = AtomicU64::new(0);

/// What the allocator has given out and not had back.
pub fn held() -> u64 {
    HELD.load(Ordering::Relaxed)
}

// SAFETY: all is the system's own; only counts are kept beside it.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        if ON.load(Ordering::Relaxed) {
            COUNT.fetch_add(1, Ordering::Relaxed);
            BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        }
        HELD.fetch_add(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        if ON.load(Ordering::Relaxed) {
            COUNT.fetch_add(1, Ordering::Relaxed);
            BYTES.fetch_add(size as u64, Ordering::Relaxed);
        }
        HELD.fetch_add(size as u64, Ordering::Relaxed);
        HELD.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.realloc(at, layout, size) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const NAME: &str = "iqn.2026-12.org.example:v";
const COMMANDS: u32 = 2000;
const CONN: ConnNo = ConnNo(1);

struct Path {
    engine: Engine,
    reader: Reader,
    digests: Digests,
    now: Duration,
    out: Vec<u8>,
    data: Bytes,
}

impl Path {
    fn new(digests: bool, data: Bytes) -> Self {
        let target = Target {
            name: NAME.into(),
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
        let volume = VolumeFacts {
            volume: 1,
            unit,
            extent_blocks: 512,
            placed,
        };
        let facts = vec![TargetFacts {
            name: NAME.into(),
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
        let mut p = Path {
            engine,
            reader,
            digests: Digests::default(),
            now,
            out: Vec::with_capacity(1 << 20),
            data,
        };
        p.step(vec![Input::ConnectionOpened { conn: CONN }]);
        let digest = if digests { "CRC32C" } else { "None" };
        let keys = [
            ("InitiatorName", "iqn.i"),
            ("TargetName", NAME),
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
        p.hear(&Pdu::new(h.set_itt(1).set_cmd_sn(1), format(&keys)));
        p.digests = Digests {
            header: digests,
            data: digests,
        };
        p.reader.digests = p.digests;
        // The first command finds that the unit came up.
        p.command(1, &[0; 16], 0, 0);
        p
    }

    fn step(&mut self, mut inputs: Vec<Input>) {
        while !inputs.is_empty() {
            self.now += Duration::from_micros(10);
            let mut again = Vec::new();
            for output in self.engine.step(self.now, inputs) {
                match output {
                    Output::Submit(Request { no, write, .. }) => {
                        let data = if write {
                            Bytes::new()
                        } else {
                            self.data.clone()
                        };
                        again.push(Input::RequestFinished {
                            no,
                            outcome: RequestOutcome::Completed(data),
                            shard: Some(1),
                        });
                    }
                    Output::PersistCeiling { ceiling } => {
                        again.push(Input::CeilingPersisted { ceiling })
                    }
                    Output::Send { pdu, digests, .. } => {
                        // As the portal writes it: large data is not copied.
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
            inputs = again;
        }
    }

    fn hear(&mut self, pdu: &Pdu) {
        let mut bytes = Vec::new();
        pdu::write(pdu, self.digests, &mut bytes);
        self.bytes(&bytes);
    }

    fn bytes(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            self.reader.fill(&mut bytes).expect("a slice reads");
            while let Ok(Some(pdu)) = self.reader.next() {
                self.step(vec![Input::Pdu {
                    conn: CONN,
                    read: Ok(pdu),
                }]);
            }
        }
    }

    fn request(&self, sn: u32, cdb: &[u8; 16], flags: u8, length: u32) -> Vec<u8> {
        let h = Header::new(Opcode::ScsiCommand)
            .set_flags(0x80 | flags)
            .set_itt(sn)
            .set_ttt(length);
        let h = h.set_cmd_sn(sn).set_exp_stat_sn(sn).set_cdb(*cdb);
        let data = if flags & 0x20 != 0 {
            self.data.clone()
        } else {
            Bytes::new()
        };
        let mut bytes = Vec::new();
        pdu::write(&Pdu::new(h, data), self.digests, &mut bytes);
        bytes
    }

    fn command(&mut self, sn: u32, cdb: &[u8; 16], flags: u8, length: u32) {
        let bytes = self.request(sn, cdb, flags, length);
        self.bytes(&bytes);
    }
}

pub fn measure() {
    println!("| bytes | digests | command | allocations | bytes allocated | of the data | us |");
    println!("| ---: | --- | --- | ---: | ---: | ---: | ---: |");
    for bytes in [512u32, 4096, 65_536, 262_144] {
        for digests in [false, true] {
            for (name, code, flags) in [("read", 0x88u8, 0x40u8), ("write", 0x8a, 0x20)] {
                let mut p = Path::new(digests, Bytes::from(vec![7; bytes as usize]));
                let (mut count, mut allocated, mut took) = (0, 0, Duration::ZERO);
                for n in 0..COMMANDS {
                    let mut cdb = [0; 16];
                    cdb[0] = code;
                    cdb[2..10].copy_from_slice(&(u64::from(n % 64) * 512).to_be_bytes());
                    cdb[10..14].copy_from_slice(&(bytes / 512).to_be_bytes());
                    let request = p.request(n + 2, &cdb, flags, bytes);
                    let before = (COUNT.load(Ordering::Relaxed), BYTES.load(Ordering::Relaxed));
                    let begun = Instant::now();
                    ON.store(true, Ordering::Relaxed);
                    p.bytes(&request);
                    ON.store(false, Ordering::Relaxed);
                    took += begun.elapsed();
                    count += COUNT.load(Ordering::Relaxed) - before.0;
                    allocated += BYTES.load(Ordering::Relaxed) - before.1;
                }
                assert_eq!(p.engine.open(), (0, 0), "every command was answered");
                let each = |n: u64| n as f64 / f64::from(COMMANDS);
                println!(
                    "| {bytes} | {} | {name} | {:.1} | {:.0} | {:.2} | {:.1} |",
                    if digests { "on" } else { "off" },
                    each(count),
                    each(allocated),
                    each(allocated) / f64::from(bytes),
                    took.as_secs_f64() * 1e6 / f64::from(COMMANDS)
                );
            }
        }
    }
}
