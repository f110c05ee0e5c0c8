//! Parts of a common whole, lent for a time; the sum of all parts never passes the whole.
//!
//! Called by the fleet's step, once for each budget: [`Budget::hear`] for what another host says of it,
//! [`Budget::tend`] at every round, both of which answer what to say; [`Budget::part`] is what this host may
//! use now. It is escrow (O'Neil 1986; bounded counters, Balegas 2015) with loans in place of requests, so
//! that what is lent goes home by itself when nobody renews it.
//!
//! Why the sum holds, whoever hears what. Each host has a settled part, and all settled parts add up to the
//! whole at most. A loan leaves its lender before the borrower hears of it, and comes home `span + margin`
//! after the lender last agreed; the borrower counts `span` from when it *asked*, which was earlier. So no
//! unit is held twice, as long as clocks run apart by less than `margin` in one `span`; what is asked, agreed,
//! lost, doubled or late changes only who waits. Four things could break it, each met by a rule:
//!
//! - a host that lost its memory does not know what it lent: until each sharer has said that it holds nothing
//!   of an earlier life, or until every such loan has run out, it uses what is never lent;
//! - a loan by an earlier life can come after its borrower has said that it holds none, and one to an earlier
//!   life after the borrower's own end: both are refused by the life;
//! - settled parts change with the number of sharers: what was borrowed under another number is void at once,
//!   what was lent under it stays lent to its end;
//! - two processes of one host: the earlier one uses nothing (see [`crate::shared`]).
//!
//! What is lent is the rate of a limit and not its burst: each host's bucket keeps its depth, so all depths
//! add up to the burst, nothing is ever filled by a move, and a host that has lent nearly all can still serve
//! at once what comes to it.
//!
//! Memory: [`MAX_LOANS`] loans given and taken each, and as many open asks.

use crate::{HostNumber, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Parts are counted in these, so that sums are exact.
pub const WHOLE: u32 = 1 << 20;
pub const MAX_LOANS: usize = 64;
/// Less than an eighth of a settled part is not worth words. Harm: so much stays where nobody needs it.
const WORTH: u32 = 8;
/// What is never lent, of a settled part: what a host uses that does not know what it lent.
const NEVER_LENT: u32 = 8;
/// Hosts that are asked at a time.
const ASKED: usize = 8;

/// For how long parts are lent, and by how much clocks may run apart in that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Spans {
    pub span: Duration,
    pub margin: Duration,
}

/// What hosts say to each other of one budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Say {
    /// "Lend me that; or renew this loan." Asks and loans are numbered by the borrower.
    Want { ask: u64, loan: u64, amount: u32 },
    /// "You, in that life, have it from when you asked." Zero: "I need it myself". Asks of two lives have the
    /// same numbers, and the former's would count from before it was asked.
    Lend {
        ask: u64,
        of: Incarnation,
        amount: u32,
    },
    /// "I use that loan no more."
    Home { loan: u64 },
    /// "I hold nothing that an earlier life of yours than this one lent."
    Clear { of: Incarnation },
    /// "Whoever holds something of an earlier life of mine: have you let it go?"
    Born,
}

/// What is heard from one life of a host, about a budget with so many sharers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Heard {
    pub from: HostNumber,
    pub incarnation: Incarnation,
    pub sharers: u32,
    pub say: Say,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lent {
    amount: u32,
    /// Among how many the whole was shared then.
    sharers: u32,
    until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Got {
    lender: HostNumber,
    amount: u32,
    until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Ask {
    to: HostNumber,
    loan: u64,
    at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    me: HostNumber,
    incarnation: Incarnation,
    born: Duration,
    spans: Spans,
    sharers: BTreeSet<HostNumber>,
    /// Sharers that hold nothing of an earlier life.
    clear: BTreeSet<HostNumber>,
    incarnations: BTreeMap<HostNumber, Incarnation>,
    lent: BTreeMap<(HostNumber, Incarnation, u64), Lent>,
    got: BTreeMap<u64, Got>,
    asks: BTreeMap<u64, Ask>,
    next: u64,
    wanted: u32,
    /// Another, later process of this host is known.
    yields: bool,
}

impl Budget {
    pub fn new(
        now: Duration,
        me: HostNumber,
        incarnation: Incarnation,
        spans: Spans,
        sharers: BTreeSet<HostNumber>,
    ) -> Self {
        Budget {
            me,
            incarnation,
            born: now,
            spans,
            sharers,
            clear: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            lent: BTreeMap::new(),
            got: BTreeMap::new(),
            asks: BTreeMap::new(),
            // A volume that goes and comes back begins anew in the same life; numbers used before it went must not
            // come again, or late answers to them would be taken for answers to new asks.
            next: now.as_micros() as u64,
            wanted: 0,
            yields: false,
        }
    }

    /// The part that is this host's own when nothing is lent.
    pub fn settled(&self) -> u32 {
        if self.sharers.contains(&self.me) {
            WHOLE / self.sharers.len() as u32
        } else {
            0
        }
    }

    pub fn sharers(&self) -> &BTreeSet<HostNumber> {
        &self.sharers
    }

    /// What this host may use now.
    pub fn part(&self, now: Duration) -> u32 {
        let got: u32 = self
            .got
            .values()
            .filter(|g| now < g.until)
            .map(|g| g.amount)
            .sum();
        if self.yields {
            0
        } else {
            self.own(now) + got
        }
    }

    /// What is lent out, and what is borrowed, now.
    pub fn loans(&self, now: Duration) -> (u32, u32) {
        let lent = self
            .lent
            .values()
            .filter(|l| now < l.until)
            .map(|l| l.amount)
            .sum();
        (
            lent,
            self.got
                .values()
                .filter(|g| now < g.until)
                .map(|g| g.amount)
                .sum(),
        )
    }

    /// When its part next changes by itself.
    pub fn changes_at(&self, now: Duration) -> Option<Duration> {
        let ends = self
            .lent
            .values()
            .map(|l| l.until)
            .chain(self.got.values().map(|g| g.until));
        let knows = (!self.knows(now)).then_some(self.born + self.spans.span + self.spans.margin);
        ends.chain(knows).filter(|at| *at > now).min()
    }

    /// Whether this host knows what it has lent.
    pub fn knows(&self, now: Duration) -> bool {
        let others = || self.sharers.iter().filter(|h| **h != self.me);
        now >= self.born + self.spans.span + self.spans.margin
            || others().all(|h| self.clear.contains(h))
    }

    /// Its own part, less what is lent of it.
    fn own(&self, now: Duration) -> u32 {
        // A part of the limit that is reckoned by fewer sharers may still be that of more (the least of all
        // versions that may be in force), and what is lent is then a larger part of it.
        let n = self.sharers.len() as u64;
        let lent = self.lent.values().filter(|l| now < l.until);
        let lent = lent
            .map(|l| (u64::from(l.amount) * n.max(u64::from(l.sharers))).div_ceil(n.max(1)))
            .sum::<u64>();
        let left = u64::from(self.settled()).saturating_sub(lent) as u32;
        if self.knows(now) {
            left
        } else {
            left.min(self.settled() / NEVER_LENT)
        }
    }

    fn least(&self) -> u32 {
        (self.settled() / WORTH).max(1)
    }

    /// What it could lend beyond what it needs itself.
    pub fn spare(&self, now: Duration) -> u32 {
        if self.yields || !self.knows(now) {
            return 0;
        }
        let lendable = self.own(now).saturating_sub(self.settled() / NEVER_LENT);
        let spare = lendable.min(self.part(now).saturating_sub(self.wanted));
        if spare < self.least() || self.lent.len() >= MAX_LOANS {
            0
        } else {
            spare
        }
    }

    /// How much of the whole this host could use.
    pub fn want(&mut self, wanted: u32) {
        self.wanted = wanted.min(WHOLE);
    }

    /// Whether a later process of this host is known, which alone may then use its part.
    pub fn yields(&mut self, yields: bool) {
        self.yields = yields;
    }

    /// Other hosts share it from now on.
    pub fn shared_by(&mut self, sharers: BTreeSet<HostNumber>) {
        if sharers == self.sharers {
            return;
        }
        // Settled parts of another size: what was borrowed of them is not to be had any more.
        (self.sharers, self.got, self.asks) = (sharers, BTreeMap::new(), BTreeMap::new());
    }

    /// A new number of this host's own life, after it has heard of one as late.
    pub fn lives_on(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        // What was asked under the old number is answered to nobody.
        self.asks.clear();
    }

    pub fn hear(&mut self, now: Duration, heard: Heard) -> Vec<(HostNumber, Say)> {
        let Heard {
            from,
            incarnation,
            sharers,
            say,
        } = heard;
        let mut out = Vec::new();
        if from == self.me
            || !self.sharers.contains(&from)
            || sharers as usize != self.sharers.len()
        {
            return out;
        }
        let known = self.incarnations.entry(from).or_insert(incarnation);
        if incarnation < *known {
            return out; // a former life speaks: too late for anything
        }
        if incarnation > *known {
            *known = incarnation;
            self.forget(from);
        }
        match say {
            Say::Born => {
                self.forget(from);
                out.push((from, Say::Clear { of: incarnation }));
            }
            Say::Clear { of } if of == self.incarnation => _ = self.clear.insert(from),
            Say::Clear { .. } => {}
            Say::Want { ask, loan, amount } => {
                let lent = self.lend(now, (from, incarnation, loan), amount);
                out.push((
                    from,
                    Say::Lend {
                        ask,
                        of: incarnation,
                        amount: lent,
                    },
                ));
            }
            Say::Lend { of, .. } if of != self.incarnation => {}
            Say::Lend { ask, amount, .. } => {
                let Some(a) = self.asks.remove(&ask).filter(|a| a.to == from) else {
                    return out;
                };
                let until = a.at + self.spans.span;
                if amount > 0 && now < until {
                    let new = Got {
                        lender: from,
                        amount,
                        until,
                    };
                    match self.got.get_mut(&a.loan).filter(|g| now < g.until) {
                        // Answers can overtake each other, and only make a loan longer.
                        Some(g) => (g.until, g.amount) = (until.max(g.until), amount.min(g.amount)),
                        None => _ = self.got.insert(a.loan, new),
                    }
                }
            }
            Say::Home { loan } => _ = self.lent.remove(&(from, incarnation, loan)),
        }
        out
    }

    /// What an earlier life of a host lent, and was asked for, is nobody's any more.
    fn forget(&mut self, lender: HostNumber) {
        self.got.retain(|_, g| g.lender != lender);
        self.asks.retain(|_, a| a.to != lender);
    }

    /// Lends, or renews; what is agreed.
    fn lend(&mut self, now: Duration, loan: (HostNumber, Incarnation, u64), amount: u32) -> u32 {
        let until = now + self.spans.span + self.spans.margin;
        let (spare, short, least) = (self.spare(now), self.part(now) < self.wanted, self.least());
        match self.lent.get_mut(&loan).filter(|l| now < l.until) {
            // Who needs its own part lets the loan run out. Zero is safe to say: nothing changes by it.
            Some(_) if short => 0,
            Some(l) => {
                l.until = until;
                l.amount
            }
            None => {
                let amount = amount.min(spare);
                if amount < least {
                    return 0;
                }
                let sharers = self.sharers.len() as u32;
                self.lent.insert(
                    loan,
                    Lent {
                        amount,
                        sharers,
                        until,
                    },
                );
                amount
            }
        }
    }

    /// The round: what has run out goes, what is needed is asked for, what is not goes home. `offers` are
    /// what others last said they could lend, the likeliest first.
    pub fn tend(&mut self, now: Duration, offers: &[(HostNumber, u32)]) -> Vec<(HostNumber, Say)> {
        self.lent.retain(|_, l| now < l.until);
        self.got.retain(|_, g| now < g.until);
        self.asks.retain(|_, a| now < a.at + self.spans.span / 4);
        let mut out = Vec::new();
        if self.yields || self.settled() == 0 {
            return out;
        }
        if !self.knows(now) {
            let unclear = self
                .sharers
                .iter()
                .filter(|h| **h != self.me && !self.clear.contains(h));
            out.extend(unclear.take(MAX_LOANS).map(|h| (*h, Say::Born)));
        }
        let part = self.part(now);
        let least = self.least();
        // A little more than is wanted is kept, or what goes home now would be asked for in the next round.
        let mut over = part.saturating_sub(self.settled().max(self.wanted.saturating_add(least)));
        let homeward: Vec<u64> = {
            let fits = |(loan, g): (&u64, &Got)| {
                let fits = g.amount <= over;
                over -= if fits { g.amount } else { 0 };
                fits.then_some(*loan)
            };
            self.got.iter().filter_map(fits).collect()
        };
        for loan in homeward {
            // Let go of before it is said: the word may be late or lost, never early.
            let Some(g) = self.got.remove(&loan) else {
                continue;
            };
            self.asks.retain(|_, a| a.loan != loan);
            out.push((g.lender, Say::Home { loan }));
        }
        let asked = |asks: &BTreeMap<u64, Ask>, loan: u64| asks.values().any(|a| a.loan == loan);
        let due = |g: &Got| now + self.spans.span / 2 >= g.until;
        let renew: Vec<_> = self
            .got
            .iter()
            .filter(|(loan, g)| due(g) && !asked(&self.asks, **loan))
            .collect();
        let renew: Vec<_> = renew
            .into_iter()
            .map(|(loan, g)| (g.lender, *loan, g.amount))
            .collect();
        let open = |a: &Ask| !self.got.contains_key(&a.loan);
        let mut need = self.wanted.saturating_sub(part);
        let mut asks = renew;
        if need >= least && !self.asks.values().any(open) {
            let room = MAX_LOANS.saturating_sub(self.got.len());
            for (to, spare) in offers
                .iter()
                .filter(|(h, _)| self.sharers.contains(h))
                .take(ASKED.min(room))
            {
                let amount = need.min(*spare);
                if amount >= least {
                    self.next += 1;
                    asks.push((*to, self.next, amount));
                    need -= amount;
                }
            }
        }
        for (to, loan, amount) in asks {
            self.next += 1;
            self.asks.insert(self.next, Ask { to, loan, at: now });
            out.push((
                to,
                Say::Want {
                    ask: self.next,
                    loan,
                    amount,
                },
            ));
        }
        out
    }
}
