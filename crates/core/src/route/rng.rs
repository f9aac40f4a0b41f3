//! Random numbers drawn from one that the caller supplies.
//!
//! A decision is a pure function, so it is handed a random number and spreads
//! it by splitmix64 where it needs several.

/// A short sequence of random numbers.
#[derive(Debug, Clone)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Starts the sequence that belongs to `seed`.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// The next number, at least 0 and below `end`; 0 where `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        ((u128::from(self.next_u64()) * end as u128) >> 64) as usize
    }

    /// The next number, at least 0 and below 1.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
