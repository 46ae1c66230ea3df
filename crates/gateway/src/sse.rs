//! A splitter of server-sent event streams.

use bytes::{Bytes, BytesMut};

/// A complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The unchanged bytes of the event.
    pub bytes: Bytes,
    /// The value of the `id` field; `None` if the event has none.
    pub id: Option<String>,
}

impl Event {
    /// Returns the number that the `id` field gives the event in its stream. `extension` names a field that
    /// events may have besides those of the format.
    ///
    /// `None` for anything that is not exactly one numbered event, such as the text of an error: text that isn't
    /// UTF-8, a line that is no field, an event without data, or without an id that is a number.
    pub fn number(&self, extension: Option<&str>) -> Option<u64> {
        let text = std::str::from_utf8(&self.bytes).ok()?;
        let (mut number, mut data) = (None, false);
        for line in text.lines().filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            match name {
                "id" if number.is_some() => return None,
                "id" => number = Some(value.trim().parse().ok()?),
                "data" => data = true,
                // A comment has no name.
                "" | "event" | "retry" => {}
                name if extension == Some(name) => {}
                _ => return None,
            }
        }
        number.filter(|_| data)
    }

    /// Returns whether the event holds only comments, which callers skip.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.starts_with(b":") || line.trim_ascii().is_empty())
    }
}

/// The largest event, in bytes; a larger one fails the stream.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Buffers bytes and splits them into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// The length of the prefix of the buffer that has been searched.
    searched: usize,
}

impl Splitter {
    /// Appends bytes in the order in which they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
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

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the buffer exceeds the largest event.
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Returns the offset after the first blank line.
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
