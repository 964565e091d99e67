//! Admission of work at a host: whether a slot takes it, when it is done, and whether the host crashes from overload.

use flaxdeck_invariants::{RecordEntry, RecordedEvent};

use crate::objects::KB_PER_MS;
use crate::state::{FailureMode, HostState, SharedState, WorkItem};

/// How many requests may wait for each slot before the host rejects further ones.
const QUEUE_PER_SLOT: f64 = 6.0;
/// The time that any work takes a slot in addition to the time by its size, in milliseconds.
const BASE_COST_MS: f64 = 1.0;
/// The minimum capacity of a cold host, in slots.
const MIN_CAPACITY: f64 = 0.2;

/// The outcome of work that arrives at a host.
pub(super) enum Admission {
    /// A slot will have finished it at this time, in milliseconds of the world.
    Until(f64),
    /// The queue of every slot is full.
    Rejected,
    /// The host answers with a failure.
    Failed,
    /// The host is down, or this work crashes it by overload.
    Down,
    /// The host never answers.
    Silent,
}

/// Records the arrival of work of `kb` KB at a host, and admits or rejects it. A cold host that is overloaded by it
/// crashes.
pub(super) fn admit(world: &SharedState, id: &str, kb: f64) -> Admission {
    let now_ms = world.now();
    let cost_ms = kb / KB_PER_MS + BASE_COST_MS;
    let mut state = world.lock();
    let state = &mut *state;
    let Some(host) = state.hosts.get_mut(id).filter(|host| host.up) else {
        return Admission::Down;
    };
    let mut record = |event| {
        state.record.push(RecordEntry {
            at_ms: now_ms,
            event,
        });
    };
    record(RecordedEvent::WorkArrived {
        host: id.to_owned(),
    });
    let slowdown = match slowdown(host.failure_mode) {
        Ok(slowdown) => slowdown,
        Err(admission) => return admission,
    };
    let fraction = world.capacity_fraction(host, now_ms);
    let Some(until_ms) = take_slot(host, now_ms, cost_ms * slowdown, fraction) else {
        return Admission::Rejected;
    };
    let window_ms = world.layout.load_window_ms;
    add_work(host, now_ms, cost_ms, window_ms);
    record(RecordedEvent::WorkRequested {
        host: id.to_owned(),
        cost_ms,
    });
    let overload_limit_ms = world.layout.overload_factor * fraction * host.slots * window_ms;
    if fraction < 1.0 && host.recent_work_ms > overload_limit_ms {
        host.crash();
        state.overloaded_hosts += 1;
        world.changed.notify_waiters();
        return Admission::Down;
    }
    Admission::Until(until_ms)
}

/// Returns the factor by which a host is slower than a healthy one; the outcome if it doesn't process work at all.
fn slowdown(failure_mode: FailureMode) -> Result<f64, Admission> {
    match failure_mode {
        FailureMode::Silent => Err(Admission::Silent),
        FailureMode::Failing => Err(Admission::Failed),
        FailureMode::Slow(factor) => Ok(factor),
        FailureMode::Healthy => Ok(1.0),
    }
}

/// Assigns work to the slot that is free first. Returns when that slot has finished it, or `None` if the slot's queue
/// is full. A cold host has fewer slots, each of them slower where its capacity is not a whole number of slots.
fn take_slot(host: &mut HostState, now_ms: f64, cost_ms: f64, fraction: f64) -> Option<f64> {
    let capacity = (fraction * host.slots).max(MIN_CAPACITY);
    let count = (capacity.ceil() as usize).clamp(1, host.slots_free_ms.len());
    let slots = host.slots_free_ms[..count].iter_mut();
    let slot = slots.min_by(|a, b| a.total_cmp(b))?;
    let took_ms = cost_ms * count as f64 / capacity;
    if *slot - now_ms > QUEUE_PER_SLOT * took_ms {
        return None;
    }
    *slot = slot.max(now_ms) + took_ms;
    Some(*slot)
}

/// Adds work to the host's load window and drops what is older than the window.
fn add_work(host: &mut HostState, at_ms: f64, cost_ms: f64, window_ms: f64) {
    host.recent_work.push_back(WorkItem { at_ms, cost_ms });
    host.recent_work_ms += cost_ms;
    while let Some(oldest) = host.recent_work.front() {
        if oldest.at_ms > at_ms - window_ms {
            break;
        }
        host.recent_work_ms -= oldest.cost_ms;
        host.recent_work.pop_front();
    }
}
