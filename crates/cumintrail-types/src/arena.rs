//! A dense table addressed by small typed keys.

use std::marker::PhantomData;

/// Converts between a typed key and its position in an [`Arena`].
pub trait Key: Copy {
    /// Makes the key of the entry at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the position that this key names.
    fn index(self) -> usize;
}

/// Stores values densely and hands out `Copy` keys, so that hot paths index instead of hashing.
///
/// Entries are never removed; a key stays valid for the life of the arena.
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

    /// Returns the value of `key`, or nothing if the key is of another arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(key.index())
    }

    /// Returns the value of `key` for changing it.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.values.get_mut(key.index())
    }

    /// Iterates over keys and values in the order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values.iter().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Iterates over keys and changeable values in the order of insertion.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.values.iter_mut().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Tells whether the arena has no entries.
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
