//! The target side of iSCSI and SCSI, as state machines without I/O.
//!
//! The crate implements RFC 7143 and the SCSI standards, and nothing specific to this gateway: [`pdu`]
//! (the codec of RFC 7143, section 11, with digests), [`keys`] (negotiation, sections 6 and 13),
//! [`login`] (the login phase, section 6.3), [`chap`] (RFC 1994 as section 12.1.3 uses it), [`window`]
//! (command numbering, section 4.2.2). The terms are those of the standards. The crate must not depend
//! on transfers, volumes or hosts. Start reading at [`pdu`].

pub mod chap;
pub mod keys;
pub mod login;
pub mod pdu;
pub mod reservations;
pub mod scsi;
pub mod session;
pub mod window;
