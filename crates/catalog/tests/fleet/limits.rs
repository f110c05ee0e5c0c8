//! The invariant that the quotas of all hosts stay within the limit of the stable version.

use super::*;

impl World {
    /// Checks that the sum of all hosts' quotas of each volume is at most its limit in the stable version.
    pub fn check_limits(&mut self) {
        let catalog = self.leader.catalog();
        let stable = self.leader.stable();
        // After a restore, some hosts still follow the lost history, and the limit of the restored history
        // does not bound their quotas. The check resumes once all hosts have the leader's epoch.
        let epoch = self.disk.start.epoch;
        self.converged |= stable == catalog.version()
            && self.hosts.iter().all(|host| host.follower.epoch() == epoch);
        if !self.converged {
            return;
        }
        let mut state =
            Catalog::new(deployment(), 1).restored(stable, catalog.state_at(stable), Vec::new());
        state.forget(stable);
        for id in VOLUMES {
            let Some(v) = state.volume(id) else { continue };
            let plan = state.plan(&v.plan).expect("the plan of a volume exists");
            if plan.limit <= 0.0 {
                continue;
            }
            let quotas = self
                .hosts
                .iter()
                .filter_map(|host| host.terms.get(&id))
                .filter(|terms| terms.served_here);
            let quotas: Vec<_> = quotas.map(|terms| terms.quota).collect();
            let rate: f64 = quotas
                .iter()
                .map(|p| p.map_or(f64::INFINITY, |p| p.rate))
                .sum();
            let burst: f64 = quotas
                .iter()
                .map(|p| p.map_or(f64::INFINITY, |p| p.burst))
                .sum();
            assert!(
                rate <= plan.limit + 1e-9 && burst <= plan.burst + 1e-9,
                "volume {id} at {:?}: quotas add up to a rate of {rate} (limit {}) and a burst of {burst} (limit {}); stable {stable:?}, latest {:?}\n{:#?}",
                self.now,
                plan.limit,
                plan.burst,
                catalog.version(),
                self.hosts.iter().map(|host| (host.follower.follower_lease(), host.terms.get(&id))).collect::<Vec<_>>()
            );
            self.counts[5] += u32::from(quotas.len() > 1);
        }
    }
}
