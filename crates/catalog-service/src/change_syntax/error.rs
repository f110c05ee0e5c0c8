//! The errors of a line.

/// The error of a line that is no change. Operators see its text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line:?}: {fault}")]
pub struct SyntaxError {
    /// The line.
    pub line: String,
    /// The fault of the line.
    pub fault: SyntaxFault,
}

/// The fault of a line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxFault {
    /// The line has no kind and name of a subject.
    #[error("expected what it is of and its name, such as: volume 103 plan=priority")]
    NoSubject,
    /// The kind of the subject is unknown, or has no such form.
    #[error("expected plan, volume, node, drain, undrain, target or timed, and what is to be so")]
    UnknownForm,
    /// A token is no field.
    #[error("expected name=value, found {token}")]
    NotAField {
        /// The token.
        token: String,
    },
    /// The subject has no such field.
    #[error("{name} is not known here; expected some of {expected}")]
    UnknownField {
        /// Name of the field.
        name: String,
        /// The names of the subject's fields.
        expected: &'static str,
    },
    /// A value is not of its field's type.
    #[error("{name}: {text} makes no sense there")]
    BadValue {
        /// Name of the field.
        name: &'static str,
        /// The value.
        text: String,
    },
    /// The time limit of a drain is no duration.
    #[error("within: {text} is no time such as 90s, 5m or 2h")]
    BadDuration {
        /// The value.
        text: String,
    },
    /// No node has that name.
    #[error("there is no node called {name}")]
    UnknownNode {
        /// The name.
        name: String,
    },
    /// A new volume lacks a field.
    #[error("a new volume needs plan, hosts, cells and blocks")]
    IncompleteVolume,
    /// A new node lacks its zone.
    #[error("a new node needs its zone")]
    MissingZone,
}
