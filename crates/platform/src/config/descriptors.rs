//! How a host's descriptors are shared out, so that neither clients nor nodes can take all of them.

/// Descriptors for what is neither a client's nor a node's: standard streams, the runtime's, the
/// signals', the listener, discovery's connection and up to three that are heard beside it.
const RESERVED_DESCRIPTORS: usize = 24;
/// Of the rest, the fraction that clients may take.
const CLIENTS_FRACTION: f64 = 0.55;
/// One in so many of all is for clients that have sent requests and leave their connections open:
/// the platform allows them a third, and a client that has sent one and stays for good takes the
/// place of one that would send.
const IDLE_CLIENTS_DIVISOR: usize = 5;

/// How the file's descriptors are shared out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors {
    /// Clients' connections at most.
    pub clients: usize,
    /// Nodes' connections at most.
    pub nodes: usize,
    /// Of the clients', those that have sent requests; past that the one idle the longest is
    /// closed.
    pub idle_clients: usize,
}

impl Descriptors {
    /// Shares out so many descriptors.
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
