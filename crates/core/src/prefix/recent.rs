//! The servers of the whole fleet that were sent a prefix most recently.
//!
//! With thousands of servers, routing compares only a sample of them. This
//! table names the servers that should be compared in addition, since they
//! probably have the prefix cached. It has a fixed size; a newer prefix
//! overwrites an older one with the same slot.

/// Servers stored for each prefix.
const SERVERS_PER_PREFIX: usize = 2;

/// Distance in blocks between the stored prefixes of a prompt.
const STRIDE_BLOCKS: usize = 4;

/// Most prefixes that are stored or looked up for one prompt.
const MAX_PREFIXES: usize = 64;

/// The most recent servers of one prefix.
#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    prefix: u64,
    servers: [u32; SERVERS_PER_PREFIX],
    count: u8,
}

/// A fixed-size table from prefixes to servers.
#[derive(Debug, Clone)]
pub struct RecentServers {
    slots: Vec<Slot>,
}

impl RecentServers {
    /// Creates a table of `size` slots.
    pub fn new(size: usize) -> Self {
        Self {
            slots: vec![Slot::default(); size.max(1)],
        }
    }

    /// Records that the server with an index was sent a prompt.
    pub fn record_sent(&mut self, chain: &[u64], server: usize) {
        let server = server as u32;
        for prefix in stored_prefixes(chain) {
            let index = self.index(prefix);
            let slot = &mut self.slots[index];
            if slot.prefix != prefix || slot.count == 0 {
                *slot = Slot {
                    prefix,
                    servers: [server; SERVERS_PER_PREFIX],
                    count: 1,
                };
            } else if slot.servers[0] != server {
                slot.servers = [server, slot.servers[0]];
                slot.count = 2;
            }
        }
    }

    /// Indices of the servers that were sent the longest stored prefix of a prompt.
    pub fn lookup(&self, chain: &[u64]) -> Vec<usize> {
        let known = stored_prefixes(chain).filter_map(|prefix| {
            let slot = &self.slots[self.index(prefix)];
            (slot.prefix == prefix && slot.count > 0).then_some(slot)
        });
        let longest = known.last();
        let servers = longest.map(|slot| &slot.servers[..usize::from(slot.count)]);
        servers
            .unwrap_or_default()
            .iter()
            .map(|s| *s as usize)
            .collect()
    }

    /// Clears the table; required when the indices of the servers change.
    pub fn reset(&mut self) {
        self.slots.fill(Slot::default());
    }

    fn index(&self, prefix: u64) -> usize {
        (prefix % self.slots.len() as u64) as usize
    }
}

/// The prefixes of a prompt that are stored, the shortest first.
fn stored_prefixes(chain: &[u64]) -> impl Iterator<Item = u64> {
    chain
        .iter()
        .copied()
        .step_by(STRIDE_BLOCKS)
        .take(MAX_PREFIXES)
}
