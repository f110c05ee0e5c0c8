//! Access to the values of the configuration's JSON document, with errors that name the file and the
//! path of the value.

use super::error::{ConfigError, ValueError};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// A path and its value, in the simulator's notation.
pub(super) type Pair = (String, String);

/// Flattens the object to pairs of path and value, in the simulator's notation.
pub(super) fn flatten(object: &Value) -> Vec<Pair> {
    let mut pairs = Vec::new();
    flatten_into("", object, &mut pairs);
    pairs
}

fn flatten_into(path: &str, value: &Value, pairs: &mut Vec<Pair>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten_into(&join(path, name), field, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((join(path, "count"), items.len().to_string()));
            for (index, item) in items.iter().enumerate() {
                flatten_into(&join(path, &index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let all: Vec<String> = items.iter().map(format_scalar).collect();
            pairs.push((path.to_string(), all.join(",")));
        }
        other => pairs.push((path.to_string(), format_scalar(other))),
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn format_scalar(value: &Value) -> String {
    match value {
        // Text is not escaped, since names in it are compared with the names that clients send.
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// The JSON document of a configuration.
pub(super) struct Document<'a> {
    file: &'a Path,
    root: Value,
}

impl<'a> Document<'a> {
    pub(super) fn parse(file: &'a Path, text: &[u8]) -> Result<Self, ConfigError> {
        let root = serde_json::from_slice(text).map_err(|source| ConfigError::NotJson {
            file: file.to_path_buf(),
            source,
        })?;
        Ok(Document { file, root })
    }

    pub(super) fn error(&self, path: &str, problem: ValueError) -> ConfigError {
        ConfigError::Value {
            file: self.file.to_path_buf(),
            path: path.to_string(),
            problem,
        }
    }

    pub(super) fn get(&self, name: &str) -> Option<&Value> {
        self.root.get(name)
    }

    pub(super) fn text(&self, name: &str) -> Result<&str, ConfigError> {
        match self.get(name) {
            Some(Value::String(text)) if !text.is_empty() => Ok(text),
            Some(other) => Err(self.error(name, ValueError::NotText(other.clone()))),
            None => Err(self.error(name, ValueError::Missing)),
        }
    }

    pub(super) fn address(&self, name: &str) -> Result<SocketAddr, ConfigError> {
        let text = self.text(name)?;
        text.parse()
            .map_err(|_| self.error(name, ValueError::NotAddress(text.into())))
    }

    pub(super) fn hex(&self, name: &str) -> Result<u64, ConfigError> {
        let text = self.text(name)?;
        u64::from_str_radix(text, 16).map_err(|_| self.error(name, ValueError::NotHex(text.into())))
    }

    /// Returns the integer part of the number at a path, which must be within the range.
    pub(super) fn number(
        &self,
        path: &[&str],
        range: RangeInclusive<u64>,
    ) -> Result<u64, ConfigError> {
        let least = *range.start();
        let most = *range.end();
        let mut value = Some(&self.root);
        for name in path {
            value = value.and_then(|value| value.get(name));
        }
        let number = value
            .and_then(Value::as_f64)
            .filter(|number| (least as f64..=most as f64).contains(number));
        number.map(|number| number as u64).ok_or_else(|| {
            let found = value.cloned().unwrap_or(Value::Null);
            let problem = ValueError::OutOfRange { least, most, found };
            self.error(&path.join("."), problem)
        })
    }
}
