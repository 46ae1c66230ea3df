//! The text that the engine generates, one word per token.

use fescue_core::hash;

/// Length in bytes of the text that counts as one token.
const TOKEN_BYTES: usize = 4;

/// Returns the number of tokens in a text of `bytes` bytes, rounded up.
pub fn token_count(bytes: usize) -> u64 {
    bytes.div_ceil(TOKEN_BYTES) as u64
}

/// Returns the text of the token at `index` in the completion of `prompt` by a software version.
///
/// The text is a hash of the three, so that a test notices tokens that belong to the completion of
/// another prompt or were written by another version.
pub fn completion_token(prompt: &[u8], version: &str, index: u64) -> String {
    let text = hash::score(hash::digest64(prompt), hash::digest64(version.as_bytes()));
    let digest = hash::score(text, index);
    format!("w{:03x} ", digest & 0xfff)
}
