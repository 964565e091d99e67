//! When each subscriber is to be sent something.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use super::{ABANDONED_KEPT_FOR, Member, Publisher, SubscriberId, Wanted};
use crate::cadence::Cadence;
use crate::event_log::NotKept;

/// Places in the interval between two batches at which subscribers are served.
const PLACES: u64 = 16;
/// 2^64 over the golden ratio: multiples of it are spread evenly.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
/// Between two batches to a subscriber that is catching up.
pub(super) const CATCH_UP_INTERVAL: Span = Span::from_ms(20);
/// A subscriber that was due and was not served is named again after so long.
const OFFER_AGAIN_AFTER: Span = Span::from_ms(100);
/// A batch sooner than this part of the interval after another would cost a message and hasten little.
const MIN_BATCH_DISTANCE: f64 = 0.5;

impl Publisher {
    /// Who is to be sent something now. Each one that can take it gets an [`update_for`](Publisher::update_for); the
    /// others are named again a little later.
    pub fn due(&mut self, now: Time) -> Vec<SubscriberId> {
        if now < self.next_due {
            return Vec::new();
        }
        self.log.prune(now);
        self.abandoned
            .take_if(|abandoned| now.since(abandoned.since) >= ABANDONED_KEPT_FOR);
        let mut due = Vec::new();
        let mut next_due = Time::NEVER;
        for (id, member) in &self.members {
            let at = self.due_at(now, *id, member);
            if at <= now {
                due.push(*id);
                next_due = next_due.min(now + OFFER_AGAIN_AFTER);
            } else {
                next_due = next_due.min(at);
            }
        }
        for id in &due {
            let member = self.members.get_mut(id);
            let offered = member.and_then(|member| member.offered.replace(now));
            self.counters.passed_over += u64::from(offered.is_some());
        }
        self.next_due = next_due;
        due
    }

    /// When somebody is due next; it may be that nobody is by then.
    pub fn next_due(&self) -> Option<Time> {
        Some(self.next_due).filter(|_| !self.members.is_empty())
    }

    /// An event has come: somebody may be due at the next place in the interval, or now.
    pub(super) fn hasten(&mut self, now: Time, is_urgent: bool) {
        let step = self.cadence.batch_interval * (1.0 / PLACES as f64);
        let next = if is_urgent {
            now
        } else {
            next_multiple(now, step, Span::ZERO)
        };
        self.next_due = self.next_due.min(next);
    }

    fn due_at(&self, now: Time, id: SubscriberId, member: &Member) -> Time {
        let due = if member.is_unanswered {
            member.last_sent
        } else {
            self.next_message(now, id, member)
        };
        member
            .offered
            .map_or(due, |offered| due.max(offered + OFFER_AGAIN_AFTER))
    }

    fn next_message(&self, now: Time, id: SubscriberId, member: &Member) -> Time {
        let heartbeat = member.last_sent + self.cadence.heartbeat_interval;
        let kept = match member.wanted {
            Wanted::EventsAfter(position) => self.follows(position).map(|()| position),
            Wanted::Snapshot => Err(NotKept::Unknown),
        };
        match kept {
            Ok(position) => heartbeat.min(self.next_batch(id, member, position)),
            Err(NotKept::Unknown) if self.is_current(now) => {
                member.last_sent + self.cadence.urgent_delay
            }
            Err(_) => heartbeat,
        }
    }

    fn next_batch(&self, id: SubscriberId, member: &Member, position: EventPosition) -> Time {
        let Some(came) = self.log.next_after(position) else {
            return Time::NEVER;
        };
        if member.is_catching_up {
            return member.last_sent + CATCH_UP_INTERVAL;
        }
        let Cadence {
            batch_interval,
            urgent_delay,
            ..
        } = self.cadence;
        let place = place_of(id);
        let from = came.max(member.last_sent + batch_interval * MIN_BATCH_DISTANCE);
        let batch = next_multiple(from, batch_interval, batch_interval * place);
        match self.log.next_urgent_after(position) {
            Some(came) => {
                let urgent = (came + urgent_delay * place).max(member.last_sent + urgent_delay);
                batch.min(urgent)
            }
            None => batch,
        }
    }
}

/// A subscriber's place in the interval, from 0 to below 1: ids that follow each other are spread evenly.
fn place_of(id: SubscriberId) -> f64 {
    let place = id.0.wrapping_mul(GOLDEN) / (u64::MAX / PLACES + 1);
    place as f64 / PLACES as f64
}

/// The first moment not before `from` that is `offset` after a multiple of `interval`.
fn next_multiple(from: Time, interval: Span, offset: Span) -> Time {
    let (from, interval, offset) = (from.ms(), interval.ms().max(1.0), offset.ms());
    let intervals = ((from - offset) / interval).ceil().max(0.0);
    Time::at_ms(intervals * interval + offset)
}
