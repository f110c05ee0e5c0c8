//! Persistent reservations of one logical unit (SPC-4, 5.13).
//!
//! [`Reservations`] owns the registrations and the reservation of one logical unit, and decides which
//! commands each I_T nexus may perform. The target calls it for every command and for PERSISTENT
//! RESERVE IN and OUT. Registrations and the reservation outlive the session that made them: a nexus
//! that is lost stays registered. Memory: one key for each registered nexus. No I/O.

use crate::scsi::{Command, Sense};
use std::collections::{BTreeMap, BTreeSet};

/// Service actions of PERSISTENT RESERVE IN.
mod reserve_in {
    pub const READ_KEYS: u8 = 0;
    pub const READ_RESERVATION: u8 = 1;
    pub const REPORT_CAPABILITIES: u8 = 2;
}

/// Service actions of PERSISTENT RESERVE OUT.
mod reserve_out {
    pub const REGISTER: u8 = 0;
    pub const RESERVE: u8 = 1;
    pub const RELEASE: u8 = 2;
    pub const CLEAR: u8 = 3;
    pub const PREEMPT: u8 = 4;
    pub const PREEMPT_AND_ABORT: u8 = 5;
    pub const REGISTER_AND_IGNORE_EXISTING_KEY: u8 = 6;
}

/// The length of the parameter list of PERSISTENT RESERVE OUT, in bytes. The standard fixes it.
const PARAMETER_LIST_BYTES: usize = 24;

/// An I_T nexus, by a number that the caller assigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nexus(pub u64);

/// The type of a persistent reservation (table 50). The numbers are those of the CDB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ReservationType {
    /// Write Exclusive.
    WriteExclusive = 1,
    /// Exclusive Access.
    ExclusiveAccess = 3,
    /// Write Exclusive, Registrants Only.
    WriteExclusiveRegistrants = 5,
    /// Exclusive Access, Registrants Only.
    ExclusiveAccessRegistrants = 6,
    /// Write Exclusive, All Registrants.
    WriteExclusiveAll = 7,
    /// Exclusive Access, All Registrants.
    ExclusiveAccessAll = 8,
}

impl ReservationType {
    fn from_code(code: u8) -> Option<ReservationType> {
        [
            ReservationType::WriteExclusive,
            ReservationType::ExclusiveAccess,
            ReservationType::WriteExclusiveRegistrants,
            ReservationType::ExclusiveAccessRegistrants,
            ReservationType::WriteExclusiveAll,
            ReservationType::ExclusiveAccessAll,
        ]
        .into_iter()
        .find(|candidate| *candidate as u8 == code)
    }

    fn is_held_by_all_registrants(self) -> bool {
        matches!(
            self,
            ReservationType::WriteExclusiveAll | ReservationType::ExclusiveAccessAll
        )
    }

    fn admits_registrants(self) -> bool {
        self as u8 >= 5
    }

    fn allows_reads(self) -> bool {
        matches!(
            self,
            ReservationType::WriteExclusive
                | ReservationType::WriteExclusiveRegistrants
                | ReservationType::WriteExclusiveAll
        )
    }
}

/// The reason why a PERSISTENT RESERVE OUT command fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationError {
    /// The command ends with status RESERVATION CONFLICT.
    Conflict,
    /// The command ends with status CHECK CONDITION and this sense data.
    Check(Sense),
}

/// The effects of a PERSISTENT RESERVE OUT command on other nexuses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReservationEffects {
    /// Unit attention conditions to establish, each for one nexus.
    pub attentions: Vec<(Nexus, Sense)>,
    /// Nexuses whose tasks the target aborts (PREEMPT AND ABORT).
    pub aborted: Vec<Nexus>,
}

/// The registrations and the reservation of one logical unit.
#[derive(Debug, Default)]
pub struct Reservations {
    /// PRGENERATION: a wrapping count of the commands that changed registrations.
    generation: u32,
    /// The reservation key of each registered nexus.
    keys: BTreeMap<Nexus, u64>,
    /// The holder of the reservation and the reservation's type; None if nothing is reserved.
    holder: Option<(Nexus, ReservationType)>,
}

impl Reservations {
    /// Returns whether the reservation lets a nexus perform `command` (table 46 and SBC-3, table 13).
    pub fn allows(&self, nexus: Nexus, command: &Command) -> bool {
        let Some((holder, kind)) = self.holder else {
            return true;
        };
        let is_exempt =
            holder == nexus || (kind.admits_registrants() && self.keys.contains_key(&nexus));
        let (reads, writes) = match command {
            Command::Read { .. } | Command::Verify { .. } => (true, false),
            Command::Write { .. }
            | Command::CompareAndWrite { .. }
            | Command::WriteSame { .. }
            | Command::Unmap { .. }
            | Command::SynchronizeCache { .. } => (false, true),
            Command::ModeSense { .. } => (!kind.allows_reads(), false),
            _ => (false, false),
        };
        is_exempt || !(writes || (reads && !kind.allows_reads()))
    }

    /// Returns the parameter data of PERSISTENT RESERVE IN with this service action.
    pub fn persistent_reserve_in(&self, action: u8) -> Result<Vec<u8>, Sense> {
        let mut reply = self.generation.to_be_bytes().to_vec();
        let mut list = |body: Vec<u8>| {
            reply.extend((body.len() as u32).to_be_bytes());
            reply.extend(body);
        };
        match action {
            reserve_in::READ_KEYS => list(
                self.keys
                    .values()
                    .flat_map(|key| key.to_be_bytes())
                    .collect(),
            ),
            reserve_in::READ_RESERVATION => list(match self.holder {
                None => Vec::new(),
                Some((nexus, kind)) => {
                    let key = if kind.is_held_by_all_registrants() {
                        0
                    } else {
                        self.keys.get(&nexus).copied().unwrap_or(0)
                    };
                    [&key.to_be_bytes()[..], &[0, 0, 0, 0, 0, kind as u8, 0, 0]].concat()
                }
            }),
            reserve_in::REPORT_CAPABILITIES => {
                // Every type is supported. Activate Persist Through Power Loss is not.
                reply = vec![0, 8, 0x00, 0x80, 0xea, 0x01, 0, 0];
            }
            _ => return Err(Sense::INVALID_FIELD_IN_CDB),
        }
        Ok(reply)
    }

    /// Performs PERSISTENT RESERVE OUT. `list` is its parameter list.
    pub fn persistent_reserve_out(
        &mut self,
        nexus: Nexus,
        action: u8,
        scope: u8,
        kind: u8,
        list: &[u8],
    ) -> Result<ReservationEffects, ReservationError> {
        let check = |sense| Err(ReservationError::Check(sense));
        if list.len() != PARAMETER_LIST_BYTES {
            return check(Sense::PARAMETER_LIST_LENGTH);
        }
        let key_at = |start: usize| {
            u64::from_be_bytes(list[start..start + 8].try_into().expect("eight bytes"))
        };
        let (key, service_key) = (key_at(0), key_at(8));
        let ignores_scope = matches!(
            action,
            reserve_out::REGISTER
                | reserve_out::CLEAR
                | reserve_out::REGISTER_AND_IGNORE_EXISTING_KEY
        );
        if scope != 0 && !ignores_scope {
            return check(Sense::INVALID_FIELD_IN_CDB);
        }
        self.check_key(nexus, action, key)?;
        let kind = ReservationType::from_code(kind);
        let mut effects = ReservationEffects::default();
        match action {
            reserve_out::REGISTER | reserve_out::REGISTER_AND_IGNORE_EXISTING_KEY => {
                self.register(nexus, service_key, &mut effects);
            }
            reserve_out::RESERVE => self.reserve(nexus, kind)?,
            reserve_out::RELEASE => self.release_if_held(nexus, kind, &mut effects)?,
            reserve_out::CLEAR => self.clear(nexus, &mut effects),
            reserve_out::PREEMPT | reserve_out::PREEMPT_AND_ABORT => {
                let abort = action == reserve_out::PREEMPT_AND_ABORT;
                self.preempt(nexus, service_key, kind, abort, &mut effects)?;
            }
            _ => return check(Sense::INVALID_FIELD_IN_CDB),
        }
        Ok(effects)
    }

    /// Checks the reservation key of the parameter list. REGISTER AND IGNORE EXISTING KEY needs no
    /// key. Every other service action needs the registered key of the nexus, and all but REGISTER
    /// need a registration.
    fn check_key(&self, nexus: Nexus, action: u8, key: u64) -> Result<(), ReservationError> {
        if action == reserve_out::REGISTER_AND_IGNORE_EXISTING_KEY {
            return Ok(());
        }
        let registered = self.keys.get(&nexus).copied();
        let needs_registration = action != reserve_out::REGISTER;
        if registered.unwrap_or(0) != key || (needs_registration && registered.is_none()) {
            return Err(ReservationError::Conflict);
        }
        Ok(())
    }

    fn reserve(
        &mut self,
        nexus: Nexus,
        kind: Option<ReservationType>,
    ) -> Result<(), ReservationError> {
        let Some(kind) = kind else {
            return Err(ReservationError::Check(Sense::INVALID_FIELD_IN_CDB));
        };
        let Some((holder, held)) = self.holder else {
            self.holder = Some((nexus, kind));
            return Ok(());
        };
        let holds = holder == nexus || held.is_held_by_all_registrants();
        if holds && held == kind {
            return Ok(());
        }
        Err(ReservationError::Conflict)
    }

    /// Performs RELEASE. It changes nothing if the nexus does not hold the reservation.
    fn release_if_held(
        &mut self,
        nexus: Nexus,
        kind: Option<ReservationType>,
        effects: &mut ReservationEffects,
    ) -> Result<(), ReservationError> {
        let Some((holder, held)) = self.holder else {
            return Ok(());
        };
        if holder != nexus && !held.is_held_by_all_registrants() {
            return Ok(());
        }
        if kind != Some(held) {
            return Err(ReservationError::Check(Sense::INVALID_RELEASE));
        }
        self.release(nexus, effects);
        Ok(())
    }

    fn clear(&mut self, nexus: Nexus, effects: &mut ReservationEffects) {
        self.generation = self.generation.wrapping_add(1);
        let others = self.keys.keys().filter(|other| **other != nexus);
        effects.attentions = others
            .map(|other| (*other, Sense::RESERVATIONS_PREEMPTED))
            .collect();
        self.keys.clear();
        self.holder = None;
    }

    /// Registers `service_key`, or removes the registration of the nexus if the key is zero.
    fn register(&mut self, nexus: Nexus, service_key: u64, effects: &mut ReservationEffects) {
        self.generation = self.generation.wrapping_add(1);
        if service_key != 0 {
            self.keys.insert(nexus, service_key);
            return;
        }
        self.keys.remove(&nexus);
        let last = self.keys.is_empty();
        match self.holder {
            Some((_, kind)) if kind.is_held_by_all_registrants() && last => self.holder = None,
            Some((holder, kind)) if holder == nexus && !kind.is_held_by_all_registrants() => {
                self.release(nexus, effects)
            }
            _ => {}
        }
    }

    /// Ends the reservation and notifies the other registrants if the type admits them.
    fn release(&mut self, nexus: Nexus, effects: &mut ReservationEffects) {
        let Some((_, kind)) = self.holder.take() else {
            return;
        };
        if kind.admits_registrants() {
            let others = self.keys.keys().filter(|other| **other != nexus);
            effects
                .attentions
                .extend(others.map(|other| (*other, Sense::RESERVATIONS_RELEASED)));
        }
    }

    /// Removes the registrations with `service_key`. The nexus takes over the reservation if one of
    /// them holds it. If all registrants hold the reservation and the key is zero, the nexus removes
    /// every other registration and takes over.
    fn preempt(
        &mut self,
        nexus: Nexus,
        service_key: u64,
        kind: Option<ReservationType>,
        abort: bool,
        effects: &mut ReservationEffects,
    ) -> Result<(), ReservationError> {
        let holds = |other: &Nexus| {
            self.holder
                .is_some_and(|(holder, kind)| holder == *other || kind.is_held_by_all_registrants())
        };
        let held_by_all = self
            .holder
            .is_some_and(|(_, kind)| kind.is_held_by_all_registrants());
        let preempted: BTreeSet<Nexus> = match (service_key, held_by_all) {
            (0, true) => self
                .keys
                .keys()
                .copied()
                .filter(|other| *other != nexus)
                .collect(),
            (0, false) => return Err(ReservationError::Check(Sense::INVALID_FIELD_IN_PARAMETERS)),
            _ => self
                .keys
                .iter()
                .filter(|(_, key)| **key == service_key)
                .map(|(other, _)| *other)
                .collect(),
        };
        if preempted.is_empty() && !(service_key == 0 && held_by_all) {
            return Err(ReservationError::Conflict);
        }
        let takes_over =
            (service_key == 0 && held_by_all) || (!held_by_all && preempted.iter().any(holds));
        if takes_over && kind.is_none() {
            return Err(ReservationError::Check(Sense::INVALID_FIELD_IN_CDB));
        }
        self.generation = self.generation.wrapping_add(1);
        for other in preempted.iter().filter(|other| **other != nexus) {
            self.keys.remove(other);
            effects
                .attentions
                .push((*other, Sense::REGISTRATIONS_PREEMPTED));
        }
        if abort {
            effects.aborted = preempted
                .into_iter()
                .filter(|other| *other != nexus)
                .collect();
        }
        if let (true, Some(kind)) = (takes_over, kind) {
            self.holder = Some((nexus, kind));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
