//! Filters revisions for one host.
//!
//! Pure functions, which the catalog service calls for each host that it sends revisions to.

use crate::catalog::Catalog;
use crate::change::{Change, Revision, Subject};
use crate::records::{Name, Version};
use std::collections::BTreeSet;

/// Returns the part of a revision that a host needs. It leaves out volumes that neither are nor were
/// served through the host, and changes that hosts do not need at all. For a volume that is newly
/// served through the host, it adds the state before each revision after `stable`, because the host
/// must take the limits of all these states into account.
pub fn filter_for_host(
    catalog: &Catalog,
    stable: Version,
    revision: &Revision,
    host: &Name,
) -> Revision {
    let known_before: BTreeSet<Subject> = revision
        .before
        .iter()
        .filter(|change| !change.is_removal() && is_needed_by(change, host))
        .map(Change::subject)
        .collect();
    let is_needed = |change: &&Change| match change {
        Change::Volume { to: None, .. } => known_before.contains(&change.subject()),
        change => is_needed_by(change, host) || known_before.contains(&change.subject()),
    };
    let changes: Vec<Change> = revision.changes.iter().filter(is_needed).cloned().collect();
    let new_volumes: BTreeSet<Subject> = changes
        .iter()
        .map(Change::subject)
        .filter(|subject| matches!(subject, Subject::Volume(_)) && !known_before.contains(subject))
        .collect();
    let before: Vec<Change> = changes_of(&revision.before, &new_volumes).collect();
    let also = if before.is_empty() {
        Vec::new()
    } else {
        earlier_states(catalog, stable, revision.version, &new_volumes)
    };
    Revision {
        changes,
        before,
        also,
        ..revision.clone()
    }
}

/// The states of the subjects before each of the revisions between `stable` and `version` (both
/// exclusive), newest first.
fn earlier_states(
    catalog: &Catalog,
    stable: Version,
    version: Version,
    subjects: &BTreeSet<Subject>,
) -> Vec<(Version, Change)> {
    catalog
        .audit_log()
        .rev()
        .skip_while(|earlier| earlier.version >= version)
        .take_while(|earlier| earlier.version > stable)
        .flat_map(|earlier| {
            changes_of(&earlier.before, subjects).map(|change| (earlier.version, change))
        })
        .collect()
}

/// The changes of one of the subjects.
fn changes_of<'a>(
    changes: &'a [Change],
    subjects: &'a BTreeSet<Subject>,
) -> impl Iterator<Item = Change> + 'a {
    let is_included = move |change: &&Change| subjects.contains(&change.subject());
    changes.iter().filter(is_included).cloned()
}

/// Returns whether a host needs this part of the state.
pub fn is_needed_by(change: &Change, host: &Name) -> bool {
    match change {
        Change::Volume {
            to: Some(volume), ..
        } => volume.hosts.contains(host),
        Change::Scheduled { .. } => false,
        _ => true,
    }
}
