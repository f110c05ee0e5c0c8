//! Command numbering and the command window (RFC 7143, section 4.2.2.1).
//!
//! An initiator numbers its commands over all connections of a session; the target delivers them in
//! that order and tells by ExpCmdSN and MaxCmdSN which it is ready for. Numbers wrap; they are
//! compared by serial arithmetic (RFC 1982). Memory: at most a window's worth of commands wait for
//! an earlier one.

use std::collections::BTreeMap;

/// A serial number of 32 bits.
///
/// ```
/// use grebecleat_iscsi::window::SerialNumber;
/// assert!(SerialNumber(0xffff_fffe).before(SerialNumber(1)) && !SerialNumber(1).before(SerialNumber(0xffff_fffe)));
/// assert_eq!(SerialNumber(0xffff_ffff).plus(2), SerialNumber(1));
/// assert_eq!(SerialNumber(1).since(SerialNumber(0xffff_ffff)), 2);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SerialNumber(pub u32);

impl SerialNumber {
    pub fn before(self, other: SerialNumber) -> bool {
        (self.0.wrapping_sub(other.0) as i32) < 0
    }

    pub fn plus(self, n: u32) -> SerialNumber {
        SerialNumber(self.0.wrapping_add(n))
    }

    pub fn since(self, earlier: SerialNumber) -> u32 {
        self.0.wrapping_sub(earlier.0)
    }
}

/// What became of a command that arrived.
#[derive(Debug, PartialEq)]
pub enum Arrived<T> {
    /// These are delivered now, in order.
    Deliver(Vec<T>),
    /// It waits for an earlier one.
    Waits,
    /// It was delivered before, or waits already: a repeat, to be ignored silently.
    Repeat,
    /// Outside the window, to be ignored silently.
    Outside,
}

/// The window of one session. `T` is whatever goes with a command.
#[derive(Debug)]
pub struct Window<T> {
    expected: SerialNumber,
    /// Never moves back (section 4.2.2.1: MaxCmdSN that is lower than the last is ignored).
    most: SerialNumber,
    waiting: BTreeMap<u32, T>,
}

impl<T> Window<T> {
    /// `first` is the CmdSN of the leading login; `size` how many commands are taken at first.
    pub fn new(first: SerialNumber, size: u32) -> Self {
        Window {
            expected: first,
            most: first.plus(size).plus(u32::MAX),
            waiting: BTreeMap::new(),
        }
    }

    pub fn expected(&self) -> SerialNumber {
        self.expected
    }

    pub fn most(&self) -> SerialNumber {
        self.most
    }

    /// How many commands may come now.
    pub fn room(&self) -> u32 {
        self.most.plus(1).since(self.expected)
    }

    /// The target is ready for so many commands from the expected one on; what was granted stays
    /// granted.
    pub fn grant(&mut self, size: u32) {
        let most = self.expected.plus(size).plus(u32::MAX);
        if self.most.before(most) {
            self.most = most;
        }
    }

    /// A command that is not immediate arrives.
    pub fn arrive(&mut self, sn: SerialNumber, command: T) -> Arrived<T> {
        if sn.before(self.expected) || self.waiting.contains_key(&sn.0) {
            return Arrived::Repeat;
        }
        if self.most.before(sn) {
            return Arrived::Outside;
        }
        self.waiting.insert(sn.0, command);
        if sn != self.expected {
            return Arrived::Waits;
        }
        let mut ready = Vec::new();
        while let Some(next) = self.waiting.remove(&self.expected.0) {
            ready.push(next);
            self.expected = self.expected.plus(1);
        }
        Arrived::Deliver(ready)
    }

    /// Where the gap is that the waiting ones wait for; None where none waits.
    pub fn gap(&self) -> Option<SerialNumber> {
        (!self.waiting.is_empty()).then_some(self.expected)
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests;
