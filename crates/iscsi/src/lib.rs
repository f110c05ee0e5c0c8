//! iSCSI and SCSI, target side, as state machines that do no input or output.
//!
//! For: what RFC 7143 and the SCSI standards say, and nothing of this gateway: [`pdu`] (the codec
//! of RFC 7143, section 11, with digests), [`keys`] (negotiation, sections 6 and 13), [`login`]
//! (the login phase, section 6.3), [`chap`] (RFC 1994 as section 12.1.3 uses it), [`window`]
//! (command numbering, section 4.2.2). The words are the standards'. It must never know of
//! transfers, volumes or hosts. Begin with [`pdu`].

pub mod chap;
pub mod keys;
pub mod login;
pub mod pdu;
pub mod reservations;
pub mod scsi;
pub mod session;
pub mod window;
