//! Commands that change the catalog: `set`, `undo`, `declare`, `gone` and `prevail`.

use super::{catalog, now, Session};
use crate::args::Change as ChangeOptions;
use crate::common::load;
use crate::exit::{could_not_run, invalid, CommandError};
use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::Change;
use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::change_syntax::{parse_change, parse_time};
use grebecleat_catalog_service::client::Reply;
use grebecleat_catalog_service::codec::change_to_proto;
use grebecleat_catalog_service::declared_config::{declared_changes, deployment};
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb::{self, frame::Body};
use serde_json::json;
use std::path::Path;
use std::time::Duration;

impl Session {
    pub(super) fn set(
        &mut self,
        lines: &[String],
        at: Option<&str>,
        base_version: Option<u64>,
        options: ChangeOptions,
    ) -> Result<(), CommandError> {
        let state = self.state()?;
        let catalog = catalog(&state);
        let changes = lines.iter().map(|line| parse_change(&catalog, line));
        let changes: Vec<Change> = changes.collect::<Result<_, _>>().map_err(invalid)?;
        let at = at.map(parse_commit_time).transpose()?;
        let author = self.author.clone();
        self.change(|call| {
            Body::Propose(pb::Propose {
                call,
                author,
                reason: options.reason,
                base_version: Some(base_version.unwrap_or(state.version.0)),
                changes: changes.iter().map(change_to_proto).collect(),
                at_us: at.map(micros),
                force: options.force,
                dry_run: options.dry_run,
            })
        })
    }

    pub(super) fn undo(
        &mut self,
        revision: u64,
        options: ChangeOptions,
    ) -> Result<(), CommandError> {
        let author = self.author.clone();
        self.change(|call| {
            Body::Undo(pb::Undo {
                call,
                author,
                reason: options.reason,
                revision,
                force: options.force,
            })
        })
    }

    pub(super) fn declare(
        &mut self,
        file: &Path,
        options: ChangeOptions,
    ) -> Result<(), CommandError> {
        let settings = load(file)?;
        let state = self.state()?;
        let declared = declared_changes(&settings);
        let declared =
            Catalog::new(deployment(&settings), 1).restored(Version(1), declared, Vec::new());
        // A settings file cannot declare drains or scheduled changes, so those in service are kept.
        let is_declared =
            |change: &&Change| !matches!(change, Change::Drain { .. } | Change::Scheduled { .. });
        let changes = catalog(&state).changes_towards(&declared);
        let changes = changes.iter().filter(is_declared);
        let changes: Vec<pb::Change> = changes.map(change_to_proto).collect();
        if changes.is_empty() {
            let lines = ["nothing differs".to_string()];
            let value = json!({ "version": state.version.0 });
            self.output.print(lines, value);
            return Ok(());
        }
        let reason = if options.reason.is_empty() {
            format!("as declared in {}", file.display())
        } else {
            options.reason
        };
        let author = self.author.clone();
        self.change(|call| {
            Body::Propose(pb::Propose {
                call,
                author,
                reason,
                base_version: Some(state.version.0),
                changes,
                at_us: None,
                force: options.force,
                dry_run: options.dry_run,
            })
        })
    }

    /// Declares that a host has stopped for good. The operator must make sure that it sends nothing any more.
    pub(super) fn declare_host_gone(&mut self, host: String) -> Result<(), CommandError> {
        let author = self.author.clone();
        self.change(|call| Body::HostGone(pb::HostGone { call, author, host }))
    }

    pub(super) fn force_epoch(&mut self, reason: String) -> Result<(), CommandError> {
        let author = self.author.clone();
        self.change(|call| {
            Body::ForceEpoch(pb::ForceEpoch {
                call,
                author,
                reason,
            })
        })
    }

    /// Sends a change and prints the service's reply.
    fn change(&mut self, body: impl FnOnce(u64) -> Body) -> Result<(), CommandError> {
        match self.client.change(body).map_err(could_not_run)? {
            Reply::Rejected(reason) => {
                self.output.print([], json!({ "refused": reason }));
                eprintln!("refused: {reason}");
                Err(CommandError::CheckFailed)
            }
            Reply::Preview(preview) => {
                self.print_preview(&preview);
                Ok(())
            }
            Reply::Committed(committed) => {
                self.print_committed(&committed);
                Ok(())
            }
        }
    }

    fn print_preview(&self, preview: &pb::ChangePreview) {
        let objections = preview.objections.iter();
        let mut lines: Vec<String> = objections
            .map(|objection| format!("against it: {objection}"))
            .collect();
        lines.extend(warning_lines(&preview.warnings));
        if lines.is_empty() {
            lines.push("nothing speaks against it".into());
        }
        let value = json!({
            "against": preview.objections, "warnings": preview.warnings, "blind": preview.blind,
        });
        self.output.print(lines, value);
    }

    fn print_committed(&self, committed: &pb::ChangeCommitted) {
        let mut lines = vec![format!("entry {}", committed.version)];
        lines.extend(warning_lines(&committed.warnings));
        if committed.unseen > 0 {
            lines.push(format!(
                "{} losses of a node or zone were not looked at",
                committed.unseen
            ));
        }
        if committed.blind {
            lines.push(
                "no node's capacity is stated, so nobody can say whether reserves hold".into(),
            );
        }
        if !committed.waits_for.is_empty() {
            let hosts = committed.waits_for.join(", ");
            lines.push(format!(
                "in force everywhere only once {hosts} has been heard, or declared gone"
            ));
        }
        let value = json!({
            "version": committed.version, "warnings": committed.warnings,
            "unseen": committed.unseen, "blind": committed.blind,
            "waits_for": committed.waits_for,
        });
        self.output.print(lines, value);
    }
}

fn warning_lines(warnings: &[String]) -> impl Iterator<Item = String> + '_ {
    warnings.iter().map(|warning| format!("warning: {warning}"))
}

/// Parses the time at which a change is to be committed, since the Unix epoch.
fn parse_commit_time(text: &str) -> Result<Duration, CommandError> {
    let expected = "expected a moment such as 2026-12-01T22:00:00Z or +90m";
    parse_time(text, now()).ok_or_else(|| invalid(format!("--at-time: {expected}, found {text}")))
}
