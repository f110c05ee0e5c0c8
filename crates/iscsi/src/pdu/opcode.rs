//! The opcodes of PDUs (RFC 7143, section 11.2.1.2). No state and no I/O.

/// The opcode of a PDU (section 11.2.1.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Opcode {
    /// NOP-Out.
    NopOut = 0x00,
    /// SCSI Command.
    ScsiCommand = 0x01,
    /// SCSI Task Management Function Request.
    TaskManagement = 0x02,
    /// Login Request.
    LoginRequest = 0x03,
    /// Text Request.
    TextRequest = 0x04,
    /// SCSI Data-Out, for write operations.
    DataOut = 0x05,
    /// Logout Request.
    LogoutRequest = 0x06,
    /// SNACK Request.
    Snack = 0x10,
    /// NOP-In.
    NopIn = 0x20,
    /// SCSI Response.
    ScsiResponse = 0x21,
    /// SCSI Task Management Function Response.
    TaskManagementResponse = 0x22,
    /// Login Response.
    LoginResponse = 0x23,
    /// Text Response.
    TextResponse = 0x24,
    /// SCSI Data-In, for read operations.
    DataIn = 0x25,
    /// Logout Response.
    LogoutResponse = 0x26,
    /// Ready To Transfer (R2T).
    R2t = 0x31,
    /// Asynchronous Message.
    AsyncMessage = 0x32,
    /// Reject.
    Reject = 0x3f,
}

impl Opcode {
    /// Every opcode of the standard that this crate knows.
    pub const ALL: [Opcode; 18] = [
        Opcode::NopOut,
        Opcode::ScsiCommand,
        Opcode::TaskManagement,
        Opcode::LoginRequest,
        Opcode::TextRequest,
        Opcode::DataOut,
        Opcode::LogoutRequest,
        Opcode::Snack,
        Opcode::NopIn,
        Opcode::ScsiResponse,
        Opcode::TaskManagementResponse,
        Opcode::LoginResponse,
        Opcode::TextResponse,
        Opcode::DataIn,
        Opcode::LogoutResponse,
        Opcode::R2t,
        Opcode::AsyncMessage,
        Opcode::Reject,
    ];

    /// Returns the opcode with this number; None for an unknown number.
    pub fn of(code: u8) -> Option<Opcode> {
        Self::ALL.into_iter().find(|opcode| *opcode as u8 == code)
    }

    /// Returns whether initiators send this opcode: the numbers up to 0x1f.
    pub fn from_initiator(self) -> bool {
        (self as u8) < 0x20
    }
}
