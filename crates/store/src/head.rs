//! Checks of response heads that the HTTP client does not make.

use http::{HeaderMap, Response, StatusCode, Version, header};
use hyper::ext::ReasonPhrase;

/// Length of the start of a status line: the version, a space and the status.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200".len();

/// Returns whether a response has a single head.
///
/// A server that stops inside a head and writes another one yields a head that mixes both: the status of
/// the first, and headers of the second. It is well formed where the first one ends inside its reason or
/// the value of a header, which then holds the status line of the second.
pub fn is_single<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let reason = reason.map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(|value| value.as_bytes());
    !values.chain(reason).any(holds_status_line)
}

fn holds_status_line(text: &[u8]) -> bool {
    let mut starts = text.windows(STATUS_LINE_BYTES);
    starts.any(|start| {
        let (version, status) = start.split_at(b"HTTP/1.".len());
        version == b"HTTP/1."
            && status[0].is_ascii_digit()
            && status[1] == b' '
            && status[2..].iter().all(u8::is_ascii_digit)
    })
}

/// Returns whether a body ends where its connection does, since it has neither a length nor chunks.
pub fn is_unframed(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether an empty body may have been lost: it ends where its connection does, and the server had
/// not said that it would close that.
pub fn may_lack_body(version: Version, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::RESET_CONTENT].contains(&status);
    let closes = headers.get_all(header::CONNECTION).iter().any(|value| {
        let mut options = value.as_bytes().split(|byte| *byte == b',');
        options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
    });
    status.is_success()
        && !bodiless
        && version == Version::HTTP_11
        && !closes
        && is_unframed(headers)
}
