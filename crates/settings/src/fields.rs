//! Checks on the fields of one call: each says what it expected and goes on, so that all faults
//! come at once.

use serde_json::{Map, Value as Json};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Place {
    pub file: String,
    pub line: usize,
}

/// One fault of a file: where, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub place: Place,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place.line {
            0 => write!(f, "{}: {}", self.place.file, self.what),
            line => write!(f, "{}:{line}: {}", self.place.file, self.what),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Call {
    pub what: &'static str,
    pub place: Place,
    pub fields: Map<String, Json>,
}

/// Reads one call. A field that is absent takes its default; without one it is a fault.
#[derive(Debug)]
pub struct Fields<'a> {
    call: &'a Call,
    faults: &'a mut Vec<Fault>,
    known: BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    pub fn of(call: &'a Call, faults: &'a mut Vec<Fault>) -> Self {
        Fields {
            call,
            faults,
            known: BTreeSet::new(),
        }
    }

    pub fn fault(&mut self, field: &str, what: String) {
        let what = format!("{}: field '{field}': {what}", self.call.what);
        self.faults.push(Fault {
            place: self.call.place.clone(),
            what,
        });
    }

    fn get(&mut self, name: &'static str) -> Option<&'a Json> {
        self.known.insert(name);
        self.call.fields.get(name).filter(|v| !v.is_null())
    }

    fn read<T>(
        &mut self,
        name: &'static str,
        default: Option<T>,
        blank: T,
        expected: &str,
        as_t: impl FnOnce(&Json) -> Option<T>,
    ) -> T {
        match (self.get(name), default) {
            (None, Some(d)) => d,
            (None, None) => {
                self.fault(name, format!("missing; expected {expected}"));
                blank
            }
            (Some(v), _) => as_t(v).unwrap_or_else(|| {
                self.fault(name, format!("expected {expected}, found {v}"));
                blank
            }),
        }
    }

    pub fn number(&mut self, name: &'static str, default: Option<f64>, range: (f64, f64)) -> f64 {
        let expected = format!("a number from {} to {}", range.0, range.1);
        let fits = |v: &Json| {
            v.as_f64()
                .filter(|n| n.is_finite() && (range.0..=range.1).contains(n))
        };
        self.read(name, default, range.0, &expected, fits)
    }

    pub fn whole(&mut self, name: &'static str, default: Option<u64>, range: (u64, u64)) -> u64 {
        let expected = format!("a whole number from {} to {}", range.0, range.1);
        let fits = |v: &Json| v.as_u64().filter(|n| (range.0..=range.1).contains(n));
        self.read(name, default, range.0, &expected, fits)
    }

    pub fn span(
        &mut self,
        name: &'static str,
        default: Option<Duration>,
        most: Duration,
    ) -> Duration {
        let expected = format!("a time such as ms(250) or s(2), at most {most:?}");
        self.read(name, default, Duration::ZERO, &expected, |v| {
            span_of(v).filter(|d| *d <= most)
        })
    }

    pub fn flag(&mut self, name: &'static str, default: Option<bool>) -> bool {
        self.read(name, default, false, "True or False", Json::as_bool)
    }

    pub fn text(&mut self, name: &'static str, default: Option<&str>) -> String {
        let fits = |v: &Json| v.as_str().filter(|s| !s.is_empty()).map(str::to_string);
        self.read(
            name,
            default.map(str::to_string),
            String::new(),
            "a text",
            fits,
        )
    }

    pub fn maybe_text(&mut self, name: &'static str) -> Option<String> {
        self.get(name)?;
        Some(self.text(name, None)).filter(|t| !t.is_empty())
    }

    /// One of the names; answers its place among them.
    pub fn one_of(&mut self, name: &'static str, default: Option<usize>, names: &[&str]) -> usize {
        let expected = format!("one of {}", names.join(", "));
        let fits = |v: &Json| v.as_str().and_then(|s| names.iter().position(|n| *n == s));
        self.read(name, default, 0, &expected, fits)
    }

    /// Several of the names; answers their places.
    pub fn some_of(&mut self, name: &'static str, names: &[&str]) -> Vec<usize> {
        let expected = format!("a list of some of {}", names.join(", "));
        let each = |v: &Json| v.as_str().and_then(|s| names.iter().position(|n| *n == s));
        let fits = |v: &Json| v.as_array().and_then(|all| all.iter().map(each).collect());
        self.read(name, Some(Vec::new()), Vec::new(), &expected, fits)
    }

    pub fn numbers(&mut self, name: &'static str, most: u64) -> Vec<u64> {
        let expected = format!("a list of whole numbers up to {most}");
        let each = |v: &Json| v.as_u64().filter(|n| *n <= most);
        let fits = |v: &Json| v.as_array().and_then(|all| all.iter().map(each).collect());
        self.read(name, Some(Vec::new()), Vec::new(), &expected, fits)
    }

    pub fn raw(&mut self, name: &'static str) -> Option<&'a Json> {
        self.get(name)
    }

    /// Whatever no reader asked for is a fault, since a misspelt field would be silently lost.
    pub fn end(self) {
        let known = self.known.iter().copied().collect::<Vec<_>>().join(", ");
        for name in self
            .call
            .fields
            .keys()
            .filter(|n| !self.known.contains(n.as_str()))
        {
            let what = format!(
                "{}: field '{name}': not known; expected one of {known}",
                self.call.what
            );
            self.faults.push(Fault {
                place: self.call.place.clone(),
                what,
            });
        }
    }
}

/// A span as `ms` and `s` make it.
pub fn span_of(v: &Json) -> Option<Duration> {
    let ms = v
        .as_object()
        .filter(|o| o.len() == 1)?
        .get("ms")?
        .as_f64()?;
    (0.0..=1e12)
        .contains(&ms)
        .then(|| Duration::from_secs_f64(ms / 1000.0))
}
