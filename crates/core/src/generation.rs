//! Generations of the configuration: how one is replaced, and which one applies.
//!
//! The table stores one configuration with a generation number, and an operator
//! replaces it by a conditional write. A router applies only a generation newer
//! than its own. It stores no generation across a restart, and its peers may know
//! an older one than its previous incarnation had in force. It therefore serves
//! only once it has read the table since its start.

/// What to do about an operator's change, given the row as it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Replace {
    /// Commit it under this generation, conditional on the version that was read.
    Write(u64),
    /// The table has the change already.
    Applied,
    /// Another change was committed before this one or right after it.
    Conflict,
}

/// Decides on a change of generation `base`, initially or after a lost answer.
///
/// `found` is the generation in the table, and `same` tells whether the
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

/// Where a router learned of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// From the table, by a read that began after the router's start.
    Table,
    /// From another router.
    Peer,
}

/// One incarnation's knowledge of the generations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Follower {
    generation: u64,
    read_table: bool,
}

impl Follower {
    /// The generation in force; 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the router may serve.
    ///
    /// It may once it has read the table since its start, because only then can no
    /// earlier incarnation of it have had a newer generation in force.
    pub fn may_serve(&self) -> bool {
        self.read_table && self.generation > 0
    }

    /// Records a generation that was learned; returns whether to apply it.
    pub fn learn(&mut self, generation: u64, from: Source) -> bool {
        self.read_table |= from == Source::Table;
        let newer = generation > self.generation;
        self.generation = self.generation.max(generation);
        newer
    }
}
