//! Group commit: the only thread of a process that writes its store.
//!
//! A commit blocks; coroutines and the threads that own decisions must not block. A caller passes
//! its records with a callback for the result. All records that arrive while a commit runs go
//! into the next commit together. If that commit fails, the thread commits each caller's records
//! separately, so that no caller fails with the fault of another. Callbacks run in the order in
//! which the records were passed.
//!
//! State: the open store, and an unbounded queue; each caller bounds its own outstanding records.

use crate::store::{Record, Store, StoreContents, StoreFault};
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use tracing::warn;

/// Maximum number of records of one commit; further ones wait for the next commit. With a larger number the
/// first caller of a commit waits longer; with a smaller one each sync to disk serves fewer
/// callers.
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

/// A handle to the commit thread. The thread ends after the last handle is dropped.
#[derive(Clone)]
pub struct GroupCommit {
    jobs: Sender<Job>,
}

impl GroupCommit {
    /// Opens the store, starts its thread, and returns the store's contents.
    ///
    /// `max_audit_log` and the faults are those of [`Store::open`].
    pub fn open(
        path: &Path,
        max_audit_log: u64,
    ) -> Result<(GroupCommit, StoreContents), StoreFault> {
        let (store, contents) = Store::open(path, max_audit_log)?;
        Ok((GroupCommit::start(store), contents))
    }

    /// Starts the thread for an open store.
    fn start(mut store: Store) -> GroupCommit {
        let (sender, jobs) = mpsc::channel();
        std::thread::Builder::new()
            .name("group-commit".into())
            .spawn(move || run(&mut store, &jobs))
            .expect("a thread can be started");
        GroupCommit { jobs: sender }
    }

    /// Commits records, completely or not at all. `done` receives the result on the store's thread,
    /// and must not block.
    pub fn commit(
        &self,
        records: Vec<Record>,
        done: impl FnOnce(Result<(), StoreFault>) + Send + 'static,
    ) {
        let done = Box::new(done);
        let _ = self.jobs.send(Job::Commit(CommitJob { records, done }));
    }

    /// Reads the stored contents, after the commits of all records that were passed before. `done`
    /// receives the contents on the store's thread, and must not block.
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
            log_fault(&fault);
            for job in group {
                (job.done)(Err(fault.clone()));
            }
        }
        Err(_) => {
            for job in group {
                let committed = store.commit(&job.records);
                if let Err(fault) = &committed {
                    log_fault(fault);
                }
                (job.done)(committed);
            }
        }
    }
}

fn log_fault(fault: &StoreFault) {
    warn!(error = %fault, "store commit failed");
}
