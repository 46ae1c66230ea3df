//! What the engine answers: words that name the request that they belong to.

use fescue_core::hash;

/// The bytes of text that count as one token.
const TOKEN_BYTES: usize = 4;

/// Returns the tokens of some bytes of text.
pub fn tokens(bytes: usize) -> u64 {
    bytes.div_ceil(TOKEN_BYTES) as u64
}

/// Returns the word at one place of a request's answer.
///
/// It is derived from the prompt, so that a part of another's answer is noticed.
pub fn word(prompt: &[u8], place: u64) -> String {
    let digest = hash::score(hash::digest64(prompt), place);
    format!("w{:03x} ", digest & 0xfff)
}
