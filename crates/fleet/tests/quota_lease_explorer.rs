//! All that can happen to one budget of three hosts, explored: words are lost, doubled, overtaken, or come
//! after their sender's life; hosts die and start anew without their memory; a clock loses a tick; the third
//! host joins when the first two have followed. In every state the hosts' parts add up to the whole at most.
//! Worlds with a fault planted on purpose, on the other side of the budget's interface, must break that.

use grebecleat_fleet::quota_lease::{
    LeaseMessage, LeaseTerms, QuotaLeases, ReceivedLeaseMessage, WHOLE_LIMIT,
};
use grebecleat_fleet::{HostNumber, Incarnation};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

const SPANS: LeaseTerms = LeaseTerms {
    duration: ticks(2),
    margin: ticks(1),
};
/// Words on their way at most; one more pushes out none, it is not said.
const ON_THE_WAY: usize = 2;

const fn ticks(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A host that starts anew takes it that it has lent nothing.
    StartsInTheDark,
    /// Somebody says for a host that it holds nothing, who does not know.
    ClearedByHearsay,
    /// Words are taken for those of their sender's present life.
    LivesMixedUp,
    /// A clock loses more than the margin.
    SlowClock,
    /// The lender counts from when it was asked, and not from when it agreed.
    CountsFromTheAsk,
    /// A word that a loan is home comes before its borrower has let it go.
    HomeTooEarly,
    /// One agreement is taken for the answer to another ask as well.
    AnswersMixedUp,
    /// The third host begins before the first two have followed.
    JoinsTooEarly,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    budget: Option<QuotaLeases>,
    clock: u64,
    incarnation: u64,
    slips: u8,
    follows: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    time: u64,
    hosts: Vec<Host>,
    way: Vec<(usize, ReceivedLeaseMessage)>,
    mishaps: u8,
    joining: bool,
    /// Hosts that have had their round in this tick.
    tended: Vec<bool>,
}

struct Model {
    fault: Fault,
    hosts: usize,
    end: u64,
    mishaps: u8,
    joins: bool,
}

fn sharers(n: usize) -> BTreeSet<HostNumber> {
    (0..n as u32).map(HostNumber).collect()
}

impl Model {
    fn start(&self) -> World {
        let n = if self.joins { 2 } else { self.hosts };
        // Clocks begin apart, far enough from zero that nobody's start is near it.
        let host = |h: usize| Host {
            budget: (h < n).then(|| {
                let born = ticks(90 + 3 * h as u64);
                QuotaLeases::new(
                    born,
                    HostNumber(h as u32),
                    Incarnation(1),
                    SPANS,
                    sharers(n),
                )
            }),
            clock: 100 + 3 * h as u64,
            incarnation: 1,
            slips: 0,
            follows: false,
        };
        let hosts = (0..self.hosts).map(host).collect();
        World {
            time: 0,
            hosts,
            way: Vec::new(),
            mishaps: 0,
            joining: self.joins,
            tended: vec![false; self.hosts],
        }
    }

    /// Demand moves from the first host to the second in the middle.
    fn wanted(&self, w: &World, h: usize) -> u32 {
        let first = w.time < self.end / 2;
        if (h == 0) == first {
            WHOLE_LIMIT
        } else {
            0
        }
    }

    fn say(&self, w: &mut World, from: usize, lease_messages: Vec<(HostNumber, LeaseMessage)>) {
        let n = w.hosts[from]
            .budget
            .as_ref()
            .map_or(0, |b| b.sharers().len() as u32);
        for (to, say) in lease_messages {
            let heard = ReceivedLeaseMessage {
                from: HostNumber(from as u32),
                incarnation: Incarnation(w.hosts[from].incarnation),
                sharers: n,
                say,
            };
            if self.fault == Fault::ClearedByHearsay && say == LeaseMessage::Recovered {
                let incarnation = Incarnation(w.hosts[to.0 as usize].incarnation);
                let clear = LeaseMessage::Cleared {
                    of: Incarnation(w.hosts[from].incarnation),
                };
                w.way.push((
                    from,
                    ReceivedLeaseMessage {
                        from: to,
                        incarnation,
                        sharers: n,
                        say: clear,
                    },
                ));
            }
            if w.way.len() < ON_THE_WAY {
                w.way.push((to.0 as usize, heard));
            }
        }
        w.way.sort_unstable();
        w.way.dedup();
    }

    fn deliver(&self, w: &mut World, at: usize, keep: bool) {
        let (to, mut heard) = w.way[at];
        if !keep {
            w.way.remove(at);
        }
        if self.fault == Fault::LivesMixedUp {
            heard.incarnation = Incarnation(w.hosts[heard.from.0 as usize].incarnation);
        }
        let mut now = ticks(w.hosts[to].clock);
        if self.fault == Fault::CountsFromTheAsk
            && matches!(heard.say, LeaseMessage::Request { .. })
        {
            now -= ticks(3);
        }
        let Some(budget) = w.hosts[to].budget.as_mut() else {
            return;
        };
        let lease_messages = budget.hear(now, heard);
        if let (Fault::AnswersMixedUp, LeaseMessage::Grant { ask, of, amount }) =
            (self.fault, heard.say)
        {
            for other in [ask.wrapping_sub(2), ask + 2] {
                budget.hear(
                    now,
                    ReceivedLeaseMessage {
                        say: LeaseMessage::Grant {
                            ask: other,
                            of,
                            amount,
                        },
                        ..heard
                    },
                );
            }
        }
        self.say(w, to, lease_messages);
        if let (Fault::HomeTooEarly, LeaseMessage::Request { loan, .. }) = (self.fault, heard.say) {
            let home = ReceivedLeaseMessage {
                say: LeaseMessage::Release { loan },
                ..heard
            };
            if w.way.len() < ON_THE_WAY {
                w.way.push((to, home));
            }
        }
    }

    fn next(&self, w: &World) -> Vec<World> {
        let mut all = Vec::new();
        let mut with = |change: &mut dyn FnMut(&mut World)| {
            let mut next = w.clone();
            change(&mut next);
            if next != *w {
                all.push(next);
            }
        };
        let may = w.mishaps < self.mishaps;
        for at in 0..w.way.len() {
            with(&mut |n| self.deliver(n, at, false));
            if may {
                with(&mut |n| {
                    n.mishaps += 1;
                    self.deliver(n, at, true);
                });
                with(&mut |n| {
                    n.mishaps += 1;
                    n.way.remove(at);
                });
            }
        }
        for h in 0..self.hosts {
            let alive = w.hosts[h].budget.is_some();
            if alive && !w.tended[h] {
                with(&mut |n| {
                    n.tended[h] = true;
                    let wanted = self.wanted(n, h);
                    let offers: Vec<(HostNumber, u32)> = n
                        .hosts
                        .iter()
                        .enumerate()
                        .filter(|(o, _)| *o != h)
                        .filter_map(|(o, x)| {
                            Some((
                                HostNumber(o as u32),
                                x.budget.as_ref()?.spare(ticks(x.clock)),
                            ))
                        })
                        .collect();
                    let now = ticks(n.hosts[h].clock);
                    let b = n.hosts[h].budget.as_mut().expect("alive");
                    b.want(wanted);
                    let lease_messages = b.tend(now, &offers);
                    self.say(n, h, lease_messages);
                });
            }
            if may && alive {
                with(&mut |n| {
                    n.mishaps += 1;
                    let host = &mut n.hosts[h];
                    let count = host
                        .budget
                        .as_ref()
                        .map_or(self.hosts, |b| b.sharers().len());
                    host.incarnation += 1;
                    // It dies and is back before anybody's clock moves: the worst time.
                    let dark = if self.fault == Fault::StartsInTheDark {
                        50
                    } else {
                        0
                    };
                    let (me, incarnation) = (HostNumber(h as u32), Incarnation(host.incarnation));
                    let born = ticks(host.clock - dark);
                    host.budget = Some(QuotaLeases::new(
                        born,
                        me,
                        incarnation,
                        SPANS,
                        sharers(count),
                    ));
                });
            }
        }
        if w.joining {
            for h in 0..2 {
                with(&mut |n| {
                    n.hosts[h].follows = true;
                    n.hosts[h]
                        .budget
                        .iter_mut()
                        .for_each(|b| b.shared_by(sharers(3)));
                });
            }
            if (w.hosts[0].follows && w.hosts[1].follows) || self.fault == Fault::JoinsTooEarly {
                with(&mut |n| {
                    n.joining = false;
                    let now = ticks(n.hosts[2].clock);
                    n.hosts[2].budget = Some(QuotaLeases::new(
                        now - ticks(50),
                        HostNumber(2),
                        Incarnation(1),
                        SPANS,
                        sharers(3),
                    ));
                });
            }
        }
        if w.time < self.end {
            with(&mut |n| {
                (n.time, n.tended) = (n.time + 1, vec![false; self.hosts]);
                n.hosts.iter_mut().for_each(|h| h.clock += 1);
            });
            let slips = if self.fault == Fault::SlowClock { 3 } else { 1 };
            for h in 0..self.hosts {
                if w.hosts[h].slips < slips && may {
                    with(&mut |n| {
                        (n.time, n.tended) = (n.time + 1, vec![false; self.hosts]);
                        n.mishaps += u8::from(self.fault != Fault::SlowClock);
                        n.hosts[h].slips += 1;
                        n.hosts
                            .iter_mut()
                            .enumerate()
                            .filter(|(o, _)| *o != h)
                            .for_each(|(_, x)| x.clock += 1);
                    });
                }
            }
        }
        all
    }

    /// The states seen, and the first in which the parts are more than the whole.
    fn explore(&self, most: usize) -> (usize, Option<World>) {
        let mut seen: HashSet<u64> = HashSet::new();
        let mut open = VecDeque::from([self.start()]);
        while let Some(w) = open.pop_front() {
            let mut hasher = DefaultHasher::new();
            w.hash(&mut hasher);
            if !seen.insert(hasher.finish()) {
                continue;
            }
            let part = |h: &Host| {
                h.budget
                    .as_ref()
                    .map_or(0, |b| u64::from(b.part(ticks(h.clock))))
            };
            if w.hosts.iter().map(part).sum::<u64>() > u64::from(WHOLE_LIMIT) {
                return (seen.len(), Some(w));
            }
            if seen.len() >= most {
                break;
            }
            open.extend(self.next(&w));
        }
        (seen.len(), None)
    }
}

/// States that are looked at, at most, where a world is larger.
const MOST: usize = 250_000;

#[test]
fn the_parts_of_a_budget_never_add_up_to_more_than_the_whole() {
    for (hosts, end, mishaps, joins) in [
        (2, 4, 1, false),
        (2, 6, 1, false),
        (2, 4, 2, false),
        (3, 4, 1, true),
    ] {
        let (seen, broken) = Model {
            fault: Fault::None,
            hosts,
            end,
            mishaps,
            joins,
        }
        .explore(MOST);
        let whole = if seen < MOST { "all" } else { "the first" };
        println!(
            "{hosts} hosts, {end} ticks, {mishaps} mishaps, joins {joins}: {whole} {seen} states"
        );
        assert!(seen > 1_000, "{seen} states are no exploration");
        assert!(broken.is_none(), "{broken:#?}");
    }
}

#[test]
fn planted_faults_are_found() {
    let faults = [
        Fault::StartsInTheDark,
        Fault::ClearedByHearsay,
        Fault::LivesMixedUp,
        Fault::SlowClock,
        Fault::CountsFromTheAsk,
        Fault::HomeTooEarly,
        Fault::AnswersMixedUp,
        Fault::JoinsTooEarly,
    ];
    for fault in faults {
        let joins = fault == Fault::JoinsTooEarly;
        let (seen, broken) = Model {
            fault,
            hosts: if joins { 3 } else { 2 },
            end: 6,
            mishaps: 2,
            joins,
        }
        .explore(8 * MOST);
        println!("{fault:?}: after {seen} states");
        assert!(broken.is_some(), "{fault:?} is not found in {seen} states");
    }
}
