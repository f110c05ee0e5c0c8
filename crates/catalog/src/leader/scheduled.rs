//! Scheduled changes: each lands when its time has come, or lapses with a note in the audit log.

use super::proposals::LandingMode;
use super::rejection::Rejection;
use super::Leader;
use crate::change::{Change, ChangeContext, ScheduledChange};

/// Author of the revision that removes a scheduled change which lapsed.
const SERVICE_AUTHOR: &str = "the state service";

impl Leader {
    pub(super) fn land_scheduled(&mut self) {
        if self.now < self.retry_at {
            return;
        }
        let due: Vec<(u64, ScheduledChange)> = self
            .catalog
            .scheduled()
            .filter(|(_, scheduled)| scheduled.at <= self.wall)
            .map(|(id, scheduled)| (id, scheduled.clone()))
            .collect();
        for (id, scheduled) in due {
            if let Err(rejection) = self.land_one_scheduled(id, &scheduled) {
                self.lapse(id, &scheduled, &rejection);
            }
        }
    }

    /// Lands its changes and, in the same revision, removes it.
    fn land_one_scheduled(
        &mut self,
        id: u64,
        scheduled: &ScheduledChange,
    ) -> Result<(), Rejection> {
        for expected in &scheduled.expects {
            let subject = expected.subject();
            if self.catalog.now(&subject) != *expected {
                return Err(Rejection::Outdated(subject));
            }
        }
        let mut changes = scheduled.changes.clone();
        changes.push(Change::Scheduled { id, to: None });
        for change in &mut changes {
            self.fill_in_drain(change, &scheduled.author);
        }
        let by = ChangeContext::by(&scheduled.author, &scheduled.reason, self.wall);
        let revision = self.catalog.propose(self.catalog.version(), by, changes)?;
        let mode = LandingMode {
            force: scheduled.force,
            dry_run: false,
        };
        self.land(None, revision, mode)
    }

    fn lapse(&mut self, id: u64, scheduled: &ScheduledChange, rejection: &Rejection) {
        self.note(format!(
            "timed change {id} of {} lapses: {rejection}",
            scheduled.author
        ));
        let reason = format!("lapsed: {rejection}");
        let by = ChangeContext::by(SERVICE_AUTHOR, &reason, self.wall);
        let removal = vec![Change::Scheduled { id, to: None }];
        let landed = self
            .catalog
            .propose(self.catalog.version(), by, removal)
            .map_err(Rejection::from)
            .and_then(|revision| self.land(None, revision, LandingMode::default()));
        if let Err(rejection) = landed {
            self.note(rejection.to_string());
        }
    }
}
