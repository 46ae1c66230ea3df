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
