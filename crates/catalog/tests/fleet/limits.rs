//! The invariant on limits.

use super::*;

impl World {
    /// The sum of all hosts' quotas of a volume is at most the limit of the stable version.
    pub fn check_limits(&mut self) {
        let catalog = self.leader.catalog();
        let stable = self.leader.stable();
        // After a restore, hosts follow two histories, and the limit of one does not bound both,
        // until all hosts follow the history that counts.
        let epoch = self.disk.start.epoch;
        self.converged |= stable == catalog.version()
            && self.hosts.iter().all(|host| host.follower.epoch() == epoch);
        if !self.converged {
            return;
        }
        let mut then =
            Catalog::new(facts(), 1).restored(stable, catalog.state_at(stable), Vec::new());
        then.forget(stable);
        for id in VOLUMES {
            let Some(v) = then.volume(id) else { continue };
            let plan = then.plan(&v.plan).expect("its plan");
            if plan.limit <= 0.0 {
                continue;
            }
            let parts = self
                .hosts
                .iter()
                .filter_map(|host| host.terms.get(&id))
                .filter(|t| t.mine);
            let parts: Vec<_> = parts.map(|t| t.quota).collect();
            let rate: f64 = parts
                .iter()
                .map(|p| p.map_or(f64::INFINITY, |p| p.rate))
                .sum();
            let burst: f64 = parts
                .iter()
                .map(|p| p.map_or(f64::INFINITY, |p| p.burst))
                .sum();
            assert!(
                rate <= plan.limit + 1e-9 && burst <= plan.burst + 1e-9,
                "volume {id} at {:?}: {rate} of {}, {burst} of {}; settled {stable:?}, latest {:?}\n{:#?}",
                self.now,
                plan.limit,
                plan.burst,
                catalog.version(),
                self.hosts.iter().map(|host| (host.follower.follower_lease(), host.terms.get(&id))).collect::<Vec<_>>()
            );
            self.counts[5] += u32::from(parts.len() > 1);
        }
    }
}
