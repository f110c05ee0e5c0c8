//! Parses the values of one line in order.

use super::error::WireError;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use grebecleat_adapter::settings::duration_from_millis;
use grebecleat_scheduler::api::RequestId;
use std::str::{FromStr, Split};
use std::time::Duration;

/// Denotes an absent value.
const ABSENT: &str = "-";

/// The message name of a line, and the values that have not been parsed yet.
pub struct Values<'a> {
    message: &'a str,
    rest: Split<'a, char>,
}

impl<'a> Values<'a> {
    /// Splits a line into the name of its message and its values.
    pub fn new(line: &'a str) -> Self {
        let mut rest = line.split(' ');
        let message = rest.next().unwrap_or_default();
        Values { message, rest }
    }

    /// Returns the name of the message.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// Returns the next value as text.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        let value = self.rest.next().filter(|value| !value.is_empty());
        value.ok_or_else(|| self.missing(field))
    }

    /// Parses the next value; returns `None` if it is absent.
    pub fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, WireError> {
        let value = self.text(field)?;
        if value == ABSENT {
            return Ok(None);
        }
        let parsed = value.parse().map(Some);
        parsed.map_err(|_| self.bad_value(field, value))
    }

    /// Parses the next value, which must not be absent.
    pub fn required<T: FromStr>(&mut self, field: &'static str) -> Result<T, WireError> {
        let value = self.optional(field)?;
        value.ok_or_else(|| self.missing(field))
    }

    /// Parses a number. Absent, infinite, undefined (NaN) and negative values count as zero.
    pub fn number(&mut self, field: &'static str) -> Result<f64, WireError> {
        let number = self.optional::<f64>(field)?;
        let finite = number.filter(|number| number.is_finite());
        Ok(finite.unwrap_or(0.0).max(0.0))
    }

    /// Parses a duration in milliseconds.
    pub fn duration(&mut self, field: &'static str) -> Result<Duration, WireError> {
        Ok(duration_from_millis(self.number(field)?))
    }

    /// Parses `1` as true; `0` and an absent value as false.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | ABSENT => Ok(false),
            value => Err(self.bad_value(field, value)),
        }
    }

    /// Parses a hexadecimal number; returns `None` if it is absent.
    pub fn hex(&mut self, field: &'static str) -> Result<Option<u64>, WireError> {
        let value = self.text(field)?;
        if value == ABSENT {
            return Ok(None);
        }
        let parsed = u64::from_str_radix(value, 16).map(Some);
        parsed.map_err(|_| self.bad_value(field, value))
    }

    /// Parses the id of a request.
    pub fn request_id(&mut self) -> Result<RequestId, WireError> {
        const FIELD: &str = "rid";
        let value = self.text(FIELD)?;
        let bytes = value.as_bytes().try_into();
        bytes
            .map(RequestId)
            .map_err(|_| self.bad_value(FIELD, value))
    }

    /// Decodes base64; an absent value is empty.
    pub fn bytes(&mut self, field: &'static str) -> Result<Vec<u8>, WireError> {
        let value = self.text(field)?;
        if value == ABSENT {
            return Ok(Vec::new());
        }
        STANDARD.decode(value).map_err(|_| WireError::BadEncoding {
            message: self.message.to_string(),
            field,
        })
    }

    /// Parses the numbers of a node's load report; an absent report is empty, an absent number zero.
    pub fn load_report(&mut self) -> Result<Vec<f64>, WireError> {
        const FIELD: &str = "gauge";
        let value = self.text(FIELD)?;
        if value == ABSENT {
            return Ok(Vec::new());
        }
        let numbers = value.split(',').map(|number| match number {
            ABSENT => Ok(0.0),
            number => number.parse(),
        });
        let numbers: Result<Vec<f64>, _> = numbers.collect();
        numbers.map_err(|_| self.bad_value(FIELD, value))
    }

    /// Checks that no value is left.
    pub fn end(&mut self) -> Result<(), WireError> {
        match self.rest.next() {
            None => Ok(()),
            Some(_) => Err(WireError::TooManyValues(self.message.to_string())),
        }
    }

    /// Returns the error for a value that is absent.
    pub fn missing(&self, field: &'static str) -> WireError {
        WireError::MissingValue {
            message: self.message.to_string(),
            field,
        }
    }

    /// Returns the error for a value that cannot be parsed.
    pub fn bad_value(&self, field: &'static str, value: &str) -> WireError {
        WireError::BadValue {
            message: self.message.to_string(),
            field,
            value: value.to_string(),
        }
    }

    /// Returns the error for a host that was not created.
    pub fn unknown_host(&self, host: &str) -> WireError {
        WireError::UnknownHost {
            message: self.message.to_string(),
            host: host.to_string(),
        }
    }
}
