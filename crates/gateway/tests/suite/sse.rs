//! Events are split the same way wherever the byte stream is cut.

use fescue_gateway::sse::Splitter;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid:3\ndata: c\n\n";

fn split(pieces: &[&[u8]]) -> Vec<(String, Option<String>)> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            let text = String::from_utf8(event.bytes.to_vec()).expect("text");
            events.push((text, event.id));
        }
    }
    assert!(!splitter.is_partial());
    events
}

#[test]
fn next_event_independent_of_chunk_size() {
    let whole = split(&[STREAM.as_bytes()]);
    let ids: Vec<_> = whole.iter().map(|(_, id)| id.as_deref()).collect();
    assert_eq!(ids, [Some("1"), Some("2"), None, Some("3")]);
    let joined: String = whole.iter().map(|(text, _)| text.as_str()).collect();
    assert_eq!(joined, STREAM);
    for size in 1..STREAM.len() {
        let pieces: Vec<_> = STREAM.as_bytes().chunks(size).collect();
        assert_eq!(split(&pieces), whole, "pieces of {size} bytes");
    }
}

#[test]
fn next_event_withholds_partial_event() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n");
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_partial());
}

/// Returns the number of the event that a text is.
fn number(text: &[u8]) -> Option<u64> {
    let mut splitter = Splitter::default();
    splitter.push(text);
    splitter.next_event()?.number(Some("x-weights"))
}

#[test]
fn number_of_an_event() {
    let events: [&[u8]; 6] = [
        b"id: 7\ndata: a\n\n",
        b"data:a\r\nid:7\r\n\r\n",
        b": note\nid: 7\ndata\n\n",
        b"event: token\nretry: 10\nid: 7\ndata: a\ndata: b\n\n",
        b"x-weights: 3\nid: 7\ndata: a\n\n",
        "id: 7\ndata: \u{e9}\n\n".as_bytes(),
    ];
    for event in events {
        assert_eq!(number(event), Some(7), "{}", event.escape_ascii());
    }
}

/// Guards against an error's text that passes for an event of a stream.
#[test]
fn number_is_none_for_other_text() {
    let texts: [&[u8]; 14] = [
        b"Internal error: the step failed\n\n",
        b"HTTP/1.1 500 Failure\r\ncontent-length: 0\r\n\r\n",
        b"data: a\n\n",
        b"id: 7\n\n",
        b"id: 7\nInternal error\n\n",
        b"id: 7\nInternal error\ndata: a\n\n",
        b"id: 7\ny-weights: 3\ndata: a\n\n",
        b"id:\ndata: a\n\n",
        b"id: -7\ndata: a\n\n",
        b"id: seven\ndata: a\n\n",
        b"id: 7\nid: 8\ndata: a\n\n",
        b"id: 7\ndata: \xff\n\n",
        b": note\n\n",
        b"\n\n",
    ];
    for text in texts {
        assert_eq!(number(text), None, "{}", text.escape_ascii());
    }
}
