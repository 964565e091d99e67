//! The actions of the model, and the properties that have to hold in every state.

use std::hash::{DefaultHasher, Hash, Hasher};

use flaxdeck_distribution::PlannerNumber;
use flaxdeck_recovery::EventPosition;
use stateright::{Model, Property};

use super::state::{
    Action, Distribution, ForwarderState, LIVENESS_SAMPLING, Mutation, Numbering, PLANNERS,
    PlannerState, State, at,
};

pub(crate) const SAFETY: &str =
    "no event is skipped without being reported or applied out of order";

pub(crate) const LIVENESS: &str = "the forwarder catches up once no more messages are lost";

pub(crate) fn is_sampled(state: &State) -> bool {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish().is_multiple_of(LIVENESS_SAMPLING)
}

impl Model for Distribution {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let now = at(0);
        let planner = |_| PlannerState {
            publisher: self.publisher(now),
            followed: None,
            connection: 0,
            connected: false,
            echo: 0,
        };
        let mut state = State {
            step: 0,
            numberings: vec![Numbering {
                base: EventPosition { number: 1, hash: 1 },
                events: Vec::new(),
            }],
            planners: (0..PLANNERS).map(planner).collect(),
            subscriber: Distribution::subscriber(now),
            forwarder: ForwarderState::default(),
            network: Vec::new(),
            events: 0,
            is_held: [[false; 2]; PLANNERS],
            partitioned: [false; PLANNERS],
            faults: 0,
            renumberings: 0,
            violation: None,
        };
        state
            .subscriber
            .set_position(now, state.coordinator().last());
        for planner in 0..PLANNERS {
            state.connect(planner);
        }
        self.run_until_idle(&mut state);
        for action in self.initial_actions {
            state = self
                .next_state(&state, *action)
                .expect("each initial action changes the state");
        }
        state.faults = 0;
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.violation.is_some() {
            return;
        }
        if state.step < self.steps {
            actions.push(Action::Step);
        }
        if state.events < self.events {
            actions.push(Action::Event);
        }
        if state.renumberings < self.renumberings {
            actions.push(Action::Renumber);
        }
        let directions = (0..PLANNERS).flat_map(|planner| [(planner, false), (planner, true)]);
        for (planner, upstream) in directions.clone() {
            if state.is_held[planner][usize::from(upstream)] {
                actions.push(Action::Release { planner, upstream });
                actions.push(Action::Lose { planner, upstream });
            }
        }
        actions.extend((0..state.network.len()).map(Action::Deliver));
        actions.extend(
            (0..PLANNERS)
                .filter(|planner| state.partitioned[*planner])
                .map(Action::Reconnect),
        );
        if state.faults < self.faults {
            let free = directions
                .filter(|(planner, upstream)| !state.is_held[*planner][usize::from(*upstream)]);
            actions.extend(free.map(|(planner, upstream)| Action::Hold { planner, upstream }));
            actions.extend((0..state.network.len()).map(Action::Duplicate));
            actions.extend(
                (0..PLANNERS)
                    .filter(|planner| !state.partitioned[*planner])
                    .map(Action::Partition),
            );
            actions.extend((0..PLANNERS).map(Action::RestartPlanner));
            actions.push(Action::RestartForwarder);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now();
        match action {
            Action::Step => self.step(&mut state),
            Action::Event => state.emit_event(),
            Action::Renumber => state.renumber(),
            Action::Hold { planner, upstream } => {
                state.faults += 1;
                state.is_held[planner][usize::from(upstream)] = true;
            }
            Action::Release { planner, upstream } => {
                state.is_held[planner][usize::from(upstream)] = false
            }
            Action::Lose { planner, upstream } => {
                state.is_held[planner][usize::from(upstream)] = false;
                state
                    .network
                    .retain(|message| (message.planner, message.upstream) != (planner, upstream));
            }
            Action::Deliver(index) => {
                let message = state.network.remove(index);
                self.deliver(&mut state, message);
            }
            Action::Duplicate(index) => {
                state.faults += 1;
                let message = state.network[index].clone();
                self.deliver(&mut state, message);
            }
            Action::Partition(planner) => {
                state.faults += 1;
                state.partitioned[planner] = true;
            }
            Action::Reconnect(planner) => state.partitioned[planner] = false,
            Action::RestartPlanner(planner) => {
                state.faults += 1;
                let publisher = self.publisher(now);
                let entry = &mut state.planners[planner];
                (entry.publisher, entry.followed, entry.connected) = (publisher, None, false);
                state
                    .subscriber
                    .disconnected(now, PlannerNumber(planner as u32));
                state.network.retain(|message| message.planner != planner);
            }
            Action::RestartForwarder => {
                state.faults += 1;
                state.subscriber = Distribution::subscriber(now);
                state.forwarder = ForwarderState::default();
                for planner in 0..PLANNERS {
                    state.connect(planner);
                }
            }
        }
        self.run_until_idle(&mut state);
        // Counters do not influence behaviour, so they are reset to merge states that differ by nothing else.
        state.subscriber.counters = Default::default();
        for planner in &mut state.planners {
            planner.publisher.counters = Default::default();
        }
        Some(state).filter(|state| state != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SAFETY, |_, state: &State| state.violation.is_none()),
            Property::always(LIVENESS, |model: &Distribution, state: &State| {
                model.mutation != Mutation::None || !is_sampled(state) || model.catches_up(state)
            }),
            Property::sometimes(
                "all purges are applied",
                |model: &Distribution, state: &State| {
                    state.forwarder.purged.len() == usize::from(model.events)
                },
            ),
        ]
    }
}
