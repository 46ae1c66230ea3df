//! Splits one rule into words and reads its `key=value` fields.

use std::str::FromStr;
use std::time::Duration;

use crate::report::Fault;

/// The words of one rule, with their places.
pub(super) struct Fields<'a> {
    words: Vec<(usize, &'a str)>,
    end: usize,
}

impl<'a> Fields<'a> {
    /// Splits at blanks.
    pub(super) fn split(text: &'a str) -> Self {
        let base = text.as_ptr().addr();
        let words = text.split_ascii_whitespace();
        let words = words.map(|w| (w.as_ptr().addr() - base, w)).collect();
        let end = text.trim_end().len();
        Self { words, end }
    }

    /// Takes the next word, or says what was expected there.
    pub(super) fn word(&mut self, expected: &str) -> Result<(usize, &'a str), Fault> {
        if self.words.is_empty() {
            return Err(Fault::new(self.end, 0, format!("expected {expected}")));
        }
        Ok(self.words.remove(0))
    }

    /// Takes the next word and parses it.
    pub(super) fn name<T>(&mut self, expected: &str) -> Result<T, Fault>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let (at, word) = self.word(expected)?;
        parse_at(at, word, word)
    }

    /// Takes `key=value` where it is present.
    pub(super) fn optional<T>(&mut self, key: &str) -> Result<Option<T>, Fault>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let is_key = |word: &str| word.split_once('=').is_some_and(|(k, _)| k == key);
        let Some(found) = self.words.iter().position(|(_, w)| is_key(w)) else {
            return Ok(None);
        };
        let (at, word) = self.words.remove(found);
        let value = &word[key.len() + 1..];
        parse_at(at, word, value).map(Some)
    }

    /// Takes `key=value`, which must be present.
    pub(super) fn required<T>(&mut self, key: &str) -> Result<T, Fault>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let missing = || Fault::new(self.end, 0, format!("expected {key}=…"));
        let missing = missing();
        self.optional(key)?.ok_or(missing)
    }

    /// Fails on words that nothing took.
    pub(super) fn finish(self) -> Result<(), Fault> {
        match self.words.first() {
            None => Ok(()),
            Some((at, word)) => Err(Fault::new(
                *at,
                word.len(),
                format!("{word:?} isn't known here"),
            )),
        }
    }
}

fn parse_at<T>(at: usize, word: &str, value: &str) -> Result<T, Fault>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let parsed = value.parse();
    parsed.map_err(|error: T::Err| Fault::new(at, word.len(), error.to_string()))
}

/// A comma-separated list.
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

/// A time with its unit: `540ms` or `20s`.
pub(super) struct Span(pub(super) Duration);

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bad = || format!("expected a time like 540ms or 20s, not {text:?}");
        let (digits, unit) = match text.strip_suffix("ms") {
            Some(digits) => (digits, 1),
            None => (text.strip_suffix('s').ok_or_else(bad)?, 1000),
        };
        let number: u32 = digits.parse().map_err(|_| bad())?;
        Ok(Self(Duration::from_millis(u64::from(number) * unit)))
    }
}
