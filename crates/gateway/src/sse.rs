//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<String>,
}

/// The largest event, in bytes; one that is larger breaks the stream.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes until they make whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Up to where the buffer was searched.
    searched: usize,
}

impl Splitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes out the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let start = self.searched.saturating_sub(3);
        let end = find_end(&self.buffer[start..]).map(|end| start + end);
        let Some(end) = end else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = find_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether bytes of an event wait for the rest of it.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether an event is larger than allowed.
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Returns where the first blank line ends.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(found) = bytes[at..].iter().position(|b| *b == b'\n') {
        at += found + 1;
        match &bytes[at..] {
            [b'\n', ..] => return Some(at + 1),
            [b'\r', b'\n', ..] => return Some(at + 2),
            _ => {}
        }
    }
    None
}

fn find_id(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let mut lines = text.lines().filter_map(|line| line.strip_prefix("id:"));
    lines.next().map(|id| id.trim().to_owned())
}
