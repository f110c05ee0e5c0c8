//! The change feed: who follows which version of the catalog, which version is stable, and what a
//! host may send of a limited volume meanwhile.
//!
//! Used on both sides. The leader calls [`Leases`] when a host polls or acknowledges, and to learn
//! up to which version changes have reached every host; a host calls [`FollowerLease`] with each
//! answer, and [`quota`] with what each version that it must still reckon with says of a volume. No
//! I/O. Memory: a few words for each host.
//!
//! The argument why limits hold meanwhile is in docs/design/plans.md. In short:
//!
//! - A host uses the least that any version allows, from the stable one, as far as it knows, to the
//!   newest it has. The stable version itself lies in every host's window, so all quotas add up to
//!   no more than that version's limit, whatever each of them knows.
//! - An answer carries the revisions and a lease together, so a host with the lease has the
//!   revisions.
//! - A host counts its lease from when it asked; the leader counts it from when it answered, which
//!   is later, and a margin longer: no delay, and no clock that runs slower by less than the
//!   margin, lets a host follow a version for longer than the leader assumes.
//! - Without a lease a host uses its quota of the reservation, which no change takes away without
//!   its acknowledgement: a change that lowers it is not stable before the host has acknowledged
//!   it, or an operator has guaranteed that the host is gone.
//! - A host never goes back to an older version, and neither does the stable version.

mod follower_lease;
mod leases;
mod limit_reductions;
mod quota;

pub use follower_lease::FollowerLease;
pub use leases::{HostNumber, Leases, PollDecision};
pub use limit_reductions::LimitReductions;
pub use quota::{quota, LimitTerms, Quota};
