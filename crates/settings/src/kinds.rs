//! Kinds of trouble, by the names that the bench's journal writes, and those of the state service
//! and between hosts, which the bench does not know.

/// What goes wrong in a rehearsal. Each struck node or host, and the strength, come from the
/// script's seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    FastErrors,
    AnswerLost,
    MassRestart,
    Hang,
    Slow,
    Neighbour,
    HeavyTail,
    HotKey,
    Scan,
    Reconnect,
    DiscoveryStale,
    HostCrash,
    HostStall,
    Ageing,
    Drain,
    /// Hosts are cut off from the state service, or hear of it late.
    FeedCut,
    FeedLate,
    /// The state service is killed, and started again; or put back from a snapshot.
    StateCrash,
    StateRestored,
    /// Hosts are cut off from all other hosts, or do not hear them but are heard; or from nodes.
    HostCut,
    HostDeaf,
    WayCut,
}

impl Kind {
    pub const ALL: [(&'static str, Kind); 22] = [
        ("fast_errors", Kind::FastErrors),
        ("answer_lost", Kind::AnswerLost),
        ("mass_restart", Kind::MassRestart),
        ("hang", Kind::Hang),
        ("slow", Kind::Slow),
        ("neighbour", Kind::Neighbour),
        ("heavy_tail", Kind::HeavyTail),
        ("hot_key", Kind::HotKey),
        ("scan", Kind::Scan),
        ("reconnect", Kind::Reconnect),
        ("discovery_stale", Kind::DiscoveryStale),
        ("balancer_crash", Kind::HostCrash),
        ("balancer_stall", Kind::HostStall),
        ("ageing", Kind::Ageing),
        ("drain", Kind::Drain),
        ("feed_cut", Kind::FeedCut),
        ("feed_late", Kind::FeedLate),
        ("state_crash", Kind::StateCrash),
        ("state_restored", Kind::StateRestored),
        ("host_cut", Kind::HostCut),
        ("host_deaf", Kind::HostDeaf),
        ("way_cut", Kind::WayCut),
    ];

    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, k)| *k == self)
            .map_or("", |(name, _)| name)
    }

    /// Kinds joined by `+`, as the journal writes them; the name that is unknown where one is.
    ///
    /// ```
    /// use grebecleat_settings::Kind;
    /// assert_eq!(Kind::read("hang+slow"), Ok(vec![Kind::Hang, Kind::Slow]));
    /// assert_eq!(Kind::read("hang+flood"), Err("flood".to_string()));
    /// ```
    pub fn read(text: &str) -> Result<Vec<Kind>, String> {
        let of = |name: &str| Self::ALL.iter().find(|(n, _)| *n == name).map(|(_, k)| *k);
        text.split('+')
            .map(str::trim)
            .map(|n| of(n).ok_or_else(|| n.to_string()))
            .collect()
    }

    /// The longest run of kinds joined by `+` in any text, such as a journal's entry.
    ///
    /// ```
    /// use grebecleat_settings::Kind;
    /// let found = Kind::find(r#""digest":"i8c21ad: ageing+answer_lost 0.31""#);
    /// assert_eq!(found, vec![Kind::Ageing, Kind::AnswerLost]);
    /// ```
    pub fn find(text: &str) -> Vec<Kind> {
        let words = text.split(|c: char| !(c.is_ascii_lowercase() || c == '_' || c == '+'));
        words
            .filter_map(|w| Kind::read(w).ok())
            .max_by_key(Vec::len)
            .unwrap_or_default()
    }
}
