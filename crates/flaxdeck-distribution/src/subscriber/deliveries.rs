//! Applies deliveries of planners to a subscriber.

use flaxdeck::{CaughtUpAt, CompleteAsOf, Span, Time};
use flaxdeck_recovery::EventPosition;

use super::checks::{check_batch, check_snapshot};
use super::planner::RETRY_AFTER;
use super::{Applied, DeliveryError, InvalidDelivery, PlannerNumber, Subscriber};
use crate::fingerprint::Fingerprint;
use crate::messages::{Batch, Delivery, FullEvent, Snapshot, Subscription, Update};

/// Time until the position is sent again to a planner whose batches do not follow it.
const RESYNC_AFTER: Span = Span::from_ms(100);
/// The maximum difference between the times at which two instances receive the same event from the coordinator.
const COORDINATOR_SKEW: Span = Span::from_ms(200);
/// Added to the hosts' settle time when checking how far back a snapshot's purges reach, to allow for clock drift.
const REACH_MARGIN: Span = Span::from_ms(500);
/// The assumed maximum transit time of a message whose connection provides no echo.
const MAX_TRANSIT: Span = Span::from_ms(500);

fn span_from_ms(ms: u32) -> Span {
    Span::from_ms(u64::from(ms))
}

impl Subscriber {
    /// Processes a planner's delivery, completely or not at all.
    ///
    /// # Errors
    ///
    /// [`DeliveryError`] if nothing was applied; the reason is counted.
    pub fn receive(
        &mut self,
        now: Time,
        from: PlannerNumber,
        delivery: Delivery,
    ) -> Result<Applied, DeliveryError> {
        let known = self.planners.get_mut(from.0 as usize);
        let Some(planner) = known.filter(|planner| planner.is_connected()) else {
            self.counters.not_connected += 1;
            return Err(DeliveryError::NotConnected(from));
        };
        let mut is_unwanted = true;
        if let Some(request) = &mut planner.request {
            request.is_answered = true;
            is_unwanted = request.subscription == Subscription::None;
        }
        if is_unwanted {
            planner.retry_by(now + RETRY_AFTER);
        }
        let ago_ms = delivery.coordinator_ago_ms;
        let result = match delivery.update {
            Update::Batch(batch) => self.receive_batch(now, from, batch, ago_ms),
            Update::Snapshot(snapshot) => self.receive_snapshot(now, from, *snapshot, ago_ms),
            Update::Behind { .. } => {
                self.receive_behind(now, from);
                Ok(Applied::Nothing)
            }
        };
        if let Err(error) = result {
            self.record_error(now, from, error);
        }
        self.select_planner(now);
        result
    }

    fn record_error(&mut self, now: Time, from: PlannerNumber, error: DeliveryError) {
        let counters = &mut self.counters;
        let (count, retry_after) = match error {
            DeliveryError::Gap { .. } => (&mut counters.gaps, RESYNC_AFTER),
            DeliveryError::OtherNumbering(_) => (&mut counters.other_numbering, RESYNC_AFTER),
            DeliveryError::StaleSnapshot(_) => (&mut counters.stale, RESYNC_AFTER),
            DeliveryError::Invalid(_) => (&mut counters.invalid, RETRY_AFTER),
            DeliveryError::NotConnected(_) => (&mut counters.not_connected, RETRY_AFTER),
        };
        *count += 1;
        self.planner_mut(from).retry_by(now + retry_after);
    }

    fn receive_batch(
        &mut self,
        now: Time,
        from: PlannerNumber,
        batch: Batch,
        ago_ms: Option<u32>,
    ) -> Result<Applied, DeliveryError> {
        let purges = check_batch(&batch)?;
        let Batch {
            after,
            last,
            events,
            ..
        } = batch;
        if after == self.position {
            let applied = self.apply_batch(now, purges, events, last);
            self.planner_mut(from).retry_at = None;
            // A heartbeat from a planner that has lost the coordinator does not count as a useful delivery.
            if applied != Applied::Nothing || ago_ms.is_some() {
                self.record_useful_delivery(now, from);
            }
            self.confirm(now, from, ago_ms);
            return Ok(applied);
        }
        self.check_overlaps_position(after, last)?;
        self.receive_overlapping(now, from, last, ago_ms);
        Ok(Applied::Nothing)
    }

    /// Checks that a batch that does not begin at the position begins before it, in the same numbering.
    fn check_overlaps_position(
        &self,
        after: EventPosition,
        last: EventPosition,
    ) -> Result<(), DeliveryError> {
        let is_other = |position: &EventPosition| {
            position.number == self.position.number && *position != self.position
        };
        if let Some(other) = [after, last].into_iter().find(is_other) {
            return Err(DeliveryError::OtherNumbering(other));
        }
        if after.number > self.position.number {
            return Err(DeliveryError::Gap {
                after,
                position: self.position,
            });
        }
        Ok(())
    }

    /// Applies a batch that has been checked to follow the position. The position changes last, once all content is
    /// ready to be returned.
    fn apply_batch(
        &mut self,
        now: Time,
        purges: Vec<Fingerprint>,
        events: Vec<FullEvent>,
        last: EventPosition,
    ) -> Applied {
        if last == self.position {
            self.counters.heartbeats += 1;
            return Applied::Nothing;
        }
        self.counters.batches += 1;
        self.counters.purges += purges.len() as u64;
        self.counters.events += events.len() as u64;
        self.set_position(now, last);
        Applied::Events {
            purges,
            events,
            last,
        }
    }

    /// Processes a batch that overlaps what was already applied, from the coordinator itself or from another planner.
    /// The new part cannot be separated, as the purges in a digest have no numbers; the planner is sent the position
    /// and continues from there.
    fn receive_overlapping(
        &mut self,
        now: Time,
        from: PlannerNumber,
        last: EventPosition,
        ago_ms: Option<u32>,
    ) {
        self.counters.duplicates += 1;
        if ago_ms.is_some() {
            self.record_useful_delivery(now, from);
        }
        if last == self.position {
            self.confirm(now, from, ago_ms);
        } else {
            self.planner_mut(from).retry_by(now + RESYNC_AFTER);
        }
    }

    fn receive_snapshot(
        &mut self,
        now: Time,
        from: PlannerNumber,
        snapshot: Snapshot,
        ago_ms: Option<u32>,
    ) -> Result<Applied, DeliveryError> {
        let purges = check_snapshot(&snapshot)?;
        let known_ago_ms = ago_ms.ok_or(InvalidDelivery::NotCurrent)?;
        self.check_snapshot_is_newer(from, &snapshot, known_ago_ms)?;
        let Snapshot {
            position,
            list,
            group_purges,
            purges_reach_ms,
            ..
        } = snapshot;
        // The reach counts back from when the snapshot was written, which was before now, so its purges go back at
        // least that far from now. What the planner received after that is sent in batches.
        let may_miss_purges = span_from_ms(purges_reach_ms) < self.settle_time + REACH_MARGIN;
        self.counters.snapshots += 1;
        self.counters.incomplete_snapshots += u64::from(may_miss_purges);
        self.set_position(now, position);
        self.record_useful_delivery(now, from);
        self.note_caught_up(self.earliest_write_time(now, from) - span_from_ms(known_ago_ms));
        Ok(Applied::Snapshot {
            list,
            purges,
            group_purges,
            position,
            may_miss_purges,
        })
    }

    fn check_snapshot_is_newer(
        &mut self,
        from: PlannerNumber,
        snapshot: &Snapshot,
        ago_ms: u32,
    ) -> Result<(), DeliveryError> {
        let stale = Err(DeliveryError::StaleSnapshot(snapshot.position));
        let Some(coordinator_heard_at) = self.coordinator_heard_at(from, ago_ms) else {
            return stale;
        };
        let is_newer = self
            .position_changed_at
            .is_none_or(|changed_at| coordinator_heard_at > changed_at + COORDINATOR_SKEW);
        if !is_newer {
            return stale;
        }
        if snapshot.position.number < self.position.number && !self.needs_snapshot {
            // The planner has all of the coordinator's events, and their number is lower: the numbering has changed.
            // Request a snapshot, so that the next one is accepted.
            self.needs_snapshot = true;
            return stale;
        }
        Ok(())
    }

    /// Returns a lower bound for when the planner last received a message from the coordinator: `ago_ms` before the
    /// forwarder sent the last message that the planner has certainly received when it wrote the delivery. Without an
    /// echo from the connection, that is the last request as it was first sent.
    fn coordinator_heard_at(&self, from: PlannerNumber, ago_ms: u32) -> Option<Time> {
        let planner = self.planner(from);
        let request = planner
            .request
            .filter(|request| request.subscription != Subscription::None)?;
        let written = planner.echoed_send_time.unwrap_or(request.first_sent);
        Some(written - span_from_ms(ago_ms))
    }

    fn receive_behind(&mut self, now: Time, from: PlannerNumber) {
        self.counters.behind += 1;
        self.planner_mut(from).is_behind = true;
        self.behind_since.get_or_insert(now);
    }

    /// Records a useful delivery of a planner: one with new events, or from a planner that has all of the coordinator's
    /// events.
    fn record_useful_delivery(&mut self, now: Time, from: PlannerNumber) {
        self.coordinator_need.delivered(now);
        self.planner_mut(from).record_delivery(now);
        if self.candidate == Some(from) {
            (self.followed, self.candidate) = (Some(from), None);
        }
        if self.followed == Some(from) {
            self.silent_failovers = 0;
        }
    }

    /// Records what a batch says of the planner, all of whose events are applied here: it seemed to have all of the
    /// coordinator's when it wrote the batch, and certainly had them `ago_ms` before.
    fn confirm(&mut self, now: Time, from: PlannerNumber, ago_ms: Option<u32>) {
        let Some(ago_ms) = ago_ms else { return };
        let written = self.earliest_write_time(now, from);
        self.note_caught_up(written);
        let as_of = CompleteAsOf::by_planner(written - span_from_ms(ago_ms));
        self.complete_as_of = self.complete_as_of.max(Some(as_of));
    }

    fn note_caught_up(&mut self, at: Time) {
        self.caught_up_at = self.caught_up_at.max(Some(CaughtUpAt::new(at)));
    }

    /// Returns when a planner wrote the delivery that was received at `now`, at the earliest.
    fn earliest_write_time(&self, now: Time, from: PlannerNumber) -> Time {
        let echoed = self.planner(from).echoed_send_time;
        echoed.map_or(now - MAX_TRANSIT, |sent| sent.min(now))
    }
}
