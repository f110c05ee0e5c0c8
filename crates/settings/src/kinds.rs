//! The kinds of injected faults. Most names are those of the simulator's journal. The simulator has
//! no faults of the state service and none between hosts.

/// The kind of an injected fault in a rehearsal. The script's seed determines the affected nodes or
/// hosts, and the strength.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Nodes answer some attempts with an error, at once.
    FastErrors,
    /// Nodes lose some answers after the work.
    AnswerLost,
    /// Nodes restart.
    MassRestart,
    /// Nodes hang.
    Hang,
    /// Nodes are slower by a factor.
    Slow,
    /// Other load takes a part of the nodes' speed, at intervals.
    Neighbour,
    /// A small fraction of the attempts takes many times as much work.
    HeavyTail,
    /// Volumes receive additional requests for one key.
    HotKey,
    /// Volumes receive additional requests of a scan.
    Scan,
    /// Clients close their connections and connect again.
    Reconnect,
    /// The endpoint list is out of date.
    DiscoveryStale,
    /// Hosts are killed and restarted.
    HostCrash,
    /// The processes of hosts pause.
    HostStall,
    /// Nodes become slower over time, and then restart.
    Ageing,
    /// Nodes drain and return.
    Drain,
    /// Hosts are cut off from the state service.
    FeedCut,
    /// Hosts receive the messages of the state service late.
    FeedLate,
    /// The state service is killed and restarted.
    StateCrash,
    /// The state service is killed, and restored from a snapshot.
    StateRestored,
    /// Hosts are cut off from all other hosts.
    HostCut,
    /// Hosts receive no messages of other hosts, but other hosts receive theirs.
    HostDeaf,
    /// Hosts are cut off from nodes.
    WayCut,
}

impl FaultKind {
    /// All kinds by their names.
    pub const ALL: [(&'static str, FaultKind); 22] = [
        ("fast_errors", FaultKind::FastErrors),
        ("answer_lost", FaultKind::AnswerLost),
        ("mass_restart", FaultKind::MassRestart),
        ("hang", FaultKind::Hang),
        ("slow", FaultKind::Slow),
        ("neighbour", FaultKind::Neighbour),
        ("heavy_tail", FaultKind::HeavyTail),
        ("hot_key", FaultKind::HotKey),
        ("scan", FaultKind::Scan),
        ("reconnect", FaultKind::Reconnect),
        ("discovery_stale", FaultKind::DiscoveryStale),
        ("balancer_crash", FaultKind::HostCrash),
        ("balancer_stall", FaultKind::HostStall),
        ("ageing", FaultKind::Ageing),
        ("drain", FaultKind::Drain),
        ("feed_cut", FaultKind::FeedCut),
        ("feed_late", FaultKind::FeedLate),
        ("state_crash", FaultKind::StateCrash),
        ("state_restored", FaultKind::StateRestored),
        ("host_cut", FaultKind::HostCut),
        ("host_deaf", FaultKind::HostDeaf),
        ("way_cut", FaultKind::WayCut),
    ];

    /// Returns the kind's name.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or("", |(name, _)| name)
    }

    /// Returns the kinds of a text, joined by `+` as the simulator's journal writes them. Returns
    /// the first unknown name as an error.
    ///
    /// ```
    /// use grebecleat_settings::FaultKind;
    /// assert_eq!(FaultKind::read("hang+slow"), Ok(vec![FaultKind::Hang, FaultKind::Slow]));
    /// assert_eq!(FaultKind::read("hang+flood"), Err("flood".to_string()));
    /// ```
    pub fn read(text: &str) -> Result<Vec<FaultKind>, String> {
        text.split('+')
            .map(str::trim)
            .map(|name| FaultKind::named(name).ok_or_else(|| name.to_string()))
            .collect()
    }

    fn named(name: &str) -> Option<FaultKind> {
        let mut kinds = Self::ALL.iter();
        let (_, kind) = kinds.find(|(kind_name, _)| *kind_name == name)?;
        Some(*kind)
    }

    /// Returns the longest run of kinds joined by `+` in any text, such as a journal's entry.
    ///
    /// ```
    /// use grebecleat_settings::FaultKind;
    /// let found = FaultKind::find(r#""digest":"i8c21ad: ageing+answer_lost 0.31""#);
    /// assert_eq!(found, vec![FaultKind::Ageing, FaultKind::AnswerLost]);
    /// ```
    pub fn find(text: &str) -> Vec<FaultKind> {
        let words = text.split(|c: char| !(c.is_ascii_lowercase() || c == '_' || c == '+'));
        words
            .filter_map(|word| FaultKind::read(word).ok())
            .max_by_key(Vec::len)
            .unwrap_or_default()
    }
}
