//! Whether a host takes work, when a slot is through with it, and whether it crashes under it.

use flaxdeck_invariants::{RecordEntry, RecordedEvent};

use crate::objects::KB_PER_MS;
use crate::state::{FailureMode, HostState, SharedState, WorkItem};

/// Requests that wait for each slot before a host rejects further ones.
const QUEUE_PER_SLOT: f64 = 6.0;
/// Milliseconds of a slot for any work, besides those by size.
const JOB_MS: f64 = 1.0;
/// The least capacity of a cold host, in slots.
const MIN_CAPACITY: f64 = 0.2;

/// What becomes of work that arrives at a host.
pub(super) enum Admission {
    /// A slot is through with it at that time.
    Until(f64),
    /// Too much waits already.
    Rejected,
    /// The host fails on it.
    Failed,
    /// The host is down, or crashes under it.
    Down,
    /// The host never says anything.
    Silent,
}

/// Work of so many KB arrives at a host.
pub(super) fn admit(world: &SharedState, id: &str, kb: f64) -> Admission {
    let now_ms = world.now();
    let cost_ms = kb / KB_PER_MS + JOB_MS;
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
    let slowness = match slowness(host.failure_mode) {
        Ok(slowness) => slowness,
        Err(admission) => return admission,
    };
    let fraction = world.capacity_fraction(host, now_ms);
    let Some(until_ms) = take_slot(host, now_ms, cost_ms * slowness, fraction) else {
        return Admission::Rejected;
    };
    let window_ms = world.layout.load_window_ms;
    add_work(host, now_ms, cost_ms, window_ms);
    record(RecordedEvent::WorkRequested {
        host: id.to_owned(),
        cost_ms,
    });
    let bearable_ms = world.layout.overload_factor * fraction * host.slots * window_ms;
    if fraction < 1.0 && host.recent_work_ms > bearable_ms {
        host.crash();
        state.overloaded_hosts += 1;
        world.changed.notify_waiters();
        return Admission::Down;
    }
    Admission::Until(until_ms)
}

/// How many times as long the host takes; what it does instead if it doesn't work at all.
fn slowness(failure_mode: FailureMode) -> Result<f64, Admission> {
    match failure_mode {
        FailureMode::Silent => Err(Admission::Silent),
        FailureMode::Failing => Err(Admission::Failed),
        FailureMode::Slow(factor) => Ok(factor),
        FailureMode::Healthy => Ok(1.0),
    }
}

/// Takes the slot that is free first; gives when it is through, or none if too much waits for it. A cold host has fewer
/// slots, the last of them a slower one.
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

/// Adds work to the host's window.
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
