//! Guards against log lines of two processes that are mixed or lost where both write to one pipe.

use std::io::{self, Write};

use fescue_gateway::logs::Batches;

/// The bytes that a pipe takes at once, undivided.
const PIPE_BUF: usize = 4096;

/// Records each write.
#[derive(Debug, Default)]
struct Recorder(Vec<Vec<u8>>);

impl Write for Recorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines of different lengths, and returns them and the writes that they became.
fn write_lines(lengths: impl Iterator<Item = usize>) -> (Vec<u8>, Vec<Vec<u8>>) {
    let mut batches = Batches::new(Recorder::default());
    let mut all = Vec::new();
    for length in lengths {
        let line = format!("{}\n", "x".repeat(length));
        all.extend_from_slice(line.as_bytes());
        batches
            .write_all(line.as_bytes())
            .expect("the recorder takes all");
    }
    batches.flush().expect("the recorder takes all");
    let writes = batches.output().0.iter().filter(|write| !write.is_empty());
    (all, writes.cloned().collect())
}

/// A batch of many lines was one write of up to 64 KiB, which a pipe shared with other processes divides.
#[test]
fn batches_of_many_lines_are_divided_between_lines() {
    let (all, writes) = write_lines((0..2000).map(|number| 100 + number * 37 % 700));
    assert_eq!(writes.concat(), all, "each line is written once, in order");
    for write in writes {
        assert!(write.len() <= PIPE_BUF, "a write of {} bytes", write.len());
        assert!(write.ends_with(b"\n"), "a write ends within a line");
    }
}

/// A line that no pipe takes at once must not take other lines along.
#[test]
fn batches_write_a_long_line_alone() {
    let (all, writes) = write_lines([10, 3 * PIPE_BUF, 10].into_iter());
    assert_eq!(writes.concat(), all);
    let lengths: Vec<_> = writes.iter().map(Vec::len).collect();
    assert_eq!(lengths, [11, 3 * PIPE_BUF + 1, 11]);
}
