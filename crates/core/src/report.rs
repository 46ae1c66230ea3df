//! Reports that list all faults of a rules or settings file, each with its position.

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

/// One fault in a text, with the byte range that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    offset: usize,
    len: usize,
    message: String,
}

impl Fault {
    /// Creates a fault that concerns `len` bytes from the byte `offset` on.
    pub fn new(offset: usize, len: usize, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            offset,
            len,
            message,
        }
    }

    /// Moves the fault by a number of bytes, from a position in its line to one in the whole text.
    pub fn shift(mut self, by: usize) -> Self {
        self.offset += by;
        self
    }
}

/// All faults of one text, printable as a list or as annotated source.
#[derive(Debug, thiserror::Error)]
#[error("{name}: {kind} with {}:{}", fault_count(faults.len()), self.list_faults())]
pub struct Report {
    name: String,
    kind: &'static str,
    text: NamedSource<String>,
    faults: Vec<Fault>,
}

fn fault_count(faults: usize) -> String {
    match faults {
        1 => "one fault".to_owned(),
        n => format!("{n} faults"),
    }
}

impl Report {
    /// Creates the report on `text`, read from the file `name`; `kind` says what the file holds.
    ///
    /// The faults are sorted by their position.
    pub fn new(name: &str, kind: &'static str, text: &str, mut faults: Vec<Fault>) -> Box<Self> {
        faults.sort_by_key(|fault| fault.offset);
        let text = NamedSource::new(name, text.to_owned());
        let name = name.to_owned();
        Box::new(Self {
            name,
            kind,
            text,
            faults,
        })
    }

    fn list_faults(&self) -> String {
        let text = self.text.inner();
        let row = |fault: &Fault| {
            let before = &text.as_bytes()[..fault.offset.min(text.len())];
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
        let label = |f: &Fault| LabeledSpan::new(Some(f.message.clone()), f.offset, f.len);
        Some(Box::new(self.faults.iter().map(label)))
    }
}
