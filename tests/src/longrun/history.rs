//! What was done to the deployment and when, so that a broken call can be put down to it.

use std::time::Instant;

use super::schedule::{Fault, Link};

/// Tells when a caller began a call and when it learned of its end.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// When the call was begun.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

struct Entry {
    fault: Fault,
    from: Instant,
    to: Option<Instant>,
}

/// Remembers all faults.
#[derive(Default)]
pub struct History {
    entries: Vec<Entry>,
}

impl History {
    /// Notes that a fault begins; call it before the fault can be seen.
    pub fn begin(&mut self, fault: Fault) {
        self.entries.push(Entry { fault, from: Instant::now(), to: None });
    }

    /// Notes that a fault is over.
    pub fn end(&mut self, fault: Fault) {
        let open = |e: &&mut Entry| e.fault == fault && e.to.is_none();
        if let Some(entry) = self.entries.iter_mut().find(open) {
            entry.to = Some(Instant::now());
        }
    }

    /// Tells whether a daemon's planned stop is all that can have broken a call in flight at it.
    ///
    /// A call that was begun only after the signal is in flight once its answer has begun; before
    /// that, the daemon may have been gone already.
    pub fn only_planned_stop(&self, vm: usize, call: Span, answer_began: bool) -> bool {
        let met = |e: &&Entry| e.from <= call.to && e.to.is_none_or(|to| to >= call.from);
        let mut stopped = false;
        for entry in self.entries.iter().filter(met) {
            match entry.fault {
                Fault::Stop(at) if at == vm => {
                    stopped |= answer_began || call.from < entry.from;
                }
                fault if fault.can_break_calls(vm) => return false,
                _ => {}
            }
        }
        stopped
    }
}

impl Fault {
    /// Tells whether a fault excuses a broken answer of a daemon.
    fn can_break_calls(self, vm: usize) -> bool {
        match self {
            Self::Kill(at) | Self::Pause(at) | Self::Link(Link::Callers, at, _) => at == vm,
            Self::Link(Link::Engine, ..)
            | Self::EngineDeath(_)
            | Self::EngineSilent(_)
            | Self::EngineCuts(_)
            | Self::EngineForeign(_)
            | Self::EngineForgets(_) => true,
            _ => false,
        }
    }
}
