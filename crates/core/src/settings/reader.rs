//! A reader of the fields of a JSON object that collects all faults instead of stopping at one.

use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use serde_json::{Map, Value};

use crate::report::{Fault, Report};

/// A reader of one JSON object of a settings file.
///
/// Fields are removed as they are read, so that those left over are the unknown ones.
pub(super) struct Reader<'a> {
    name: &'a str,
    text: &'a str,
    /// The byte offset from which the object's keys are searched for in the text.
    start: usize,
    fields: Map<String, Value>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Parses the text, which must be one JSON object.
    pub(super) fn open(name: &'a str, text: &'a str) -> Result<Self, Box<Report>> {
        let offset = |error: &serde_json::Error| byte_offset(text, error.line(), error.column());
        let parsed = serde_json::from_str(text).map_err(|error| {
            let (offset, message) = (offset(&error), error.to_string());
            Report::new(name, "settings", text, vec![Fault::new(offset, 0, message)])
        })?;
        let Value::Object(fields) = parsed else {
            return Err(Report::new(
                name,
                "settings",
                text,
                vec![Fault::new(0, 0, "expected an object")],
            ));
        };
        let (start, faults) = (0, Vec::new());
        Ok(Self {
            name,
            text,
            start,
            fields,
            faults,
        })
    }

    /// Returns a report if there are faults; keys that were not read are faults too.
    pub(super) fn finish(mut self) -> Result<(), Box<Report>> {
        self.reject_unknown_keys();
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(Report::new(self.name, "settings", self.text, self.faults))
    }

    fn reject_unknown_keys(&mut self) {
        let unknown: Vec<_> = self.fields.keys().cloned().collect();
        for key in unknown {
            let offset = self.key_offset(&key);
            let message = format!("{key:?} isn't a setting");
            self.faults.push(Fault::new(offset, 1, message));
        }
    }

    fn key_offset(&self, key: &str) -> usize {
        let quoted = format!("\"{key}\"");
        let found = self.text[self.start..].find(&quoted);
        found.map_or(self.start, |offset| self.start + offset)
    }

    /// Adds a fault at the position of a key, or of the section if it has no such key.
    pub(super) fn add_fault(&mut self, key: &str, message: String) {
        let offset = self.key_offset(key);
        self.faults.push(Fault::new(offset, 1, message));
    }

    /// Reads a nested object; an absent one is read as empty, so its optional fields take defaults.
    pub(super) fn section<T>(
        &mut self,
        key: &str,
        read: impl FnOnce(&mut Reader<'a>) -> Option<T>,
    ) -> Option<T> {
        let fields = match self.fields.shift_remove(key) {
            None => Map::new(),
            Some(Value::Object(fields)) => fields,
            Some(_) => {
                self.add_fault(key, format!("{key}: expected an object"));
                return None;
            }
        };
        let mut inner = Reader {
            name: self.name,
            text: self.text,
            start: self.key_offset(key),
            fields,
            faults: Vec::new(),
        };
        let value = read(&mut inner);
        inner.reject_unknown_keys();
        self.faults.append(&mut inner.faults);
        value
    }

    /// Reads a string that must be present.
    pub(super) fn required<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        if !self.fields.contains_key(key) {
            let offset = self.start;
            let message = format!("{key} is missing: expected {expected}");
            self.faults.push(Fault::new(offset, 1, message));
            return None;
        }
        self.optional(key, expected)
    }

    /// Reads a string that may be absent.
    pub(super) fn optional<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let value = self.fields.shift_remove(key)?;
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.add_fault(key, format!("{key}: expected {expected}, not {value}"));
        }
        parsed
    }

    /// Reads an integer within a range; an absent one takes the default.
    pub(super) fn number(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.fields.shift_remove(key) else {
            return default;
        };
        let parsed = value.as_u64().filter(|n| range.contains(n));
        if parsed.is_none() {
            let (low, high) = (range.start(), range.end());
            let message = format!("{key}: expected a number from {low} to {high}, not {value}");
            self.add_fault(key, message);
        }
        parsed.unwrap_or(default)
    }

    /// Reads a duration given as an integer number of milliseconds.
    pub(super) fn millis(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, default, range))
    }

    /// Reads a boolean; an absent one takes the default.
    pub(super) fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.fields.shift_remove(key) {
            None => default,
            Some(Value::Bool(flag)) => flag,
            Some(value) => {
                self.add_fault(key, format!("{key}: expected true or false, not {value}"));
                default
            }
        }
    }
}

/// Converts a line and column of the parser, both counted from 1, into a byte offset.
fn byte_offset(text: &str, line: usize, column: usize) -> usize {
    let lines = text.split_inclusive('\n').take(line.saturating_sub(1));
    let before: usize = lines.map(str::len).sum();
    (before + column.saturating_sub(1)).min(text.len())
}
