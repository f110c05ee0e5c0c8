//! Persistent reservations of one logical unit (SPC-4, 5.13).
//!
//! Registrations and the one reservation, and what each nexus may do under it. `Nexus` is an I_T
//! nexus as its owner names it. Registrants of a nexus that is gone stay: a reservation outlives
//! sessions.

use crate::scsi::{Command, Sense};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nexus(pub u64);

/// Types (table 50); the numbers are the CDB's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    WriteExclusive = 1,
    ExclusiveAccess = 3,
    WriteExclusiveRegistrants = 5,
    ExclusiveAccessRegistrants = 6,
    WriteExclusiveAll = 7,
    ExclusiveAccessAll = 8,
}

impl Kind {
    fn of(code: u8) -> Option<Kind> {
        [
            Kind::WriteExclusive,
            Kind::ExclusiveAccess,
            Kind::WriteExclusiveRegistrants,
            Kind::ExclusiveAccessRegistrants,
            Kind::WriteExclusiveAll,
            Kind::ExclusiveAccessAll,
        ]
        .into_iter()
        .find(|k| *k as u8 == code)
    }

    fn for_all(self) -> bool {
        matches!(self, Kind::WriteExclusiveAll | Kind::ExclusiveAccessAll)
    }

    fn for_registrants(self) -> bool {
        self as u8 >= 5
    }

    fn lets_read(self) -> bool {
        matches!(
            self,
            Kind::WriteExclusive | Kind::WriteExclusiveRegistrants | Kind::WriteExclusiveAll
        )
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationError {
    Conflict,
    Check(Sense),
}

/// A change that other nexuses must be told of by a unit attention.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReservationEffects {
    pub attentions: Vec<(Nexus, Sense)>,
    /// Nexuses whose tasks are to be aborted (PREEMPT AND ABORT).
    pub aborted: Vec<Nexus>,
}

#[derive(Debug, Default)]
pub struct Reservations {
    generation: u32,
    keys: BTreeMap<Nexus, u64>,
    holder: Option<(Nexus, Kind)>,
}

impl Reservations {
    /// Whether a nexus may do this now (table 46 and SBC-3, table 13).
    pub fn allows(&self, who: Nexus, command: &Command) -> bool {
        let Some((holder, kind)) = self.holder else {
            return true;
        };
        let inside = holder == who || (kind.for_registrants() && self.keys.contains_key(&who));
        let (reads, writes) = match command {
            Command::Read { .. } | Command::Verify { .. } => (true, false),
            Command::Write { .. }
            | Command::CompareAndWrite { .. }
            | Command::WriteSame { .. }
            | Command::Unmap { .. }
            | Command::SynchronizeCache { .. } => (false, true),
            Command::ModeSense { .. } => (!kind.lets_read(), false),
            _ => (false, false),
        };
        inside || !(writes || (reads && !kind.lets_read()))
    }

    /// PERSISTENT RESERVE IN.
    pub fn persistent_reserve_in(&self, action: u8) -> Result<Vec<u8>, Sense> {
        let mut b = self.generation.to_be_bytes().to_vec();
        let mut list = |body: Vec<u8>| {
            b.extend((body.len() as u32).to_be_bytes());
            b.extend(body);
        };
        match action {
            0 => list(self.keys.values().flat_map(|k| k.to_be_bytes()).collect()),
            1 => list(match self.holder {
                None => Vec::new(),
                Some((who, kind)) => {
                    let key = if kind.for_all() {
                        0
                    } else {
                        self.keys.get(&who).copied().unwrap_or(0)
                    };
                    [&key.to_be_bytes()[..], &[0, 0, 0, 0, 0, kind as u8, 0, 0]].concat()
                }
            }),
            2 => {
                // Every type is supported; activation is not kept through power loss.
                b = vec![0, 8, 0x00, 0x80, 0xea, 0x01, 0, 0];
            }
            _ => return Err(Sense::INVALID_FIELD_IN_CDB),
        }
        Ok(b)
    }

    /// PERSISTENT RESERVE OUT. `list` is its parameter list.
    pub fn persistent_reserve_out(
        &mut self,
        who: Nexus,
        action: u8,
        scope: u8,
        kind: u8,
        list: &[u8],
    ) -> Result<ReservationEffects, ReservationError> {
        let check = |s| Err(ReservationError::Check(s));
        if list.len() != 24 {
            return check(Sense::PARAMETER_LIST_LENGTH);
        }
        let at = |i: usize| u64::from_be_bytes(list[i..i + 8].try_into().expect("eight bytes"));
        let (key, service) = (at(0), at(8));
        if scope != 0 && !matches!(action, 0 | 3 | 6) {
            return check(Sense::INVALID_FIELD_IN_CDB);
        }
        let own = self.keys.get(&who).copied();
        // REGISTER AND IGNORE EXISTING KEY asks for no key, all others for the one that is
        // registered.
        if action != 6 && own.unwrap_or(0) != key {
            return Err(ReservationError::Conflict);
        }
        if own.is_none() && !matches!(action, 0 | 6) {
            return Err(ReservationError::Conflict);
        }
        let kind = Kind::of(kind);
        let mut told = ReservationEffects::default();
        match action {
            0 | 6 => self.register(who, service, &mut told),
            1 => {
                let Some(kind) = kind else {
                    return check(Sense::INVALID_FIELD_IN_CDB);
                };
                match self.holder {
                    None => self.holder = Some((who, kind)),
                    Some((_, held)) if held.for_all() && held == kind => {}
                    Some(held) if held == (who, kind) => {}
                    Some(_) => return Err(ReservationError::Conflict),
                }
            }
            2 => match self.holder {
                Some((holder, held)) if holder == who || held.for_all() => {
                    if kind != Some(held) {
                        return check(Sense::INVALID_RELEASE);
                    }
                    self.release(who, &mut told);
                }
                _ => {}
            },
            3 => {
                self.generation = self.generation.wrapping_add(1);
                let others = self.keys.keys().filter(|n| **n != who);
                told.attentions = others
                    .map(|n| (*n, Sense::RESERVATIONS_PREEMPTED))
                    .collect();
                self.keys.clear();
                self.holder = None;
            }
            4 | 5 => self.preempt(who, service, kind, action == 5, &mut told)?,
            _ => return check(Sense::INVALID_FIELD_IN_CDB),
        }
        Ok(told)
    }

    fn register(&mut self, who: Nexus, service: u64, told: &mut ReservationEffects) {
        self.generation = self.generation.wrapping_add(1);
        if service != 0 {
            self.keys.insert(who, service);
            return;
        }
        self.keys.remove(&who);
        let last = self.keys.is_empty();
        match self.holder {
            Some((_, kind)) if kind.for_all() && last => self.holder = None,
            Some((holder, kind)) if holder == who && !kind.for_all() => self.release(who, told),
            _ => {}
        }
    }

    fn release(&mut self, who: Nexus, told: &mut ReservationEffects) {
        let Some((_, kind)) = self.holder.take() else {
            return;
        };
        if kind.for_registrants() {
            let others = self.keys.keys().filter(|n| **n != who);
            told.attentions
                .extend(others.map(|n| (*n, Sense::RESERVATIONS_RELEASED)));
        }
    }

    fn preempt(
        &mut self,
        who: Nexus,
        service: u64,
        kind: Option<Kind>,
        abort: bool,
        told: &mut ReservationEffects,
    ) -> Result<(), ReservationError> {
        let holds = |n: &Nexus| self.holder.is_some_and(|(h, k)| h == *n || k.for_all());
        let all = self.holder.is_some_and(|(_, k)| k.for_all());
        let taken: BTreeSet<Nexus> = match (service, all) {
            (0, true) => self.keys.keys().copied().filter(|n| *n != who).collect(),
            (0, false) => return Err(ReservationError::Check(Sense::INVALID_FIELD_IN_PARAMETERS)),
            _ => self
                .keys
                .iter()
                .filter(|(_, k)| **k == service)
                .map(|(n, _)| *n)
                .collect(),
        };
        if taken.is_empty() && !(service == 0 && all) {
            return Err(ReservationError::Conflict);
        }
        let takes_over = (service == 0 && all) || (!all && taken.iter().any(holds));
        if takes_over && kind.is_none() {
            return Err(ReservationError::Check(Sense::INVALID_FIELD_IN_CDB));
        }
        self.generation = self.generation.wrapping_add(1);
        for n in taken.iter().filter(|n| **n != who) {
            self.keys.remove(n);
            told.attentions.push((*n, Sense::REGISTRATIONS_PREEMPTED));
        }
        if abort {
            told.aborted = taken.into_iter().filter(|n| *n != who).collect();
        }
        if let (true, Some(kind)) = (takes_over, kind) {
            self.holder = Some((who, kind));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
