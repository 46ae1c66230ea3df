//! The text that the engine generates, one word per token.

use fescue_core::hash;

/// Length in bytes of the text that counts as one token.
const TOKEN_BYTES: usize = 4;

/// Returns the number of tokens in a text of `bytes` bytes, rounded up.
pub fn token_count(bytes: usize) -> u64 {
    bytes.div_ceil(TOKEN_BYTES) as u64
}

/// Returns the text of the token at `index` in the completion of `prompt`.
///
/// The text is a hash of the prompt and the index, so that a test notices tokens that belong to
/// the completion of another prompt.
pub fn completion_token(prompt: &[u8], index: u64) -> String {
    let digest = hash::score(hash::digest64(prompt), index);
    format!("w{:03x} ", digest & 0xfff)
}
