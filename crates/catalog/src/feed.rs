//! The change feed: which host follows which version of the catalog, which version is stable, and
//! how much of a volume's limit a host may use while hosts follow different versions.
//!
//! Both sides use this module. The leader calls [`Leases`] when a host polls or acknowledges, and
//! to find the version up to which changes have reached every host. A host calls [`FollowerLease`]
//! for each response, and [`quota`] with a volume's limit in each version that the host must still
//! take into account. This module performs no I/O. Memory use is a few words for each host.
//!
//! docs/design/plans.md explains why limits hold while versions differ. In short:
//!
//! - A host uses the smallest of its quotas in all versions from the newest stable one that it knows
//!   to the newest that it has. The leader's stable version is in this window at every host. So the
//!   sum of all quotas is at most the limit of that version, whichever versions the hosts know.
//! - A response contains the revisions together with a lease, so a host that has the lease also has
//!   the revisions.
//! - A host counts its lease from when it sent the poll. The leader counts the lease from when it
//!   responded, which is later, and adds a margin. So neither a delay, nor a clock that is slower by
//!   less than the margin, lets a host follow a version for longer than the leader assumes.
//! - Without a lease, a host uses its part of the reservation. No change lowers that quota without
//!   the host's acknowledgement: such a change is not stable before the host has acknowledged it,
//!   or an operator has guaranteed that the host is removed.
//! - A host never returns to an older version, and neither does the stable version.

mod follower_lease;
mod leases;
mod limit_reductions;
mod quota;

pub use follower_lease::FollowerLease;
pub use leases::{HostNumber, Leases, PollDecision};
pub use limit_reductions::LimitReductions;
pub use quota::{quota, LimitTerms, Quota};
