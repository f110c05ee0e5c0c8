//! The statistics line: the numbers of requests received, sent, completed and rejected in one second,
//! and the causes of the rejections. The host logs it at debug level only.
//!
//! [`StatisticsReporter::line`] formats the line. [`StatisticsTable`] parses the lines of many hosts
//! and sums them by second: rejections at one host may be chance, while rejections at three hundred
//! hosts have a common cause. It holds one row for each second, and in it one count for each cause.
//! docs/operators/platform.md documents the names of the line's fields for operators.

use grebecleat_host::router::Counters;
use grebecleat_scheduler::api::NodeState;
use grebecleat_scheduler::rejection_stats::{
    RejectionCause, RejectionReason, TokenSource, LAST_SUCCESS_STEPS,
};
use grebecleat_scheduler::scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// The beginning of the line. `grebecleat account` parses it.
const PREFIX: &str = "account at=";
/// Up to this admission level, a node counts as closed: it gets almost no requests.
const CLOSED_LEVEL: f64 = 0.05;
/// Below this admission level, a node counts as low: it gets few requests.
const LOW_LEVEL: f64 = 0.5;
/// Below this admission level, a node counts as reduced: it gets fewer requests than it could serve.
const REDUCED_LEVEL: f64 = 0.9;
/// Below this factor, a node's concurrency counts as reduced.
const REDUCED_CONCURRENCY: f64 = 0.5;

/// The fields of the line that are not causes, in the order of the table's columns.
const COLUMNS: [&str; 14] = [
    "taken",
    "legs",
    "unsent",
    "done",
    "deferred",
    "abandoned",
    "turned_away",
    "withdrawn",
    "nodes",
    "shut",
    "tight",
    "eased",
    "cold",
    "braked",
];

/// Formats a host's lines. Each line reports the counts since the previous one.
#[derive(Debug, Default)]
pub struct StatisticsReporter {
    reported: Counters,
}

fn cause_name(cause: &RejectionCause, class_names: &[String]) -> String {
    let reason = match cause.reason {
        RejectionReason::Blocked(block) => format!("{block:?}"),
        other => format!("{other:?}"),
    };
    let payer = match cause.token_source {
        TokenSource::Reservation => "reserve",
        TokenSource::Share => "share",
        TokenSource::Nothing => "nobody",
    };
    let last_success = LAST_SUCCESS_STEPS
        .get(cause.last_success)
        .map_or("never".into(), |age| format!("{}ms", age.as_millis()));
    let class = class_names
        .get(cause.traffic_class.0)
        .map_or("?", String::as_str);
    format!("{reason}/{class}/{payer}/{last_success}")
}

/// Numbers of nodes by the restrictions that apply to them.
#[derive(Default)]
struct NodeCounts {
    known: usize,
    closed: usize,
    low: usize,
    reduced: usize,
    slow_start: usize,
    reduced_concurrency: usize,
}

impl NodeCounts {
    /// Counts the nodes to which this host has sent requests; it has no measurements of the others.
    fn of(scheduler: &Scheduler) -> Self {
        let mut counts = NodeCounts::default();
        for node in scheduler.nodes() {
            if node.state != NodeState::Ready || node.last_sent.is_zero() {
                continue;
            }
            counts.known += 1;
            let level = node.admission_level;
            counts.closed += usize::from(level <= CLOSED_LEVEL);
            counts.low += usize::from(level > CLOSED_LEVEL && level < LOW_LEVEL);
            counts.reduced += usize::from((LOW_LEVEL..REDUCED_LEVEL).contains(&level));
            counts.slow_start += usize::from(node.slow_start);
            counts.reduced_concurrency +=
                usize::from(node.concurrency_factor < REDUCED_CONCURRENCY);
        }
        counts
    }

    fn write(&self, line: &mut String) {
        let fields = [
            ("nodes", self.known),
            ("shut", self.closed),
            ("tight", self.low),
            ("eased", self.reduced),
            ("cold", self.slow_start),
            ("braked", self.reduced_concurrency),
        ];
        for (name, count) in fields {
            let _ = write!(line, " {name}={count}");
        }
    }
}

impl StatisticsReporter {
    /// Returns the line for the counts since the last line. `second` is a wall clock time, so that the
    /// lines of several hosts can be compared. `class_names` are the traffic classes, in the settings'
    /// order.
    pub fn line(
        &mut self,
        second: u64,
        counters: Counters,
        scheduler: &mut Scheduler,
        class_names: &[String],
    ) -> String {
        let before = std::mem::replace(&mut self.reported, counters);
        let mut line = format!("{PREFIX}{second}");
        let fields = [
            ("taken", counters.received, before.received),
            ("legs", counters.attempts, before.attempts),
            ("unsent", counters.unsent, before.unsent),
            ("done", counters.completed, before.completed),
            ("deferred", counters.rejected, before.rejected),
            ("abandoned", counters.failed, before.failed),
            ("turned_away", counters.refused, before.refused),
            ("withdrawn", counters.cancelled, before.cancelled),
        ];
        for (name, now, before) in fields {
            let _ = write!(line, " {name}={}", now - before);
        }
        NodeCounts::of(scheduler).write(&mut line);
        for (cause, count) in scheduler.take_rejections() {
            let _ = write!(line, " {}={count}", cause_name(&cause, class_names));
        }
        line
    }
}

/// The lines of several hosts, summed by second.
///
/// ```
/// use grebecleat_platform::statistics::StatisticsTable;
/// let mut table = StatisticsTable::default();
/// for line in [
///     "x account at=70 taken=4 Ease/read/share/1000ms=3",
///     "account at=70 taken=2",
///     "account at=72",
/// ] {
///     assert!(table.read(line));
/// }
/// assert!(!table.read("client: no X-Txn"));
/// let text = table.format(1, 0);
/// assert!(text.lines().nth(1).unwrap().starts_with("0 6 "), "{text}");
/// assert!(text.contains("Ease/read/share/1000ms 3"), "{text}");
/// ```
#[derive(Debug, Default)]
pub struct StatisticsTable {
    seconds: BTreeMap<u64, BTreeMap<String, u64>>,
}

/// Sums of the lines by row and by cause.
#[derive(Default)]
struct Sums<'a> {
    /// Counts by row number, then by the field's name or the first part of a cause's name.
    rows: BTreeMap<u64, BTreeMap<&'a str, u64>>,
    causes: BTreeMap<String, u64>,
}

/// Returns the first `parts` parts of a cause's name, or the whole name if `parts` is zero.
fn cause_group(name: &str, parts: usize) -> String {
    if parts == 0 {
        return name.to_string();
    }
    let group: Vec<&str> = name.splitn(parts + 1, '/').take(parts).collect();
    group.join("/")
}

impl StatisticsTable {
    /// Adds a line of a log. Returns whether it was a statistics line.
    pub fn read(&mut self, line: &str) -> bool {
        let Some(at) = line.find(PREFIX) else {
            return false;
        };
        let mut fields = line[at + PREFIX.len()..].split(' ');
        let Some(second) = fields.next().and_then(|text| text.trim().parse().ok()) else {
            return false;
        };
        let row: &mut BTreeMap<String, u64> = self.seconds.entry(second).or_default();
        for (name, count) in fields.filter_map(|field| field.trim().split_once('=')) {
            *row.entry(name.to_string()).or_default() += count.parse().unwrap_or(0);
        }
        true
    }

    /// Returns one row for each `every` seconds from the first one, then the causes, grouped by the first
    /// `parts` parts of their names, the most frequent one first. If `parts` is zero, causes are not
    /// grouped.
    pub fn format(&self, every: u64, parts: usize) -> String {
        let every = every.max(1);
        let sums = self.sums(every, parts);
        let mut reasons = BTreeSet::new();
        for row in sums.rows.values() {
            reasons.extend(row.keys().copied().filter(|name| !COLUMNS.contains(name)));
        }
        let columns: Vec<&str> = COLUMNS.into_iter().chain(reasons).collect();
        let mut text = format!("second {}\n", columns.join(" "));
        for (number, row) in &sums.rows {
            let _ = write!(text, "{}", number * every);
            for column in &columns {
                let count = row.get(column).copied().unwrap_or(0);
                let _ = write!(text, " {count}");
            }
            text.push('\n');
        }
        let causes = sums.causes.into_iter();
        let mut causes: Vec<(u64, String)> = causes.map(|(name, count)| (count, name)).collect();
        causes.sort_unstable_by(|a, b| b.cmp(a));
        for (count, name) in causes {
            let _ = writeln!(text, "{name} {count}");
        }
        text
    }

    fn sums(&self, every: u64, parts: usize) -> Sums<'_> {
        let first = self.seconds.keys().next().copied().unwrap_or_default();
        let mut sums = Sums::default();
        for (second, fields) in &self.seconds {
            let row = sums.rows.entry((second - first) / every).or_default();
            for (name, count) in fields {
                if COLUMNS.contains(&name.as_str()) {
                    *row.entry(name).or_default() += count;
                    continue;
                }
                let reason = name.split('/').next().unwrap_or_default();
                *row.entry(reason).or_default() += count;
                *sums.causes.entry(cause_group(name, parts)).or_default() += count;
            }
        }
        sums
    }
}
