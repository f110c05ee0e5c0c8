//! A revision as one host needs it.
//!
//! Called by the state service for each host that it sends revisions to. No state.

use crate::catalog::Catalog;
use crate::change::{Change, Revision, Subject};
use crate::records::{Name, Version};
use std::collections::BTreeSet;

/// A revision as one host needs it: without volumes that neither are nor were served through it,
/// and without what is not for hosts at all. Of a volume that is served through it now and was not,
/// the host also gets the former state before each revision after `stable`: it must reckon with all
/// of them.
pub fn for_host(catalog: &Catalog, stable: Version, revision: &Revision, host: &Name) -> Revision {
    let known_before: BTreeSet<Subject> = revision
        .before
        .iter()
        .filter(|change| !change.is_removal() && is_for(change, host))
        .map(Change::subject)
        .collect();
    let is_needed = |change: &&Change| match change {
        Change::Volume { to: None, .. } => known_before.contains(&change.subject()),
        change => is_for(change, host) || known_before.contains(&change.subject()),
    };
    let changes: Vec<Change> = revision.changes.iter().filter(is_needed).cloned().collect();
    let new_volumes: BTreeSet<Subject> = changes
        .iter()
        .map(Change::subject)
        .filter(|subject| matches!(subject, Subject::Volume(_)) && !known_before.contains(subject))
        .collect();
    let is_new_volume = |change: &&Change| new_volumes.contains(&change.subject());
    let before: Vec<Change> = revision
        .before
        .iter()
        .filter(is_new_volume)
        .cloned()
        .collect();
    let mut also = Vec::new();
    if !before.is_empty() {
        let earlier = catalog
            .audit_log()
            .rev()
            .skip_while(|earlier| earlier.version >= revision.version)
            .take_while(|earlier| earlier.version > stable);
        for earlier in earlier {
            for change in earlier.before.iter().filter(is_new_volume) {
                also.push((earlier.version, change.clone()));
            }
        }
    }
    Revision {
        changes,
        before,
        also,
        ..revision.clone()
    }
}

/// Whether a host needs to know this part of the state.
pub fn is_for(change: &Change, host: &Name) -> bool {
    match change {
        Change::Volume {
            to: Some(volume), ..
        } => volume.hosts.contains(host),
        Change::Scheduled { .. } => false,
        _ => true,
    }
}
