//! The errors of the parser.

/// The error of a line that is not a valid change. Operators see its text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line:?}: {fault}")]
pub struct SyntaxError {
    /// The line.
    pub line: String,
    /// The reason why the line is invalid.
    pub fault: SyntaxFault,
}

/// The reason why a line is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxFault {
    /// The line lacks the kind or the name of its subject.
    #[error("expected the kind and the name of a subject, such as: volume 103 plan=priority")]
    NoSubject,
    /// The kind of the subject is unknown, or the rest of the line is invalid for it.
    #[error(
        "expected plan, volume, node, drain, undrain, target or timed, its name and its value"
    )]
    UnknownForm,
    /// A token is not of the form `name=value`.
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
    /// A value cannot be parsed as its field's type.
    #[error("{name}: {text} makes no sense there")]
    BadValue {
        /// Name of the field.
        name: &'static str,
        /// The value.
        text: String,
    },
    /// The timeout of a drain cannot be parsed as a duration.
    #[error("within: expected a duration such as 90s, 5m or 2h, found {text}")]
    BadDuration {
        /// The value.
        text: String,
    },
    /// No node has that name, and it is not a number.
    #[error("expected the name or the number of a node, found {name}")]
    UnknownNode {
        /// The name.
        name: String,
    },
    /// A new volume lacks a field.
    #[error("a new volume needs the fields plan, hosts, cells and blocks")]
    IncompleteVolume,
    /// A new node lacks its zone.
    #[error("a new node needs the field zone")]
    MissingZone,
}
