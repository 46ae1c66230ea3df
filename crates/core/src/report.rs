//! Faults of a text that a person wrote, each with its place, reported all at once.

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

/// One fault, with the bytes of the text that it is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    at: usize,
    len: usize,
    message: String,
}

impl Fault {
    /// Reports `message` about `len` bytes at `at`.
    pub fn new(at: usize, len: usize, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { at, len, message }
    }

    /// Moves the fault, when its line is placed in a longer text.
    pub fn shift(mut self, by: usize) -> Self {
        self.at += by;
        self
    }
}

/// All faults of one text.
#[derive(Debug, thiserror::Error)]
#[error("{name}: {what} with {}:{}", count(faults.len()), self.listing())]
pub struct Report {
    name: String,
    what: &'static str,
    text: NamedSource<String>,
    faults: Vec<Fault>,
}

fn count(faults: usize) -> String {
    match faults {
        1 => "one fault".to_owned(),
        n => format!("{n} faults"),
    }
}

impl Report {
    /// Reports the faults of `text`, which is `what` and comes from the file `name`.
    pub fn new(name: &str, what: &'static str, text: &str, mut faults: Vec<Fault>) -> Box<Self> {
        faults.sort_by_key(|fault| fault.at);
        let text = NamedSource::new(name, text.to_owned());
        let name = name.to_owned();
        Box::new(Self {
            name,
            what,
            text,
            faults,
        })
    }

    fn listing(&self) -> String {
        let text = self.text.inner();
        let row = |fault: &Fault| {
            let before = &text.as_bytes()[..fault.at.min(text.len())];
            let line = before.iter().filter(|b| **b == b'\n').count() + 1;
            let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
            format!("\n  line {line}, column {column}: {}", fault.message)
        };
        self.faults.iter().map(row).collect()
    }
}

impl Diagnostic for Report {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.text)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = |f: &Fault| LabeledSpan::new(Some(f.message.clone()), f.at, f.len);
        Some(Box::new(self.faults.iter().map(label)))
    }
}
