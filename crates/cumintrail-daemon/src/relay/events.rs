//! Splits a streamed response into complete events, so that no partial event reaches a caller if
//! the connection to the target breaks.

use bytes::{Bytes, BytesMut};

/// The largest incomplete event that is buffered; a stream with a larger one is refused.
///
/// A target that fails may send without end on each of some hundred connections, and all of them
/// together must fit into the memory of a small VM.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// May stand at the start of a stream, and is no part of its first line.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// The distances of one between ids that show that the ids of a stream are consecutive; a single
/// distance shows no regularity.
const MIN_CONSECUTIVE_STEPS: u32 = 2;

/// Reports a stream that cannot go on in the response that it was read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedStream {
    /// An event exceeds the limit.
    Oversized,
    /// An event id does not increase, or a resumed stream of consecutive ids lacks an event.
    OutOfOrder,
}

/// Reports a stream that ended inside an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TruncatedStream;

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// The id of the last complete event that has one.
    last_id: Option<u64>,
    /// Whether events without an id came after that one.
    has_unnumbered: bool,
    /// The number of ids so far that follow the one before them by one.
    consecutive_steps: u32,
    /// Whether an id followed the one before it by more than one, so that ids need only increase.
    has_jumped: bool,
    /// Whether the next id is the first one of a further response.
    is_resumed: bool,
}

/// Stores consecutive complete events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// The number of events, without comments and empty lines.
    pub count: usize,
    /// Whether the bytes after the events can still continue the stream.
    pub rest: Result<(), MalformedStream>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event with the id `last_id`;
    /// `None` for a stream from its start.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { last_id, is_resumed: last_id.is_some(), ..Self::default() }
    }

    /// Returns the id of the last complete event that has one; before it, the id that the stream
    /// resumes after.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream can be resumed after its last complete event, which needs an id.
    pub const fn can_resume(&self) -> bool {
        self.last_id.is_some() && !self.has_unnumbered
    }

    /// Returns the number of bytes after the last complete event.
    pub fn remainder_len(&self) -> usize {
        self.pending.len()
    }

    /// Discards the bytes of an incomplete event, before the stream of a further attempt, which goes
    /// on after the last complete one.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
        self.is_resumed = self.last_id.is_some();
    }

    /// Ends the stream; returns the line ends that follow the last event.
    ///
    /// A stream that ends inside an event is truncated, whichever framing its response has: a target
    /// that breaks off may end its response regularly.
    pub fn finish(&mut self) -> Result<Bytes, TruncatedStream> {
        let is_inside_event = !self.pending.iter().all(|b| matches!(b, b'\r' | b'\n'));
        if is_inside_event { Err(TruncatedStream) } else { Ok(self.pending.split().freeze()) }
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// An event id that is not greater than the last one is an error: the event belongs to another
    /// execution of the call. So is one that leaves out ids where a response goes on, if the ids of
    /// the stream have been consecutive: the target resumed it after another event. The events before
    /// it are returned all the same, since the stream is resumed after them.
    pub fn push(&mut self, bytes: &[u8]) -> EventBatch {
        // An empty line may begin in the last bytes of the pending data.
        let mut searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let (mut end, mut count, mut rest) = (0, 0, Ok(()));
        while let Some(length) = event_end(&self.pending[searched..]) {
            let next = searched + length;
            match event_id(&self.pending[end..next]) {
                Some(id) if !self.accept_id(id) => {
                    rest = Err(MalformedStream::OutOfOrder);
                    break;
                }
                Some(_) => count += 1,
                // Callers drop comments, so a repeated one does no harm.
                None if is_comment(&self.pending[end..next]) => {}
                None => {
                    self.has_unnumbered = true;
                    count += 1;
                }
            }
            (end, searched) = (next, next);
        }
        if self.pending.len() - end > MAX_EVENT_BYTES {
            rest = Err(MalformedStream::Oversized);
        }
        EventBatch { bytes: self.pending.split_to(end).freeze(), count, rest }
    }

    /// Records the id of the next event unless it shows that the event is not the next one.
    const fn accept_id(&mut self, id: u64) -> bool {
        let is_consecutive = !self.has_jumped && self.consecutive_steps >= MIN_CONSECUTIVE_STEPS;
        match self.last_id {
            Some(last) if id <= last => return false,
            Some(last) if id == last + 1 => {
                self.consecutive_steps = self.consecutive_steps.saturating_add(1);
            }
            Some(_) if self.is_resumed && is_consecutive => return false,
            Some(_) => self.has_jumped = true,
            None => {}
        }
        (self.last_id, self.has_unnumbered, self.is_resumed) = (Some(id), false, false);
        true
    }
}

/// Returns the offset after the first empty line, which ends an event.
///
/// A line may end with a line feed, a carriage return or both.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().filter(|(_, b)| matches!(b, b'\n' | b'\r'));
    let mut ends = line_ends.filter_map(|(at, _)| match bytes[at..] {
        [b'\n', b'\r', b'\n', ..] => Some(at + 3),
        // At the end of the bytes, a line feed may follow the carriage return.
        [b'\n', b'\n', ..] | [b'\r', b'\r', ..] | [b'\n', b'\r', _, ..] => Some(at + 2),
        _ => None,
    });
    ends.next()
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    event.split(|b| matches!(b, b'\n' | b'\r'))
}

/// Returns whether an event has no fields.
fn is_comment(event: &[u8]) -> bool {
    lines(event).all(|line| matches!(line, [] | [b':', ..]))
}

/// Returns the id of an event; like callers, it reads the last of several.
fn event_id(event: &[u8]) -> Option<u64> {
    let id = lines(event).filter_map(|line| line.strip_prefix(b"id:")).last()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
