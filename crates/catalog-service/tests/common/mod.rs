//! A simulated disk: it loses writes that were not synced, tears the write that a power loss
//! interrupts, fills up, and fails on request.

pub mod model;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

/// Bytes that a disk writes atomically.
const SECTOR: usize = 512;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fails {
    Never,
    /// The machine loses power at that operation: it, and all after it, have no effect.
    PowerLossAt(u64),
    /// That one operation fails, with nothing done.
    OnceAt(u64),
    /// From that operation on nothing can be written, for that number of operations.
    FullFrom(u64, u64),
    ReadOnly,
}

#[derive(Debug, Default)]
struct Inner {
    /// The bytes that a machine certainly finds after a restart.
    durable: Vec<u8>,
    /// The bytes that the running machine reads.
    visible: Vec<u8>,
    /// Writes since the last sync, by sector, oldest first; and lengths.
    pending: Vec<(usize, Vec<u8>)>,
    ops: u64,
    fails: Option<Fails>,
}

#[derive(Debug, Clone, Default)]
pub struct Disk(Arc<Mutex<Inner>>);

impl Disk {
    /// Returns a disk with these contents, all of them durable.
    pub fn of(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Inner {
            durable: bytes.clone(),
            visible: bytes,
            ..Inner::default()
        })))
    }

    /// Sets how the disk fails from now on.
    pub fn fails(&self, fails: Fails) {
        self.0.lock().unwrap().fails = Some(fails);
    }

    /// Returns the number of operations that changed the disk: writes, changes of its length, and
    /// syncs.
    pub fn ops(&self) -> u64 {
        self.0.lock().unwrap().ops
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().visible.clone()
    }

    /// Returns the contents after a power loss: all synced bytes, and any sectors of the rest.
    pub fn after_power_loss(&self, seed: u64) -> Vec<u8> {
        let inner = self.0.lock().unwrap();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut bytes = inner.durable.clone();
        // The file's length changes at once or not at all; bytes that were never written are zero.
        bytes.resize(
            if rng.random() {
                inner.visible.len().max(bytes.len())
            } else {
                bytes.len()
            },
            0,
        );
        let part = [0.0, 0.5, 0.95, 1.0][rng.random_range(0..4)];
        for (at, sector) in &inner.pending {
            if rng.random::<f64>() < part && at + sector.len() <= bytes.len() {
                bytes[*at..at + sector.len()].copy_from_slice(sector);
            }
        }
        bytes
    }

    pub fn backend(&self) -> Box<dyn StorageBackend> {
        Box::new(self.clone())
    }

    fn op<T>(&self, done: impl FnOnce(&mut Inner) -> T) -> io::Result<T> {
        let mut inner = self.0.lock().unwrap();
        let op = inner.ops;
        inner.ops += 1;
        let reason = match inner.fails {
            Some(Fails::PowerLossAt(at)) if op >= at => "power was lost",
            Some(Fails::OnceAt(at)) if op == at => "input/output error",
            Some(Fails::FullFrom(at, n)) if op >= at && op < at + n => "no space left on device",
            Some(Fails::ReadOnly) => "read-only file system",
            _ => return Ok(done(&mut inner)),
        };
        Err(io::Error::other(reason))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.0.lock().unwrap();
        let (from, to) = (offset as usize, offset as usize + out.len());
        let bytes = inner
            .visible
            .get(from..to)
            .ok_or_else(|| io::Error::other("read beyond the end"))?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.op(|inner| inner.visible.resize(len as usize, 0))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.op(|inner| {
            inner.durable = inner.visible.clone();
            inner.pending.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        // A part of the write that the power loss interrupts may be on the disk.
        {
            let mut inner = self.0.lock().unwrap();
            if matches!(inner.fails, Some(Fails::PowerLossAt(at)) if inner.ops == at) {
                let sectors = data.chunks(SECTOR).enumerate();
                let torn: Vec<_> = sectors
                    .map(|(index, sector)| (offset as usize + index * SECTOR, sector.to_vec()))
                    .collect();
                inner.pending.extend(torn);
            }
        }
        self.op(|inner| {
            let at = offset as usize;
            if inner.visible.len() < at + data.len() {
                inner.visible.resize(at + data.len(), 0);
            }
            inner.visible[at..at + data.len()].copy_from_slice(data);
            let sectors = data.chunks(SECTOR).enumerate();
            inner
                .pending
                .extend(sectors.map(|(index, sector)| (at + index * SECTOR, sector.to_vec())));
        })
    }
}
