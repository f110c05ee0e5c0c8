//! The change feed: which host follows which version of the catalog, which version is stable, and
//! how much of a limited volume a host may send until all hosts follow the same version.
//!
//! Both sides use this module. The leader calls [`Leases`] when a host polls or acknowledges, and
//! to find the version up to which changes have reached every host. A host calls [`FollowerLease`]
//! for each response, and [`quota`] with a volume's terms in each version that the host must still
//! take into account. No I/O. Memory: a few words for each host.
//!
//! docs/design/plans.md has the argument why limits hold while versions differ. In short:
//!
//! - A host uses the smallest quota of any version from the stable one that it knows to the newest
//!   that it has. The stable version itself lies in every host's window. So the sum of all quotas
//!   is at most that version's limit, whichever versions the hosts know.
//! - A response carries the revisions and a lease together, so a host with the lease has the
//!   revisions.
//! - A host counts its lease from when it sent the poll. The leader counts the lease from when it
//!   responded, which is later, and adds a margin. So no delay, and no clock that runs slower by
//!   less than the margin, lets a host follow a version for longer than the leader assumes.
//! - Without a lease, a host uses its quota of the reservation. No change lowers that quota without
//!   the host's acknowledgement: such a change is not stable before the host has acknowledged it,
//!   or an operator has guaranteed that the host is removed.
//! - A host never goes back to an older version, and neither does the stable version.

mod follower_lease;
mod leases;
mod limit_reductions;
mod quota;

pub use follower_lease::FollowerLease;
pub use leases::{HostNumber, Leases, PollDecision};
pub use limit_reductions::LimitReductions;
pub use quota::{quota, LimitTerms, Quota};
