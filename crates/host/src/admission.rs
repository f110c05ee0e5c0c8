//! Admission of requests: bounds the open requests and their bytes.
//!
//! The router calls [`admit`] for each request that arrives, before the scheduler receives it. The
//! module keeps no state. A refused request never runs, and its client receives a final response,
//! even from a host that shuts down or has used up its memory. The bounds protect the memory of the
//! host from clients that send requests without waiting for their responses. Their drawback is that
//! the requests of one volume may use them up, so that a request of another volume is refused in spite
//! of its reservation. The bounds are therefore far above the number of requests that the scheduler
//! queues in normal service.

use grebecleat_settings::Bounds;
use std::time::Duration;

/// The Retry-After of an overloaded host, which has capacity again soon. A longer delay leaves that
/// capacity unused; after a shorter one, clients retry and are rejected again.
const RETRY_OVERLOADED: Duration = Duration::from_millis(250);
/// The Retry-After of a host that shuts down. It is longer than that of an overloaded host, because a
/// restart takes longer than an overload lasts.
const RETRY_DRAINING: Duration = Duration::from_secs(1);

/// The load of this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// The number of open requests.
    pub open: usize,
    /// The total size of the open requests, in bytes.
    pub bytes: usize,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Whether the host remembers as many volumes as it may, and not the one of the request.
    pub volumes_full: bool,
}

/// A reason to refuse a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The host is shutting down. Another host, or this one after its restart, may admit the request.
    Draining,
    /// The number of open requests has reached its bound.
    Open,
    /// With this request, the open requests would exceed their bound in bytes.
    Bytes,
    /// The number of volumes that requests have named recently has reached its bound.
    Volumes,
}

impl Refusal {
    /// The time after which the client should retry.
    pub fn retry_after(self) -> Duration {
        match self {
            Refusal::Draining => RETRY_DRAINING,
            Refusal::Open | Refusal::Bytes | Refusal::Volumes => RETRY_OVERLOADED,
        }
    }
}

/// Returns whether a request of `bytes` bytes is admitted.
///
/// ```
/// use grebecleat_host::admission::{admit, Load, Refusal};
/// use grebecleat_settings::Settings;
/// # let text = "zone(name='a')\nplan(name='p', rate=1)\nhost(name='h')\n".to_string()
/// #     + "stream_type(name='r', slo=ms(1), expiry=ms(2))\nbounds(most_open=2, most_held_bytes=100)";
/// let bounds = Settings::read("x.star".as_ref(), text).unwrap().bounds;
/// let load = |open, bytes, draining| Load { open, bytes, draining, ..Load::default() };
/// assert_eq!(admit(load(1, 40, false), 60, &bounds), Ok(()));
/// assert_eq!(admit(load(2, 40, false), 60, &bounds), Err(Refusal::Open));
/// assert_eq!(admit(load(1, 41, false), 60, &bounds), Err(Refusal::Bytes));
/// assert_eq!(admit(load(0, 0, true), 0, &bounds), Err(Refusal::Draining));
/// let volumes_full = Load { volumes_full: true, ..Load::default() };
/// assert_eq!(admit(volumes_full, 0, &bounds), Err(Refusal::Volumes));
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
    if load.volumes_full {
        return Err(Refusal::Volumes);
    }
    Ok(())
}
