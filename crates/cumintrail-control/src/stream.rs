//! Whether a streamed answer is whole and the caller's own.

use cumintrail_types::Tokens;

/// Tells what to do with a received event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventCheck {
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
pub struct StreamChecker {
    call_id: String,
    last_id: u32,
    ended: bool,
}

impl StreamChecker {
    /// Starts with no event passed on.
    pub const fn new(call_id: String) -> Self {
        Self { call_id, last_id: 0, ended: false }
    }

    /// Starts an attempt that goes on after `last` events of earlier ones.
    pub const fn resumed(call_id: String, last_id: u32) -> Self {
        Self { call_id, last_id, ended: false }
    }

    /// Checks a token event.
    pub fn token(&mut self, call_id: &str, id: u32) -> EventCheck {
        match id {
            _ if call_id != self.call_id => EventCheck::Foreign,
            id if id <= self.last_id => EventCheck::Duplicate,
            id if id == self.last_id + 1 && !self.ended => {
                self.last_id = id;
                EventCheck::Accept
            }
            _ => EventCheck::Gap,
        }
    }

    /// Checks the explicit end, which carries the id of the last token.
    pub fn end(&mut self, call_id: &str, last_id: u32) -> EventCheck {
        match last_id {
            _ if call_id != self.call_id => EventCheck::Foreign,
            last_id if last_id == self.last_id => {
                self.ended = true;
                EventCheck::Accept
            }
            _ => EventCheck::Gap,
        }
    }

    /// Returns the id of the last event passed on.
    pub const fn last_id(&self) -> u32 {
        self.last_id
    }

    /// Returns the tokens passed on.
    pub const fn output_tokens(&self) -> Tokens {
        Tokens(self.last_id)
    }

    /// Tells whether the explicit end was seen.
    pub const fn is_complete(&self) -> bool {
        self.ended
    }
}
