//! Figures for `docs/distribution.md`, in virtual time: messages, bytes and delays of one forwarder at 330 purges a
//! second and about one host change a second, by batch interval, and the worst delay when its planner disconnects or
//! hangs.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::{CompleteAsOf, CoordinatorKnowledge, Span, Time};
use flaxdeck_distribution::messages::{Batch, Delivery, FullEvent, Subscription, Update};
use flaxdeck_distribution::{
    Applied, Cadence, Content, Fingerprint, PlannerNumber, Publisher, Retention, Subscriber,
    SubscriberId,
};
use flaxdeck_recovery::EventPosition;

const BASE: EventPosition = EventPosition { number: 1, hash: 1 };
const SETTLE_TIME: Span = Span::from_ms(6_000);
/// Transit time between a planner and the forwarder, one way.
const TRANSIT_MS: u64 = 5;
/// One purge every 3 ms, 333 a second.
const PURGE_INTERVAL_MS: u64 = 3;
const CHANGE_INTERVAL_MS: u64 = 1_050;
/// Length of the coordinator's frame for one host change, the same as in the emulator.
const CHANGE_BYTES: usize = 120;

/// A planner that has all of the coordinator's events as of that time.
fn complete(as_of: Time) -> CoordinatorKnowledge {
    CoordinatorKnowledge::complete(CompleteAsOf::by_heartbeat(as_of))
}

fn at(ms: u64) -> Time {
    Time::at_ms((1_000_000 + ms) as f64)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PlannerFault {
    None,
    /// The followed planner's connection ends at that time.
    Disconnects(u64),
    /// The connection of the followed planner stays open, but nothing is received over it from that time on.
    Hangs(u64),
}

#[derive(Default)]
struct Measured {
    messages: u64,
    bytes: u64,
    requests: u64,
    /// Delays from when the coordinator emitted an event until it was applied: of purges and of host changes.
    delays: [Vec<u64>; 2],
    needed_coordinator: bool,
    unapplied: usize,
}

impl Measured {
    /// Returns the median, the 99th percentile and the maximum.
    fn delays(&mut self, of: usize) -> [u64; 3] {
        let delays = &mut self.delays[of];
        delays.sort_unstable();
        let quantile = |quantile: f64| delays[((delays.len() - 1) as f64 * quantile) as usize];
        [quantile(0.5), quantile(0.99), quantile(1.0)]
    }
}

/// A message in transit and its time of arrival.
struct InTransit<T> {
    arrives_at: u64,
    planner: PlannerNumber,
    message: T,
}

/// When an event was emitted, and whether it is a purge (0) or a host change (1).
struct EmittedEvent {
    ms: u64,
    kind: usize,
}

/// A simulation of two planners and a forwarder at the full rate of events.
struct Simulation {
    fault: PlannerFault,
    /// The planner that was disconnected or hangs.
    faulty_planner: Option<PlannerNumber>,
    publishers: [Publisher; 2],
    subscriber: Subscriber,
    id: SubscriberId,
    last: EventPosition,
    emitted: BTreeMap<u64, EmittedEvent>,
    to_planners: VecDeque<InTransit<Subscription>>,
    to_forwarder: VecDeque<InTransit<Delivery>>,
    measured: Measured,
}

fn pop_arrived<T>(ms: u64, queue: &mut VecDeque<InTransit<T>>) -> Option<InTransit<T>> {
    queue.pop_front_if(|in_transit| in_transit.arrives_at <= ms)
}

impl Simulation {
    fn new(cadence: Cadence, id: u64, fault: PlannerFault) -> Simulation {
        let start = || Publisher::start(at(0), cadence, Retention::default(), BASE);
        let mut subscriber = Subscriber::start(at(0), 2, 1, cadence, SETTLE_TIME);
        subscriber.set_position(at(0), BASE);
        for planner in 0..2 {
            subscriber.connected(at(0), PlannerNumber(planner));
        }
        Simulation {
            fault,
            faulty_planner: None,
            publishers: [start(), start()],
            subscriber,
            id: SubscriberId(id),
            last: BASE,
            emitted: BTreeMap::new(),
            to_planners: VecDeque::new(),
            to_forwarder: VecDeque::new(),
            measured: Measured::default(),
        }
    }

    fn run(mut self, duration_ms: u64) -> Measured {
        for ms in 0..duration_ms {
            self.emit_events(ms);
            self.inject_fault(ms);
            self.send_requests(ms);
            self.publish(ms);
            self.receive(ms);
            self.measured.needed_coordinator |= self.subscriber.needs_coordinator(at(ms));
        }
        self.measured.unapplied = self.emitted.len();
        self.measured
    }

    fn emit_events(&mut self, ms: u64) {
        if ms.is_multiple_of(1_000) {
            for publisher in &mut self.publishers {
                publisher.coordinator_heard(at(ms), complete(at(ms)));
            }
        }
        if ms.is_multiple_of(PURGE_INTERVAL_MS) {
            let fingerprint = Fingerprint((ms as u32).wrapping_mul(0x9e37_79b9));
            self.emit(ms, 0, &Content::ObjectPurge(fingerprint));
        }
        if ms.is_multiple_of(CHANGE_INTERVAL_MS) {
            self.emit(ms, 1, &Content::HostChange(vec![7; CHANGE_BYTES]));
        }
    }

    fn emit(&mut self, ms: u64, kind: usize, content: &Content) {
        self.last = EventPosition {
            number: self.last.number + 1,
            hash: self.last.hash + 3,
        };
        self.emitted
            .insert(self.last.number, EmittedEvent { ms, kind });
        for publisher in &mut self.publishers {
            publisher.append_event(at(ms), self.last, content.clone());
            publisher.coordinator_heard(at(ms), complete(at(ms)));
        }
    }

    fn inject_fault(&mut self, ms: u64) {
        if self.fault == PlannerFault::Disconnects(ms) {
            self.faulty_planner = self.subscriber.followed();
            self.subscriber
                .disconnected(at(ms), self.faulty_planner.expect("a planner is followed"));
        }
        if self.fault == PlannerFault::Hangs(ms) {
            self.faulty_planner = self.subscriber.followed();
        }
    }

    fn send_requests(&mut self, ms: u64) {
        for (planner, message) in self.subscriber.actions(at(ms)) {
            self.measured.requests += 1;
            self.to_planners.push_back(InTransit {
                arrives_at: ms + TRANSIT_MS,
                planner,
                message,
            });
        }
        while let Some(request) = pop_arrived(ms, &mut self.to_planners) {
            let publisher = &mut self.publishers[request.planner.0 as usize];
            publisher.subscribe(at(ms), self.id, request.message);
        }
    }

    fn publish(&mut self, ms: u64) {
        let is_faulty = match self.fault {
            PlannerFault::None => false,
            PlannerFault::Disconnects(at_ms) | PlannerFault::Hangs(at_ms) => ms >= at_ms,
        };
        for (number, publisher) in self.publishers.iter_mut().enumerate() {
            let planner = PlannerNumber(number as u32);
            for due in publisher.due(at(ms)) {
                let message = publisher
                    .update_for(at(ms), due, &mut |_| Vec::new())
                    .expect("the forwarder has subscribed");
                if !(is_faulty && Some(planner) == self.faulty_planner) {
                    self.to_forwarder.push_back(InTransit {
                        arrives_at: ms + TRANSIT_MS,
                        planner,
                        message,
                    });
                }
            }
        }
    }

    fn receive(&mut self, ms: u64) {
        while let Some(InTransit {
            planner, message, ..
        }) = pop_arrived(ms, &mut self.to_forwarder)
        {
            self.measured.messages += 1;
            let bytes = postcard::to_stdvec(&message).expect("a delivery can be encoded");
            self.measured.bytes += bytes.len() as u64;
            let before = self.subscriber.position().number;
            let applied = self.subscriber.receive(at(ms), planner, message);
            if let Ok(Applied::Events { last, .. }) = applied {
                for number in before + 1..=last.number {
                    let emitted = self
                        .emitted
                        .remove(&number)
                        .expect("each event is applied exactly once");
                    self.measured.delays[emitted.kind].push(ms - emitted.ms);
                }
            }
        }
    }
}

fn simulate(cadence: Cadence, id: u64, duration_ms: u64, fault: PlannerFault) -> Measured {
    Simulation::new(cadence, id, fault).run(duration_ms)
}

fn cadence(batch_interval_ms: u64) -> Cadence {
    Cadence {
        batch_interval: Span::from_ms(batch_interval_ms),
        ..Cadence::default()
    }
}

#[test]
fn messages_bytes_and_delays_by_batch_interval() {
    const DURATION_MS: u64 = 60_000;
    println!(
        "interval ms | messages per s | bytes per s | purge delays: median, 99th, worst ms | host change delays"
    );
    for interval in [250, 500, 1_000, 2_000] {
        let mut all = Measured::default();
        for id in 0..16 {
            let mut run = simulate(cadence(interval), id, DURATION_MS, PlannerFault::None);
            (all.messages, all.bytes) = (all.messages + run.messages, all.bytes + run.bytes);
            for kind in 0..2 {
                all.delays[kind].append(&mut run.delays[kind]);
            }
            assert!(!run.needed_coordinator && run.requests == 1);
        }
        let [messages, bytes] =
            [all.messages, all.bytes].map(|sum| sum as f64 / 16.0 / (DURATION_MS as f64 / 1_000.0));
        let (purges, changes) = (all.delays(0), all.delays(1));
        println!("{interval:11} | {messages:12.2} | {bytes:9.0} | {purges:?} | {changes:?}");
        assert!(purges[2] <= interval + interval / 2 + 2 * TRANSIT_MS && changes[2] <= 220);
    }
}

/// The cost of one message per event for comparison; each purge has the fields of the coordinator's frame.
#[test]
fn cost_of_one_message_per_event_for_comparison() {
    let purge = FullEvent {
        position: EventPosition {
            number: 1 << 40,
            hash: u64::MAX,
        },
        frame: vec![0; 28],
    };
    let batch = Batch {
        events: vec![purge],
        last: EventPosition {
            number: 1 << 40,
            hash: u64::MAX,
        },
        ..Batch::default()
    };
    let delivery = Delivery {
        update: Update::Batch(batch),
        coordinator_ago_ms: Some(3),
    };
    let bytes = postcard::to_stdvec(&delivery).unwrap().len();
    println!(
        "one message per event: {} messages a second, {} bytes a second before encryption",
        334,
        334 * bytes
    );
    assert!(334 * bytes > 10_000);
}

/// The followed planner disconnects or hangs at any time within a second: no event is lost, and the worst delay stays
/// below 6.8 s.
#[test]
fn worst_delay_when_the_followed_planner_disconnects_or_hangs() {
    for (name, fault) in [
        (
            "disconnects",
            PlannerFault::Disconnects as fn(u64) -> PlannerFault,
        ),
        ("hangs", PlannerFault::Hangs as fn(u64) -> PlannerFault),
    ] {
        let mut worst = [0; 2];
        for at_ms in (10_000..11_000).step_by(20) {
            let mut run = simulate(Cadence::default(), 3, 14_000, fault(at_ms));
            worst = [0, 1].map(|kind| worst[kind].max(run.delays(kind)[2]));
            assert!(run.unapplied < 400, "{} events not applied", run.unapplied);
            assert!(!run.needed_coordinator);
        }
        println!(
            "the followed planner {name}: worst delay of purges {} ms, of changes {} ms",
            worst[0], worst[1]
        );
        assert!(worst.iter().all(|worst| *worst < 6_800));
    }
}
