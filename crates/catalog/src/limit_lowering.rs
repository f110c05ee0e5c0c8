//! Determines whether a revision lowers the quota of a host that does not know the revision yet.
//!
//! Pure functions, called by [`crate::propose`]. A revision that lowers quotas becomes stable only
//! when hosts have acknowledged it: see [`crate::feed`]. Without a lease, a host uses its part of the
//! reservation and of the burst; this quota must never shrink without the host's knowledge.

use crate::change::{Change, Subject};
use crate::overlay::Overlay;
use crate::records::{Name, Plan};

/// Returns whether a host that knows only the state before the changes may use a larger quota of a
/// limited volume than its quota after them.
pub(crate) fn lowers_limits(after: &Overlay) -> bool {
    after.changes().any(|(_, change)| match change {
        Change::Plan { name, .. } => plan_lowers(after, name),
        Change::Volume { id, .. } => volume_lowers(after, *id),
        _ => false,
    })
}

fn plan_lowers(after: &Overlay, name: &Name) -> bool {
    let Some(new) = after.plan(name).filter(|plan| plan.limit > 0.0) else {
        return false;
    };
    let Some(old) = after.base.plan(name) else {
        return false;
    };
    is_lower(old, new) && after.base.volumes_of_plan(name).next().is_some()
}

fn volume_lowers(after: &Overlay, id: u64) -> bool {
    let Some(new) = after.volume(id) else {
        return false;
    };
    let Some(new_plan) = after.plan(&new.plan).filter(|plan| plan.limit > 0.0) else {
        return false;
    };
    let Some(old) = after.base.volume(id) else {
        // The number may have belonged to a removed volume that a host still knows.
        return after.base.last_changed(&Subject::Volume(id)).is_some();
    };
    let host_removed = old.hosts.iter().any(|host| !new.hosts.contains(host));
    if host_removed || new.hosts.len() > old.hosts.len() {
        return true;
    }
    let old_plan = after.base.plan(&old.plan);
    old_plan.is_none_or(|old_plan| is_lower(old_plan, new_plan))
}

fn is_lower(old: &Plan, new: &Plan) -> bool {
    old.limit <= 0.0 || new.reservation < old.reservation || new.burst < old.burst
}
