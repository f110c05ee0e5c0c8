//! Reads the calls of a script by their names, and collects all faults.

use crate::fields::{Call, Fault, Fields, Place};
use std::collections::BTreeSet;
use std::fmt::Display;
use std::path::Path;

/// The calls of one script, and the faults that were found so far.
pub(super) struct CallReader<'a> {
    calls: &'a [Call],
    /// The place of the file, for faults that concern no single call.
    file: Place,
    faults: Vec<Fault>,
}

impl<'a> CallReader<'a> {
    /// Returns a reader without faults. `path`: the script's path.
    pub fn new(calls: &'a [Call], path: &Path) -> Self {
        CallReader {
            calls,
            file: Place::file(path),
            faults: Vec::new(),
        }
    }

    /// Returns the value if there is no fault, or all faults.
    pub fn finish<T>(self, value: T) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            Ok(value)
        } else {
            Err(self.faults)
        }
    }

    /// Returns whether the script has a call of that name.
    pub fn has(&self, name: &str) -> bool {
        self.calls.iter().any(|call| call.name == name)
    }

    /// Reads all calls of a name, in their order.
    pub fn each<T>(&mut self, name: &str, mut read: impl FnMut(&mut Fields) -> T) -> Vec<T> {
        let calls = self.calls.iter().filter(|call| call.name == name);
        calls
            .map(|call| read_call(call, &mut self.faults, &mut read))
            .collect()
    }

    /// Reads a call that may occur once. Without the call all its fields have their defaults.
    pub fn once<T>(&mut self, name: &'static str, mut read: impl FnMut(&mut Fields) -> T) -> T {
        let mut places = self.places(name);
        if places.len() > 1 {
            self.faults.push(Fault {
                place: places.swap_remove(1),
                what: format!("{name}: stands a second time; expected one"),
            });
        }
        if let Some(value) = self.each(name, &mut read).into_iter().next() {
            return value;
        }
        let empty_call = Call {
            name,
            place: self.file.clone(),
            fields: Default::default(),
        };
        read_call(&empty_call, &mut self.faults, &mut read)
    }

    /// Adds a fault that concerns no single call.
    pub fn file_fault(&mut self, what: String) {
        let place = self.file.clone();
        self.faults.push(Fault { place, what });
    }

    /// Adds a fault for each call of a name whose identifier an earlier call has. `ids`: the
    /// identifiers of these calls, in order.
    pub fn unique<T: Ord + Display>(&mut self, name: &str, field: &str, ids: Vec<T>) {
        let places = self.places(name);
        let mut seen = BTreeSet::new();
        for (id, place) in ids.into_iter().zip(places) {
            let what =
                format!("{name}: field '{field}': {id} stands a second time; expected each once");
            if !seen.insert(id) {
                self.faults.push(Fault { place, what });
            }
        }
    }

    /// Returns the places of all calls of a name.
    fn places(&self, name: &str) -> Vec<Place> {
        let calls = self.calls.iter().filter(|call| call.name == name);
        calls.map(|call| call.place.clone()).collect()
    }
}

fn read_call<T>(
    call: &Call,
    faults: &mut Vec<Fault>,
    read: &mut impl FnMut(&mut Fields) -> T,
) -> T {
    let mut fields = Fields::new(call, faults);
    let value = read(&mut fields);
    fields.finish();
    value
}
