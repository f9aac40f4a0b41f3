//! Seeds and numbers that environment variables replace, for runs by hand.

/// The seeds that a variable names, as `1..50`, or else these.
pub(crate) fn seeds(variable: &str, default: &[u64]) -> Vec<u64> {
    let parse = |text: String| {
        let (from, to) = text.split_once("..")?;
        Some((from.parse().ok()?..=to.parse().ok()?).collect())
    };
    let chosen = std::env::var(variable).ok().and_then(parse);
    chosen.unwrap_or_else(|| default.to_vec())
}

/// The number that a variable names, or else this one.
pub(crate) fn number(variable: &str, default: usize) -> usize {
    let chosen = std::env::var(variable).ok();
    chosen.and_then(|n| n.parse().ok()).unwrap_or(default)
}
