//! How a forwarder applies guidance from a planner.

use flaxdeck::{CaughtUpAt, CompleteAsOf, Sampled, Span, Time};
use flaxdeck_recovery::EventPosition;

use super::{Exchange, ForwarderSession};
use crate::COORDINATOR_TIMEOUT;
use crate::error::{InvalidMessage, MessageError};
use crate::membership::PlannerId;
use crate::messages::{
    Epoch, Guidance, LinkLoad, MAX_EVENTS, MAX_INCARNATIONS, MAX_RATINGS, PeerSummary, Rating,
    RelayedEvent, Stamp,
};
use crate::ratings::{is_valid_link, is_valid_rating};

fn span_of(ms: u32) -> Span {
    Span::from_ms(u64::from(ms))
}

impl ForwarderSession {
    /// Applies a planner's guidance and returns those of its events that follow `last_event`, in order. Guidance of a
    /// planner with another numbering of events has no such events and does not confirm the endpoint list.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if the guidance is rejected; the reason is counted. If the content is
    /// [`Invalid`](MessageError::Invalid), its valid grants may still be applied, which does no harm because no more is
    /// used of a grant than was demanded.
    pub fn apply_guidance(
        &mut self,
        now: Time,
        from: PlannerId,
        guidance: Guidance,
        last_event: EventPosition,
    ) -> Result<Vec<RelayedEvent>, MessageError> {
        if let Err(error) = self.admit(now, from, &guidance) {
            self.count(error);
            return Err(error);
        }
        // Ages count back from when this forwarder created the report that the guidance answers. The planner computed
        // them later than that, so network delay makes values look older than they are, never newer.
        let as_of = guidance.envelope.echo.map_or(now, Stamp::time);
        let events = following_events(guidance.events, guidance.after, last_event);
        self.counters.relayed += events.len() as u64;
        let last = events.last().map_or(last_event, |event| event.position);
        let is_same = guidance.coordinator_position == Some(last);
        self.record_coordinator_knowledge(as_of, from, is_same, guidance.coordinator_ago_ms);
        if let Some(link) = guidance.link {
            self.record_peers_link(as_of, link);
        }
        self.record_ratings(as_of, guidance.ratings);
        Ok(events)
    }

    /// Records what a planner knew of the coordinator's events as of `as_of`. `is_same` is true if it had caught up and
    /// stood at the last event that is known here.
    fn record_coordinator_knowledge(
        &mut self,
        as_of: Time,
        from: PlannerId,
        is_same: bool,
        heartbeat_ago_ms: Option<u32>,
    ) {
        let exchange = &mut self.exchanges[from.0 as usize];
        exchange.caught_up_at = is_same.then(|| caught_up_at(as_of, heartbeat_ago_ms));
        if let Some(ago_ms) = heartbeat_ago_ms.filter(|_| is_same) {
            self.note_complete(CompleteAsOf::by_planner(as_of - span_of(ago_ms)));
        }
    }

    fn count(&mut self, error: MessageError) {
        let counters = &mut self.counters;
        let count = match error {
            MessageError::OldEpoch { .. } => &mut counters.old_epoch,
            MessageError::OutOfOrder { .. } => &mut counters.out_of_order,
            MessageError::WrongRecipient { .. } => &mut counters.not_for_us,
            MessageError::Invalid(_) => &mut counters.invalid_message,
            MessageError::SenderIgnored { .. } => &mut counters.sender_ignored,
        };
        *count += 1;
    }

    /// Validates guidance, and applies the parts of it that concern leases.
    fn admit(
        &mut self,
        now: Time,
        from: PlannerId,
        guidance: &Guidance,
    ) -> Result<(), MessageError> {
        let envelope = guidance.envelope;
        let planner = self
            .planners
            .get_mut(from.0 as usize)
            .ok_or(InvalidMessage::UnknownPlanner(from.0))?;
        if envelope.to != self.epoch {
            return Err(MessageError::WrongRecipient {
                addressed: envelope.to,
                own: self.epoch,
            });
        }
        let epoch_before = planner.epoch();
        planner.admit(now, envelope.from, envelope.number)?;
        let exchange = &mut self.exchanges[from.0 as usize];
        if envelope.from != epoch_before {
            exchange.echo = None;
            exchange.version = 0;
        }
        let echo = envelope.echo.map_or(now, Stamp::time);
        if let Err(invalid) = self.check(now, echo, guidance) {
            self.planners[from.0 as usize].record_invalid_message(now);
            return Err(invalid.into());
        }
        self.record_peer_summaries(now, echo, &guidance.incarnations);
        self.planners[from.0 as usize].record_valid(echo);
        let exchange = &mut self.exchanges[from.0 as usize];
        exchange.echo = Some(envelope.sent);
        exchange.version = guidance.version;
        self.counters.guidance += 1;
        self.record_outstanding(now, from, guidance.outstanding_ms);
        Ok(())
    }

    /// Validates the content of guidance and accepts its valid grants, unless a list is too long or the echoed stamp is
    /// in the future.
    fn check(&mut self, now: Time, echo: Time, guidance: &Guidance) -> Result<(), InvalidMessage> {
        InvalidMessage::check_length(guidance.grants.len(), MAX_INCARNATIONS)?;
        InvalidMessage::check_length(guidance.ratings.len(), MAX_RATINGS)?;
        InvalidMessage::check_length(guidance.events.len(), MAX_EVENTS)?;
        InvalidMessage::check_length(guidance.incarnations.len(), MAX_INCARNATIONS)?;
        if echo > now {
            return Err(InvalidMessage::StampFromTheFuture { echo, now });
        }
        // The amount granted is bounded by the demand, so the valid grants of a message with an invalid one do no harm.
        let grants = self.accept_grants(now, guidance.envelope.from, echo, guidance);
        if !guidance.ratings.iter().all(is_valid_rating) {
            return Err(InvalidMessage::Rating);
        }
        match guidance.link {
            Some(link) if !is_valid_link(&link) => Err(InvalidMessage::Link(link.utilization)),
            _ => grants,
        }
    }

    /// Accepts all valid grants; returns the error of the first invalid one, if any.
    fn accept_grants(
        &mut self,
        now: Time,
        planner: Epoch,
        requested_at: Time,
        guidance: &Guidance,
    ) -> Result<(), InvalidMessage> {
        let mut result = Ok(());
        for grant in &guidance.grants {
            let accepted = self.quotas.accept_grant(now, planner, requested_at, grant);
            result = result.and(accepted);
        }
        Ok(result?)
    }

    fn record_peer_summaries(&mut self, now: Time, as_of: Time, summaries: &[PeerSummary]) {
        for summary in summaries {
            if summary.demanded {
                self.quotas
                    .record_peer_demand(now, as_of, &summary.incarnation);
            }
            let in_flight = Sampled {
                value: f64::from(summary.peers_in_flight),
                at: as_of,
            };
            self.peers_in_flight
                .insert(summary.incarnation.clone(), in_flight);
        }
    }

    /// Records for how long deposits that an earlier run of this forwarder lent to a planner may still be outstanding.
    /// Once all planners have reported that, the own shares may be used after the last of these times.
    fn record_outstanding(&mut self, now: Time, from: PlannerId, outstanding_ms: Option<u32>) {
        // Once this run may use its own shares, and so lend them, deposits of an earlier run no longer matter.
        if let Some(ms) = outstanding_ms
            && !self.quotas.has_own_share(now)
        {
            self.exchanges[from.0 as usize].outstanding_until = Some(now + span_of(ms));
        }
        let outstanding_until = self
            .exchanges
            .iter()
            .map(|exchange: &Exchange| exchange.outstanding_until)
            .collect::<Option<Vec<Time>>>();
        if let Some(until) = outstanding_until.into_iter().flatten().max() {
            self.quotas.use_own_share_by(until);
        }
    }

    fn record_peers_link(&mut self, as_of: Time, link: LinkLoad) {
        let reported = Sampled {
            value: f64::from(link.utilization),
            at: as_of - span_of(link.ago_ms),
        };
        if self.peers_link.is_none_or(|known| reported.at >= known.at) {
            self.peers_link = Some(reported);
        }
    }

    fn record_ratings(&mut self, as_of: Time, ratings: Vec<Rating>) {
        for rating in ratings {
            let host = rating.host.clone();
            let rating = Sampled {
                value: rating,
                at: as_of,
            };
            self.new_ratings.insert(host, rating);
        }
    }
}

/// Returns the events that follow `last` without a gap, out of a message's `events`, the first of which follows
/// `after`.
fn following_events(
    mut events: Vec<RelayedEvent>,
    after: EventPosition,
    mut last: EventPosition,
) -> Vec<RelayedEvent> {
    let mut before = after;
    events.retain(|event| {
        let follows = before == last && event.position.number == last.number + 1;
        before = event.position;
        if follows {
            last = event.position;
        }
        follows
    });
    events
}

/// Returns when a planner had caught up, if it reported so as of `as_of`, and that the coordinator's last heartbeat was
/// `heartbeat_ago_ms` before. An age of up to [`COORDINATOR_TIMEOUT`] counts as none: between two heartbeats, a planner
/// on a working connection would receive any change at once.
fn caught_up_at(as_of: Time, heartbeat_ago_ms: Option<u32>) -> CaughtUpAt {
    let overdue = heartbeat_ago_ms.map_or(Span::ZERO, |ago| {
        span_of(ago).saturating_sub(COORDINATOR_TIMEOUT)
    });
    CaughtUpAt::new(as_of - overdue)
}
