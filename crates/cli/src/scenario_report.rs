//! Report of a scenario: its clients, its catalog changes and its iSCSI initiators.

use grebecleat_settings::Settings;
use grebecleat_testbed::clients::ClientCounts;
use grebecleat_testbed::iscsi_load::IscsiCounts;
use grebecleat_testbed::scenario::CatalogChangeResult;
use std::ops::Range;

/// Seconds before and after a change over which the timeliness of its volumes is compared.
const COMPARED_SECONDS: u64 = 4;

/// Prints counts of requests, and the fractions that were timely and late by plan.
pub fn print_clients(settings: &Settings, counts: &ClientCounts) {
    println!(
        "clients: {} tries, {} done, {} deferred, {} abandoned; {} lost with their host, \
         {} unanswered, {} answered twice, {} reads with wrong content, {} found no host",
        counts.tries,
        counts.done,
        counts.deferred,
        counts.abandoned,
        counts.lost,
        counts.unanswered,
        counts.doubled,
        counts.wrong_content,
        counts.without_host
    );
    for (plan, (all, timely, late)) in &counts.plans {
        let percent = |count: u64| 100.0 * count as f64 / (*all).max(1) as f64;
        println!(
            "plan {:<10} {all:>7} pieces of work, {:>5.1}% in their SLO time, {:>4.1}% late",
            settings.plans[*plan].name,
            percent(*timely),
            percent(*late)
        );
    }
}

/// Prints the result of each of the script's catalog changes, and the timeliness of the volumes that it
/// names before and after.
pub fn print_changes(settings: &Settings, counts: &ClientCounts, changes: &[CatalogChangeResult]) {
    for change in changes {
        let words = change.words.join(", ");
        println!("at {:?}: {words} -> {}", change.at, change.output);
        for id in change.words.iter().filter_map(|word| volume_id(word)) {
            let index = settings.volumes.iter().position(|volume| volume.id == id);
            if let Some(index) = index {
                print_volume(counts, index, id, change.at.as_secs());
            }
        }
    }
}

fn print_volume(counts: &ClientCounts, index: usize, id: u64, at: u64) {
    let percent = |span: Range<u64>| match counts.timely(index, span) {
        Some(fraction) => format!("{:.0}%", 100.0 * fraction),
        None => "nothing asked".into(),
    };
    let before = percent(at.saturating_sub(COMPARED_SECONDS)..at);
    // The second after the change is left out, since moving a volume may take that long.
    let after = percent(at + 1..at + 1 + COMPARED_SECONDS);
    println!(
        "    volume {id}: in its SLO time in the {COMPARED_SECONDS} s before {before}, \
         from 1 s after {after}"
    );
}

/// Returns the id of the volume that a change names, if it names one.
fn volume_id(change: &str) -> Option<u64> {
    let rest = change.strip_prefix("volume ")?;
    rest.split(' ').next()?.parse().ok()
}

/// Prints the counts of the iSCSI initiators, if they sent any commands.
pub fn print_iscsi_counts(iscsi_load: &IscsiCounts) {
    if iscsi_load.commands == 0 {
        return;
    }
    println!(
        "iscsi: {} good, {} busy, {} of unknown outcome, {} logins, {} aborted and sent again; \
         {} blocks checked, {} wrong",
        iscsi_load.good,
        iscsi_load.busy,
        iscsi_load.unknown,
        iscsi_load.logins,
        iscsi_load.aborted,
        iscsi_load.blocks_checked,
        iscsi_load.wrong
    );
    println!(
        "commands {}, answered {}, missing {}, doubled {}",
        iscsi_load.commands, iscsi_load.answered, iscsi_load.missing, iscsi_load.doubled
    );
}
