//! Generations of the configuration: who may replace one, and who follows it.
//!
//! The table keeps one configuration with a generation number, and an operator
//! replaces it by a conditional write. A router applies only what is newer than
//! its own. It keeps nothing over a restart, and what peers know may be older
//! than what its earlier life had in force, so it serves only once it has read
//! the table since its start.

/// What an operator's change comes to, from the row as it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Replace {
    /// Commit it under this generation, relying on the version that was read.
    Write(u64),
    /// It is in the table.
    Applied,
    /// Another change came first, or came right after this one.
    Conflict,
}

/// Decides on a change of generation `base`, at first and after a lost answer.
///
/// `found` is the generation in the table and `same` says whether the
/// configuration there is the wanted one.
pub fn replace(base: u64, found: u64, same: bool) -> Replace {
    if found == base {
        return Replace::Write(base + 1);
    }
    if found == base + 1 && same {
        return Replace::Applied;
    }
    Replace::Conflict
}

/// Where a configuration was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// From the table, by a read that began in this life.
    Table,
    /// From another router.
    Peer,
}

/// A router's place in the generations, in one life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Follower {
    generation: u64,
    confirmed: bool,
}

impl Follower {
    /// The generation in force; 0 for none.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether no earlier life can have had a newer one in force.
    pub fn may_serve(&self) -> bool {
        self.confirmed && self.generation > 0
    }

    /// Learns of a generation; returns whether it is to be applied.
    pub fn learn(&mut self, generation: u64, from: Source) -> bool {
        self.confirmed |= from == Source::Table;
        let newer = generation > self.generation;
        self.generation = self.generation.max(generation);
        newer
    }
}
