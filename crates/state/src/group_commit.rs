//! The one thread of a process that writes its store.
//!
//! Commits block, and coroutines and owners of decisions must not. Whoever has something to keep hands it
//! over with what to call once it is on the disk or not; what has come meanwhile goes into one commit. Where
//! that fails, each is tried by itself, so that nobody falls with another's. Calls come in the order in which
//! things were handed over.

use crate::extents::Extents;
use crate::store::{Record, Store, StoreFault, StoredState};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{self, Sender};
use tracing::warn;

/// Records of one commit; more wait for the next.
const AT_ONCE: usize = 8192;

type Done = Box<dyn FnOnce(Result<(), StoreFault>) + Send>;
type Seen = Box<dyn FnOnce(Result<(StoredState, BTreeMap<u64, Extents>), StoreFault>) + Send>;

enum Job {
    Record(Vec<Record>, Done),
    Read(Seen),
}

/// Hands things to the thread; it ends with the last of its handles.
#[derive(Clone)]
pub struct GroupCommit(Sender<Job>);

impl GroupCommit {
    /// Opens the store and starts its thread; what was in it is answered.
    pub fn open(
        path: &Path,
        max_audit_log: u64,
    ) -> Result<(GroupCommit, StoredState, BTreeMap<u64, Extents>), StoreFault> {
        let (store, persisted, places) = Store::open(path, max_audit_log)?;
        Ok((GroupCommit::start(store), persisted, places))
    }

    pub fn start(mut store: Store) -> GroupCommit {
        let (to, from) = mpsc::channel::<Job>();
        let run = move || {
            while let Ok(first) = from.recv() {
                let (mut jobs, mut records) = (Vec::new(), 0);
                let mut next = Some(first);
                while let Some(job) = next.take() {
                    match job {
                        Job::Record(keeps, done) => {
                            records += keeps.len();
                            jobs.push((keeps, done));
                            if records < AT_ONCE {
                                next = from.try_recv().ok();
                            }
                        }
                        Job::Read(seen) => {
                            commit(&mut store, std::mem::take(&mut jobs));
                            seen(store.read());
                        }
                    }
                }
                commit(&mut store, jobs);
            }
        };
        std::thread::Builder::new()
            .name("keeper".into())
            .spawn(run)
            .expect("a thread can be started");
        GroupCommit(to)
    }

    /// `done` is called on the keeper's thread, and must not wait.
    pub fn keep(
        &self,
        keeps: Vec<Record>,
        done: impl FnOnce(Result<(), StoreFault>) + Send + 'static,
    ) {
        let _ = self.0.send(Job::Record(keeps, Box::new(done)));
    }

    /// Everything as it is on the disk, after all that was handed over before.
    pub fn read(
        &self,
        seen: impl FnOnce(Result<(StoredState, BTreeMap<u64, Extents>), StoreFault>) + Send + 'static,
    ) {
        let _ = self.0.send(Job::Read(Box::new(seen)));
    }
}

fn commit(store: &mut Store, jobs: Vec<(Vec<Record>, Done)>) {
    if jobs.is_empty() {
        return;
    }
    let alone = jobs.len() == 1;
    let all: Vec<Record> = jobs.iter().flat_map(|j| j.0.iter().cloned()).collect();
    match store.keep(&all) {
        Ok(()) => jobs.into_iter().for_each(|(_, done)| done(Ok(()))),
        Err(fault) if alone => {
            warn!("the store: {fault}");
            jobs.into_iter()
                .for_each(|(_, done)| done(Err(fault.clone())));
        }
        Err(_) => {
            for (keeps, done) in jobs {
                let persisted = store.keep(&keeps);
                if let Err(fault) = &persisted {
                    warn!("the store: {fault}");
                }
                done(persisted);
            }
        }
    }
}
