//! Entries that hosts hold in common: one writer each, joined by the larger mark, aged by spans.
//!
//! Called by the fleet's step: [`Common::write`] for what this host says of itself, [`Common::hear`] for what
//! came, [`Common::round`] when its time has come, which answers whom to tell what. Spread is by rumour and
//! rotation (Demers 1987): what is new is passed on a few times at once, and beside it each word carries
//! other entries in turn, so that in the end everything is heard whatever was lost.
//!
//! Bound, whatever the fleet's size: [`TOLD`] words of at most [`MAX_ENTRIES`] entries in a round, and a
//! round every `every` at most, or four times as often while there is news. Memory: an entry for each host.
//!
//! Age is what an entry's facts were old when they came, and the time since: of the way between hosts nothing
//! is known, so each hop counts a millisecond, lest an entry that goes round and round stays young. What is
//! older than [`FORGET`] is refused and dropped: it cannot come back through a slow peer, since its age came
//! with it.
//!
//! A host's lives. A start number tells them apart; of one host's entries those of the later life count. Who
//! starts asks its peers first, and writes when it has heard what they know of it, or nothing for
//! [`ASK_FIRST`]. Who later hears of a life of its own that is as late, and not its own, steps aside: either
//! it is the earlier process, or its number is too low. It stays aside as long as the other's count grows,
//! and then goes on above it.

use crate::word::{Word, MAX_ENTRIES, MAX_FACTS};
use crate::{HostNumber, Incarnation};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Hosts told in a round.
pub const TOLD: usize = 2;
/// A host that was not heard of for so long is forgotten.
pub const FORGET: Duration = Duration::from_secs(60);
pub const ASK_FIRST: Duration = Duration::from_millis(600);
/// Without a new count of another process of this host for so long, it is taken for gone.
const ASIDE: Duration = Duration::from_secs(10);
const HOP: Duration = Duration::from_millis(1);
/// A host's entry is written anew at least so often in rounds, so that others know it to be there.
const RENEW: u32 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mark {
    pub incarnation: Incarnation,
    pub count: u64,
}

/// How a node answered one host of late. Attempts of the last seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Sight {
    pub node: u32,
    /// Of the node's process, as the list tells it.
    pub start: u64,
    pub sent: u32,
    pub bad: u32,
    /// How long ago the last of them ended, when this was written.
    pub ago: Duration,
    /// Others find it bad, and here it answers.
    pub clears: bool,
}

/// What a host could lend of a budget, in parts of [`crate::budget::WHOLE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Offer {
    pub volume: u64,
    pub spare: u32,
}

/// What a volume was served through one host in this life of it, in units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Served {
    pub volume: u64,
    pub units: u64,
}

/// What a host says of itself and of what it tried itself; never what it heard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Facts {
    /// Nodes that it sent to of late, and those of them that answered badly.
    pub tried: u32,
    pub badly: u32,
    pub sights: Vec<Sight>,
    pub offers: Vec<Offer>,
    pub served: Vec<Served>,
}

impl Facts {
    /// What others should hear at once: processes of nodes that it finds bad, or that answer it though others
    /// find them bad.
    pub fn turned(&self) -> BTreeSet<(u32, u64, bool)> {
        let news = |s: &&Sight| s.clears || crate::judgement::bad(s);
        self.sights
            .iter()
            .filter(news)
            .map(|s| (s.node, s.start, s.clears))
            .collect()
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub writer: HostNumber,
    pub mark: Mark,
    pub age: Duration,
    pub facts: Facts,
}

#[derive(Debug, Clone)]
struct Held {
    mark: Mark,
    /// When its facts held, by our clock; before our start for the oldest.
    at: i128,
    facts: Facts,
    /// How often it is still to be passed on as news.
    news: u32,
}

#[derive(Debug)]
pub struct Common {
    me: HostNumber,
    incarnation: Incarnation,
    count: u64,
    every: Duration,
    peers: Vec<HostNumber>,
    entries: BTreeMap<HostNumber, Held>,
    own: Facts,
    own_news: bool,
    since_written: u32,
    /// Until when it listens before it writes.
    listens: Duration,
    /// Another process of this host: its mark, and when that last grew.
    other: Option<(Mark, Duration)>,
    turn: usize,
    next: Duration,
    last: Option<Duration>,
    /// Who asked for all that is known.
    asked: BTreeSet<HostNumber>,
    rng: Pcg64Mcg,
}

/// What hearing a word changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Joined {
    pub newer: Vec<HostNumber>,
    /// Entries of hosts that nobody here knows, or older than anything is kept.
    pub refused: usize,
    /// This host's own number was as low as another's.
    pub raised: bool,
}

fn nanos(d: Duration) -> i128 {
    d.as_nanos() as i128
}

impl Common {
    /// `incarnation` is a guess, such as the wall clock's; peers may know better.
    pub fn new(
        now: Duration,
        me: HostNumber,
        incarnation: Incarnation,
        every: Duration,
        mut peers: Vec<HostNumber>,
        seed: u64,
    ) -> Self {
        peers.sort_unstable();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let next = now + every.mul_f64(rng.random::<f64>());
        let listens = if peers.is_empty() {
            now
        } else {
            now + ASK_FIRST
        };
        Common {
            me,
            incarnation,
            count: 0,
            every,
            peers,
            entries: BTreeMap::new(),
            own: Facts::default(),
            own_news: false,
            since_written: 0,
            listens,
            other: None,
            turn: 0,
            next,
            last: None,
            asked: BTreeSet::new(),
            rng,
        }
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether a process of this host that may be a later one is at work.
    pub fn aside(&self) -> bool {
        self.other.is_some()
    }

    pub fn wake_at(&self) -> Duration {
        self.next
    }

    /// What this host says of itself from now on. `news`: others should hear it at once.
    pub fn write(&mut self, now: Duration, facts: Facts, news: bool) {
        debug_assert!(
            facts
                .sights
                .len()
                .max(facts.offers.len())
                .max(facts.served.len())
                <= MAX_FACTS
        );
        self.own = facts;
        if news {
            self.own_news = true;
            self.hurry(now);
        }
    }

    /// The next round comes soon, though no sooner than a quarter of the usual time after the last.
    fn hurry(&mut self, now: Duration) {
        let soonest = self.last.map_or(now, |last| last + self.every / 4);
        self.next = self.next.min(soonest.max(now));
    }

    /// What hosts say, with its age; hosts that were forgotten are not among them.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (HostNumber, Duration, &Facts)> {
        self.entries.iter().filter_map(move |(h, e)| {
            let age = Duration::from_nanos((nanos(now) - e.at).max(0) as u64);
            (age < FORGET).then_some((*h, age, &e.facts))
        })
    }

    pub fn marks(&self) -> impl Iterator<Item = (HostNumber, Mark)> + '_ {
        self.entries.iter().map(|(h, e)| (*h, e.mark))
    }

    /// How often news is passed on by one host: a few times more than a rumour needs to reach all.
    fn tells(&self) -> u32 {
        (usize::BITS - self.peers.len().leading_zeros()).div_ceil(2) + 1
    }

    pub fn hear(&mut self, now: Duration, from: HostNumber, word: &Word) -> Joined {
        let mut joined = Joined::default();
        if word.asks {
            self.asked.insert(from);
            self.hurry(now);
        }
        for e in &word.entries {
            if e.writer == self.me {
                joined.raised |= self.hear_of_me(now, e.mark);
                continue;
            }
            if self.peers.binary_search(&e.writer).is_err() || e.age >= FORGET {
                joined.refused += 1;
                continue;
            }
            let before = self.entries.get(&e.writer);
            if before.is_some_and(|b| b.mark >= e.mark) {
                continue;
            }
            // Who merely says again what it said, or less, is no news; a sight that turned is.
            let turned = before.is_none_or(|b| !e.facts.turned().is_subset(&b.facts.turned()));
            let at = nanos(now) - nanos(e.age + HOP);
            let news = if turned { self.tells() } else { 0 };
            let held = Held {
                mark: e.mark,
                at,
                facts: e.facts.clone(),
                news,
            };
            self.entries.insert(e.writer, held);
            joined.newer.push(e.writer);
            if turned {
                self.hurry(now);
            }
        }
        joined
    }

    /// Somebody holds an entry of this host that this process did not write.
    fn hear_of_me(&mut self, now: Duration, mark: Mark) -> bool {
        if mark
            < (Mark {
                incarnation: self.incarnation,
                count: 0,
            })
            || (mark.incarnation == self.incarnation && mark.count <= self.count)
        {
            return false;
        }
        if now < self.listens && self.count == 0 {
            // A former life, heard of before anything was written.
            self.incarnation = Incarnation(mark.incarnation.0 + 1);
            return true;
        }
        let grew = self.other.is_none_or(|(m, _)| mark > m);
        if grew {
            self.other = Some((mark, now));
        }
        false
    }

    /// Whom to tell what, where it is time; `true` where this host's number was raised.
    pub fn round(&mut self, now: Duration) -> (Vec<(HostNumber, Word)>, bool) {
        if now < self.next {
            return (Vec::new(), false);
        }
        let jitter = 0.75 + self.rng.random::<f64>() / 2.0;
        (self.next, self.last) = (now + self.every.mul_f64(jitter), Some(now));
        let mut raised = false;
        if let Some((mark, since)) = self.other {
            if now >= since + ASIDE {
                (self.incarnation, self.count, self.other) =
                    (Incarnation(mark.incarnation.0 + 1), 0, None);
                raised = true;
            }
        }
        self.entries
            .retain(|_, e| nanos(now) - e.at < nanos(FORGET));
        let listens = now < self.listens;
        if !listens && self.other.is_none() {
            self.since_written += 1;
            if self.own_news || self.since_written >= RENEW {
                let news = if std::mem::take(&mut self.own_news) {
                    self.tells()
                } else {
                    1
                };
                (self.count, self.since_written) = (self.count + 1, 0);
                let mark = Mark {
                    incarnation: self.incarnation,
                    count: self.count,
                };
                let own = Held {
                    mark,
                    at: nanos(now),
                    facts: self.own.clone(),
                    news,
                };
                self.entries.insert(self.me, own);
            }
        }
        let mut to: Vec<HostNumber> = self.asked.iter().take(TOLD).copied().collect();
        self.asked.retain(|h| !to.contains(h));
        let mut others = self.peers.clone();
        let (some, _) = others.partial_shuffle(&mut self.rng, TOLD - to.len());
        to.extend_from_slice(some);
        let words = to
            .into_iter()
            .map(|to| (to, self.word(now, to, listens)))
            .collect();
        if self.entries.values().any(|e| e.news > 0) {
            self.hurry(now);
        }
        (words, raised)
    }

    fn word(&mut self, now: Duration, to: HostNumber, asks: bool) -> Word {
        let own = Mark {
            incarnation: self.incarnation,
            count: self.count,
        };
        let mut chosen: BTreeSet<HostNumber> = BTreeSet::new();
        // Before anything else what the other may not know of itself, where it asks.
        chosen.extend(self.entries.contains_key(&to).then_some(to));
        chosen.extend(
            self.entries
                .get(&self.me)
                .filter(|e| e.mark == own)
                .map(|_| self.me),
        );
        let mut fresh: Vec<HostNumber> = self
            .entries
            .iter()
            .filter(|(_, e)| e.news > 0)
            .map(|(h, _)| *h)
            .collect();
        if fresh.len() > MAX_ENTRIES {
            // More news than a word takes: any of it, so that together hosts tell all of it.
            fresh = fresh.partial_shuffle(&mut self.rng, MAX_ENTRIES).0.to_vec();
        }
        chosen.extend(fresh.into_iter().take(MAX_ENTRIES - chosen.len()));
        let all: Vec<HostNumber> = self.entries.keys().copied().collect();
        for _ in 0..all.len() {
            if chosen.len() >= MAX_ENTRIES {
                break;
            }
            self.turn = (self.turn + 1) % all.len();
            chosen.insert(all[self.turn]);
        }
        let entries = chosen.into_iter().map(|h| {
            let e = self.entries.get_mut(&h).expect("chosen among them");
            e.news = e.news.saturating_sub(1);
            let age = Duration::from_nanos((nanos(now) - e.at).max(0) as u64);
            Entry {
                writer: h,
                mark: e.mark,
                age,
                facts: e.facts.clone(),
            }
        });
        Word {
            incarnation: self.incarnation,
            asks,
            entries: entries.collect(),
            says: Vec::new(),
        }
    }
}
