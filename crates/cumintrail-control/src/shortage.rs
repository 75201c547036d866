//! Admission under scarce capacity: whether a call is sent now, waits in this daemon, or is refused
//! with a time to return; docs/design/shortage.md.

mod classes;
mod pace;
mod returns;

use std::time::Duration;

pub use self::classes::{UrgencyClass, UrgencyClasses};
pub use self::pace::Pace;
pub use self::returns::Returns;

/// The fraction of its objective for which a patient call waits here at most, so that a call that
/// waited and is then sent can still meet the objective.
///
/// With a third, calls of many daemons that were held back were sent at once when the load that
/// daemons know fell, and urgent calls were late behind them (`tests/shortage.rs`).
const MAX_HOLD_OF_OBJECTIVE: f64 = 1.0 / 6.0;
/// The fraction of the time until its deadline for which a patient call waits here at most.
const MAX_HOLD_OF_TIMEOUT: f64 = 1.0 / 8.0;
/// The fraction of a more urgent objective from which the average wait at targets is a shortage.
const SCARCE_OF_OBJECTIVE: f64 = 1.0 / 4.0;
/// The fraction of a more urgent objective that a patient call may leave as the wait at its target.
const MAX_LEFT_OF_OBJECTIVE: f64 = 1.0 / 2.0;
/// The fraction of a more urgent objective within which a target counts as idle.
///
/// A prompt that takes longer than [`MAX_LEFT_OF_OBJECTIVE`] by itself is sent to idle targets.
const IDLE_OF_OBJECTIVE: f64 = 1.0 / 8.0;
/// The average fraction of the memory of targets from which there is a shortage; beyond it, calls
/// evict each other's blocks.
const SCARCE_MEMORY: f64 = 0.7;
/// The average fraction of used slots from which there is a shortage; beyond it, calls begin to wait
/// for slots at some targets.
const SCARCE_SLOTS: f64 = 0.9;
/// The fraction of a target's memory that the least urgent calls leave to more urgent ones.
///
/// With 0.1 and 0.2, more urgent calls that were sent to a target waited there for memory
/// (`tests/shortage.rs`).
const URGENT_MEMORY: f64 = 0.3;
/// The fraction of a target's memory that has to be left for a call that needs more than is left.
const LARGE_CALL_MEMORY: f64 = 0.1;
/// The fraction of the time until a deadline after which a first token is no longer in time for a
/// patient call, if its objective is shorter.
const IN_TIME_OF_TIMEOUT: f64 = 1.0 / 4.0;
/// The smallest part of patient calls that is sent while the targets have memory for them, so that
/// no kind, account or size of calls starves.
const MIN_SENT: f64 = 0.25;
/// The part of patient calls that is sent into the memory that is left to more urgent ones.
const SENT_INTO_URGENT_MEMORY: f64 = 0.2;
/// By how much more often a call is sent that was refused before and came back when it was told to.
const RETURNED_FACTOR: f64 = 2.0;
/// The least time after which a refused caller is asked to return: a round of digests, before which
/// daemons know nothing new.
const MIN_RETURN: Duration = Duration::from_millis(250);

/// Describes a call that could be sent.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Its urgency among the calls for the same model or service.
    pub class: UrgencyClass,
    /// The objective for the time to its first token.
    pub objective: Duration,
    /// The time from its arrival to its deadline.
    pub timeout: Duration,
    /// How long it has waited here.
    pub waited: Duration,
    /// Whether it was refused before and its caller returned when it was told to.
    pub returned: bool,
    /// A number from 0 to 1, drawn once for the call.
    pub draw: f64,
}

/// Describes what a call would find at the target that was chosen for it; times in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Offer {
    /// The wait at the target for what was sent there before.
    pub wait: f64,
    /// The time for which the call itself delays others there.
    pub work: f64,
    /// The expected time to the first token.
    pub first_token: f64,
    /// The usual time from the first token of such a call to its end.
    pub rest: f64,
    /// The used fraction of the target's memory, without the call.
    pub memory: f64,
    /// The fraction of the target's memory that the call needs.
    pub own_memory: f64,
    /// The fraction of the target's memory up to which a call of this size is sent at all.
    pub memory_limit: f64,
}

/// Averages the load of the targets that a call may use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolLoad {
    /// The wait in seconds for what was sent to them.
    pub wait: f64,
    /// The used fraction of their memory.
    pub memory: f64,
    /// The used fraction of their slots.
    pub slots: f64,
}

/// Decides what becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it now.
    Send,
    /// Let it wait in this daemon.
    Hold,
    /// Refuse it; its turn is likely after this time.
    Refuse(Duration),
}

impl PoolLoad {
    /// Averages the loads of single targets.
    pub fn average(loads: impl Iterator<Item = Self>) -> Self {
        let (mut sum, mut n) = (Self::default(), 0.0_f64);
        for load in loads {
            sum.wait += load.wait;
            sum.memory += load.memory;
            sum.slots += load.slots;
            n += 1.0;
        }
        let n = n.max(1.0);
        Self { wait: sum.wait / n, memory: sum.memory / n, slots: sum.slots / n }
    }

    /// Returns whether urgent calls with this objective may soon have to wait.
    fn is_scarce(&self, urgent: f64) -> bool {
        self.wait > urgent * SCARCE_OF_OBJECTIVE
            || self.memory > SCARCE_MEMORY
            || self.slots > SCARCE_SLOTS
    }
}

impl Terms {
    /// Returns the longest time for which the call waits here.
    pub fn max_hold(&self) -> Duration {
        let of_objective = self.objective.mul_f64(MAX_HOLD_OF_OBJECTIVE);
        of_objective.min(self.timeout.mul_f64(MAX_HOLD_OF_TIMEOUT))
    }

    /// Returns the remaining time for which the call may wait here, in seconds.
    fn hold_left(&self) -> f64 {
        if self.returned {
            return 0.0;
        }
        self.max_hold().saturating_sub(self.waited).as_secs_f64()
    }

    /// Returns the time within which a first token is still of use.
    pub fn in_time(&self) -> Duration {
        self.objective.max(self.timeout.mul_f64(IN_TIME_OF_TIMEOUT)).min(self.timeout)
    }
}

/// Decides whether a call is sent, waits here or is refused.
pub fn decide(terms: &Terms, pool: &PoolLoad, offer: &Offer) -> Verdict {
    let left = terms.timeout.saturating_sub(terms.waited).as_secs_f64();
    let late = offer.first_token + offer.rest - left;
    if late > 0.0 {
        return refuse(terms, late);
    }
    let over = offer.memory + offer.own_memory - offer.memory_limit;
    let Some(urgent) = terms.class.more_urgent_objective.map(|d| d.as_secs_f64()) else {
        return if over > 0.0 { refuse(terms, time_to_free(offer, over)) } else { Verdict::Send };
    };
    if !pool.is_scarce(urgent) {
        return if over > 0.0 { refuse(terms, time_to_free(offer, over)) } else { Verdict::Send };
    }
    decide_patient(terms, pool, offer, urgent)
}

/// Decides on a call while capacity is scarce; `urgent` is the shortest objective of more urgent
/// calls in seconds.
fn decide_patient(terms: &Terms, pool: &PoolLoad, offer: &Offer, urgent: f64) -> Verdict {
    let reserve = URGENT_MEMORY * terms.class.position;
    let over_reserve = offer.memory + offer.own_memory - offer.memory_limit + reserve;
    let allowed = allowed_wait(offer, urgent);
    let leaves_room = pool.wait <= allowed
        && (offer.wait + offer.work <= urgent * MAX_LEFT_OF_OBJECTIVE
            || offer.wait <= urgent * IDLE_OF_OBJECTIVE);
    if leaves_room && over_reserve <= 0.0 {
        return Verdict::Send;
    }
    let hold = terms.hold_left();
    let sent = sent_part(pool.wait - hold, allowed);
    let sent = sent.min(sent_into_memory(offer, over_reserve, hold));
    let factor = if terms.returned { RETURNED_FACTOR } else { 1.0 };
    let too_late = offer.first_token - hold > terms.in_time().as_secs_f64();
    if too_late || terms.draw >= sent * factor {
        let drain = pool.wait - urgent * SCARCE_OF_OBJECTIVE;
        return refuse(terms, drain.max(time_to_free(offer, over_reserve)));
    }
    if hold > 0.0 { Verdict::Hold } else { Verdict::Send }
}

/// Returns the average wait at which a call is sent: what it leaves of the time that urgent calls may
/// find in front of them.
fn allowed_wait(offer: &Offer, urgent: f64) -> f64 {
    (urgent * MAX_LEFT_OF_OBJECTIVE - offer.work).max(urgent * SCARCE_OF_OBJECTIVE)
}

/// Returns the part of patient calls that is sent, by the average wait once they have waited here.
///
/// It falls to the smallest part at twice the allowed wait.
fn sent_part(wait: f64, allowed: f64) -> f64 {
    (2.0 - wait / allowed).clamp(MIN_SENT, 1.0)
}

/// Returns the part of patient calls that is sent, by the memory that is left after a wait of `hold`
/// seconds.
///
/// A part is sent into the memory that is left to more urgent calls, or patient ones would starve
/// where urgent ones alone fill it. A call that needs more than is left has a part too, or the
/// largest ones would never be sent.
fn sent_into_memory(offer: &Offer, over_reserve: f64, hold: f64) -> f64 {
    let freed = if offer.rest > 0.0 { offer.memory * (hold / offer.rest).min(1.0) } else { 0.0 };
    let total = offer.memory + offer.own_memory - freed;
    let needed = offer.own_memory.min(LARGE_CALL_MEMORY);
    if over_reserve - freed <= 0.0 {
        1.0
    } else if total <= offer.memory_limit || over_reserve - freed <= offer.own_memory - needed {
        SENT_INTO_URGENT_MEMORY
    } else {
        0.0
    }
}

/// Returns the seconds until calls that end have freed a fraction of a target's memory.
fn time_to_free(offer: &Offer, fraction: f64) -> f64 {
    (fraction / offer.memory.max(fraction).max(f64::EPSILON)).max(0.0) * offer.rest
}

/// Refuses a call whose turn is in `seconds`, or else after what it could have waited.
fn refuse(terms: &Terms, seconds: f64) -> Verdict {
    let seconds = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(terms.timeout);
    Verdict::Refuse(
        seconds.max(terms.max_hold()).max(MIN_RETURN).min(terms.timeout.max(MIN_RETURN)),
    )
}
