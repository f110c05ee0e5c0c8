//! Stand-ins for what surrounds a host, on loopback.
//!
//! For: rehearsals and tests. [`node`] and [`discovery_service`] are models without sockets, stepped with a
//! time; [`draw`] turns a script's troubles and load into who is struck when, the same each time;
//! [`net`] and [`serve`] put the models on sockets; [`clients`] are the clients; [`initiator`] is
//! an iSCSI initiator; [`scenario`] runs it all as processes. [`relay`] lies between hosts and the
//! state service; [`versions`] is how a node keeps late writes from overwriting newer ones. They
//! share only the wire and the settings with the host, and must never look into it.

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
