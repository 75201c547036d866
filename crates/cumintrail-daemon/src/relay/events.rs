//! Cuts a streamed answer into whole events, so that a broken one is never passed on.

use bytes::{Bytes, BytesMut};

/// The longest event; a stream with a longer one cannot be passed on event by event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reports a stream that cannot be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedStream;

/// Collects bytes until whole events are there.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// The id of the last event that was taken.
    last_id: Option<u64>,
}

/// Holds whole events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// How many there are.
    pub count: usize,
}

impl EventSplitter {
    /// Continues after an event that the caller already has.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { pending: BytesMut::new(), last_id }
    }

    /// Returns the id of the last whole event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Forgets the begun event of an answer that broke off.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns the bytes of a begun event, at the proper end of the answer.
    pub fn take_remainder(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Takes bytes and returns the events that are whole now.
    ///
    /// An id that is not above the last one belongs to another run of the call.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, MalformedStream> {
        // A separator may begin in what is pending.
        let mut searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let (mut end, mut begin, mut count) = (0, 0, 0);
        while let Some(length) = event_end(&self.pending[searched..]) {
            end = searched + length;
            if let Some(id) = event_id(&self.pending[begin..end]) {
                if self.last_id.is_some_and(|last| id <= last) {
                    return Err(MalformedStream);
                }
                self.last_id = Some(id);
            }
            (begin, searched, count) = (end, end, count + 1);
        }
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return Err(MalformedStream);
        }
        Ok((end > 0).then(|| EventBatch { bytes: self.pending.split_to(end).freeze(), count }))
    }
}

/// Returns the bytes up to the end of the first empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n').map(|(at, _)| at);
    let mut ends = newlines.filter_map(|at| match bytes.get(at + 1..) {
        Some([b'\n', ..]) => Some(at + 2),
        Some([b'\r', b'\n', ..]) => Some(at + 3),
        _ => None,
    });
    ends.next()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
