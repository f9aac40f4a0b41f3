//! Sorted vectors with binary search, used in place of maps.

/// A vector of entries kept in order of their key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SortedVec<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedVec<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord, V> SortedVec<K, V> {
    /// An empty vector.
    pub fn new() -> Self {
        Self::default()
    }

    fn find<Q>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.entries.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// The value at `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|at| &self.entries[at].1)
    }

    /// The value at `key`, to change.
    pub fn get_mut<Q>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|at| &mut self.entries[at].1)
    }

    /// Whether there is an entry at `key`.
    pub fn contains<Q>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).is_ok()
    }

    /// Sets the value at `key` and returns the one that was there.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.entries[at].1, value)),
            Err(at) => {
                self.entries.insert(at, (key, value));
                None
            }
        }
    }

    /// Removes the entry at `key`.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let at = self.find(key).ok()?;
        Some(self.entries.remove(at).1)
    }

    /// The value at `key`, made by `make` where there is none.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let at = match self.find(&key) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, (key, make()));
                at
            }
        };
        &mut self.entries[at].1
    }

    /// Keeps the entries for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(k, v)| keep(k, v));
    }

    /// Entries in order of their key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(k, v)| (k, v))
    }

    /// Entries from the first one on for which `below` doesn't hold.
    pub fn iter_from(&self, below: impl Fn(&K) -> bool) -> impl Iterator<Item = (&K, &V)> {
        let at = self.entries.partition_point(|(k, _)| below(k));
        self.entries[at..].iter().map(|(k, v)| (k, v))
    }

    /// Entries in order of their key, values to change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl<K: Clone, V: Clone> SortedVec<K, V> {
    /// A plain vector of the entries, in order.
    pub fn to_vec(&self) -> Vec<(K, V)> {
        self.entries.clone()
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedVec<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(items: I) -> Self {
        let mut all = Self::new();
        for (key, value) in items {
            all.insert(key, value);
        }
        all
    }
}
