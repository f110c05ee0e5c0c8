//! Command numbering and the command window (RFC 7143, section 4.2.2.1).
//!
//! The initiator numbers its commands over all connections of a session. The target delivers the
//! commands in that order. ExpCmdSN and MaxCmdSN in its responses bound the numbers that it accepts.
//! The numbers wrap, so RFC 1982's serial number arithmetic compares them.
//!
//! [`crate::session`] calls this module. [`Window`] owns the two bounds and the commands that are
//! queued for an earlier one. Memory: at most one command for each number in the window. No I/O.

use std::collections::BTreeMap;

/// A 32-bit serial number with the order of RFC 1982.
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
    /// Returns whether this number precedes `other`.
    pub fn before(self, other: SerialNumber) -> bool {
        (self.0.wrapping_sub(other.0) as i32) < 0
    }

    /// Returns the number `count` places later.
    pub fn plus(self, count: u32) -> SerialNumber {
        SerialNumber(self.0.wrapping_add(count))
    }

    /// Returns the distance from `earlier` to this number.
    pub fn since(self, earlier: SerialNumber) -> u32 {
        self.0.wrapping_sub(earlier.0)
    }
}

/// The window's decision on a received command.
#[derive(Debug, PartialEq)]
pub enum Arrival<T> {
    /// These commands are delivered now, in CmdSN order.
    Deliver(Vec<T>),
    /// The command is queued until an earlier one arrives.
    Queued,
    /// The command was delivered before or is already queued. The target ignores it silently.
    Duplicate,
    /// The number is beyond MaxCmdSN. The target ignores the command silently.
    OutsideWindow,
}

/// The command window of one session. `T` is the value that the caller attaches to a command.
#[derive(Debug)]
pub struct Window<T> {
    /// ExpCmdSN: the next number to deliver.
    expected: SerialNumber,
    /// MaxCmdSN. It never decreases: an initiator ignores a MaxCmdSN below the last one (section
    /// 4.2.2.1).
    max_cmd_sn: SerialNumber,
    /// Commands that arrived before an earlier one, by CmdSN.
    queued: BTreeMap<u32, T>,
}

impl<T> Window<T> {
    /// Creates a window that accepts `size` commands. `first` is the CmdSN of the leading login.
    pub fn new(first: SerialNumber, size: u32) -> Self {
        Window {
            expected: first,
            max_cmd_sn: first.plus(size).plus(u32::MAX),
            queued: BTreeMap::new(),
        }
    }

    /// Returns ExpCmdSN, the next number to deliver.
    pub fn expected(&self) -> SerialNumber {
        self.expected
    }

    /// Returns MaxCmdSN, the last number that the window accepts.
    pub fn max_cmd_sn(&self) -> SerialNumber {
        self.max_cmd_sn
    }

    /// Returns the number of commands from ExpCmdSN to MaxCmdSN; 0 if the window is closed.
    pub fn capacity(&self) -> u32 {
        self.max_cmd_sn.plus(1).since(self.expected)
    }

    /// Opens the window to `size` commands from ExpCmdSN on. A smaller window than the current one
    /// changes nothing: the numbers granted before stay valid.
    pub fn grant(&mut self, size: u32) {
        let max_cmd_sn = self.expected.plus(size).plus(u32::MAX);
        if self.max_cmd_sn.before(max_cmd_sn) {
            self.max_cmd_sn = max_cmd_sn;
        }
    }

    /// Takes a non-immediate command with its CmdSN and returns the commands to deliver, if any.
    pub fn receive(&mut self, cmd_sn: SerialNumber, command: T) -> Arrival<T> {
        if cmd_sn.before(self.expected) || self.queued.contains_key(&cmd_sn.0) {
            return Arrival::Duplicate;
        }
        if self.max_cmd_sn.before(cmd_sn) {
            return Arrival::OutsideWindow;
        }
        self.queued.insert(cmd_sn.0, command);
        if cmd_sn != self.expected {
            return Arrival::Queued;
        }
        let mut ready = Vec::new();
        while let Some(next) = self.queued.remove(&self.expected.0) {
            ready.push(next);
            self.expected = self.expected.plus(1);
        }
        Arrival::Deliver(ready)
    }

    /// Returns the number that the queued commands wait for; None if no command is queued.
    pub fn gap(&self) -> Option<SerialNumber> {
        (!self.queued.is_empty()).then_some(self.expected)
    }

    /// Returns the number of queued commands.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }
}

#[cfg(test)]
mod tests;
