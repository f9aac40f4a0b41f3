//! Which servers were sent a prefix last, over the whole fleet.
//!
//! With thousands of servers routing looks at a sample only. This table names
//! the servers that would be worth a look besides. It has a fixed size; a
//! newer prefix overwrites an older one whose hash falls on the same place.

/// Servers kept for one prefix.
const WIDTH: usize = 2;

/// Blocks between the prefixes of a prompt that are noted.
const STRIDE: usize = 4;

/// Most prefixes that are noted or looked up for one prompt.
const LOOKS: usize = 64;

/// The last servers of one prefix.
#[derive(Debug, Clone, Copy, Default)]
struct Place {
    prefix: u64,
    servers: [u32; WIDTH],
    count: u8,
}

/// A fixed-size table from prefixes to servers.
#[derive(Debug, Clone)]
pub struct RecentServers {
    places: Vec<Place>,
}

impl RecentServers {
    /// A table of `size` places.
    pub fn new(size: usize) -> Self {
        Self {
            places: vec![Place::default(); size.max(1)],
        }
    }

    /// Notes that the server at an index was sent a prompt.
    pub fn record_sent(&mut self, chain: &[u64], server: usize) {
        let server = server as u32;
        for prefix in noted(chain) {
            let at = self.index(prefix);
            let place = &mut self.places[at];
            if place.prefix != prefix || place.count == 0 {
                *place = Place {
                    prefix,
                    servers: [server; WIDTH],
                    count: 1,
                };
            } else if place.servers[0] != server {
                place.servers = [server, place.servers[0]];
                place.count = 2;
            }
        }
    }

    /// Indexes of the servers that were sent the longest known prefix.
    pub fn lookup(&self, chain: &[u64]) -> Vec<usize> {
        let known = noted(chain).filter_map(|prefix| {
            let place = &self.places[self.index(prefix)];
            (place.prefix == prefix && place.count > 0).then_some(place)
        });
        let longest = known.last();
        let servers = longest.map(|p| &p.servers[..usize::from(p.count)]);
        servers
            .unwrap_or_default()
            .iter()
            .map(|s| *s as usize)
            .collect()
    }

    /// Forgets everything, as when the servers get other indexes.
    pub fn reset(&mut self) {
        self.places.fill(Place::default());
    }

    fn index(&self, prefix: u64) -> usize {
        (prefix % self.places.len() as u64) as usize
    }
}

/// The prefixes of a prompt that are noted, the shortest first.
fn noted(chain: &[u64]) -> impl Iterator<Item = u64> {
    chain.iter().copied().step_by(STRIDE).take(LOOKS)
}
