//! Reads fields from a JSON object and collects every fault on the way.

use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use serde_json::{Map, Value};

use crate::report::{Fault, Report};

/// A cursor over one JSON object of a settings file.
pub(super) struct Reader<'a> {
    name: &'a str,
    text: &'a str,
    /// Where the object starts, for finding the place of its keys.
    start: usize,
    fields: Map<String, Value>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Parses the text as one object.
    pub(super) fn open(name: &'a str, text: &'a str) -> Result<Self, Box<Report>> {
        let at = |error: &serde_json::Error| offset(text, error.line(), error.column());
        let parsed = serde_json::from_str(text).map_err(|error| {
            let (at, message) = (at(&error), error.to_string());
            Report::new(name, "settings", text, vec![Fault::new(at, 0, message)])
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

    /// Reports the faults, with the keys that nothing took among them.
    pub(super) fn finish(mut self) -> Result<(), Box<Report>> {
        self.reject_rest();
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(Report::new(self.name, "settings", self.text, self.faults))
    }

    fn reject_rest(&mut self) {
        let rest: Vec<_> = self.fields.keys().cloned().collect();
        for key in rest {
            let at = self.place(&key);
            let message = format!("{key:?} isn't a setting");
            self.faults.push(Fault::new(at, 1, message));
        }
    }

    fn place(&self, key: &str) -> usize {
        let quoted = format!("\"{key}\"");
        let found = self.text[self.start..].find(&quoted);
        found.map_or(self.start, |at| self.start + at)
    }

    fn fault(&mut self, key: &str, message: String) {
        let at = self.place(key);
        self.faults.push(Fault::new(at, 1, message));
    }

    /// Reads a nested object, which may be left out when all of its fields may.
    pub(super) fn section<T>(
        &mut self,
        key: &str,
        read: impl FnOnce(&mut Reader<'a>) -> Option<T>,
    ) -> Option<T> {
        let fields = match self.fields.shift_remove(key) {
            None => Map::new(),
            Some(Value::Object(fields)) => fields,
            Some(_) => {
                self.fault(key, format!("{key}: expected an object"));
                return None;
            }
        };
        let mut inner = Reader {
            name: self.name,
            text: self.text,
            start: self.place(key),
            fields,
            faults: Vec::new(),
        };
        let value = read(&mut inner);
        inner.reject_rest();
        self.faults.append(&mut inner.faults);
        value
    }

    /// Reads a text that must be there.
    pub(super) fn required<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        if !self.fields.contains_key(key) {
            let at = self.start;
            let message = format!("{key} is missing: expected {expected}");
            self.faults.push(Fault::new(at, 1, message));
            return None;
        }
        self.optional(key, expected)
    }

    /// Reads a text that may be left out.
    pub(super) fn optional<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let value = self.fields.shift_remove(key)?;
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.fault(key, format!("{key}: expected {expected}, not {value}"));
        }
        parsed
    }

    /// Reads a whole number within a range, or takes the default.
    pub(super) fn number(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.fields.shift_remove(key) else {
            return default;
        };
        let parsed = value.as_u64().filter(|n| range.contains(n));
        if parsed.is_none() {
            let (low, high) = (range.start(), range.end());
            let message = format!("{key}: expected a number from {low} to {high}, not {value}");
            self.fault(key, message);
        }
        parsed.unwrap_or(default)
    }

    /// Reads a time in milliseconds.
    pub(super) fn millis(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, default, range))
    }

    /// Reads a yes or no.
    pub(super) fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.fields.shift_remove(key) {
            None => default,
            Some(Value::Bool(flag)) => flag,
            Some(value) => {
                self.fault(key, format!("{key}: expected true or false, not {value}"));
                default
            }
        }
    }
}

/// Turns the parser's line and column into a byte offset.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let lines = text.split_inclusive('\n').take(line.saturating_sub(1));
    let before: usize = lines.map(str::len).sum();
    (before + column.saturating_sub(1)).min(text.len())
}
