//! A vector of values indexed by small typed keys.

use std::marker::PhantomData;

/// Converts between a typed key and an index of an [`Arena`].
pub trait Key: Copy {
    /// Returns the key of the entry at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the index of the entry that this key refers to.
    fn index(self) -> usize;
}

/// Stores values contiguously under `Copy` keys, so that hot paths index instead of hashing.
///
/// Entries are never removed; a key stays valid as long as the arena exists.
#[derive(Debug, Clone)]
pub struct Arena<K, V> {
    values: Vec<V>,
    keys: PhantomData<K>,
}

impl<K: Key, V> Arena<K, V> {
    /// Creates an empty arena.
    pub const fn new() -> Self {
        Self { values: Vec::new(), keys: PhantomData }
    }

    /// Appends a value and returns its key.
    pub fn push(&mut self, value: V) -> K {
        self.values.push(value);
        K::from_index(self.values.len() - 1)
    }

    /// Returns the value of `key`, or `None` if the arena has no entry at its index.
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(key.index())
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.values.get_mut(key.index())
    }

    /// Iterates over keys and values in insertion order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values.iter().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Iterates over keys and mutable values in insertion order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.values.iter_mut().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether the arena has no entries.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}

impl<K: Key, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Key, V> FromIterator<V> for Arena<K, V> {
    fn from_iter<I: IntoIterator<Item = V>>(iter: I) -> Self {
        Self { values: iter.into_iter().collect(), keys: PhantomData }
    }
}
