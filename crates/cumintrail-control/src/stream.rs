//! Checks that a streamed response is complete and belongs to the call.

/// Describes what to do with a received event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventCheck {
    /// Pass the event on.
    Accept,
    /// The event was passed on before: drop it.
    Duplicate,
    /// The event does not continue the stream: resume after the last event passed on.
    Gap,
    /// The event belongs to another call: drop the connection.
    Foreign,
}

/// Checks the events of one attempt over all of its connections.
#[derive(Debug, Clone)]
pub struct StreamChecker {
    call_id: String,
    last_id: u32,
    ended: bool,
}

impl StreamChecker {
    /// Creates the checker of a response of which no event was passed on.
    pub const fn new(call_id: String) -> Self {
        Self { call_id, last_id: 0, ended: false }
    }

    /// Creates the checker of an attempt that continues after event `last_id` of earlier attempts.
    pub const fn resumed(call_id: String, last_id: u32) -> Self {
        Self { call_id, last_id, ended: false }
    }

    /// Checks a token event, which carries its own id.
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

    /// Checks the end event, which carries the id of the last token.
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

    /// Returns whether the end event was accepted.
    pub const fn is_complete(&self) -> bool {
        self.ended
    }
}
