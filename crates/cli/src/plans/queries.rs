//! Commands that query the service's state: `list`, `show`, `history`, `diff`, `status` and `moves`.

use super::json::{change_to_json, changes_to_json};
use super::{catalog, subject, Session};
use crate::common::load;
use crate::exit::{could_not_run, invalid, CommandError};
use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::{Change, Revision, Subject};
use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::change_syntax::{format_change, format_differences, format_time};
use grebecleat_catalog_service::client::QueryResult;
use grebecleat_catalog_service::declared_config::{
    changes_from_declared, declared_changes, deployment,
};
use grebecleat_wire::pb::{self, query::What};
use serde_json::{json, Value};
use std::path::Path;

/// Shortfall, in units per second, below which reservations count as met.
const NEGLIGIBLE_UNITS: f64 = 0.01;

impl Session {
    pub(super) fn list(&mut self) -> Result<(), CommandError> {
        let state = self.state()?;
        let mut lines = vec![versions_line(&state)];
        lines.extend(state.state.iter().map(format_change));
        let value = json!({
            "version": state.version.0, "settled": state.stable.0,
            "state": changes_to_json(&state.state),
        });
        self.output.print(lines, value);
        Ok(())
    }

    pub(super) fn show(&mut self, kind: &str, name: &str) -> Result<(), CommandError> {
        let subject = subject(kind, name)?;
        let state = self.state()?;
        let current = state.state.iter().find(|c| c.subject() == subject);
        let Some(current) = current else {
            return Err(could_not_run(format!("{subject} does not exist")));
        };
        let audit_log = self.query(What::AuditLog)?;
        let mut lines = vec![format_change(current)];
        if let Subject::Plan(plan) = &subject {
            let on_plan = |change: &&Change| matches!(change, Change::Volume { to: Some(volume), .. } if volume.plan == *plan);
            let volumes = state.state.iter().filter(on_plan).count();
            lines.push(format!("{volumes} volumes stand on it"));
        }
        let mut newest_first = audit_log.revisions.iter().rev();
        if let Some(last) = newest_first.find(|revision| changes_subject(revision, &subject)) {
            lines.push(format!(
                "last changed by entry {} of {}, {}",
                last.version.0,
                last.author,
                format_time(last.at)
            ));
        }
        self.output.print(lines, change_to_json(current));
        Ok(())
    }

    pub(super) fn history(&mut self, most: u32, of: Option<&str>) -> Result<(), CommandError> {
        let subject = of.map(parse_subject).transpose()?;
        // Fetch all entries if they are filtered by subject below.
        let limit = if subject.is_some() { 0 } else { most };
        let result = self.client.query(What::AuditLog, 0, limit, Vec::new());
        let audit_log = result.map_err(could_not_run)?;
        let matches = |revision: &&Revision| match &subject {
            Some(subject) => changes_subject(revision, subject),
            None => true,
        };
        let revisions: Vec<&Revision> = audit_log.revisions.iter().filter(matches).collect();
        let revisions = &revisions[revisions.len().saturating_sub(most as usize)..];
        let lines = revisions
            .iter()
            .flat_map(|revision| revision_lines(revision, audit_log.stable));
        let value = revisions.iter().map(|revision| revision_to_json(revision));
        self.output.print(lines, value.collect());
        Ok(())
    }

    pub(super) fn diff(&mut self, file: &Path) -> Result<(), CommandError> {
        let settings = load(file)?;
        let state = self.state()?;
        let in_service = catalog(&state);
        let differences = changes_from_declared(&settings, state.state);
        let declared = Catalog::new(deployment(&settings), 1).restored(
            Version(1),
            declared_changes(&settings),
            Vec::new(),
        );
        let mut lines: Vec<String> = differences
            .iter()
            .flat_map(|difference| difference_lines(difference, &declared, &in_service))
            .collect();
        if differences.is_empty() {
            lines.push("nothing differs".into());
        }
        self.output.print(lines, changes_to_json(&differences));
        Ok(())
    }

    pub(super) fn status(&mut self) -> Result<(), CommandError> {
        let status = self.query(What::Status)?;
        let last = &status.last;
        let mut lines = vec![versions_line(&status)];
        if !last.store_fault.is_empty() {
            lines.push(format!("trouble with the store: {}", last.store_fault));
        }
        if let Some(behind) = last.behind {
            lines.push(format!(
                "a host has followed entry {behind} of another history: nobody is told anything \
                 until it is said what counts (plans prevail)"
            ));
        }
        lines.push(reservations_line(last.short, last.out_of_reach));
        lines.extend(last.hosts.iter().map(host_line));
        let hosts: Vec<Value> = last.hosts.iter().map(host_to_json).collect();
        let value = json!({
            "version": status.version.0, "settled": status.stable.0, "era": status.epoch.0,
            "hosts": hosts, "short": last.short, "out_of_reach": last.out_of_reach,
            "behind": last.behind, "trouble": last.store_fault,
        });
        self.output.print(lines, value);
        Ok(())
    }

    pub(super) fn moves(&mut self, empty: Vec<u32>) -> Result<(), CommandError> {
        let result = self.client.query(What::Proposal, 0, 0, empty);
        let last = result.map_err(could_not_run)?.last;
        let bytes: u64 = last.moves.iter().map(|extents| extents.bytes).sum();
        let mut lines: Vec<String> = last.moves.iter().map(move_line).collect();
        lines.push(format!(
            "{} moves, {:.1} MiB",
            last.moves.len(),
            bytes as f64 / f64::from(1 << 20)
        ));
        if last.short > NEGLIGIBLE_UNITS {
            lines.push(format!(
                "{:.1} units a second of reserves stay short whatever is moved",
                last.short
            ));
        }
        let moves: Vec<Value> = last.moves.iter().map(move_to_json).collect();
        let value = json!({ "moves": moves, "bytes": bytes, "short": last.short });
        self.output.print(lines, value);
        Ok(())
    }
}

fn versions_line(result: &QueryResult) -> String {
    format!("entry {}, settled {}", result.version.0, result.stable.0)
}

fn changes_subject(revision: &Revision, subject: &Subject) -> bool {
    let mut changes = revision.changes.iter();
    changes.any(|change| change.subject() == *subject)
}

/// Parses a subject given as one argument, such as `volume 103`.
fn parse_subject(text: &str) -> Result<Subject, CommandError> {
    let (kind, name) = text
        .split_once(' ')
        .ok_or_else(|| invalid("--of: expected a kind and a name such as 'volume 103'"))?;
    subject(kind, name.trim())
}

fn revision_lines(revision: &Revision, stable: Version) -> Vec<String> {
    let state = if revision.version <= stable {
        ""
    } else {
        ", not settled"
    };
    let reason = if revision.reason.is_empty() {
        String::new()
    } else {
        format!(": {}", revision.reason)
    };
    let version = revision.version.0;
    let at = format_time(revision.at);
    let mut lines = vec![format!("{version} {at} {}{state}{reason}", revision.author)];
    if !revision.objections.is_empty() {
        lines.push(format!("    forced against: {}", revision.objections));
    }
    let differences = format_differences(&revision.changes, &revision.before);
    lines.extend(differences.into_iter().map(|line| format!("    {line}")));
    lines
}

fn revision_to_json(revision: &Revision) -> Value {
    json!({
        "version": revision.version.0, "at": format_time(revision.at), "who": revision.author,
        "why": revision.reason, "against": revision.objections,
        "changes": changes_to_json(&revision.changes),
        "before": changes_to_json(&revision.before),
    })
}

/// Formats one difference between the settings file and the catalog in service.
fn difference_lines(difference: &Change, declared: &Catalog, in_service: &Catalog) -> Vec<String> {
    let subject = difference.subject();
    let in_file = declared.now(&subject);
    if in_file.is_removal() {
        return vec![format!("only in service:  {}", format_change(difference))];
    }
    if difference.is_removal() {
        return vec![format!("only in the file: {}", format_change(&in_file))];
    }
    let in_service = in_service.now(&subject);
    vec![
        format!("in the file:      {}", format_change(&in_file)),
        format!("in service:       {}", format_change(&in_service)),
    ]
}

/// Formats the units per second of reservations that cannot be met, and of those that no node can reach.
fn reservations_line(short: f64, out_of_reach: f64) -> String {
    if short < NEGLIGIBLE_UNITS && out_of_reach < NEGLIGIBLE_UNITS {
        return "all reserves can be met, or no capacities are stated".into();
    }
    format!(
        "{short:.1} units a second of reserves cannot be met, {out_of_reach:.1} lie out of reach"
    )
}

fn host_line(host: &pb::HostStatus) -> String {
    let applied = if host.heard_of {
        format!("has entry {}", host.applied)
    } else {
        "was never heard of".into()
    };
    let waits = match (host.holds_up, host.silent) {
        (true, true) => "; what is not settled waits for its word, or plans gone",
        (true, false) => "; what is not settled waits for it, or its lease",
        (false, _) => "",
    };
    format!("host {} {applied}{waits}", host.name)
}

fn host_to_json(host: &pb::HostStatus) -> Value {
    json!({
        "name": host.name, "heard_of": host.heard_of, "has": host.applied,
        "holds_up": host.holds_up, "silent": host.silent,
    })
}

fn move_line(extents: &pb::ExtentMove) -> String {
    format!(
        "volume {}: {} extents from node {} to node {}",
        extents.volume, extents.extents, extents.from, extents.to
    )
}

fn move_to_json(extents: &pb::ExtentMove) -> Value {
    json!({
        "volume": extents.volume, "from": extents.from, "to": extents.to,
        "extents": extents.extents, "bytes": extents.bytes,
    })
}
