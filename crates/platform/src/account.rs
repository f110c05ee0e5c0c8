//! One line a second that says what this host took, sent, did and gave up, and why; at debug level alone.
//!
//! [`Teller::line`] makes it, [`Sums`] reads lines of many hosts back and adds them up by second: what one
//! host gives up is an accident, what three hundred do is a cause. Memory: one row for each second, and one
//! count for each cause met in it.

use grebecleat::control::Control;
use grebecleat::interface::NodeState;
use grebecleat::rejection_stats::{PaidBy, RejectionCause, RejectionReason, LAST_SUCCESS_STEPS};
use grebecleat_host::router::Counters;
use std::collections::BTreeMap;
use std::fmt::Write;

/// What a line of the log begins with.
const MARK: &str = "account at=";

#[derive(Debug, Default)]
pub struct Teller {
    told: Counters,
}

fn cause(c: &RejectionCause, kinds: &[String]) -> String {
    let why = match c.reason {
        RejectionReason::Blocked(rejection) => format!("{rejection:?}"),
        other => format!("{other:?}"),
    };
    let pays = match c.paid_by {
        PaidBy::Reservation => "reserve",
        PaidBy::Share => "share",
        PaidBy::Nothing => "nobody",
    };
    let heard = LAST_SUCCESS_STEPS
        .get(c.last_success)
        .map_or("never".into(), |age| format!("{}ms", age.as_millis()));
    let kind = kinds.get(c.traffic_class.0).map_or("?", String::as_str);
    format!("{why}/{kind}/{pays}/{heard}")
}

impl Teller {
    /// `second`: of the wall clock, so that the lines of several hosts can be laid side by side.
    pub fn line(
        &mut self,
        second: u64,
        counts: Counters,
        control: &mut Control,
        kinds: &[String],
    ) -> String {
        let before = std::mem::replace(&mut self.told, counts);
        let mut line = format!("{MARK}{second}");
        let since = [
            ("taken", counts.received, before.received),
            ("legs", counts.attempts, before.attempts),
            ("unsent", counts.unsent, before.unsent),
            ("done", counts.completed, before.completed),
            ("deferred", counts.rejected, before.rejected),
            ("abandoned", counts.failed, before.failed),
            ("turned_away", counts.refused, before.refused),
            ("withdrawn", counts.cancelled, before.cancelled),
        ];
        for (name, now, then) in since {
            let _ = write!(line, " {name}={}", now - then);
        }
        // Only nodes that this host has had to do with: of the others it knows nothing.
        let known: Vec<_> = control
            .nodes()
            .filter(|n| n.state == NodeState::Ready && !n.last_sent.is_zero())
            .collect();
        let count =
            |of: &dyn Fn(f64) -> bool| known.iter().filter(|n| of(n.admission_level)).count();
        let nodes = [
            ("nodes", known.len()),
            ("shut", count(&|ease| ease <= 0.05)),
            ("tight", count(&|ease| ease > 0.05 && ease < 0.5)),
            ("eased", count(&|ease| (0.5..0.9).contains(&ease))),
            ("cold", known.iter().filter(|n| n.slow_start).count()),
            (
                "braked",
                known.iter().filter(|n| n.concurrency_factor < 0.5).count(),
            ),
        ];
        for (name, n) in nodes {
            let _ = write!(line, " {name}={n}");
        }
        for (c, n) in control.take_rejections() {
            let _ = write!(line, " {}={n}", cause(&c, kinds));
        }
        line
    }
}

/// Lines of several hosts, added up by second.
///
/// ```
/// use grebecleat_platform::account::Sums;
/// let mut sums = Sums::default();
/// for line in ["x account at=70 taken=4 Ease/read/share/1000ms=3", "account at=70 taken=2", "account at=72"] {
///     assert!(sums.read(line));
/// }
/// assert!(!sums.read("client: no X-Txn"));
/// let table = sums.table(1, 0);
/// assert!(table.lines().nth(1).unwrap().starts_with("0 6 "), "{table}");
/// assert!(table.contains("Ease/read/share/1000ms 3"), "{table}");
/// ```
#[derive(Debug, Default)]
pub struct Sums {
    seconds: BTreeMap<u64, BTreeMap<String, u64>>,
}

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

impl Sums {
    /// Whether the line was an account.
    pub fn read(&mut self, line: &str) -> bool {
        let Some(at) = line.find(MARK) else {
            return false;
        };
        let mut words = line[at + MARK.len()..].split(' ');
        let Some(second) = words.next().and_then(|s| s.trim().parse().ok()) else {
            return false;
        };
        let row: &mut BTreeMap<String, u64> = self.seconds.entry(second).or_default();
        for (name, n) in words.filter_map(|w| w.trim().split_once('=')) {
            *row.entry(name.to_string()).or_default() += n.parse().unwrap_or(0);
        }
        true
    }

    /// A row for each so many seconds from the first one, then the causes, by steps of so much of their name,
    /// the most frequent first.
    pub fn table(&self, every: u64, parts: usize) -> String {
        let first = self.seconds.keys().next().copied().unwrap_or_default();
        let mut rows: BTreeMap<u64, BTreeMap<&str, u64>> = BTreeMap::new();
        let mut causes: BTreeMap<String, u64> = BTreeMap::new();
        for (second, row) in &self.seconds {
            let to = rows.entry((second - first) / every.max(1)).or_default();
            for (name, n) in row {
                if COLUMNS.contains(&name.as_str()) {
                    *to.entry(name).or_default() += n;
                    continue;
                }
                let part = name
                    .splitn(parts + 1, '/')
                    .take(parts)
                    .collect::<Vec<_>>()
                    .join("/");
                *to.entry(name.split('/').next().unwrap_or_default())
                    .or_default() += n;
                *causes
                    .entry(if parts == 0 { name.clone() } else { part })
                    .or_default() += n;
            }
        }
        let whys: std::collections::BTreeSet<&str> = rows
            .values()
            .flat_map(|r| r.keys().copied())
            .filter(|w| !COLUMNS.contains(w))
            .collect();
        let columns: Vec<&str> = COLUMNS.into_iter().chain(whys).collect();
        let mut table = format!("second {}\n", columns.join(" "));
        for (n, row) in &rows {
            let _ = write!(table, "{}", n * every.max(1));
            columns
                .iter()
                .for_each(|c| _ = write!(table, " {}", row.get(c).copied().unwrap_or(0)));
            table.push('\n');
        }
        let mut causes: Vec<(u64, String)> =
            causes.into_iter().map(|(name, n)| (n, name)).collect();
        causes.sort_unstable_by(|a, b| b.cmp(a));
        for (n, name) in causes {
            let _ = writeln!(table, "{name} {n}");
        }
        table
    }
}
