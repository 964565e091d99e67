//! The coordinator, planners and forwarder with a faulty network between them, checked against the oracle.

use std::collections::BTreeSet;

use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::{PlannerNumber, SubscriberId};
use flaxdeck_recovery::EventPosition;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::coordinator::{
    CHECK_INTERVAL_MS, Coordinator, DURATION_MS, Event, GROUPS, MAX_COORDINATOR_DELAY_MS, OBJECTS,
    PLANNERS, Payload, SETTLE_TIME, STEP_MS, at,
};
use super::forwarder::{Forwarder, Mutation};
use super::planner::Planner;

pub(crate) struct Message {
    pub(crate) planner: usize,
    pub(crate) connection: u64,
    pub(crate) arrives_at: u64,
    pub(crate) body: Body,
}

#[derive(Clone)]
pub(crate) enum Body {
    Request {
        sent: u64,
        subscription: Subscription,
    },
    Delivery {
        echo: u64,
        delivery: Delivery,
    },
}

/// Rates of faults, as probabilities per message or per step.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) loss: f64,
    pub(crate) delay: f64,
    pub(crate) duplication: f64,
    pub(crate) disconnects: f64,
    pub(crate) restarts: f64,
    pub(crate) partitions: f64,
    pub(crate) renumberings: f64,
    pub(crate) restores: bool,
    pub(crate) keep_for: u64,
    pub(crate) max_bytes: usize,
}

pub(crate) fn schedules() -> impl Strategy<Value = Schedule> {
    let network = (0.0..0.3, 0.0..0.2, 0.0..0.2, 0.0..0.002);
    let instance_faults = (0.0..0.001, 0.0..0.002, 0.0..0.001, any::<bool>());
    let retention = (
        1_000..30_000_u64,
        prop_oneof![Just(1 << 24), 4_000..40_000_usize],
    );
    (any::<u64>(), network, instance_faults, retention).prop_map(
        |(seed, network, instance_faults, retention)| {
            let (loss, delay, duplication, disconnects) = network;
            let (restarts, partitions, renumberings, restores) = instance_faults;
            let (keep_for, max_bytes) = retention;
            Schedule {
                seed,
                loss,
                delay,
                duplication,
                disconnects,
                restarts,
                partitions,
                renumberings,
                restores,
                keep_for,
                max_bytes,
            }
        },
    )
}

/// Counts of what happened, to show that the schedules exercise the protocol.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) batches: u64,
    pub(crate) snapshots: u64,
    pub(crate) incomplete_snapshots: u64,
    pub(crate) rejected: u64,
    pub(crate) duplicates: u64,
    /// Changes of the position by the coordinator's own events.
    pub(crate) coordinator_updates: u64,
    /// Checks in which the forwarder restricted an object's copies although the oracle would have served any, out of
    /// all checks.
    pub(crate) needlessly_rejected: u64,
    pub(crate) copies_checked: u64,
}

pub(crate) struct World<'a> {
    pub(crate) schedule: &'a Schedule,
    pub(crate) mutation: Mutation,
    pub(crate) random: Pcg64Mcg,
    pub(crate) coordinator: Coordinator,
    pub(crate) planners: Vec<Planner>,
    pub(crate) forwarder: Forwarder,
    pub(crate) network: Vec<Message>,
    /// Hashes of the unsettled events that the position has passed.
    pub(crate) passed_hashes: BTreeSet<u64>,
    pub(crate) tally: Tally,
}

impl World<'_> {
    pub(crate) fn send(&mut self, ms: u64, planner: usize, body: Body) {
        let copies = if self.random.random_bool(self.schedule.loss) {
            0
        } else {
            1 + usize::from(self.random.random_bool(self.schedule.duplication))
        };
        for _ in 0..copies {
            let max_delay_ms = if self.random.random_bool(self.schedule.delay) {
                2_000
            } else {
                50
            };
            let arrives_at = ms + self.random.random_range(0..max_delay_ms);
            let connection = self.planners[planner].connection;
            self.network.push(Message {
                planner,
                connection,
                arrives_at,
                body: body.clone(),
            });
        }
    }

    pub(crate) fn disconnect(&mut self, ms: u64, planner: usize) {
        let planner_state = &mut self.planners[planner];
        (planner_state.connected, planner_state.restarts_at) =
            (false, ms + self.random.random_range(50..1_500));
        planner_state.publisher.unsubscribe(SubscriberId(0));
        self.forwarder
            .subscriber
            .disconnected(at(ms), PlannerNumber(planner as u32));
    }

    pub(crate) fn connect(&mut self, ms: u64, planner: usize) {
        let planner_state = &mut self.planners[planner];
        (
            planner_state.connected,
            planner_state.echo,
            planner_state.restarts_at,
        ) = (true, 0, u64::MAX);
        planner_state.connection += 1;
        self.forwarder
            .subscriber
            .connected(at(ms), PlannerNumber(planner as u32));
    }

    pub(crate) fn faults(&mut self, ms: u64) {
        for planner in 0..PLANNERS {
            if self.random.random_bool(self.schedule.partitions) {
                self.planners[planner].partitioned_until =
                    ms + self.random.random_range(100..6_000);
            }
            if self.random.random_bool(self.schedule.disconnects)
                && self.planners[planner].connected
            {
                self.disconnect(ms, planner);
            }
            if self.random.random_bool(self.schedule.restarts) {
                self.disconnect(ms, planner);
                let connection = self.planners[planner].connection;
                let restarts_at = ms + 200;
                self.planners[planner] = Planner {
                    connection,
                    restarts_at,
                    ..Planner::start(ms, self.schedule)
                };
            }
            if ms >= self.planners[planner].restarts_at {
                self.connect(ms, planner);
            }
        }
        if self.random.random_bool(self.schedule.restarts * 0.5) {
            self.count();
            let preference = self.random.random();
            self.forwarder = Forwarder::start(ms, preference, self.mutation);
            self.passed_hashes.clear();
            for planner in 0..PLANNERS {
                self.connect(ms, planner);
            }
        }
    }

    pub(crate) fn send_due(&mut self, ms: u64) {
        for (to, subscription) in self.forwarder.subscriber.actions(at(ms)) {
            self.send(
                ms,
                to.0 as usize,
                Body::Request {
                    sent: ms,
                    subscription,
                },
            );
        }
        for planner in 0..PLANNERS {
            let planner_state = &mut self.planners[planner];
            let hosts = planner_state.hosts;
            for id in planner_state.publisher.due(at(ms)) {
                let mut list =
                    |_| postcard::to_stdvec(&hosts).expect("a list of hosts can be encoded");
                let update = self.planners[planner]
                    .publisher
                    .update_for(at(ms), id, &mut list);
                let echo = self.planners[planner].echo;
                if let Some(delivery) = update {
                    self.send(ms, planner, Body::Delivery { echo, delivery });
                }
            }
        }
    }

    pub(crate) fn deliver(&mut self, ms: u64) {
        while let Some(index) = self
            .network
            .iter()
            .position(|message| message.arrives_at <= ms)
        {
            let Message {
                planner,
                connection,
                body,
                ..
            } = self.network.remove(index);
            let planner_state = &mut self.planners[planner];
            if !planner_state.connected || planner_state.connection != connection {
                continue;
            }
            match body {
                Body::Request { sent, subscription } => {
                    planner_state.echo = sent;
                    planner_state
                        .publisher
                        .subscribe(at(ms), SubscriberId(0), subscription);
                }
                Body::Delivery { echo, delivery } => {
                    let number = PlannerNumber(planner as u32);
                    self.forwarder.subscriber.record_echo(number, at(echo));
                    match self.forwarder.subscriber.receive(at(ms), number, delivery) {
                        Ok(applied) => self.forwarder.apply(ms, applied, self.mutation),
                        Err(_) => self.tally.rejected += 1,
                    }
                }
            }
        }
    }

    /// Compares the forwarder with the oracle.
    pub(crate) fn check(&mut self, ms: u64) -> Result<(), String> {
        let position = self.forwarder.subscriber.position();
        self.coordinator.skip_settled(ms);
        let (first_unsettled, events) = (
            self.coordinator.first_unsettled_hash,
            &self.coordinator.events_by_hash,
        );
        if position.hash >= first_unsettled {
            self.passed_hashes.extend(
                events
                    .range(first_unsettled..=position.hash)
                    .map(|(hash, _)| *hash),
            );
        }
        self.passed_hashes
            .retain(|hash| *hash >= first_unsettled && events.contains_key(hash));
        // For the time for which the state is confirmed, the forwarder must have all events emitted by then.
        let confirmed_at = self
            .forwarder
            .subscriber
            .complete_as_of()
            .map(flaxdeck::CompleteAsOf::time)
            .filter(|_| !self.schedule.restores);
        let confirmed = |event: &Event| {
            confirmed_at.is_some_and(|confirmed_at| {
                at(event.made_ms + MAX_COORDINATOR_DELAY_MS) < confirmed_at
            })
        };
        let required = events
            .range(first_unsettled..)
            .filter(|(hash, event)| self.passed_hashes.contains(hash) || confirmed(event));
        let required: Vec<&Event> = required.map(|(_, event)| event).collect();
        self.forwarder
            .groups
            .retain(|(_, made_ms)| at(ms).since(at(*made_ms)) <= SETTLE_TIME);
        let oldest_valid = oldest_valid_copies(&required);
        for (object, oracle) in oldest_valid.into_iter().enumerate() {
            let digest = self.forwarder.oldest_servable_copy(ms, object as u64);
            if digest < oracle {
                return Err(format!(
                    "at {ms} ms the forwarder serves copies of object {object} from {digest} ms on, \
                     but by the full events only those from {oracle} ms on are valid"
                ));
            }
            self.tally.copies_checked += 1;
            self.tally.needlessly_rejected += u64::from(digest > 0 && oracle == 0);
        }
        self.check_hosts(ms, position)
    }

    pub(crate) fn check_hosts(&self, ms: u64, position: EventPosition) -> Result<(), String> {
        let Some(event) = self.coordinator.events_by_hash.get(&position.hash) else {
            return Ok(());
        };
        if self.forwarder.hosts != event.hosts {
            return Err(format!(
                "at {ms} ms the forwarder uses hosts {:?}, by the full events they are {:?}",
                self.forwarder.hosts, event.hosts
            ));
        }
        // For the time for which the state is confirmed, the forwarder must not use a host withdrawn by then. This is
        // not checked for a coordinator that is restored: planners that have not noticed may contradict it for a while.
        let Some(confirmed_at) = self
            .forwarder
            .subscriber
            .complete_as_of()
            .map(flaxdeck::CompleteAsOf::time)
            .filter(|_| !self.schedule.restores)
        else {
            return Ok(());
        };
        for (host, since) in self.coordinator.withdrawn_since.iter().enumerate() {
            let is_confirmed =
                since.is_some_and(|since| at(since + MAX_COORDINATOR_DELAY_MS) < confirmed_at);
            if is_confirmed && self.forwarder.hosts[host] {
                return Err(format!(
                    "at {ms} ms the forwarder uses host {host}, which is withdrawn since {since:?} ms"
                ));
            }
        }
        Ok(())
    }

    pub(crate) fn count(&mut self) {
        let counters = self.forwarder.subscriber.counters;
        self.tally.batches += counters.batches;
        self.tally.snapshots += counters.snapshots;
        self.tally.incomplete_snapshots += counters.incomplete_snapshots;
        self.tally.duplicates += counters.duplicates;
    }
}

/// Returns for each object the earliest creation time of a copy that may be served, by the events in full; 0 if any
/// copy may be.
fn oldest_valid_copies(required: &[&Event]) -> [u64; OBJECTS as usize] {
    let mut oldest_valid = [0; OBJECTS as usize];
    for event in required {
        let is_purged = |object: u64| match event.payload {
            Payload::Object(purged) => purged == object,
            Payload::Group { group, .. } => group == object % GROUPS,
            Payload::Hosts(_) => false,
        };
        for object in (0..OBJECTS).filter(|object| is_purged(*object)) {
            let oldest_valid = &mut oldest_valid[object as usize];
            *oldest_valid = event.made_ms.max(*oldest_valid);
        }
    }
    oldest_valid
}

pub(crate) fn run_schedule(schedule: &Schedule, mutation: Mutation) -> Result<Tally, String> {
    let mut random = Pcg64Mcg::seed_from_u64(schedule.seed);
    let forwarder = Forwarder::start(0, random.random(), mutation);
    let mut world = World {
        schedule,
        mutation,
        random,
        coordinator: Coordinator::start(),
        planners: (0..PLANNERS).map(|_| Planner::start(0, schedule)).collect(),
        forwarder,
        network: Vec::new(),
        passed_hashes: BTreeSet::new(),
        tally: Tally::default(),
    };
    for planner in 0..PLANNERS {
        world.connect(0, planner);
    }
    let mut checked = EventPosition::NONE;
    for ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        world
            .coordinator
            .generate_events(ms, schedule, &mut world.random);
        world.faults(ms);
        for planner in &mut world.planners {
            planner.receive_events(ms, &world.coordinator, &mut world.random);
        }
        world.send_due(ms);
        world.deliver(ms);
        let before = world.forwarder.subscriber.position();
        world
            .forwarder
            .follow_coordinator(ms, &world.coordinator, &mut world.random);
        world.tally.coordinator_updates +=
            u64::from(world.forwarder.subscriber.position() != before);
        if world.forwarder.subscriber.position() != checked || ms.is_multiple_of(CHECK_INTERVAL_MS)
        {
            checked = world.forwarder.subscriber.position();
            world.check(ms)?;
        }
    }
    world.count();
    Ok(world.tally)
}
