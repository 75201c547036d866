//! Which blocks are written to stores after an answer.

use cumintrail_types::{BlockKey, StoreKey};

use crate::directory::Directory;

/// Chooses the blocks of an answered prompt that no store has yet, with a store for each.
pub fn exports(
    directory: &Directory,
    pieces: &[BlockKey],
    stores: &[StoreKey],
) -> Vec<(BlockKey, StoreKey)> {
    if stores.is_empty() {
        return Vec::new();
    }
    let missing = pieces.iter().filter(|key| directory.kept(**key).is_empty());
    missing.map(|key| (*key, stores[usize::from(key.0[0]) % stores.len()])).collect()
}
