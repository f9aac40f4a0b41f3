//! Sorted vectors with binary search, used in place of maps.

/// A map that stores its entries in a vector sorted by key.
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
    /// Creates an empty map.
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

    /// A mutable reference to the value at `key`.
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

    /// The value at `key`, inserted from `make` if there is none.
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

    /// Keeps only the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(k, v)| keep(k, v));
    }

    /// The entries, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(k, v)| (k, v))
    }

    /// The entries from the first one for which `below` returns false.
    pub fn iter_from(&self, below: impl Fn(&K) -> bool) -> impl Iterator<Item = (&K, &V)> {
        let at = self.entries.partition_point(|(k, _)| below(k));
        self.entries[at..].iter().map(|(k, v)| (k, v))
    }

    /// The entries, sorted by key, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl<K: Clone, V: Clone> SortedVec<K, V> {
    /// Copies the entries to a vector, sorted by key.
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
