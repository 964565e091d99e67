//! All of them with a faulty network between them, beside the oracle.

use std::collections::BTreeSet;

use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::{PlannerNumber, SubscriberId};
use flaxdeck_recovery::EventPosition;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::coordinator::{
    CHECKED_EVERY, Coordinator, Event, Fact, GROUPS, LASTS, OBJECTS, PLANNERS, SETTLES, STEP,
    TRANSIT, at,
};
use super::forwarder::{Broken, Forwarder};
use super::planner::Planner;

pub(crate) struct Message {
    pub(crate) planner: usize,
    pub(crate) connection: u64,
    pub(crate) comes: u64,
    pub(crate) body: Body,
}

#[derive(Clone)]
pub(crate) enum Body {
    Asks {
        sent: u64,
        subscription: Subscription,
    },
    Tells {
        echo: u64,
        delivery: Delivery,
    },
}

/// How often what goes wrong, as chances a message or a step.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) lost: f64,
    pub(crate) late: f64,
    pub(crate) doubled: f64,
    pub(crate) cuts: f64,
    pub(crate) restarts: f64,
    pub(crate) deaf: f64,
    pub(crate) renumberings: f64,
    pub(crate) restores: bool,
    pub(crate) keep_for: u64,
    pub(crate) bytes_most: usize,
}

pub(crate) fn schedules() -> impl Strategy<Value = Schedule> {
    let network = (0.0..0.3, 0.0..0.2, 0.0..0.2, 0.0..0.002);
    let sides = (0.0..0.001, 0.0..0.002, 0.0..0.001, any::<bool>());
    let kept = (
        1_000..30_000_u64,
        prop_oneof![Just(1 << 24), 4_000..40_000_usize],
    );
    (any::<u64>(), network, sides, kept).prop_map(|(seed, network, sides, kept)| {
        let (lost, late, doubled, cuts) = network;
        let (restarts, deaf, renumberings, restores) = sides;
        let (keep_for, bytes_most) = kept;
        Schedule {
            seed,
            lost,
            late,
            doubled,
            cuts,
            restarts,
            deaf,
            renumberings,
            restores,
            keep_for,
            bytes_most,
        }
    })
}

/// What has happened, to show that schedules are not empty.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) batches: u64,
    pub(crate) snapshots: u64,
    pub(crate) incomplete_snapshots: u64,
    pub(crate) refused: u64,
    pub(crate) duplicates: u64,
    /// Moves by the coordinator's own watch.
    pub(crate) fed: u64,
    /// Copies that the forwarder refused and that the oracle would have handed out, of all looked at.
    pub(crate) refused_more: u64,
    pub(crate) looked_at: u64,
}

pub(crate) struct World<'a> {
    pub(crate) schedule: &'a Schedule,
    pub(crate) broken: Broken,
    pub(crate) random: Pcg64Mcg,
    pub(crate) coordinator: Coordinator,
    pub(crate) planners: Vec<Planner>,
    pub(crate) forwarder: Forwarder,
    pub(crate) network: Vec<Message>,
    /// Purges that the position has passed.
    pub(crate) passed: BTreeSet<u64>,
    pub(crate) tally: Tally,
}

impl World<'_> {
    pub(crate) fn send(&mut self, ms: u64, planner: usize, body: Body) {
        let copies = if self.random.random_bool(self.schedule.lost) {
            0
        } else {
            1 + usize::from(self.random.random_bool(self.schedule.doubled))
        };
        for _ in 0..copies {
            let late = if self.random.random_bool(self.schedule.late) {
                2_000
            } else {
                50
            };
            let comes = ms + self.random.random_range(0..late);
            let connection = self.planners[planner].connection;
            self.network.push(Message {
                planner,
                connection,
                comes,
                body: body.clone(),
            });
        }
    }

    pub(crate) fn disconnect(&mut self, ms: u64, planner: usize) {
        let known = &mut self.planners[planner];
        (known.connected, known.restarts_at) = (false, ms + self.random.random_range(50..1_500));
        known.publisher.unsubscribe(SubscriberId(0));
        self.forwarder
            .subscriber
            .disconnected(at(ms), PlannerNumber(planner as u32));
    }

    pub(crate) fn connect(&mut self, ms: u64, planner: usize) {
        let known = &mut self.planners[planner];
        (known.connected, known.echo, known.restarts_at) = (true, 0, u64::MAX);
        known.connection += 1;
        self.forwarder
            .subscriber
            .connected(at(ms), PlannerNumber(planner as u32));
    }

    pub(crate) fn faults(&mut self, ms: u64) {
        for planner in 0..PLANNERS {
            if self.random.random_bool(self.schedule.deaf) {
                self.planners[planner].deaf_until = ms + self.random.random_range(100..6_000);
            }
            if self.random.random_bool(self.schedule.cuts) && self.planners[planner].connected {
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
            self.forwarder = Forwarder::start(ms, preference, self.broken);
            self.passed.clear();
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
                Body::Asks {
                    sent: ms,
                    subscription,
                },
            );
        }
        for planner in 0..PLANNERS {
            let known = &mut self.planners[planner];
            let hosts = known.hosts;
            for id in known.publisher.due(at(ms)) {
                let mut list = |_| postcard::to_stdvec(&hosts).expect("it can be written");
                let told = self.planners[planner]
                    .publisher
                    .update_for(at(ms), id, &mut list);
                let echo = self.planners[planner].echo;
                if let Some(delivery) = told {
                    self.send(ms, planner, Body::Tells { echo, delivery });
                }
            }
        }
    }

    pub(crate) fn deliver(&mut self, ms: u64) {
        while let Some(place) = self.network.iter().position(|message| message.comes <= ms) {
            let Message {
                planner,
                connection,
                body,
                ..
            } = self.network.remove(place);
            let known = &mut self.planners[planner];
            if !known.connected || known.connection != connection {
                continue;
            }
            match body {
                Body::Asks { sent, subscription } => {
                    known.echo = sent;
                    known
                        .publisher
                        .subscribe(at(ms), SubscriberId(0), subscription);
                }
                Body::Tells { echo, delivery } => {
                    let number = PlannerNumber(planner as u32);
                    self.forwarder.subscriber.record_echo(number, at(echo));
                    match self.forwarder.subscriber.receive(at(ms), number, delivery) {
                        Ok(applied) => self.forwarder.applies(ms, applied, self.broken),
                        Err(_) => self.tally.refused += 1,
                    }
                }
            }
        }
    }

    /// Beside the oracle.
    pub(crate) fn check(&mut self, ms: u64) -> Result<(), String> {
        let position = self.forwarder.subscriber.position();
        self.coordinator.settle(ms);
        let (unsettled, known) = (self.coordinator.unsettled, &self.coordinator.known);
        if position.hash >= unsettled {
            self.passed.extend(
                known
                    .range(unsettled..=position.hash)
                    .map(|(hash, _)| *hash),
            );
        }
        self.passed
            .retain(|hash| *hash >= unsettled && known.contains_key(hash));
        // Where it claims to have had all that the coordinator had, it has all that was told by then.
        let confirmed_at = self
            .forwarder
            .subscriber
            .confirmed_at()
            .filter(|_| !self.schedule.restores);
        let claimed = |event: &Event| {
            confirmed_at.is_some_and(|confirmed_at| at(event.made + TRANSIT) < confirmed_at)
        };
        let due = known
            .range(unsettled..)
            .filter(|(hash, event)| self.passed.contains(hash) || claimed(event));
        let due: Vec<&Event> = due.map(|(_, event)| event).collect();
        self.forwarder
            .groups
            .retain(|(_, made)| at(ms).since(at(*made)) <= SETTLES);
        let from = required_copies(&due);
        for (object, oracle) in from.into_iter().enumerate() {
            let digest = self.forwarder.copies_from(ms, object as u64);
            if digest < oracle {
                return Err(format!(
                    "at {ms} object {object} from {digest}, by the events from {oracle}"
                ));
            }
            self.tally.looked_at += 1;
            self.tally.refused_more += u64::from(digest > 0 && oracle == 0);
        }
        self.check_hosts(ms, position)
    }

    pub(crate) fn check_hosts(&self, ms: u64, position: EventPosition) -> Result<(), String> {
        let Some(event) = self.coordinator.known.get(&position.hash) else {
            return Ok(());
        };
        if self.forwarder.hosts != event.hosts {
            return Err(format!(
                "at {ms} hosts {:?}, by the events {:?}",
                self.forwarder.hosts, event.hosts
            ));
        }
        // Where it claims to have had all that the coordinator had, it uses no host withdrawn by then. A coordinator
        // that is put back may be contradicted for a while by a planner that has not noticed.
        let Some(confirmed_at) = self
            .forwarder
            .subscriber
            .confirmed_at()
            .filter(|_| !self.schedule.restores)
        else {
            return Ok(());
        };
        for (host, since) in self.coordinator.withdrawn_since.iter().enumerate() {
            let known = since.is_some_and(|since| at(since + TRANSIT) < confirmed_at);
            if known && self.forwarder.hosts[host] {
                return Err(format!(
                    "at {ms} host {host} used, withdrawn since {since:?}"
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

/// From when on a copy of each object has to be by the events in full; 0 if any will do.
fn required_copies(due: &[&Event]) -> [u64; OBJECTS as usize] {
    let mut from = [0; OBJECTS as usize];
    for event in due {
        let hit = |object: u64| match event.told {
            Fact::Object(purged) => purged == object,
            Fact::Group { group, .. } => group == object % GROUPS,
            Fact::Hosts(_) => false,
        };
        for object in (0..OBJECTS).filter(|object| hit(*object)) {
            let known = &mut from[object as usize];
            *known = event.made.max(*known);
        }
    }
    from
}

pub(crate) fn run(schedule: &Schedule, broken: Broken) -> Result<Tally, String> {
    let mut random = Pcg64Mcg::seed_from_u64(schedule.seed);
    let forwarder = Forwarder::start(0, random.random(), broken);
    let mut world = World {
        schedule,
        broken,
        random,
        coordinator: Coordinator::start(),
        planners: (0..PLANNERS).map(|_| Planner::start(0, schedule)).collect(),
        forwarder,
        network: Vec::new(),
        passed: BTreeSet::new(),
        tally: Tally::default(),
    };
    for planner in 0..PLANNERS {
        world.connect(0, planner);
    }
    let mut checked = EventPosition::NONE;
    for ms in (0..LASTS).step_by(STEP as usize) {
        world.coordinator.acts(ms, schedule, &mut world.random);
        world.faults(ms);
        for planner in &mut world.planners {
            planner.hears(ms, &world.coordinator, &mut world.random);
        }
        world.send_due(ms);
        world.deliver(ms);
        let before = world.forwarder.subscriber.position();
        world
            .forwarder
            .follows_coordinator(ms, &world.coordinator, &mut world.random);
        world.tally.fed += u64::from(world.forwarder.subscriber.position() != before);
        if world.forwarder.subscriber.position() != checked || ms.is_multiple_of(CHECKED_EVERY) {
            checked = world.forwarder.subscriber.position();
            world.check(ms)?;
        }
    }
    world.count();
    Ok(world.tally)
}
