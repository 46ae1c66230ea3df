//! Hashing that all routers of a fleet agree on.
//!
//! The values are stored and compared between processes, so the function is fixed: XXH3.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Hashes bytes to 64 bits, for fingerprints and placement.
pub fn digest64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes bytes to 128 bits, where a collision would merge two requests' bills.
pub fn digest128(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Scores a member for a key; the member with the highest score owns the key.
///
/// This is rendezvous hashing: when a member goes, only the keys that it owned move.
pub fn score(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Returns the digest by which rules name a team's key, in lower-case hex.
pub fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
