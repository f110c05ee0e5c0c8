//! Service as the users count it: for each volume and second what was due inside its reserve, inside its
//! share and beyond, and what of it was got in time.
//!
//! Called as `add` with what hosts tell of a second, in any order and piece by piece, and `close`, which
//! accounts for every second that can change no more. The counting is that of the users' terms (section 'how
//! storage is shared'): units are due inside the reserve as far as a store that fills at that rate, and holds
//! a second of it and one largest transfer, has them; then, cell by cell, inside the share by weight of nine
//! tenths of what its node can do beyond the reserves asked there; the rest beyond, up to the limit. What was
//! done in time takes the best that is due, what was late the worst. A second is the one in which a transfer
//! came.
//!
//! Where nobody has said what a node can do there is no share to reckon, and what is asked beyond the reserve
//! counts as beyond. Without input or output. Memory: one account for each volume, plan and all together, of
//! which [`crate::ring`] says the size, at most [`MOST`] volumes (the one that has been quiet longest goes);
//! and the open seconds, as many records as hosts told for them.

use crate::ring::Falling;
use grebecleat::filling::fill;
use grebecleat::state::Ask;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Volumes that are accounted for.
pub const MOST: usize = 20_000;
/// Part of what a node can do that is dealt out.
const DEALT: f64 = 0.9;
/// Seconds over which 'lately' is counted.
pub const LATELY: u64 = 8;

/// On what terms a volume is served.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    pub plan: Arc<str>,
    pub reservation: f64,
    /// 0: none.
    pub limit: f64,
    pub weight: f64,
    pub price: f64,
}

/// What accounts must know of the site. Rates are units a second.
pub trait Site {
    /// None: a volume that is no more.
    fn terms(&self, volume: u64) -> Option<Terms>;
    /// What the node of a cell can do; None: nobody has said.
    fn capacity(&self, cell: u32) -> Option<f64>;
    fn largest(&self) -> f64;
}

/// Units due and got.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Service {
    pub due: [f64; 3],
    pub got: [f64; 3],
    pub late: f64,
}

pub const RESERVE: usize = 0;
pub const SHARE: usize = 1;
pub const BEYOND: usize = 2;

impl Service {
    fn figures(&self) -> [f64; 7] {
        let ([a, b, c], [d, e, f]) = (self.due, self.got);
        [a, b, c, d, e, f, self.late]
    }

    fn of([a, b, c, d, e, f, late]: [f64; 7]) -> Self {
        Service {
            due: [a, b, c],
            got: [d, e, f],
            late,
        }
    }

    /// The part of what was due there that was got in time; None: nothing was due.
    pub fn part(&self, of: usize) -> Option<f64> {
        (self.due[of] > 0.0).then(|| (self.got[of] / self.due[of]).min(1.0))
    }

    pub fn asked(&self) -> f64 {
        self.due.iter().sum()
    }

    /// Units of its reserve that it did not get, and of its share.
    pub fn missed(&self) -> (f64, f64) {
        let missed = |of: usize| (self.due[of] - self.got[of]).max(0.0);
        (missed(RESERVE), missed(SHARE))
    }
}

#[derive(Debug, Clone, Default)]
struct Account {
    plan: Arc<str>,
    /// Units in the store of the reserve, as of a second.
    store: f64,
    at: Option<u64>,
    ring: Falling<7>,
}

/// Asked, timely and late units.
type Told = (f64, f64, f64);

#[derive(Debug, Default)]
pub struct Accounts {
    open: BTreeMap<u64, HashMap<(u64, Option<u32>), Told>>,
    /// Seconds before this one are accounted for.
    closed: u64,
    volumes: HashMap<u64, Account>,
    plans: BTreeMap<Arc<str>, Falling<7>>,
    all: Falling<7>,
    /// Units that came for a second that was accounted for.
    missed: f64,
}

impl Accounts {
    pub fn add(
        &mut self,
        second: u64,
        volume: u64,
        cell: Option<u32>,
        asked: f64,
        timely: f64,
        late: f64,
    ) {
        if second < self.closed {
            self.missed += timely + late;
            return;
        }
        let told = self
            .open
            .entry(second)
            .or_default()
            .entry((volume, cell))
            .or_default();
        (told.0, told.1, told.2) = (told.0 + asked, told.1 + timely, told.2 + late);
    }

    /// Accounts for every second before that one; answers how many there were.
    pub fn close(&mut self, before: u64, site: &impl Site) -> usize {
        let later = self.open.split_off(&before);
        let over = std::mem::replace(&mut self.open, later);
        self.closed = self.closed.max(before);
        let seconds = over.len();
        over.into_iter()
            .for_each(|(second, told)| self.account(second, told, site));
        seconds
    }

    fn account(&mut self, second: u64, told: HashMap<(u64, Option<u32>), Told>, site: &impl Site) {
        let mut volumes: HashMap<u64, (Terms, Told)> = HashMap::new();
        for ((volume, _), (asked, timely, late)) in &told {
            let none = || Terms {
                plan: "".into(),
                reservation: 0.0,
                limit: 0.0,
                weight: 1.0,
                price: 1.0,
            };
            let v = volumes.entry(*volume);
            let (_, sum) =
                v.or_insert_with(|| (site.terms(*volume).unwrap_or_else(none), Told::default()));
            (sum.0, sum.1, sum.2) = (sum.0 + asked, sum.1 + timely, sum.2 + late);
        }
        let mut due: HashMap<u64, [f64; 3]> = HashMap::new();
        for (volume, (terms, sum)) in &volumes {
            let most = terms.reservation + site.largest();
            let a = self.volumes.entry(*volume).or_default();
            a.plan = terms.plan.clone();
            let since =
                a.at.map_or(f64::INFINITY, |at| second.saturating_sub(at) as f64);
            a.store = if terms.reservation > 0.0 {
                (a.store + since * terms.reservation).min(most)
            } else {
                0.0
            };
            a.at = Some(second);
            let reserve = sum.0.min(a.store.max(0.0));
            a.store -= reserve;
            due.insert(*volume, [reserve, 0.0, 0.0]);
        }
        self.shares(&told, &volumes, &mut due, site);
        let (mut plans, mut total): (HashMap<Arc<str>, Service>, Service) = Default::default();
        for (volume, (terms, (asked, timely, late))) in volumes {
            let [reserve, share, _] = due[&volume];
            let most = if terms.limit > 0.0 {
                terms.limit.max(reserve + share)
            } else {
                f64::INFINITY
            };
            let due = [reserve, share, (asked.min(most) - reserve - share).max(0.0)];
            let s = got(due, timely, late);
            self.volumes
                .get_mut(&volume)
                .expect("made above")
                .ring
                .push(second, s.figures());
            add(plans.entry(terms.plan).or_default(), &s);
            add(&mut total, &s);
        }
        for (plan, s) in plans {
            self.plans
                .entry(plan)
                .or_default()
                .push(second, s.figures());
        }
        self.all.push(second, total.figures());
        while self.volumes.len() > MOST {
            let quiet = self
                .volumes
                .iter()
                .min_by_key(|(id, a)| (a.ring.newest(), **id))
                .map(|(id, _)| *id);
            quiet
                .into_iter()
                .for_each(|id| _ = self.volumes.remove(&id));
        }
    }

    /// Deals out what each cell's node has over beyond the reserves asked there.
    fn shares(
        &self,
        told: &HashMap<(u64, Option<u32>), Told>,
        volumes: &HashMap<u64, (Terms, Told)>,
        due: &mut HashMap<u64, [f64; 3]>,
        site: &impl Site,
    ) {
        let mut cells: BTreeMap<u32, Vec<(u64, f64)>> = BTreeMap::new();
        for ((volume, cell), (asked, ..)) in told {
            cell.iter()
                .for_each(|cell| cells.entry(*cell).or_default().push((*volume, *asked)));
        }
        for (cell, mut asks) in cells {
            let Some(capacity) = site.capacity(cell) else {
                continue;
            };
            asks.sort_unstable_by_key(|a| a.0);
            let of = |(volume, asked): &(u64, f64)| {
                let (terms, sum) = &volumes[volume];
                // Of its reserve as much counts here as of what it asked.
                let reservation = due[volume][RESERVE] * asked / sum.0.max(1e-9);
                Ask {
                    demand: *asked,
                    reservation,
                    weight: terms.weight,
                }
            };
            let dealt = fill(capacity * DEALT, &asks.iter().map(of).collect::<Vec<_>>());
            for ((volume, _), (_, spare)) in asks.iter().zip(dealt) {
                due.get_mut(volume).expect("asked for").as_mut_slice()[SHARE] += spare;
            }
        }
    }

    /// Of a volume over the last seconds that are accounted for.
    pub fn volume(&self, id: u64, span: u64) -> Option<Service> {
        Some(Service::of(
            self.volumes.get(&id)?.ring.sum(self.newest(), span),
        ))
    }

    pub fn volumes(&self) -> impl Iterator<Item = u64> + '_ {
        self.volumes.keys().copied()
    }

    pub fn plans(&self, span: u64) -> impl Iterator<Item = (&Arc<str>, Service)> + '_ {
        self.plans
            .iter()
            .map(move |(name, ring)| (name, Service::of(ring.sum(self.newest(), span))))
    }

    pub fn all(&self, span: u64) -> Service {
        Service::of(self.all.sum(self.newest(), span))
    }

    /// The newest second that is accounted for.
    pub fn newest(&self) -> u64 {
        self.closed.saturating_sub(1)
    }

    /// Of a volume, a plan or all: `n` points over a span, oldest first, and how many seconds each covers.
    pub fn points(&self, of: &Subject, span: u64, n: usize) -> Option<(u64, Vec<Service>)> {
        let ring = match of {
            Subject::Volume(id) => &self.volumes.get(id)?.ring,
            Subject::Plan(name) => self.plans.get(name)?,
            Subject::All => &self.all,
        };
        let (width, points) = ring.points(self.newest(), span, n);
        Some((width, points.into_iter().map(Service::of).collect()))
    }

    /// Bytes of the rings.
    pub fn bytes(&self) -> usize {
        let rings = self
            .volumes
            .values()
            .map(|a| &a.ring)
            .chain(self.plans.values())
            .chain([&self.all]);
        rings.map(Falling::bytes).sum()
    }

    /// Units that were told of too late to be counted.
    pub fn missed(&self) -> f64 {
        self.missed
    }
}

/// Whose account.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    Volume(u64),
    Plan(Arc<str>),
    All,
}

fn add(to: &mut Service, s: &Service) {
    to.due.iter_mut().zip(s.due).for_each(|(sum, x)| *sum += x);
    to.got.iter_mut().zip(s.got).for_each(|(sum, x)| *sum += x);
    to.late += s.late;
}

/// What was done in time takes the best that is due, what was late the worst of the rest.
///
/// ```
/// use grebecleat_endpoint::accounts::got;
/// let s = got([10.0, 5.0, 20.0], 12.0, 21.0);
/// assert_eq!((s.got, s.late), ([10.0, 2.0, 0.0], 21.0));
/// assert_eq!(got([0.0, 0.0, 3.0], 5.0, 0.0).got, [0.0, 0.0, 3.0]);
/// ```
pub fn got(due: [f64; 3], timely: f64, late: f64) -> Service {
    let (mut got, mut left) = ([0.0; 3], timely);
    for (got, due) in got.iter_mut().zip(due) {
        *got = left.min(due);
        left -= *got;
    }
    let room: f64 = due.iter().zip(got).map(|(due, got)| due - got).sum();
    Service {
        due,
        got,
        late: late.min(room),
    }
}
