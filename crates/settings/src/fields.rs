//! Checks the fields of one call. Each check adds a fault with the expected value and continues, so
//! that a file's faults are all reported together.

use serde_json::{Map, Value as Json};
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// The longest duration that a script can state, in milliseconds: about 32 years. A longer one
/// could overflow sums of times.
const MAX_MILLISECONDS: f64 = 1e12;

/// A place in a file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Place {
    /// The file, as its reader named it.
    pub file: String,
    /// The line, counted from 1; 0 if the place is the whole file.
    pub line: usize,
}

impl Place {
    /// Returns a place that names a file without a line.
    pub(crate) fn file(path: &Path) -> Place {
        Place {
            file: path.display().to_string(),
            line: 0,
        }
    }
}

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The fault's place.
    pub place: Place,
    /// The message for operators, with the expected value.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place.line {
            0 => write!(formatter, "{}: {}", self.place.file, self.what),
            line => write!(formatter, "{}:{line}: {}", self.place.file, self.what),
        }
    }
}

/// One call of a script, such as `node(id = 1)`.
#[derive(Debug, Clone)]
pub struct Call {
    /// The call's name.
    pub name: &'static str,
    /// The call's place.
    pub place: Place,
    /// The values of the call's fields by their names.
    pub fields: Map<String, Json>,
}

/// Reads the fields of one call. An absent field has its default value; without a default it is a
/// fault.
#[derive(Debug)]
pub struct Fields<'a> {
    call: &'a Call,
    faults: &'a mut Vec<Fault>,
    known: BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    /// Returns a reader of a call's fields, which adds faults to `faults`.
    pub fn new(call: &'a Call, faults: &'a mut Vec<Fault>) -> Self {
        Fields {
            call,
            faults,
            known: BTreeSet::new(),
        }
    }

    /// Adds a fault of a field.
    pub fn fault(&mut self, field: &str, what: String) {
        let what = format!("{}: field '{field}': {what}", self.call.name);
        self.faults.push(Fault {
            place: self.call.place.clone(),
            what,
        });
    }

    fn get(&mut self, name: &'static str) -> Option<&'a Json> {
        self.known.insert(name);
        self.call.fields.get(name).filter(|value| !value.is_null())
    }

    fn read<T>(
        &mut self,
        name: &'static str,
        default: Option<T>,
        fallback: T,
        expected: &str,
        convert: impl FnOnce(&Json) -> Option<T>,
    ) -> T {
        match (self.get(name), default) {
            (None, Some(default)) => default,
            (None, None) => {
                self.fault(name, format!("missing; expected {expected}"));
                fallback
            }
            (Some(value), _) => convert(value).unwrap_or_else(|| {
                self.fault(name, format!("expected {expected}, found {value}"));
                fallback
            }),
        }
    }

    /// Reads a number within a range.
    pub fn number(&mut self, name: &'static str, default: Option<f64>, range: (f64, f64)) -> f64 {
        let expected = format!("a number from {} to {}", range.0, range.1);
        let parse = |v: &Json| {
            v.as_f64()
                .filter(|n| n.is_finite() && (range.0..=range.1).contains(n))
        };
        self.read(name, default, range.0, &expected, parse)
    }

    /// Reads an integer within a range.
    pub fn integer(&mut self, name: &'static str, default: Option<u64>, range: (u64, u64)) -> u64 {
        let expected = format!("a whole number from {} to {}", range.0, range.1);
        let parse = |v: &Json| v.as_u64().filter(|n| (range.0..=range.1).contains(n));
        self.read(name, default, range.0, &expected, parse)
    }

    /// Reads a duration of at most `max`.
    pub fn duration(
        &mut self,
        name: &'static str,
        default: Option<Duration>,
        max: Duration,
    ) -> Duration {
        let expected = format!("a time such as ms(250) or s(2), at most {max:?}");
        self.read(name, default, Duration::ZERO, &expected, |v| {
            duration_of(v).filter(|d| *d <= max)
        })
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, name: &'static str, default: Option<bool>) -> bool {
        self.read(name, default, false, "True or False", Json::as_bool)
    }

    /// Reads a text that is not empty.
    pub fn text(&mut self, name: &'static str, default: Option<&str>) -> String {
        let parse = |v: &Json| v.as_str().filter(|s| !s.is_empty()).map(str::to_string);
        self.read(
            name,
            default.map(str::to_string),
            String::new(),
            "a text",
            parse,
        )
    }

    /// Reads a text; None if the field is absent or invalid.
    pub fn optional_text(&mut self, name: &'static str) -> Option<String> {
        self.get(name)?;
        Some(self.text(name, None)).filter(|t| !t.is_empty())
    }

    /// Reads one of the names, and returns its index among them.
    pub fn one_of(&mut self, name: &'static str, default: Option<usize>, names: &[&str]) -> usize {
        let expected = format!("one of {}", names.join(", "));
        let parse = |v: &Json| v.as_str().and_then(|s| names.iter().position(|n| *n == s));
        self.read(name, default, 0, &expected, parse)
    }

    /// Reads a list of some of the names, and returns their indices.
    pub fn some_of(&mut self, name: &'static str, names: &[&str]) -> Vec<usize> {
        let expected = format!("a list of some of {}", names.join(", "));
        let parse_item = |v: &Json| v.as_str().and_then(|s| names.iter().position(|n| *n == s));
        let parse = |v: &Json| {
            v.as_array()
                .and_then(|all| all.iter().map(parse_item).collect())
        };
        self.read(name, Some(Vec::new()), Vec::new(), &expected, parse)
    }

    /// Reads a list of integers up to `max`.
    pub fn numbers(&mut self, name: &'static str, max: u64) -> Vec<u64> {
        let expected = format!("a list of whole numbers up to {max}");
        let parse_item = |v: &Json| v.as_u64().filter(|n| *n <= max);
        let parse = |v: &Json| {
            v.as_array()
                .and_then(|all| all.iter().map(parse_item).collect())
        };
        self.read(name, Some(Vec::new()), Vec::new(), &expected, parse)
    }

    /// Returns the value of a field without a check.
    pub fn raw(&mut self, name: &'static str) -> Option<&'a Json> {
        self.get(name)
    }

    /// Ends the call. A field that was not read is a fault; otherwise a misspelt field would be
    /// ignored silently.
    pub fn finish(self) {
        let known = self.known.iter().copied().collect::<Vec<_>>().join(", ");
        for name in self
            .call
            .fields
            .keys()
            .filter(|n| !self.known.contains(n.as_str()))
        {
            let what = format!(
                "{}: field '{name}': not known; expected one of {known}",
                self.call.name
            );
            self.faults.push(Fault {
                place: self.call.place.clone(),
                what,
            });
        }
    }
}

/// Returns a duration as `ms()` and `s()` make it; None for any other value.
pub fn duration_of(value: &Json) -> Option<Duration> {
    let milliseconds = value
        .as_object()
        .filter(|object| object.len() == 1)?
        .get("ms")?
        .as_f64()?;
    (0.0..=MAX_MILLISECONDS)
        .contains(&milliseconds)
        .then(|| Duration::from_secs_f64(milliseconds / 1000.0))
}
