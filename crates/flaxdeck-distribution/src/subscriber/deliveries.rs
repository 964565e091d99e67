//! What a subscriber applies of what planners deliver.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use super::checks::{check_batch, check_snapshot};
use super::planner::RETRY_AFTER;
use super::{Applied, DeliveryError, InvalidDelivery, PlannerNumber, Subscriber};
use crate::fingerprint::Fingerprint;
use crate::messages::{Batch, Delivery, FullEvent, Snapshot, Subscription, Update};

/// Between two requests to a planner whose batches do not follow the position.
const RESYNC_AFTER: Span = Span::from_ms(100);
/// An event of the coordinator's comes to one instance later than to another by at most this.
const COORDINATOR_SKEW: Span = Span::from_ms(200);
/// Beyond the hosts' time a snapshot's purges have to reach back so far: for clocks that run apart.
const REACH_MARGIN: Span = Span::from_ms(500);
/// A message is taken to have been written no longer ago than this, unless its connection proves more.
const MAX_TRANSIT: Span = Span::from_ms(500);

fn span_of(ms: u32) -> Span {
    Span::from_ms(u64::from(ms))
}

impl Subscriber {
    /// Takes in what a planner has delivered, wholly or not at all.
    ///
    /// # Errors
    ///
    /// [`DeliveryError`] if nothing of it was applied; the reason is counted.
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
        self.choose(now);
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
            let applied = self.follow(now, purges, events, last);
            self.planner_mut(from).retry_at = None;
            // Nothing new from a planner that has lost the coordinator says nothing.
            if applied != Applied::Nothing || ago_ms.is_some() {
                self.record_useful_delivery(now, from);
            }
            self.confirm(now, from, ago_ms);
            return Ok(applied);
        }
        self.check_known(after, last)?;
        self.receive_known(now, from, last, ago_ms);
        Ok(Applied::Nothing)
    }

    /// Whether a batch that does not follow the position is of what is known already.
    fn check_known(&self, after: EventPosition, last: EventPosition) -> Result<(), DeliveryError> {
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

    /// A batch that begins and ends where it should. The position moves last, once all is ready to be handed out.
    fn follow(
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

    /// The coordinator itself, or another planner, was faster. What of it is new can't be told apart, as the purges have
    /// no numbers; the planner is told the position, and goes on from there.
    fn receive_known(
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
        // The snapshot was written before it came, so what reaches back for that time from then reaches back further
        // from now, and all that came to the planner later comes by batches.
        let may_miss_purges = span_of(purges_reach_ms) < self.settles + REACH_MARGIN;
        self.counters.snapshots += 1;
        self.counters.incomplete_snapshots += u64::from(may_miss_purges);
        self.set_position(now, position);
        self.record_useful_delivery(now, from);
        self.confirm(now, from, ago_ms);
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
        let Some(known_at) = self.known_at(from, ago_ms) else {
            return stale;
        };
        let is_newer = self
            .last_moved
            .is_none_or(|moved| known_at > moved + COORDINATOR_SKEW);
        if !is_newer {
            return stale;
        }
        if snapshot.position.number < self.position.number && !self.needs_snapshot {
            // Its planner knows all that the coordinator has, and that is less: the numbering is another. It is asked for.
            self.needs_snapshot = true;
            return stale;
        }
        Ok(())
    }

    /// A moment up to which the planner had heard the coordinator when it answered: it wrote after it was asked.
    fn known_at(&self, from: PlannerNumber, ago_ms: u32) -> Option<Time> {
        let planner = self.planner(from);
        let request = planner
            .request
            .filter(|request| request.subscription != Subscription::None)?;
        let written = planner.echoed.unwrap_or(request.first);
        Some(written - span_of(ago_ms))
    }

    fn receive_behind(&mut self, now: Time, from: PlannerNumber) {
        self.counters.behind += 1;
        self.planner_mut(from).is_behind = true;
        self.behind_since.get_or_insert(now);
    }

    /// A planner has delivered what was of use.
    fn record_useful_delivery(&mut self, now: Time, from: PlannerNumber) {
        self.coordinator_need.delivered(now);
        self.planner_mut(from).record_delivery(now);
        if self.candidate == Some(from) {
            (self.followed, self.candidate) = (Some(from), None);
        }
        if self.followed == Some(from) {
            self.silences = 0;
        }
    }

    /// All is known here that the planner knew, and it knew all that the coordinator had so long ago.
    fn confirm(&mut self, now: Time, from: PlannerNumber, ago_ms: Option<u32>) {
        let Some(ago_ms) = ago_ms else { return };
        let echoed = self.planner(from).echoed;
        let written = echoed.map_or(now - MAX_TRANSIT, |echoed| echoed.min(now));
        self.confirmed_at = self.confirmed_at.max(Some(written - span_of(ago_ms)));
    }
}
