//! The one thread of a process that writes its store.
//!
//! Commits block, and coroutines and owners of decisions must not. A caller hands over its records
//! with a callback for the result; what has arrived meanwhile goes into one commit. Where that
//! fails, each caller's records are committed by themselves, so that no caller fails with another's
//! fault. Callbacks are called in the order in which the records were handed over.
//!
//! State: the open store, and an unbounded queue; the callers bound what they have outstanding.

use crate::store::{Record, Store, StoreContents, StoreFault};
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use tracing::warn;

/// Records of one commit; further ones wait for the next.
const MAX_RECORDS_PER_COMMIT: usize = 8192;

type CommitCallback = Box<dyn FnOnce(Result<(), StoreFault>) + Send>;
type ReadCallback = Box<dyn FnOnce(Result<StoreContents, StoreFault>) + Send>;

enum Job {
    Commit(CommitJob),
    Read(ReadCallback),
}

struct CommitJob {
    records: Vec<Record>,
    done: CommitCallback,
}

/// A handle to the thread, which ends with the last handle.
#[derive(Clone)]
pub struct GroupCommit {
    jobs: Sender<Job>,
}

impl GroupCommit {
    /// Opens the store, starts its thread, and returns what is in the store.
    ///
    /// `max_audit_log` and the faults: as of [`Store::open`].
    pub fn open(
        path: &Path,
        max_audit_log: u64,
    ) -> Result<(GroupCommit, StoreContents), StoreFault> {
        let (store, contents) = Store::open(path, max_audit_log)?;
        Ok((GroupCommit::start(store), contents))
    }

    /// Starts the thread of an open store.
    fn start(mut store: Store) -> GroupCommit {
        let (sender, jobs) = mpsc::channel();
        std::thread::Builder::new()
            .name("group-commit".into())
            .spawn(move || run(&mut store, &jobs))
            .expect("a thread can be started");
        GroupCommit { jobs: sender }
    }

    /// Commits records, completely or not at all. `done` gets the result on the thread of the
    /// store, and must not block.
    pub fn commit(
        &self,
        records: Vec<Record>,
        done: impl FnOnce(Result<(), StoreFault>) + Send + 'static,
    ) {
        let done = Box::new(done);
        let _ = self.jobs.send(Job::Commit(CommitJob { records, done }));
    }

    /// Reads everything as it is stored, after all that was handed over before. `done` gets the
    /// contents on the thread of the store, and must not block.
    pub fn read(&self, done: impl FnOnce(Result<StoreContents, StoreFault>) + Send + 'static) {
        let _ = self.jobs.send(Job::Read(Box::new(done)));
    }
}

fn run(store: &mut Store, jobs: &Receiver<Job>) {
    while let Ok(first) = jobs.recv() {
        let mut group = Vec::new();
        let mut records = 0;
        let mut next = Some(first);
        while let Some(job) = next.take() {
            match job {
                Job::Commit(job) => {
                    records += job.records.len();
                    group.push(job);
                    if records < MAX_RECORDS_PER_COMMIT {
                        next = jobs.try_recv().ok();
                    }
                }
                Job::Read(done) => {
                    commit_group(store, std::mem::take(&mut group));
                    done(store.read());
                }
            }
        }
        commit_group(store, group);
    }
}

fn commit_group(store: &mut Store, group: Vec<CommitJob>) {
    if group.is_empty() {
        return;
    }
    let single = group.len() == 1;
    let mut all = Vec::new();
    for job in &group {
        all.extend(job.records.iter().cloned());
    }
    match store.commit(&all) {
        Ok(()) => {
            for job in group {
                (job.done)(Ok(()));
            }
        }
        Err(fault) if single => {
            warn_of(&fault);
            for job in group {
                (job.done)(Err(fault.clone()));
            }
        }
        Err(_) => {
            for job in group {
                let committed = store.commit(&job.records);
                if let Err(fault) = &committed {
                    warn_of(fault);
                }
                (job.done)(committed);
            }
        }
    }
}

fn warn_of(fault: &StoreFault) {
    warn!(%fault, "store commit failed");
}
