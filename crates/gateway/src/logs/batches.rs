//! Log lines that are written together.

use std::io::{self, Write};

/// Maximum number of bytes in one write, unless a single line is longer. A pipe takes as many at once (POSIX
/// `PIPE_BUF`), so that lines of several processes that share it aren't mixed.
const MAX_WRITE_BYTES: usize = 4096;

/// Collects lines and writes them to `output`, each write ending with the end of a line.
#[derive(Debug)]
pub struct Batches<W> {
    lines: Vec<u8>,
    output: W,
}

impl<W: Write> Batches<W> {
    /// Creates a writer without lines.
    pub fn new(output: W) -> Self {
        Self {
            lines: Vec::with_capacity(MAX_WRITE_BYTES),
            output,
        }
    }

    /// Returns where the lines are written to.
    pub fn output(&self) -> &W {
        &self.output
    }

    fn write_lines(&mut self) -> io::Result<()> {
        // The output has taken a part of them if it fails. They aren't repeated, or the part would come twice.
        let written = self.output.write_all(&self.lines);
        self.lines.clear();
        written
    }
}

impl<W: Write> Write for Batches<W> {
    /// Takes over one line, with its end.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.len() + line.len() > MAX_WRITE_BYTES {
            self.write_lines()?;
        }
        self.lines.extend_from_slice(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.write_lines()?;
        self.output.flush()
    }
}
