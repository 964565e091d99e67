//! The actions of the model, and what has to hold in every state.

use std::hash::{DefaultHasher, Hash, Hasher};

use flaxdeck_distribution::PlannerNumber;
use flaxdeck_recovery::EventPosition;
use stateright::{Model, Property};

use super::state::{
    Action, Broken, Distribution, Held, Numbering, PLANNERS, PlannerState, SAMPLED, State, at,
};

pub(crate) const SAFE: &str = "nothing is skipped without being reported or out of order";

pub(crate) const LIVE: &str = "the forwarder catches up once nothing is lost any more";

pub(crate) fn sampled(state: &State) -> bool {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLED)
}

impl Model for Distribution {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let now = at(0);
        let planner = |_| PlannerState {
            publisher: self.publisher(now),
            follows: None,
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
            held: Held::default(),
            network: Vec::new(),
            events: 0,
            held_up: [[false; 2]; PLANNERS],
            deaf: [false; PLANNERS],
            faults: 0,
            renumberings: 0,
            wrong: None,
        };
        state
            .subscriber
            .set_position(now, state.coordinator().last());
        for planner in 0..PLANNERS {
            state.connect(planner);
        }
        self.settle(&mut state);
        for action in self.before {
            state = self
                .next_state(&state, *action)
                .expect("it changes something");
        }
        state.faults = 0;
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.wrong.is_some() {
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
        let ways = (0..PLANNERS).flat_map(|planner| [(planner, false), (planner, true)]);
        for (planner, asks) in ways.clone() {
            if state.held_up[planner][usize::from(asks)] {
                actions.push(Action::Release { planner, asks });
                actions.push(Action::Lose { planner, asks });
            }
        }
        actions.extend((0..state.network.len()).map(Action::Deliver));
        actions.extend(
            (0..PLANNERS)
                .filter(|planner| state.deaf[*planner])
                .map(Action::Hears),
        );
        if state.faults < self.faults {
            let free = ways.filter(|(planner, asks)| !state.held_up[*planner][usize::from(*asks)]);
            actions.extend(free.map(|(planner, asks)| Action::HoldUp { planner, asks }));
            actions.extend((0..state.network.len()).map(Action::Double));
            actions.extend(
                (0..PLANNERS)
                    .filter(|planner| !state.deaf[*planner])
                    .map(Action::Deafen),
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
            Action::Event => state.tell_event(),
            Action::Renumber => state.renumber(),
            Action::HoldUp { planner, asks } => {
                state.faults += 1;
                state.held_up[planner][usize::from(asks)] = true;
            }
            Action::Release { planner, asks } => state.held_up[planner][usize::from(asks)] = false,
            Action::Lose { planner, asks } => {
                state.held_up[planner][usize::from(asks)] = false;
                state
                    .network
                    .retain(|message| (message.planner, message.asks) != (planner, asks));
            }
            Action::Deliver(place) => {
                let message = state.network.remove(place);
                self.deliver(&mut state, message);
            }
            Action::Double(place) => {
                state.faults += 1;
                let message = state.network[place].clone();
                self.deliver(&mut state, message);
            }
            Action::Deafen(planner) => {
                state.faults += 1;
                state.deaf[planner] = true;
            }
            Action::Hears(planner) => state.deaf[planner] = false,
            Action::RestartPlanner(planner) => {
                state.faults += 1;
                let publisher = self.publisher(now);
                let known = &mut state.planners[planner];
                (known.publisher, known.follows, known.connected) = (publisher, None, false);
                state
                    .subscriber
                    .disconnected(now, PlannerNumber(planner as u32));
                state.network.retain(|message| message.planner != planner);
            }
            Action::RestartForwarder => {
                state.faults += 1;
                state.subscriber = Distribution::subscriber(now);
                state.held = Held::default();
                for planner in 0..PLANNERS {
                    state.connect(planner);
                }
            }
        }
        self.settle(&mut state);
        // Counts change nothing that is done.
        state.subscriber.counters = Default::default();
        for planner in &mut state.planners {
            planner.publisher.counters = Default::default();
        }
        Some(state).filter(|state| state != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SAFE, |_, state: &State| state.wrong.is_none()),
            Property::always(LIVE, |model: &Distribution, state: &State| {
                model.broken != Broken::Nothing || !sampled(state) || model.catches_up(state)
            }),
            Property::sometimes(
                "all purges are applied",
                |model: &Distribution, state: &State| {
                    state.held.purged.len() == usize::from(model.events)
                },
            ),
        ]
    }
}
