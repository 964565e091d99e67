//! What a forwarder takes from a planner's guidance.

use flaxdeck::{Sampled, Span, Time};
use flaxdeck_recovery::EventPosition;

use super::freshness::COORDINATOR_TIMEOUT;
use super::{Exchange, ForwarderSession};
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
    /// Takes in a planner's guidance. Gives those of its events that follow `last_event`, in order; a planner that
    /// follows another numbering has none, and confirms nothing.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if it was not taken; then the reason is counted. Of guidance that is
    /// [`Invalid`](MessageError::Invalid) the grants that can be are taken all the same, as nothing is granted beyond
    /// what was demanded.
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
        // Ages count from when the report was written that is answered, which is before they were true: delay makes
        // them older, never younger.
        let true_at = guidance.envelope.echo.map_or(now, Stamp::time);
        let events = following_events(guidance.events, guidance.after, last_event);
        self.counters.relayed += events.len() as u64;
        let last = events.last().map_or(last_event, |event| event.position);
        let is_current = guidance.coordinator_position == Some(last);
        let heard_ago = guidance.coordinator_ago_ms.filter(|_| is_current);
        self.exchanges[from.0 as usize].confirmed_at =
            heard_ago.map(|ago| confirmed_at(true_at, ago));
        if let Some(link) = guidance.link {
            self.record_peers_link(true_at, link);
        }
        self.record_ratings(true_at, guidance.ratings);
        Ok(events)
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

    /// Checks guidance, and takes in what concerns leases.
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

    /// Whether guidance can be true; accepts its grants unless all of it is out of bounds.
    fn check(&mut self, now: Time, echo: Time, guidance: &Guidance) -> Result<(), InvalidMessage> {
        InvalidMessage::check_length(guidance.grants.len(), MAX_INCARNATIONS)?;
        InvalidMessage::check_length(guidance.ratings.len(), MAX_RATINGS)?;
        InvalidMessage::check_length(guidance.events.len(), MAX_EVENTS)?;
        InvalidMessage::check_length(guidance.incarnations.len(), MAX_INCARNATIONS)?;
        if echo > now {
            return Err(InvalidMessage::StampFromTheFuture { echo, now });
        }
        // What is granted is bounded by what was demanded, so the rest of a message with one bad grant does no harm.
        let grants = self.accept_grants(now, guidance.envelope.from, echo, guidance);
        if !guidance.ratings.iter().all(is_valid_rating) {
            return Err(InvalidMessage::Rating);
        }
        match guidance.link {
            Some(link) if !is_valid_link(&link) => Err(InvalidMessage::Link(link.utilization)),
            _ => grants,
        }
    }

    /// Accepts all grants that can be; gives what is wrong with the first of the others.
    fn accept_grants(
        &mut self,
        now: Time,
        planner: Epoch,
        asked: Time,
        guidance: &Guidance,
    ) -> Result<(), InvalidMessage> {
        let mut result = Ok(());
        for grant in &guidance.grants {
            let accepted = self.quotas.accept_grant(now, planner, asked, grant);
            result = result.and(accepted);
        }
        Ok(result?)
    }

    fn record_peer_summaries(&mut self, now: Time, true_at: Time, summaries: &[PeerSummary]) {
        for summary in summaries {
            if summary.demanded {
                self.quotas
                    .record_peer_demand(now, true_at, &summary.incarnation);
            }
            let in_flight = Sampled {
                value: f64::from(summary.peers_in_flight),
                at: true_at,
            };
            self.peers_in_flight
                .insert(summary.incarnation.clone(), in_flight);
        }
    }

    /// A planner has told for how long something may be outstanding that an earlier run of this forwarder lent to it.
    /// Once all planners have, the own shares may be used as soon as nothing is.
    fn record_outstanding(&mut self, now: Time, from: PlannerId, outstanding_ms: Option<u32>) {
        // Once this run lends itself, what an earlier one lent is of no more interest.
        if let Some(ms) = outstanding_ms
            && !self.quotas.has_own_share(now)
        {
            self.exchanges[from.0 as usize].outstanding_until = Some(now + span_of(ms));
        }
        let all_until = self
            .exchanges
            .iter()
            .map(|exchange: &Exchange| exchange.outstanding_until)
            .collect::<Option<Vec<Time>>>();
        if let Some(until) = all_until.into_iter().flatten().max() {
            self.quotas.use_own_share_by(until);
        }
    }

    fn record_peers_link(&mut self, true_at: Time, link: LinkLoad) {
        let told = Sampled {
            value: f64::from(link.utilization),
            at: true_at - span_of(link.ago_ms),
        };
        if self.peers_link.is_none_or(|known| told.at >= known.at) {
            self.peers_link = Some(told);
        }
    }

    fn record_ratings(&mut self, true_at: Time, ratings: Vec<Rating>) {
        for rating in ratings {
            let host = rating.host.clone();
            let rating = Sampled {
                value: rating,
                at: true_at,
            };
            self.new_ratings.insert(host, rating);
        }
    }
}

/// The events that follow `last`, one after another, of those of a message that begin after `after`.
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

/// When the coordinator was surely heard by a planner that told at `true_at` how long ago that was. Between two of the
/// coordinator's messages a planner on a good connection would hear of any change at once.
fn confirmed_at(true_at: Time, coordinator_ago_ms: u32) -> Time {
    true_at - span_of(coordinator_ago_ms).saturating_sub(COORDINATOR_TIMEOUT)
}
