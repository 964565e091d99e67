//! The actions of the model's planners and forwarder on the messages that they receive.

use std::collections::BTreeSet;

use flaxdeck::{CompleteAsOf, CoordinatorKnowledge, Time};
use flaxdeck_distribution::messages::{Delivery, Subscription, Update};
use flaxdeck_distribution::{
    Applied, Cadence, PlannerNumber, Publisher, Retention, Subscriber, SubscriberId,
};
use flaxdeck_recovery::EventPosition;

use super::state::{
    Body, CATCH_UP_STEPS, Distribution, Event, MAX_MESSAGES_PER_INSTANT, Message, Mutation,
    PLANNERS, SETTLE_TIME, State,
};

impl Distribution {
    pub(crate) fn publisher(&self, now: Time) -> Publisher {
        let retention = Retention {
            keep_for: self.keep_for,
            max_bytes: 1 << 20,
        };
        Publisher::start(now, Cadence::default(), retention, EventPosition::NONE)
    }

    pub(crate) fn subscriber(now: Time) -> Subscriber {
        Subscriber::start(now, PLANNERS as u32, 1, Cadence::default(), SETTLE_TIME)
    }

    /// Lets a planner receive all of the coordinator's events.
    pub(crate) fn planner_receives_events(&self, state: &mut State, planner: usize) {
        let now = state.now();
        let current = state.numberings.len() - 1;
        let coordinator = state.coordinator().clone();
        let entry = &mut state.planners[planner];
        match entry.followed {
            Some((numbering, received)) if numbering == current => {
                for event in &coordinator.events[received..] {
                    entry
                        .publisher
                        .append_event(now, event.position, event.content.clone());
                }
            }
            Some(_) if self.mutation == Mutation::LogKeptOverRenumbering => {
                for event in &coordinator.events {
                    entry
                        .publisher
                        .append_event(now, event.position, event.content.clone());
                }
            }
            _ => entry.publisher.restart_numbering(now, coordinator.last()),
        }
        entry.followed = Some((current, coordinator.events.len()));
        entry.publisher.coordinator_heard(
            now,
            CoordinatorKnowledge::complete(CompleteAsOf::by_heartbeat(now)),
        );
    }

    pub(crate) fn receive_request(
        &self,
        state: &mut State,
        planner: usize,
        sent: u64,
        subscription: Subscription,
    ) {
        let now = state.now();
        let entry = &mut state.planners[planner];
        if self.mutation == Mutation::SnapshotWhileNotCurrent {
            entry.publisher.coordinator_heard(
                now,
                CoordinatorKnowledge::complete(CompleteAsOf::by_heartbeat(now)),
            );
        }
        let subscription = match subscription {
            Subscription::After(position) if self.mutation == Mutation::HashNotCompared => {
                let numbering = entry
                    .followed
                    .map(|(numbering, _)| &state.numberings[numbering]);
                let same = numbering.and_then(|numbering| {
                    let events = numbering.events.iter().map(|event| event.position);
                    events
                        .chain([numbering.base])
                        .find(|event| event.number == position.number)
                });
                Subscription::After(same.unwrap_or(position))
            }
            other => other,
        };
        entry.echo = sent;
        entry
            .publisher
            .subscribe(now, SubscriberId(0), subscription);
    }

    pub(crate) fn receive_delivery(
        &self,
        state: &mut State,
        planner: usize,
        echo: u64,
        mut delivery: Delivery,
    ) {
        let now = state.now();
        let before = state.subscriber.position();
        let number = PlannerNumber(planner as u32);
        match &mut delivery.update {
            Update::Batch(batch) => {
                let new_position = match self.mutation {
                    Mutation::MovesBeforeApplying if batch.after == before => Some(batch.last),
                    Mutation::GapIgnored if batch.after.number > before.number => Some(batch.after),
                    Mutation::HashNotCompared if batch.after.number == before.number => {
                        Some(batch.after)
                    }
                    _ => None,
                };
                let new_position = new_position.filter(|position| *position != before);
                if let Some(position) = new_position {
                    state.subscriber.set_position(now, position);
                }
            }
            Update::Snapshot(snapshot) if self.mutation == Mutation::ReachOverstated => {
                snapshot.purges_reach_ms += 10_000;
            }
            _ => {}
        }
        let accepts_older = self.mutation == Mutation::OlderSnapshotTaken;
        if accepts_older {
            delivery.coordinator_ago_ms = delivery.coordinator_ago_ms.map(|_| 0);
        }
        state.subscriber.record_echo(
            number,
            if accepts_older {
                now + SETTLE_TIME
            } else {
                Time::at_ms(echo as f64)
            },
        );
        if let Ok(applied) = state.subscriber.receive(now, number, delivery) {
            self.apply(state, before, applied);
        }
        self.check(state, before);
    }

    pub(crate) fn apply(&self, state: &mut State, before: EventPosition, applied: Applied) {
        let now = state.now();
        match applied {
            Applied::Nothing => {}
            Applied::Events {
                purges,
                events,
                last: end,
            } => {
                let delivered = purges.iter().map(|purge| u64::from(purge.0));
                let delivered: BTreeSet<u64> = delivered
                    .chain(events.iter().map(|event| event.position.hash))
                    .collect();
                if !is_exactly_what_follows(state, before, end, &delivered) {
                    state.fail("a batch does not contain exactly the events after the position");
                }
                state.forwarder.purged.extend(delivered);
            }
            Applied::Snapshot {
                purges,
                group_purges,
                may_miss_purges,
                ..
            } => {
                state
                    .forwarder
                    .purged
                    .extend(purges.iter().map(|purge| u64::from(purge.0)));
                state
                    .forwarder
                    .purged
                    .extend(group_purges.iter().map(|event| event.position.hash));
                if may_miss_purges {
                    state.forwarder.incomplete_before = Some(now);
                }
            }
        }
    }

    pub(crate) fn check(&self, state: &mut State, before: EventPosition) {
        let position = state.subscriber.position();
        if position.hash < before.hash {
            state.fail("a later state was replaced by an older one");
        }
        if position != before && skips_unreported_purge(state) {
            state.fail("a purge was skipped without being reported");
        }
    }

    /// Drops purges that have settled and can have no more effect, so that states that differ by nothing else are
    /// merged.
    pub(crate) fn drop_settled(state: &mut State) {
        let now = state.now();
        let is_settled = |event: &Event| now.since(event.made_at) > SETTLE_TIME;
        let settled_hashes: Vec<u64> = state
            .numberings
            .iter()
            .flat_map(|numbering| &numbering.events)
            .filter(|event| is_settled(event))
            .map(|event| event.position.hash)
            .collect();
        state
            .forwarder
            .purged
            .retain(|hash| !settled_hashes.contains(hash));
        state.forwarder.incomplete_before = state
            .forwarder
            .incomplete_before
            .filter(|incomplete_before| now.since(*incomplete_before) <= SETTLE_TIME);
    }

    pub(crate) fn deliver(&self, state: &mut State, message: Message) {
        let Message { planner, body, .. } = message;
        match postcard::from_bytes(&body).expect("the message was encoded by this test") {
            Body::Request { sent, subscription } => {
                self.receive_request(state, planner, sent, subscription)
            }
            Body::Delivery { echo, delivery } => {
                self.receive_delivery(state, planner, echo, delivery)
            }
        }
    }

    pub(crate) fn step(&self, state: &mut State) {
        state.step += 1;
        Distribution::drop_settled(state);
        for planner in 0..PLANNERS {
            if !state.planners[planner].connected {
                state.connect(planner);
            }
        }
    }

    /// Delivers events and messages until no more messages are due at this instant.
    pub(crate) fn run_until_idle(&self, state: &mut State) {
        for planner in (0..PLANNERS)
            .filter(|planner| !state.partitioned[*planner])
            .collect::<Vec<_>>()
        {
            self.planner_receives_events(state, planner);
        }
        state.send_due();
        for _ in 0..MAX_MESSAGES_PER_INSTANT {
            let Some(message) = state.next_deliverable() else {
                return;
            };
            self.deliver(state, message);
            state.send_due();
        }
        state.fail("the messages of one instant do not come to an end");
    }

    /// Returns whether the forwarder catches up if from this state on nothing is lost or late and no more events are
    /// emitted.
    pub(crate) fn catches_up(&self, state: &State) -> bool {
        let mut state = state.clone();
        (state.is_held, state.partitioned) = ([[false; 2]; PLANNERS], [false; PLANNERS]);
        for _ in 0..CATCH_UP_STEPS {
            self.step(&mut state);
            self.run_until_idle(&mut state);
        }
        state.violation.is_none()
            && state.subscriber.position() == state.coordinator().last()
            && !state.subscriber.needs_coordinator(state.now())
    }
}

/// Returns whether the delivered events are exactly those after one position up to another.
pub(crate) fn is_exactly_what_follows(
    state: &State,
    before: EventPosition,
    end: EventPosition,
    delivered: &BTreeSet<u64>,
) -> bool {
    state.numberings.iter().any(|numbering| {
        let places = numbering
            .index_after(before)
            .zip(numbering.index_after(end));
        places.is_some_and(|(from, to)| {
            let events = numbering.events.get(from..to).unwrap_or_default();
            events
                .iter()
                .map(|event| event.position.hash)
                .collect::<BTreeSet<u64>>()
                == *delivered
        })
    })
}

/// Returns whether there is an unsettled purge up to the position that was neither applied nor reported as missing.
pub(crate) fn skips_unreported_purge(state: &State) -> bool {
    let (now, position) = (state.now(), state.subscriber.position());
    let events = state
        .numberings
        .iter()
        .flat_map(|numbering| &numbering.events);
    let mut unsettled = events.filter(|event| now.since(event.made_at) <= SETTLE_TIME);
    unsettled.any(|event| {
        let is_passed = event.position.hash <= position.hash;
        let incomplete_before = state
            .forwarder
            .incomplete_before
            .is_some_and(|incomplete_before| incomplete_before >= event.made_at);
        is_passed && !incomplete_before && !state.forwarder.purged.contains(&event.position.hash)
    })
}
