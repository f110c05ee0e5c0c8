//! The fields of a line: tokens of the form `name=value`.

use super::error::SyntaxFault;
use std::str::FromStr;
use std::sync::Arc;

/// The fields of a line that have not been read yet.
pub(super) struct Fields<'a> {
    unread: Vec<Field<'a>>,
}

struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

impl<'a> Fields<'a> {
    /// Splits tokens into fields. Returns an error if a token has no `=`.
    pub fn parse(tokens: &[&'a str]) -> Result<Self, SyntaxFault> {
        let mut unread = Vec::with_capacity(tokens.len());
        for token in tokens {
            let Some((name, value)) = token.split_once('=') else {
                let token = token.to_string();
                return Err(SyntaxFault::NotAField { token });
            };
            unread.push(Field { name, value });
        }
        Ok(Fields { unread })
    }

    /// Removes and returns the value of a field; `None` if the line does not have the field.
    pub fn take(&mut self, name: &str) -> Option<&'a str> {
        let index = self.unread.iter().position(|field| field.name == name)?;
        Some(self.unread.remove(index).value)
    }

    /// Parses the value of a field into `to`. Does not change `to` if the line does not have the
    /// field.
    pub fn read<T: FromStr>(&mut self, name: &'static str, to: &mut T) -> Result<(), SyntaxFault> {
        if let Some(text) = self.take(name) {
            *to = parse_value(name, text)?;
        }
        Ok(())
    }

    /// Parses the comma-separated values of a field into `to`, as [`Fields::read`] does.
    pub fn read_list<T: FromStr>(
        &mut self,
        name: &'static str,
        to: &mut Arc<[T]>,
    ) -> Result<(), SyntaxFault> {
        let Some(text) = self.take(name) else {
            return Ok(());
        };
        let mut values = Vec::new();
        for value in list_items(text) {
            values.push(parse_value(name, value)?);
        }
        *to = values.into();
        Ok(())
    }

    /// Returns an error if the line has a field that was not read. `expected`: the names of all
    /// fields, for the error.
    pub fn end(self, expected: &'static str) -> Result<(), SyntaxFault> {
        match self.unread.first() {
            Some(field) => Err(SyntaxFault::UnknownField {
                name: field.name.to_string(),
                expected,
            }),
            None => Ok(()),
        }
    }
}

/// Splits a comma-separated list, and skips empty items.
pub(super) fn list_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').filter(|item| !item.is_empty())
}

/// Parses the value of a field, or the number of a subject. `name`: names the field in the error.
pub(super) fn parse_value<T: FromStr>(name: &'static str, text: &str) -> Result<T, SyntaxFault> {
    text.parse().map_err(|_| SyntaxFault::BadValue {
        name,
        text: text.to_string(),
    })
}
