//! A simulated disk: a power loss drops writes that were not synced and tears the interrupted write;
//! on request, operations fail or the disk is full.

pub mod model;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

/// Size of the unit that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFault {
    Never,
    /// Power is lost at that operation: this operation and all later ones have no effect.
    PowerLossAt(u64),
    /// Only that operation fails, without any effect.
    OnceAt(u64),
    /// From the first number on, as many operations as the second number fail: the disk is full.
    FullFrom(u64, u64),
    ReadOnly,
}

#[derive(Debug, Default)]
struct DiskState {
    /// The synced bytes, which survive a power loss.
    durable: Vec<u8>,
    /// The bytes that a read returns before a power loss.
    visible: Vec<u8>,
    /// Writes since the last sync, oldest first: the offset and the bytes of each sector.
    pending: Vec<(usize, Vec<u8>)>,
    operations: u64,
    fault: Option<DiskFault>,
}

#[derive(Debug, Clone, Default)]
pub struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    /// Returns a disk with these contents, all of them durable.
    pub fn of(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            durable: bytes.clone(),
            visible: bytes,
            ..DiskState::default()
        })))
    }

    /// Sets the fault of the disk from now on.
    pub fn set_fault(&self, fault: DiskFault) {
        self.0.lock().unwrap().fault = Some(fault);
    }

    /// Returns the number of operations that changed the disk: writes, changes of its length, and
    /// syncs.
    pub fn operations(&self) -> u64 {
        self.0.lock().unwrap().operations
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().visible.clone()
    }

    /// Returns the contents after a power loss: all synced bytes, and a random subset of the sectors
    /// that were not synced.
    pub fn after_power_loss(&self, seed: u64) -> Vec<u8> {
        let state = self.0.lock().unwrap();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut bytes = state.durable.clone();
        // The file's length changes at once or not at all; bytes that were never written are zero.
        bytes.resize(
            if rng.random() {
                state.visible.len().max(bytes.len())
            } else {
                bytes.len()
            },
            0,
        );
        let kept_fraction = [0.0, 0.5, 0.95, 1.0][rng.random_range(0..4)];
        for (at, sector) in &state.pending {
            if rng.random::<f64>() < kept_fraction && at + sector.len() <= bytes.len() {
                bytes[*at..at + sector.len()].copy_from_slice(sector);
            }
        }
        bytes
    }

    pub fn backend(&self) -> Box<dyn StorageBackend> {
        Box::new(self.clone())
    }

    fn operate<T>(&self, apply: impl FnOnce(&mut DiskState) -> T) -> io::Result<T> {
        let mut state = self.0.lock().unwrap();
        let operation = state.operations;
        state.operations += 1;
        let reason = match state.fault {
            Some(DiskFault::PowerLossAt(at)) if operation >= at => "power was lost",
            Some(DiskFault::OnceAt(at)) if operation == at => "input/output error",
            Some(DiskFault::FullFrom(at, n)) if operation >= at && operation < at + n => {
                "no space left on device"
            }
            Some(DiskFault::ReadOnly) => "read-only file system",
            _ => return Ok(apply(&mut state)),
        };
        Err(io::Error::other(reason))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.0.lock().unwrap();
        let (from, to) = (offset as usize, offset as usize + out.len());
        let bytes = state
            .visible
            .get(from..to)
            .ok_or_else(|| io::Error::other("read beyond the end"))?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.operate(|state| state.visible.resize(len as usize, 0))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.operate(|state| {
            state.durable = state.visible.clone();
            state.pending.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        // A part of the write that the power loss interrupts may be on the disk.
        {
            let mut state = self.0.lock().unwrap();
            if matches!(state.fault, Some(DiskFault::PowerLossAt(at)) if state.operations == at) {
                let sectors = data.chunks(SECTOR_BYTES).enumerate();
                let torn: Vec<_> = sectors
                    .map(|(index, sector)| {
                        (offset as usize + index * SECTOR_BYTES, sector.to_vec())
                    })
                    .collect();
                state.pending.extend(torn);
            }
        }
        self.operate(|state| {
            let at = offset as usize;
            if state.visible.len() < at + data.len() {
                state.visible.resize(at + data.len(), 0);
            }
            state.visible[at..at + data.len()].copy_from_slice(data);
            let sectors = data.chunks(SECTOR_BYTES).enumerate();
            state.pending.extend(
                sectors.map(|(index, sector)| (at + index * SECTOR_BYTES, sector.to_vec())),
            );
        })
    }
}
