//! The faults of a run with their times, which decide whether a broken call is excused.

use std::time::Instant;

use super::schedule::{Fault, Link};

/// The time during which a call was in flight, as seen by its caller.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// When the caller started the call.
    pub from: Instant,
    /// When the caller saw the end of the call.
    pub to: Instant,
}

struct Entry {
    fault: Fault,
    from: Instant,
    to: Option<Instant>,
}

/// All faults that have begun.
#[derive(Default)]
pub struct History {
    entries: Vec<Entry>,
}

impl History {
    /// Records the start of a fault; must be called before the fault takes effect.
    pub fn begin(&mut self, fault: Fault) {
        self.entries.push(Entry { fault, from: Instant::now(), to: None });
    }

    /// Records the end of a fault.
    pub fn end(&mut self, fault: Fault) {
        let open = |e: &&mut Entry| e.fault == fault && e.to.is_none();
        if let Some(entry) = self.entries.iter_mut().find(open) {
            entry.to = Some(Instant::now());
        }
    }

    /// Returns whether the planned stop of a daemon is the only fault that can have broken a call
    /// that was in flight there.
    ///
    /// A call that started after the stop signal counts as in flight only if its response has
    /// begun; otherwise the daemon may already have ended.
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
    /// Returns whether the fault can break a response of daemon `vm`.
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
