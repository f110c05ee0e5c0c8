//! Testbed on the loopback interface: all that surrounds a host, with injected faults.
//!
//! `grebecleat scenario`, `node` and `discovery-service` run it; the tests of other packages use
//! its parts. It shares the wire and the settings with the host, and must never use the host's own
//! code.
//!
//! - [`node`] and [`discovery_service`] are models without I/O; [`draw`] draws the targets of each
//!   injected fault from the script's seed, with the same result in every process;
//! - [`net`] and [`serve`] run the models on sockets;
//! - [`clients`] are the clients, [`disks`] the iSCSI load, [`initiator`] an iSCSI initiator;
//! - [`relay`] lies between the hosts and the state service, [`links`] between hosts; both inject
//!   faults into connections;
//! - [`versions`] keeps late writes at a node from overwriting newer ones;
//! - [`scenario`] runs all of it as processes.

pub mod clients;
pub mod discovery_service;
pub mod disks;
pub mod draw;
pub mod initiator;
pub mod links;
pub mod net;
pub mod node;
pub mod relay;
pub mod scenario;
pub mod serve;
pub mod versions;
