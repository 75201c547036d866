//! The VM list as it travels between daemons: changes where the other side's list is known.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::VmEntry;

/// Earlier lists whose holders are told changes only.
const MAX_KNOWN_SEQUENCES: usize = 64;

/// Holds a VM list and what changed from the ones before it.
#[derive(Debug, Default)]
pub struct VersionedVmList {
    sequence: u64,
    entries: BTreeMap<SocketAddr, Entry>,
    /// Addresses that lists no longer had, with the first such list.
    removed: VecDeque<(u64, SocketAddr)>,
    /// The lists that were held here, the last one included.
    known_sequences: VecDeque<u64>,
}

#[derive(Debug)]
struct Entry {
    vm: VmEntry,
    changed: u64,
}

/// Holds what a VM list has beyond an earlier one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmChanges {
    /// The list before; nothing if `changed` is a whole list.
    pub after: Option<u64>,
    /// The list that results.
    pub sequence: u64,
    /// Entries that are new or differ.
    pub changed: Vec<VmEntry>,
    /// Addresses that are gone.
    pub removed: Vec<SocketAddr>,
}

impl VersionedVmList {
    /// Returns the number of the list, or zero.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the whole list.
    pub fn vms(&self) -> Vec<VmEntry> {
        self.entries.values().map(|listed| listed.vm.clone()).collect()
    }

    /// Takes a whole list; tells whether it is newer.
    pub fn replace(&mut self, sequence: u64, vms: Vec<VmEntry>) -> bool {
        if sequence <= self.sequence {
            return false;
        }
        let mut before = std::mem::take(&mut self.entries);
        for vm in vms {
            let same = before.remove(&vm.address).filter(|listed| listed.vm == vm);
            let changed = same.map_or(sequence, |listed| listed.changed);
            self.entries.insert(vm.address, Entry { vm, changed });
        }
        let gone = before.into_keys().filter(|address| !self.entries.contains_key(address));
        self.removed.extend(gone.map(|address| (sequence, address)));
        self.record_sequence(sequence);
        true
    }

    /// Takes what a peer's list has beyond this one; tells whether it fits and is newer.
    pub fn apply(&mut self, changes: VmChanges) -> bool {
        let Some(after) = changes.after else {
            return self.replace(changes.sequence, changes.changed);
        };
        if after != self.sequence {
            return false;
        }
        let kept = self.vms().into_iter().filter(|vm| {
            let address = vm.address;
            !changes.removed.contains(&address)
                && changes.changed.iter().all(|changed| changed.address != address)
        });
        let vms: Vec<VmEntry> = kept.chain(changes.changed.iter().cloned()).collect();
        self.replace(changes.sequence, vms)
    }

    /// Returns what the holder of list `after` lacks, or nothing.
    pub fn changes_after(&self, after: u64) -> Option<VmChanges> {
        if after >= self.sequence {
            return None;
        }
        let sequence = self.sequence;
        if !self.known_sequences.contains(&after) {
            return Some(VmChanges {
                after: None,
                sequence,
                changed: self.vms(),
                removed: Vec::new(),
            });
        }
        let changed = self.entries.values().filter(|listed| listed.changed > after);
        let changed = changed.map(|listed| listed.vm.clone()).collect();
        let removed = self.removed.iter().filter(|(at, _)| *at > after);
        let gone = removed.map(|(_, address)| *address);
        let removed = gone.filter(|address| !self.entries.contains_key(address)).collect();
        Some(VmChanges { after: Some(after), sequence, changed, removed })
    }

    fn record_sequence(&mut self, sequence: u64) {
        self.sequence = sequence;
        self.known_sequences.push_back(sequence);
        if self.known_sequences.len() > MAX_KNOWN_SEQUENCES {
            self.known_sequences.pop_front();
        }
        let oldest = self.known_sequences.front().copied().unwrap_or(0);
        self.removed.retain(|(at, _)| *at > oldest);
    }
}
