//! Whether a streamed answer is whole and the caller's own.

use cumintrail_types::Tokens;

/// Tells what to do with a received event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// Pass it on.
    Accept,
    /// It was passed on before: drop it.
    Duplicate,
    /// Events are missing: resume from the last one passed on.
    Gap,
    /// It belongs to another call: drop the connection.
    Foreign,
}

/// Follows one answer over all of its attempts and connections.
#[derive(Debug, Clone)]
pub struct StreamCheck {
    call_id: String,
    last: u32,
    ended: bool,
}

impl StreamCheck {
    /// Starts with no event passed on.
    pub const fn new(call_id: String) -> Self {
        Self { call_id, last: 0, ended: false }
    }

    /// Starts an attempt that goes on after `last` events of earlier ones.
    pub const fn continued(call_id: String, last: u32) -> Self {
        Self { call_id, last, ended: false }
    }

    /// Checks a token event.
    pub fn token(&mut self, call_id: &str, id: u32) -> Check {
        match id {
            _ if call_id != self.call_id => Check::Foreign,
            id if id <= self.last => Check::Duplicate,
            id if id == self.last + 1 && !self.ended => {
                self.last = id;
                Check::Accept
            }
            _ => Check::Gap,
        }
    }

    /// Checks the explicit end, which carries the id of the last token.
    pub fn end(&mut self, call_id: &str, last: u32) -> Check {
        match last {
            _ if call_id != self.call_id => Check::Foreign,
            last if last == self.last => {
                self.ended = true;
                Check::Accept
            }
            _ => Check::Gap,
        }
    }

    /// Returns the id of the last event passed on.
    pub const fn last(&self) -> u32 {
        self.last
    }

    /// Returns the tokens passed on.
    pub const fn answered(&self) -> Tokens {
        Tokens(self.last)
    }

    /// Tells whether the explicit end was seen.
    pub const fn is_whole(&self) -> bool {
        self.ended
    }
}
