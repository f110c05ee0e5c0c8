//! Where extents lie, kept through a crash.
//!
//! One table of an embedded store: volume and extent to cell. Places are committed in batches, each durable
//! before it is told, by a thread of its own, since commits block. `redb` is taken for it: a single file,
//! copy on write, a commit that is whole or was not, and no thread or log of its own. A place is never
//! changed here: a write whose place was not kept was not GOOD, and its extent is placed anew. Beside them
//! stands the ceiling of the versions that writes may have had.

use crate::engine::XferNo;
use grebecleat_state::extents::Extents;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{self, Sender};

const PLACES: TableDefinition<(u64, u64), u32> = TableDefinition::new("places");
const CEILING: TableDefinition<(), u64> = TableDefinition::new("ceiling");

/// A place to be kept, and by what it is told.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    pub no: XferNo,
    pub volume: u64,
    pub extent: u64,
    pub cell: u32,
}

/// What is to be durable.
#[derive(Debug, Clone, Copy)]
pub enum Keep {
    Place(Place),
    Ceiling(u64),
}

pub struct Store {
    to: Sender<Keep>,
    /// By volume, as they were at the start.
    pub places: BTreeMap<u64, Extents>,
    /// Versions that earlier starts may have used lie below.
    pub ceiling: u64,
}

impl Store {
    /// Opens or makes the file. `kept` is called for each once it is durable; `failed` once, when the
    /// file can no longer be written: from then on nothing new is placed.
    pub fn open(
        path: &Path, kept: impl Fn(Keep) + Send + 'static, failed: impl Fn(String) + Send + 'static,
    ) -> Result<Store, String> {
        let place = |e: &dyn std::fmt::Display| format!("places in {}: {e}", path.display());
        let db = Database::create(path).map_err(|e| place(&e))?;
        let mut places: BTreeMap<u64, Extents> = BTreeMap::new();
        let write = db.begin_write().map_err(|e| place(&e))?;
        let mut ceiling = 0;
        {
            let table = write.open_table(CEILING).map_err(|e| place(&e))?;
            ceiling = table.get(()).map_err(|e| place(&e))?.map_or(ceiling, |c| c.value());
            let table = write.open_table(PLACES).map_err(|e| place(&e))?;
            for entry in table.iter().map_err(|e| place(&e))? {
                let (key, cell) = entry.map_err(|e| place(&e))?;
                let (volume, extent) = key.value();
                places.entry(volume).or_default().insert(extent, cell.value());
            }
        }
        write.commit().map_err(|e| place(&e))?;
        let (to, from) = mpsc::channel::<Keep>();
        std::thread::Builder::new()
            .name("places".into())
            .spawn(move || {
                while let Ok(first) = from.recv() {
                    let batch: Vec<Keep> = std::iter::once(first).chain(from.try_iter().take(4096)).collect();
                    match keep(&db, &batch) {
                        Ok(()) => batch.into_iter().for_each(&kept),
                        Err(why) => return failed(why),
                    }
                }
            })
            .map_err(|e| place(&e))?;
        Ok(Store { to, places, ceiling })
    }

    pub fn keep(&self, what: Keep) {
        let _ = self.to.send(what);
    }
}

fn keep(db: &Database, batch: &[Keep]) -> Result<(), String> {
    let write = db.begin_write().map_err(|e| e.to_string())?;
    {
        let mut places = write.open_table(PLACES).map_err(|e| e.to_string())?;
        let mut ceiling = write.open_table(CEILING).map_err(|e| e.to_string())?;
        for keep in batch {
            match keep {
                Keep::Place(p) => {
                    places.insert((p.volume, p.extent), p.cell).map_err(|e| e.to_string())?;
                }
                Keep::Ceiling(c) => drop(ceiling.insert((), c).map_err(|e| e.to_string())?),
            }
        }
    }
    write.commit().map_err(|e| e.to_string())
}

/// All places in a file, for whoever checks it.
pub fn places_in(path: &Path) -> Result<Vec<(u64, u64, u32)>, String> {
    let db = Database::open(path).map_err(|e| e.to_string())?;
    let read = db.begin_read().map_err(|e| e.to_string())?;
    let table = read.open_table(PLACES).map_err(|e| e.to_string())?;
    let all = table.iter().map_err(|e| e.to_string())?;
    all.map(|e| e.map(|(k, c)| (k.value().0, k.value().1, c.value())).map_err(|e| e.to_string())).collect()
}
