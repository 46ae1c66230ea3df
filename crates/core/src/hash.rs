//! Hash functions that must give the same values on all routers of a fleet.
//!
//! The values are stored and compared between processes, so the algorithm (XXH3) must not change.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Hashes bytes to 64 bits, for fingerprints and placement.
pub fn digest64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes bytes to 128 bits, for keys where a collision would merge the bills of two requests.
pub fn digest128(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Returns the rendezvous score of a member for a key; the member with the highest score owns it.
///
/// When a member leaves, only the keys that it owned move to other members.
pub fn score(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Returns the SHA-256 digest of a team's key in lower-case hex, as rules store it.
pub fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
