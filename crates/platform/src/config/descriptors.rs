//! Divides a host's file descriptors, so that neither clients nor nodes can take all of them.

/// Number of descriptors that neither clients nor nodes may use: for the standard streams, the
/// coroutine runtime, the signal handler, the listener, the active connection to discovery and up to
/// three connections with overdue calls. A smaller value lets clients and nodes take these; a larger
/// one leaves descriptors unused.
const RESERVED_DESCRIPTORS: usize = 24;
/// Fraction of the other descriptors that is for clients. A larger value leaves nodes fewer connections; a
/// smaller one leaves clients fewer.
const CLIENTS_FRACTION: f64 = 0.55;
/// The number of all descriptors divided by this is the limit for clients that have sent requests and
/// keep their connections open. The platform allows a third. A smaller divisor lets clients that send
/// one request and stay connected keep out clients with requests to send; a larger one closes more
/// idle clients.
const IDLE_CLIENTS_DIVISOR: usize = 5;

/// The limits on connections that follow from the configured number of file descriptors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors {
    /// Maximum number of connections from clients.
    pub clients: usize,
    /// Maximum number of connections to nodes.
    pub nodes: usize,
    /// Maximum number of connections from clients that have sent requests. Beyond it, the host closes
    /// the client that has been idle the longest.
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
