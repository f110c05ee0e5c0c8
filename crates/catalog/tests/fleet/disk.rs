//! Simulated disks of the leader and of the hosts: what each reads back after a restart.

use super::*;

/// What the leader has persisted.
#[derive(Clone)]
pub struct Disk {
    pub start: leader::InitialState,
}

impl Disk {
    pub fn new(epoch: u64) -> Self {
        let (catalog, applied, hosts) = (
            Catalog::new(deployment(), 30),
            BTreeMap::new(),
            HOSTS.map(Name::from).to_vec(),
        );
        let (stable, epoch, epochs, epoch_forced_at) =
            (Version(0), Epoch(epoch), Vec::new(), Version(0));
        Disk {
            start: leader::InitialState {
                catalog,
                stable,
                applied,
                hosts,
                epoch,
                epochs,
                epoch_forced_at,
            },
        }
    }

    pub fn persist(&mut self, what: leader::Persist) {
        match what {
            leader::Persist::Revision(e) => self
                .start
                .catalog
                .apply(e)
                .expect("the revision has the next version"),
            leader::Persist::Stable(v) => {
                self.start.stable = v;
                self.start.catalog.retain_after(v);
            }
            leader::Persist::Applied(host, v) => _ = self.start.applied.insert(host, v),
            leader::Persist::EpochForced(e) => {
                self.start.epoch_forced_at = e.version;
                self.start
                    .catalog
                    .apply(e)
                    .expect("the forced epoch has the next version");
            }
        }
    }

    /// A disk restored from this backup, in a new epoch. Hosts that the backup does not list may have been
    /// granted leases since it was taken, so each is listed with version 0.
    pub fn restored(&self, epoch: u64) -> Self {
        let mut start = self.start.clone();
        start.epochs.push((start.epoch, start.catalog.version()));
        start.epoch = Epoch(epoch);
        for host in 0..HOSTS.len() as u32 {
            start.applied.entry(HostNumber(host)).or_insert(Version(0));
        }
        Disk { start }
    }
}

/// What a host has persisted; `None` before its first write.
#[derive(Clone, Default)]
pub struct HostDisk(Option<follower::InitialState>);

impl HostDisk {
    pub fn start(&self) -> follower::InitialState {
        self.0.clone().unwrap_or_else(|| follower::InitialState {
            catalog: Follower::empty_catalog(deployment()),
            ..Default::default()
        })
    }

    pub fn persist(&mut self, request: &follower::PersistRequest, snapshot: &Catalog) {
        let mut start = self.start();
        if request.snapshot {
            start.catalog = snapshot.clone();
        } else {
            request.revisions.iter().for_each(|e| {
                start
                    .catalog
                    .apply(e.clone())
                    .expect("the revision has the next version")
            });
        }
        start.catalog.forget(request.stable);
        (start.stable, start.epoch) = (request.stable, request.epoch);
        self.0 = Some(start);
    }
}
