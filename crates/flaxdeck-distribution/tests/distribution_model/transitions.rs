//! What the planners and the forwarder of the model do with what they hear.

use std::collections::BTreeSet;

use flaxdeck::Time;
use flaxdeck_distribution::messages::{Delivery, Subscription, Update};
use flaxdeck_distribution::{
    Applied, Cadence, PlannerNumber, Publisher, Retention, Subscriber, SubscriberId,
};
use flaxdeck_recovery::EventPosition;

use super::state::{
    Body, Broken, CATCHES_UP_WITHIN, Distribution, Event, MAX_INSTANT, Message, PLANNERS, SETTLES,
    State,
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
        Subscriber::start(now, PLANNERS as u32, 1, Cadence::default(), SETTLES)
    }

    /// A planner has heard all that the coordinator has to tell.
    pub(crate) fn planner_hears(&self, state: &mut State, planner: usize) {
        let now = state.now();
        let current = state.numberings.len() - 1;
        let coordinator = state.coordinator().clone();
        let known = &mut state.planners[planner];
        match known.follows {
            Some((numbering, place)) if numbering == current => {
                for event in &coordinator.events[place..] {
                    known
                        .publisher
                        .append_event(now, event.position, event.content.clone());
                }
            }
            Some(_) if self.broken == Broken::LogKeptOverRenumbering => {
                for event in &coordinator.events {
                    known
                        .publisher
                        .append_event(now, event.position, event.content.clone());
                }
            }
            _ => known.publisher.restart_numbering(now, coordinator.last()),
        }
        known.follows = Some((current, coordinator.events.len()));
        known.publisher.coordinator_heard(now, true);
    }

    pub(crate) fn asks(
        &self,
        state: &mut State,
        planner: usize,
        sent: u64,
        subscription: Subscription,
    ) {
        let now = state.now();
        let known = &mut state.planners[planner];
        if self.broken == Broken::SnapshotWhileNotCurrent {
            known.publisher.coordinator_heard(now, true);
        }
        let subscription = match subscription {
            Subscription::After(position) if self.broken == Broken::HashNotCompared => {
                let numbering = known
                    .follows
                    .map(|(numbering, _)| &state.numberings[numbering]);
                let same = numbering.and_then(|numbering| {
                    let events = numbering.events.iter().map(|event| event.position);
                    events
                        .chain([numbering.base])
                        .find(|known| known.number == position.number)
                });
                Subscription::After(same.unwrap_or(position))
            }
            other => other,
        };
        known.echo = sent;
        known
            .publisher
            .subscribe(now, SubscriberId(0), subscription);
    }

    pub(crate) fn tells(
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
                let moves = match self.broken {
                    Broken::MovesBeforeApplying if batch.after == before => Some(batch.last),
                    Broken::GapIgnored if batch.after.number > before.number => Some(batch.after),
                    Broken::HashNotCompared if batch.after.number == before.number => {
                        Some(batch.after)
                    }
                    _ => None,
                };
                let moves = moves.filter(|position| *position != before);
                if let Some(position) = moves {
                    state.subscriber.set_position(now, position);
                }
            }
            Update::Snapshot(snapshot) if self.broken == Broken::ReachOverstated => {
                snapshot.purges_reach_ms += 10_000;
            }
            _ => {}
        }
        let older = self.broken == Broken::OlderSnapshotTaken;
        if older {
            delivery.coordinator_ago_ms = delivery.coordinator_ago_ms.map(|_| 0);
        }
        state.subscriber.record_echo(
            number,
            if older {
                now + SETTLES
            } else {
                Time::at_ms(echo as f64)
            },
        );
        if let Ok(applied) = state.subscriber.receive(now, number, delivery) {
            self.applies(state, before, applied);
        }
        self.check(state, before);
    }

    pub(crate) fn applies(&self, state: &mut State, before: EventPosition, applied: Applied) {
        let now = state.now();
        match applied {
            Applied::Nothing => {}
            Applied::Events {
                purges,
                events,
                last: end,
            } => {
                let told = purges.iter().map(|purge| u64::from(purge.0));
                let told: BTreeSet<u64> = told
                    .chain(events.iter().map(|event| event.position.hash))
                    .collect();
                if !follows_exactly(state, before, end, &told) {
                    state.fails("a batch is not what follows the position");
                }
                state.held.purged.extend(told);
            }
            Applied::Snapshot {
                purges,
                group_purges,
                may_miss_purges: copies_in_doubt,
                ..
            } => {
                state
                    .held
                    .purged
                    .extend(purges.iter().map(|purge| u64::from(purge.0)));
                state
                    .held
                    .purged
                    .extend(group_purges.iter().map(|event| event.position.hash));
                if copies_in_doubt {
                    state.held.incomplete_before = Some(now);
                }
            }
        }
    }

    pub(crate) fn check(&self, state: &mut State, before: EventPosition) {
        let position = state.subscriber.position();
        if position.hash < before.hash {
            state.fails("an older state in place of a later one");
        }
        if position != before && skipped(state) {
            state.fails("a purge was skipped without being reported");
        }
    }

    /// Forgets what can have no effect any more, so that states that differ by nothing else are one.
    pub(crate) fn forget(state: &mut State) {
        let now = state.now();
        let settled = |event: &Event| now.since(event.made) > SETTLES;
        let gone: Vec<u64> = state
            .numberings
            .iter()
            .flat_map(|numbering| &numbering.events)
            .filter(|event| settled(event))
            .map(|event| event.position.hash)
            .collect();
        state.held.purged.retain(|hash| !gone.contains(hash));
        state.held.incomplete_before = state
            .held
            .incomplete_before
            .filter(|incomplete_before| now.since(*incomplete_before) <= SETTLES);
    }

    pub(crate) fn deliver(&self, state: &mut State, message: Message) {
        let Message { planner, body, .. } = message;
        match postcard::from_bytes(&body).expect("it was written here") {
            Body::Asks { sent, subscription } => self.asks(state, planner, sent, subscription),
            Body::Tells { echo, delivery } => self.tells(state, planner, echo, delivery),
        }
    }

    pub(crate) fn step(&self, state: &mut State) {
        state.step += 1;
        Distribution::forget(state);
        for planner in 0..PLANNERS {
            if !state.planners[planner].connected {
                state.connect(planner);
            }
        }
    }

    /// All that comes at once has come.
    pub(crate) fn settle(&self, state: &mut State) {
        for planner in (0..PLANNERS)
            .filter(|planner| !state.deaf[*planner])
            .collect::<Vec<_>>()
        {
            self.planner_hears(state, planner);
        }
        state.speak();
        for _ in 0..MAX_INSTANT {
            let Some(message) = state.next_delivered() else {
                return;
            };
            self.deliver(state, message);
            state.speak();
        }
        state.fails("messages answer each other without end");
    }

    /// From that state on nothing is lost or late, and nothing more happens: whether the forwarder catches up.
    pub(crate) fn catches_up(&self, state: &State) -> bool {
        let mut state = state.clone();
        (state.held_up, state.deaf) = ([[false; 2]; PLANNERS], [false; PLANNERS]);
        for _ in 0..CATCHES_UP_WITHIN {
            self.step(&mut state);
            self.settle(&mut state);
        }
        state.wrong.is_none()
            && state.subscriber.position() == state.coordinator().last()
            && !state.subscriber.needs_coordinator(state.now())
    }
}

/// Whether what was told is all that follows one position up to the other, and nothing else.
pub(crate) fn follows_exactly(
    state: &State,
    before: EventPosition,
    end: EventPosition,
    told: &BTreeSet<u64>,
) -> bool {
    state.numberings.iter().any(|numbering| {
        let places = numbering
            .place_after(before)
            .zip(numbering.place_after(end));
        places.is_some_and(|(from, to)| {
            let events = numbering.events.get(from..to).unwrap_or_default();
            events
                .iter()
                .map(|event| event.position.hash)
                .collect::<BTreeSet<u64>>()
                == *told
        })
    })
}

/// A purge up to the position that has not settled, was not applied, and was not reported as missing.
pub(crate) fn skipped(state: &State) -> bool {
    let (now, position) = (state.now(), state.subscriber.position());
    let events = state
        .numberings
        .iter()
        .flat_map(|numbering| &numbering.events);
    let mut unsettled = events.filter(|event| now.since(event.made) <= SETTLES);
    unsettled.any(|event| {
        let passed = event.position.hash <= position.hash;
        let incomplete_before = state
            .held
            .incomplete_before
            .is_some_and(|incomplete_before| incomplete_before >= event.made);
        passed && !incomplete_before && !state.held.purged.contains(&event.position.hash)
    })
}
