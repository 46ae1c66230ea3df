//! What the engine answers: words that name the request that they belong to.

use fescue_core::hash;

/// The bytes of text that count as one token.
const TOKEN_BYTES: usize = 4;

/// Returns the tokens of some bytes of text.
pub fn token_count(bytes: usize) -> u64 {
    bytes.div_ceil(TOKEN_BYTES) as u64
}

/// Returns the word at one index of a request's answer.
///
/// It is derived from the prompt, so that a part of another's answer is noticed.
pub fn completion_token(prompt: &[u8], index: u64) -> String {
    let digest = hash::score(hash::short(prompt), index);
    format!("w{:03x} ", digest & 0xfff)
}
