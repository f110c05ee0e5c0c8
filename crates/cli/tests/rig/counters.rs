//! Counts of a fleet's run, and the rules that every run must keep.

use super::client::{ClientOutcome, ClientRequest};
use super::host::Host;
use super::ms;
use super::node::{Node, ReceivedAttempt};
use super::site::{MIN_RETRIES, RETRY_RATIO, RETRY_WINDOW};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Instant;

/// An attempt and the node that received it.
#[derive(Debug)]
pub struct NodeAttempt {
    pub node: String,
    pub attempt: ReceivedAttempt,
}

/// Numbers of requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestCounts {
    /// All requests.
    pub all: usize,
    /// Completed requests.
    pub completed: usize,
}

/// Outcomes of the requests of a run.
#[derive(Debug, Default)]
pub struct Counters {
    pub completed: usize,
    pub rejected: usize,
    pub failed: usize,
    /// Requests without a response in time, except those whose host was killed meanwhile.
    pub lost: Vec<String>,
    /// Non-idempotent requests that ran more than once.
    pub duplicated: Vec<String>,
    /// Writes that were rejected although a node had executed them.
    pub wrongly_rejected: Vec<String>,
    /// Pairs of requests of one key and host that overlapped in time.
    pub out_of_order: usize,
    /// Nodes that received more than the slow-start rule allows, summed over all hosts.
    pub overloaded_nodes: Vec<String>,
    /// Hosts that were not running at the end.
    pub crashed: Vec<usize>,
    /// Largest number of retries by which a host exceeded its budget, over all windows.
    pub retries_over_budget: f64,
    /// The hosts' logs.
    pub log: String,
    requests: Vec<ClientRequest>,
    /// All attempts that nodes received, ordered by time.
    pub attempts: Vec<NodeAttempt>,
}

impl Counters {
    /// Computes the counts of a run that has ended.
    pub fn of(
        requests: Vec<ClientRequest>,
        nodes: &[Node],
        hosts: &[Host],
        crashed: Vec<usize>,
        log: String,
    ) -> Counters {
        let overloaded = nodes.iter().filter(|node| node.was_overloaded());
        let mut counters = Counters {
            overloaded_nodes: overloaded.map(|node| node.uid.clone()).collect(),
            attempts: attempts_by_time(nodes),
            requests,
            crashed,
            log,
            ..Counters::default()
        };
        counters.count_outcomes(hosts);
        counters.count_effects();
        counters.count_order();
        counters.count_retries();
        counters
    }

    fn count_outcomes(&mut self, hosts: &[Host]) {
        let received = self.attempts.iter();
        let received: BTreeSet<&str> = received
            .map(|received| received.attempt.request_id.as_str())
            .collect();
        for request in &self.requests {
            match request.outcome {
                ClientOutcome::Status(200) => self.completed += 1,
                outcome if outcome.is_rejection() => self.rejected += 1,
                ClientOutcome::Status(_) => self.failed += 1,
                ClientOutcome::Unreachable if !received.contains(request.id.as_str()) => {}
                ClientOutcome::NoResponse | ClientOutcome::Unreachable => {
                    if !was_killed(&hosts[request.host], request) {
                        let class = request.traffic_class;
                        let outcome = request.outcome;
                        self.lost
                            .push(format!("{} {class} {outcome:?}", request.id));
                    }
                }
            }
        }
    }

    fn count_effects(&mut self) {
        let mut effects: BTreeMap<&str, usize> = BTreeMap::new();
        for received in &self.attempts {
            let ran = usize::from(received.attempt.ran);
            *effects.entry(&received.attempt.request_id).or_default() += ran;
        }
        for request in &self.requests {
            let effects = effects.get(request.id.as_str()).copied().unwrap_or(0);
            if request.traffic_class == "once" && effects > 1 {
                self.duplicated.push(request.id.clone());
            }
            let is_write = request.traffic_class != "read";
            if is_write && effects > 0 && request.outcome.is_rejection() {
                self.wrongly_rejected.push(request.id.clone());
            }
        }
    }

    /// Counts requests of one key through one host that started before the previous one had ended.
    fn count_order(&mut self) {
        let mut last: BTreeMap<(&str, usize, &str), &ReceivedAttempt> = BTreeMap::new();
        for received in &self.attempts {
            let attempt = &received.attempt;
            if attempt.traffic_class != "row" || !attempt.ran {
                continue;
            }
            let key = (received.node.as_str(), attempt.host, attempt.key.as_str());
            if let Some(previous) = last.insert(key, attempt) {
                let overlap = attempt.at + ms(2) < previous.ended_at;
                let another = previous.request_id != attempt.request_id;
                self.out_of_order += usize::from(overlap && another);
            }
        }
    }

    fn count_retries(&mut self) {
        let mut most = self.retries_over_budget;
        for (host, retries) in self.retries_by_host() {
            let requests = self.requests.iter().filter(|request| request.host == host);
            for (index, end) in retries.iter().enumerate() {
                let start = *end - RETRY_WINDOW;
                let is_inside = |at: Instant| at > start && at <= *end;
                let made = retries[..=index].iter().filter(|at| **at > start).count();
                let received = requests
                    .clone()
                    .filter(|request| is_inside(request.sent_at));
                let allowed = MIN_RETRIES + RETRY_RATIO * received.count() as f64;
                most = most.max(made as f64 - allowed);
            }
        }
        self.retries_over_budget = most;
    }

    /// Returns the times of each host's retries: all attempts but the first of each request.
    fn retries_by_host(&self) -> BTreeMap<usize, Vec<Instant>> {
        let mut first_attempts = BTreeSet::new();
        let mut retries = BTreeMap::<usize, Vec<Instant>>::new();
        for NodeAttempt { attempt, .. } in &self.attempts {
            if !first_attempts.insert(&attempt.request_id) {
                retries.entry(attempt.host).or_default().push(attempt.at);
            }
        }
        retries
    }

    /// Asserts the rules that every run must keep.
    pub fn assert_rules_hold(&self) {
        let none = Vec::<String>::new();
        let (lost, requests) = (self.lost.len(), self.requests.len());
        let no_host = Vec::<usize>::new();
        assert_eq!(self.crashed, no_host, "hosts crashed\n{}", self.log);
        assert_eq!(self.lost, none, "{lost} of {requests} lost");
        assert_eq!(self.duplicated, none, "requests that ran more than once");
        assert_eq!(self.wrongly_rejected, none, "rejected although they ran");
        assert_eq!(self.out_of_order, 0, "requests of one key in parallel");
        assert_eq!(self.overloaded_nodes, none, "overloaded while warming up");
        let over = self.retries_over_budget;
        assert!(over <= 1.0, "{over} retries over the budget");
        assert!(!self.log.contains("panicked"), "{}", self.log);
    }

    /// Counts the requests sent since a time.
    pub fn requests_since(&self, since: Instant) -> RequestCounts {
        let requests = self.requests.iter();
        let recent = requests.filter(|request| request.sent_at >= since);
        let is_completed = |request: &&ClientRequest| request.outcome == ClientOutcome::Status(200);
        RequestCounts {
            all: recent.clone().count(),
            completed: recent.filter(is_completed).count(),
        }
    }

    /// Counts the attempts within a time range at the nodes whose uids `is_counted` accepts.
    pub fn attempts_at(&self, is_counted: impl Fn(&str) -> bool, span: Range<Instant>) -> usize {
        let attempts = self.attempts.iter();
        attempts
            .filter(|received| is_counted(&received.node) && span.contains(&received.attempt.at))
            .count()
    }
}

fn attempts_by_time(nodes: &[Node]) -> Vec<NodeAttempt> {
    let mut attempts = Vec::new();
    for node in nodes {
        for attempt in node.received() {
            let node = node.uid.clone();
            attempts.push(NodeAttempt { node, attempt });
        }
    }
    attempts.sort_by_key(|received| received.attempt.at);
    attempts
}

/// Returns whether the host was killed while it had the request.
fn was_killed(host: &Host, request: &ClientRequest) -> bool {
    // The client notices that the connection has closed some time after the host was killed.
    let mut kills = host.kills().into_iter();
    kills.any(|kill| request.sent_at <= kill.to + ms(50) && request.ended_at >= kill.from)
}
