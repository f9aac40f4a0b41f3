//! A deterministic pseudo-random generator.
//!
//! Decisions are pure functions: the caller passes in one random number, which
//! seeds a SplitMix64 generator where a decision needs several.

/// The SplitMix64 generator; not for cryptographic use.
#[derive(Debug, Clone)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator whose sequence is determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns the next integer in `0..end`, or 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        ((u128::from(self.next_u64()) * end as u128) >> 64) as usize
    }

    /// Returns the next number in `0.0..1.0`.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
