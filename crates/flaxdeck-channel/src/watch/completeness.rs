//! As of when all events of the coordinator are known here, shared between the watch and what relies on the events.

use std::cell::Cell;

use flaxdeck::{CompleteAsOf, Span, Time};
use flaxdeck_net::clock::Clock;
use tokio::sync::Notify;
use tokio::time::Instant;

/// As of when all events of the coordinator are known here. Shared between a
/// [`Watch`](super::Watch), which sets it, and what stops relying on the events some time later.
pub struct Completeness {
    configured: Instant,
    by_heartbeat: Cell<Option<Instant>>,
    changed: Notify,
}

impl Completeness {
    /// Begins with a configuration that has just been read, and without any heartbeat.
    pub(super) fn of_configuration() -> Completeness {
        Completeness {
            configured: Instant::now(),
            by_heartbeat: Cell::new(None),
            changed: Notify::new(),
        }
    }

    /// Notes that a heartbeat has shown that all events are known as of that time.
    pub(super) fn note_heartbeat(&self, as_of: Instant) {
        self.by_heartbeat
            .set(self.by_heartbeat.get().max(Some(as_of)));
        self.changed.notify_one();
    }

    /// Returns that time by another clock of this process; none before the first heartbeat.
    pub fn by_heartbeat(&self, clock: &Clock) -> Option<CompleteAsOf> {
        let as_of = self.by_heartbeat.get()?;
        Some(CompleteAsOf::by_heartbeat(on_clock(as_of, clock)))
    }

    /// Returns as of when the configuration holds all events, by another clock of this process. This is so for the
    /// configuration of a dispatcher, which holds those of its start.
    pub fn by_configuration(&self, clock: &Clock) -> CompleteAsOf {
        CompleteAsOf::by_configuration(on_clock(self.configured, clock))
    }

    /// Waits until it changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

fn on_clock(instant: Instant, clock: &Clock) -> Time {
    clock.now() - Span::of_ms(instant.elapsed().as_secs_f64() * 1000.0)
}
