//! The parts of a host's descriptors, so that neither clients nor nodes can take all of them.

/// Number of descriptors that belong neither to clients nor to nodes: the standard streams, those of
/// the runtime and of the signals, the listener, the active connection to discovery and up to three
/// overdue ones. A smaller value lets clients and nodes take these; a larger one wastes descriptors.
const RESERVED_DESCRIPTORS: usize = 24;
/// The clients' fraction of the other descriptors. A larger value leaves nodes fewer connections; a
/// smaller one leaves clients fewer.
const CLIENTS_FRACTION: f64 = 0.55;
/// One in this number of all descriptors is for clients that have sent requests and leave their
/// connections open. The platform allows them a third. A smaller value lets clients that have sent
/// one request and never leave occupy the slots of clients that would send; a larger one closes more
/// idle clients.
const IDLE_CLIENTS_DIVISOR: usize = 5;

/// The parts of the descriptors that the configuration allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors {
    /// The largest number of connections of clients.
    pub clients: usize,
    /// The largest number of connections to nodes.
    pub nodes: usize,
    /// The largest number of connections of clients that have sent requests. Beyond it, the client
    /// that has been idle the longest is closed.
    pub idle_clients: usize,
}

impl Descriptors {
    /// Divides the given number of descriptors.
    ///
    /// ```
    /// use grebecleat_platform::config::Descriptors;
    /// let shared = Descriptors { clients: 127, nodes: 105, idle_clients: 51 };
    /// assert_eq!(Descriptors::of(256), shared);
    /// ```
    pub fn of(sockets: usize) -> Self {
        let shared = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let clients = ((shared as f64 * CLIENTS_FRACTION) as usize).max(1);
        Descriptors {
            clients,
            nodes: shared - clients,
            idle_clients: sockets / IDLE_CLIENTS_DIVISOR,
        }
    }
}
