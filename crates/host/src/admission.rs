//! Whether a request is taken at all.
//!
//! Called by the router for each one that arrives, before the decisions hear of it. What is refused
//! here never ran and is rejected: a host that shuts down, or whose memory is spoken for, must
//! still give a clear final answer. Guards against clients that send more than they wait for. Harm:
//! a reserved volume's request can meet the bound that a surge of another filled; the bound is for
//! memory and stands far above what the decisions queue in service.

use grebecleat_settings::Bounds;
use std::time::Duration;

/// An overloaded host has capacity again soon.
const RETRY_OVERLOADED: Duration = Duration::from_millis(250);
/// A restart takes longer.
const RETRY_DRAINING: Duration = Duration::from_secs(1);

/// What this host has open now.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Requests.
    pub open: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
    /// It is shutting down.
    pub draining: bool,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This host takes no more; another one, or this one started anew, may.
    Draining,
    /// Too many requests are open.
    Open,
    /// Too many bytes are.
    Bytes,
}

impl Refusal {
    /// When the client should come again.
    pub fn retry_after(self) -> Duration {
        match self {
            Refusal::Draining => RETRY_DRAINING,
            Refusal::Open | Refusal::Bytes => RETRY_OVERLOADED,
        }
    }
}

/// Whether a request with so many bytes is taken.
///
/// ```
/// use grebecleat_host::admission::{admit, Load, Refusal};
/// use grebecleat_settings::Settings;
/// # let text = "zone(name='a')\nplan(name='p', rate=1)\nhost(name='h')\n".to_string()
/// #     + "stream_type(name='r', slo=ms(1), expiry=ms(2))\nbounds(most_open=2, most_held_bytes=100)";
/// let bounds = Settings::read("x.star".as_ref(), text).unwrap().bounds;
/// let load = |open, bytes, draining| Load { open, bytes, draining };
/// assert_eq!(admit(load(1, 40, false), 60, &bounds), Ok(()));
/// assert_eq!(admit(load(2, 40, false), 60, &bounds), Err(Refusal::Open));
/// assert_eq!(admit(load(1, 41, false), 60, &bounds), Err(Refusal::Bytes));
/// assert_eq!(admit(load(0, 0, true), 0, &bounds), Err(Refusal::Draining));
/// ```
pub fn admit(load: Load, bytes: usize, bounds: &Bounds) -> Result<(), Refusal> {
    if load.draining {
        return Err(Refusal::Draining);
    }
    if load.open >= bounds.max_open {
        return Err(Refusal::Open);
    }
    if load.bytes + bytes > bounds.max_held_bytes {
        return Err(Refusal::Bytes);
    }
    Ok(())
}
