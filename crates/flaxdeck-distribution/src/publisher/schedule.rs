//! The schedule of messages to subscribers.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use super::{ABANDONED_LOG_RETENTION, NextUpdate, Publisher, SubscriberId, SubscriberState};
use crate::cadence::Cadence;
use crate::event_log::PositionError;

/// Number of phases of the batch interval over which subscribers are distributed.
const BATCH_PHASES: u64 = 16;
/// 2^64 divided by the golden ratio: its multiples, modulo 2^64, are evenly distributed.
const GOLDEN_RATIO_64: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time between two batches to a subscriber that is catching up.
pub(super) const CATCH_UP_INTERVAL: Span = Span::from_ms(20);
/// Time after which a subscriber that was reported as due and has not been served is reported again.
const DUE_REPEAT_INTERVAL: Span = Span::from_ms(100);
/// The minimum time from a subscriber's last message to its next regular batch, as a fraction of the batch interval. A
/// sooner batch would cost a message and shorten the delay little.
const MIN_BATCH_SPACING_RATIO: f64 = 0.5;

impl Publisher {
    /// Returns the subscribers that are to be sent a message now. The caller calls
    /// [`update_for`](Publisher::update_for) for each one whose connection can accept it; the others are reported again
    /// a little later.
    pub fn due(&mut self, now: Time) -> Vec<SubscriberId> {
        if now < self.next_due {
            return Vec::new();
        }
        self.log.prune(now);
        self.abandoned
            .take_if(|abandoned| now.since(abandoned.since) >= ABANDONED_LOG_RETENTION);
        let mut due = Vec::new();
        let mut next_due = Time::NEVER;
        for (id, subscriber) in &self.subscribers {
            let at = self.due_at(now, *id, subscriber);
            if at <= now {
                due.push(*id);
                next_due = next_due.min(now + DUE_REPEAT_INTERVAL);
            } else {
                next_due = next_due.min(at);
            }
        }
        for id in &due {
            let subscriber = self.subscribers.get_mut(id);
            let reported_due_at =
                subscriber.and_then(|subscriber| subscriber.reported_due_at.replace(now));
            self.counters.passed_over += u64::from(reported_due_at.is_some());
        }
        self.next_due = next_due;
        due
    }

    /// Returns when a subscriber may be due next. It is a lower bound: there may be none due at that time. `None` if
    /// there are no subscribers.
    pub fn next_due(&self) -> Option<Time> {
        Some(self.next_due).filter(|_| !self.subscribers.is_empty())
    }

    /// Schedules the next check after an event: at the next phase of the batch interval, or now if the event is urgent.
    pub(super) fn advance_next_due(&mut self, now: Time, is_urgent: bool) {
        let step = self.cadence.batch_interval * (1.0 / BATCH_PHASES as f64);
        let next = if is_urgent {
            now
        } else {
            next_multiple(now, step, Span::ZERO)
        };
        self.next_due = self.next_due.min(next);
    }

    fn due_at(&self, now: Time, id: SubscriberId, subscriber: &SubscriberState) -> Time {
        let due = if subscriber.is_unanswered {
            subscriber.last_sent
        } else {
            self.next_message(now, id, subscriber)
        };
        subscriber.reported_due_at.map_or(due, |reported_due_at| {
            due.max(reported_due_at + DUE_REPEAT_INTERVAL)
        })
    }

    fn next_message(&self, now: Time, id: SubscriberId, subscriber: &SubscriberState) -> Time {
        let heartbeat = subscriber.last_sent + self.cadence.heartbeat_interval;
        let known_position = match subscriber.next_update {
            NextUpdate::EventsAfter(position) => self.check_position(position).map(|()| position),
            NextUpdate::Snapshot => Err(PositionError::Unknown),
        };
        match known_position {
            Ok(position) => heartbeat.min(self.next_batch(id, subscriber, position)),
            Err(PositionError::Unknown) if self.is_current(now) => {
                subscriber.last_sent + self.cadence.urgent_delay
            }
            Err(_) => heartbeat,
        }
    }

    fn next_batch(
        &self,
        id: SubscriberId,
        subscriber: &SubscriberState,
        position: EventPosition,
    ) -> Time {
        let Some(received_at) = self.log.next_event_received_at(position) else {
            return Time::NEVER;
        };
        if subscriber.is_catching_up {
            return subscriber.last_sent + CATCH_UP_INTERVAL;
        }
        let Cadence {
            batch_interval,
            urgent_delay,
            ..
        } = self.cadence;
        let phase = batch_phase(id);
        let from = received_at.max(subscriber.last_sent + batch_interval * MIN_BATCH_SPACING_RATIO);
        let batch = next_multiple(from, batch_interval, batch_interval * phase);
        match self.log.next_urgent_event_received_at(position) {
            Some(received_at) => {
                let urgent =
                    (received_at + urgent_delay * phase).max(subscriber.last_sent + urgent_delay);
                batch.min(urgent)
            }
            None => batch,
        }
    }
}

/// Returns a subscriber's phase as a fraction of the batch interval, from 0 to below 1. Consecutive ids are distributed
/// evenly.
fn batch_phase(id: SubscriberId) -> f64 {
    let phase = id.0.wrapping_mul(GOLDEN_RATIO_64) / (u64::MAX / BATCH_PHASES + 1);
    phase as f64 / BATCH_PHASES as f64
}

/// Returns the first time not before `from` that is `offset` after a multiple of `interval`.
fn next_multiple(from: Time, interval: Span, offset: Span) -> Time {
    let (from, interval, offset) = (from.ms(), interval.ms().max(1.0), offset.ms());
    let intervals = ((from - offset) / interval).ceil().max(0.0);
    Time::at_ms(intervals * interval + offset)
}
