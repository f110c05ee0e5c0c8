//! Testbed on the loopback interface: the environment of a host, with injected faults.
//!
//! `grebecleat scenario`, `node` and `discovery-service` run it, and the tests of other packages use
//! its modules. It shares only the wire format and the settings with the host, and must never use the
//! host's own code.
//!
//! - [`node`] and [`discovery_service`] are models without I/O; [`draw`] draws the targets of each
//!   injected fault from the script's seed, with the same result in every process;
//! - [`net`] and [`serve`] run the models on sockets;
//! - [`clients`] generates the client load, [`iscsi_load`] the iSCSI load through [`initiator`];
//! - [`relay`] forwards connections between hosts and the state service, [`links`] those between hosts;
//!   both inject faults into the connections;
//! - [`versions`] keeps late writes at a node from overwriting newer ones;
//! - [`scenario`] runs all of it as processes.

pub mod clients;
pub mod discovery_service;
pub mod draw;
pub mod initiator;
pub mod iscsi_load;
pub mod links;
pub mod net;
pub mod node;
pub mod relay;
pub mod scenario;
pub mod serve;
pub mod versions;
