//! Response bodies generated from a seed, which the load generator verifies byte by byte without a digest in a header.

use xxhash_rust::xxh3;

/// Returns the seed of the response body for a request id and a path; the path has neither the service nor the query.
#[must_use]
pub fn seed(request_id: &str, path: &str) -> u64 {
    xxh3::xxh3_64(format!("{request_id}\n{path}").as_bytes())
}

/// Fills `buffer` with the bytes of the body that start at `offset`.
pub fn fill(seed: u64, offset: u64, buffer: &mut [u8]) {
    let skipped = usize::try_from(offset % 8).unwrap_or(0);
    let head = if skipped == 0 {
        0
    } else {
        (8 - skipped).min(buffer.len())
    };
    let (first, rest) = buffer.split_at_mut(head);
    first.copy_from_slice(&block_at(seed, offset / 8)[skipped % 8..][..head]);
    for (block, bytes) in (offset.div_ceil(8)..).zip(rest.chunks_mut(8)) {
        let length = bytes.len();
        bytes.copy_from_slice(&block_at(seed, block)[..length]);
    }
}

/// Returns whether `bytes` equal those of the body that start at `offset`.
#[must_use]
pub fn matches(seed: u64, offset: u64, bytes: &[u8]) -> bool {
    let mut expected = vec![0; bytes.len()];
    fill(seed, offset, &mut expected);
    expected == bytes
}

/// Returns a block of eight bytes: `SplitMix64` of its number, so that blocks differ and each one can be generated
/// without those before it.
fn block_at(seed: u64, block: u64) -> [u8; 8] {
    let mut mixed = seed.wrapping_add(block.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)).to_le_bytes()
}
