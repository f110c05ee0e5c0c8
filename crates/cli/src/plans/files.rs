//! Commands on files: `snapshot` of a running service, `check` and `restore` of a store.

use super::output::Output;
use super::{now, Session};
use crate::exit::{could_not_run, CommandError};
use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::service::new_epoch;
use grebecleat_catalog_service::snapshot;
use grebecleat_catalog_service::store::{Store, StoreContents, StoreFault, StoredState};
use grebecleat_wire::pb::query::What;
use serde_json::json;
use std::path::Path;

impl Session {
    pub(super) fn write_snapshot(&mut self, file: &Path) -> Result<(), CommandError> {
        let state = self.state()?;
        let audit_log = self.query(What::AuditLog)?.revisions;
        let status = self.query(What::Status)?;
        let version = state.version;
        // The audit log was read after the state, and may contain newer entries.
        let audit_log = audit_log.into_iter();
        let audit_log = audit_log.filter(|revision| revision.version <= version);
        let hosts = status.last.hosts.iter().filter(|host| host.heard_of);
        let hosts = hosts.map(|host| (host.name.as_str().into(), Version(host.applied)));
        let stored = StoredState {
            version,
            stable: state.stable.min(version),
            epoch: state.epoch,
            state: state.state,
            audit_log: audit_log.collect(),
            hosts: hosts.collect(),
            ..StoredState::default()
        };
        let contents = StoreContents {
            state: stored,
            ..StoreContents::default()
        };
        snapshot::write(file, &contents, now()).map_err(could_not_run)?;
        self.output.print(
            [format!("entry {} in {}", version.0, file.display())],
            json!({ "version": version.0 }),
        );
        Ok(())
    }
}

/// Checks a snapshot, by its extension, or else a store.
pub fn check(file: &Path, output: &Output) -> Result<(), CommandError> {
    if !file.exists() {
        return Err(could_not_run(format!("{} does not exist", file.display())));
    }
    let is_snapshot = file.extension().is_some_and(|e| e == "snapshot");
    let contents = if is_snapshot {
        snapshot::read(file)
    } else {
        Store::open(file, u64::MAX).map(|(_, contents)| contents)
    };
    match contents {
        Ok(contents) => {
            print_contents(file, &contents, output);
            Ok(())
        }
        Err(fault @ (StoreFault::Locked | StoreFault::Newer { .. })) => {
            Err(could_not_run(format!("{}: {fault}", file.display())))
        }
        Err(fault) => {
            eprintln!("{}: {fault}", file.display());
            Err(CommandError::CheckFailed)
        }
    }
}

fn print_contents(file: &Path, contents: &StoreContents, output: &Output) {
    let StoreContents { state, extents } = contents;
    let extent_count: u64 = extents.values().map(|extents| extents.len()).sum();
    let version = state.version.0;
    let records = state.state.len();
    let revisions = state.audit_log.len();
    let line = format!(
        "{}: in order: entry {version}, {records} records, {revisions} entries of the trail, \
         {extent_count} extents of {} volumes",
        file.display(),
        extents.len()
    );
    let value = json!({
        "version": version, "records": records, "trail": revisions, "extents": extent_count,
    });
    output.print([line], value);
}

/// Builds a store from a snapshot.
pub fn restore(snapshot: &Path, store: &Path, output: &Output) -> Result<(), CommandError> {
    if store.exists() {
        // A store must not be renamed while a process has it open.
        if let Err(fault @ StoreFault::Locked) = Store::open(store, u64::MAX) {
            return Err(could_not_run(format!("{}: {fault}", store.display())));
        }
    }
    let moved_to = snapshot::restore(snapshot, store, new_epoch()).map_err(could_not_run)?;
    let mut lines = vec![format!(
        "{} is restored; hosts that have followed something newer wait for 'plans prevail'",
        store.display()
    )];
    if let Some(moved_to) = moved_to {
        lines.push(format!(
            "the store that was there is now {}",
            moved_to.display()
        ));
    }
    let value = json!({ "restored": store.display().to_string() });
    output.print(lines, value);
    Ok(())
}
