//! Logs the statistics lines of each second, at debug level.
//!
//! The owner calls [`StatisticsLog`] at each sweep, and when it ends.

use super::connection_table::ConnectionTable;
use super::memory_usage::MemoryUsage;
use super::owner_time::OwnerTime;
use super::shared_budget::SharedBudget;
use super::wall_clock::unix_ms;
use crate::config::Config;
use crate::statistics::StatisticsReporter;
use grebecleat_host::router::RequestRouter;
use std::time::Duration;

/// Time between two lines. The last line is written when the process ends.
const INTERVAL: Duration = Duration::from_millis(1000);

/// Writes the statistics lines.
pub(super) struct StatisticsLog {
    reporter: StatisticsReporter,
    class_names: Vec<String>,
    next_at: Duration,
}

impl StatisticsLog {
    pub(super) fn new(config: &Config, now: Duration) -> Self {
        let classes = config.traffic_classes.iter();
        StatisticsLog {
            reporter: StatisticsReporter::default(),
            class_names: classes.map(|class| class.name.clone()).collect(),
            next_at: now,
        }
    }

    /// Writes the lines if they are due.
    pub(super) fn write_if_due(
        &mut self,
        now: Duration,
        router: &mut RequestRouter,
        connections: &ConnectionTable,
        budget: &SharedBudget,
        time: &mut OwnerTime,
    ) {
        if now >= self.next_at {
            self.next_at = now + INTERVAL;
            self.write(router, connections, budget, time);
        }
    }

    /// Writes the lines.
    pub(super) fn write(
        &mut self,
        router: &mut RequestRouter,
        connections: &ConnectionTable,
        budget: &SharedBudget,
        time: &mut OwnerTime,
    ) {
        let time = time.take();
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let second = (unix_ms() / 1000.0) as u64;
        let counters = router.counters();
        let scheduler = router.scheduler();
        let line = self
            .reporter
            .line(second, counters, scheduler, &self.class_names);
        tracing::debug!("{line}");
        tracing::debug!("{}", MemoryUsage::measure(connections, budget));
        tracing::debug!("{time}");
    }
}
