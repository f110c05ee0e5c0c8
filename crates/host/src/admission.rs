//! Whether a request is taken at all.
//!
//! Called by the desk for each one that arrives, before the decisions hear of it. What is turned away here
//! never ran and is deferred: a host that drains, or whose memory is spoken for, must still give a clear
//! final answer. Guards against clients that send more than they wait for. Harm: a reserved volume's request
//! can meet the bound that a surge of another filled; the bound is for memory and stands far above what the
//! decisions hold in service.

use grebecleat_settings::Bounds;
use std::time::Duration;

/// What this host holds now.
#[derive(Debug, Clone, Copy, Default)]
pub struct Held {
    pub open: usize,
    pub bytes: usize,
    pub draining: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turned {
    /// This host takes no more; another one, or this one started anew, may.
    Draining,
    Open,
    Bytes,
}

impl Turned {
    /// When the client should come again: an overfull host clears within a breath, a restart takes longer.
    pub fn retry_after(self) -> Duration {
        Duration::from_millis(if self == Turned::Draining { 1000 } else { 250 })
    }
}

/// ```
/// use grebecleat_host::admission::{admit, Held, Turned};
/// use grebecleat_settings::Settings;
/// # let text = "zone(name='a')\nplan(name='p', rate=1)\nhost(name='h')\n".to_string()
/// #     + "stream_type(name='r', slo=ms(1), expiry=ms(2))\nbounds(most_open=2, most_held_bytes=100)";
/// let bounds = Settings::read("x.star".as_ref(), text).unwrap().bounds;
/// let held = |open, bytes, draining| Held { open, bytes, draining };
/// assert_eq!(admit(held(1, 40, false), 60, &bounds), Ok(()));
/// assert_eq!(admit(held(2, 40, false), 60, &bounds), Err(Turned::Open));
/// assert_eq!(admit(held(1, 41, false), 60, &bounds), Err(Turned::Bytes));
/// assert_eq!(admit(held(0, 0, true), 0, &bounds), Err(Turned::Draining));
/// ```
pub fn admit(held: Held, bytes: usize, bounds: &Bounds) -> Result<(), Turned> {
    match held {
        Held { draining: true, .. } => Err(Turned::Draining),
        Held { open, .. } if open >= bounds.max_open => Err(Turned::Open),
        Held { bytes: now, .. } if now + bytes > bounds.max_held_bytes => Err(Turned::Bytes),
        _ => Ok(()),
    }
}
