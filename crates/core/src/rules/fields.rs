//! A reader of the words and `key=value` fields of one rule.

use std::str::FromStr;
use std::time::Duration;

use crate::report::Fault;

/// The words of one rule that were not read yet, with their byte offsets.
pub(super) struct Fields<'a> {
    words: Vec<(usize, &'a str)>,
    /// The byte offset of the end, where missing words are reported.
    end: usize,
}

impl<'a> Fields<'a> {
    /// Splits a rule at white space.
    pub(super) fn split(text: &'a str) -> Self {
        let base = text.as_ptr().addr();
        let words = text.split_ascii_whitespace();
        let words = words.map(|w| (w.as_ptr().addr() - base, w)).collect();
        let end = text.trim_end().len();
        Self { words, end }
    }

    /// Takes the next word and its offset; if there is none, the fault names what was `expected`.
    pub(super) fn word(&mut self, expected: &str) -> Result<(usize, &'a str), Fault> {
        if self.words.is_empty() {
            return Err(Fault::new(self.end, 0, format!("expected {expected}")));
        }
        Ok(self.words.remove(0))
    }

    /// Takes the next word and parses it as the name in the rule's key.
    pub(super) fn name<T>(&mut self, expected: &str) -> Result<T, Fault>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let (offset, word) = self.word(expected)?;
        parse_value(offset, word, word)
    }

    /// Takes and parses the value of `key=value`, which may be absent.
    pub(super) fn optional<T>(&mut self, key: &str) -> Result<Option<T>, Fault>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let is_key = |word: &str| word.split_once('=').is_some_and(|(k, _)| k == key);
        let Some(index) = self.words.iter().position(|(_, w)| is_key(w)) else {
            return Ok(None);
        };
        let (offset, word) = self.words.remove(index);
        let value = &word[key.len() + 1..];
        parse_value(offset, word, value).map(Some)
    }

    /// Takes and parses the value of `key=value`, which must be present.
    pub(super) fn required<T>(&mut self, key: &str) -> Result<T, Fault>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let missing = || Fault::new(self.end, 0, format!("expected {key}=…"));
        let missing = missing();
        self.optional(key)?.ok_or(missing)
    }

    /// Fails if there are words that were not read.
    pub(super) fn finish(self) -> Result<(), Fault> {
        match self.words.first() {
            None => Ok(()),
            Some((offset, word)) => Err(Fault::new(
                *offset,
                word.len(),
                format!("{word:?} isn't known here"),
            )),
        }
    }
}

fn parse_value<T>(offset: usize, word: &str, value: &str) -> Result<T, Fault>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let parsed = value.parse();
    parsed.map_err(|error: T::Err| Fault::new(offset, word.len(), error.to_string()))
}

/// A comma-separated list of values, such as `urgent,bulk`.
pub(super) struct List<T>(pub(super) Vec<T>);

impl<T: FromStr> FromStr for List<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, T::Err> {
        text.split(',')
            .map(str::parse)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

/// A duration with its unit, such as `540ms` or `20s`.
pub(super) struct DurationValue(pub(super) Duration);

impl FromStr for DurationValue {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("expected a time like 540ms or 20s, not {text:?}");
        let (digits, unit) = match text.strip_suffix("ms") {
            Some(digits) => (digits, 1),
            None => (text.strip_suffix('s').ok_or_else(invalid)?, 1000),
        };
        let number: u32 = digits.parse().map_err(|_| invalid())?;
        Ok(Self(Duration::from_millis(u64::from(number) * unit)))
    }
}
