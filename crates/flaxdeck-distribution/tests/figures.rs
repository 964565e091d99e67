//! Figures for `docs/distribution.md`, in virtual time: messages, bytes and delays of one forwarder at 330 purges a second
//! with a change of hosts a second, by interval of batches, and the worst delay where its planner ends or hangs.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::{Span, Time};
use flaxdeck_distribution::messages::{Batch, Delivery, FullEvent, Subscription, Update};
use flaxdeck_distribution::{
    Applied, Cadence, Content, Fingerprint, PlannerNumber, Publisher, Retention, Subscriber,
    SubscriberId,
};
use flaxdeck_recovery::EventPosition;

const BASE: EventPosition = EventPosition { number: 1, hash: 1 };
const SETTLES: Span = Span::from_ms(6_000);
/// One way between a planner and the forwarder.
const TRANSIT: u64 = 5;
/// A purge each 3 ms, 333 a second.
const PURGE_EVERY: u64 = 3;
const CHANGE_EVERY: u64 = 1_050;
/// A frame of the coordinator that tells a changed host, as long as the emulator's.
const CHANGE_BYTES: usize = 120;

fn at(ms: u64) -> Time {
    Time::at_ms((1_000_000 + ms) as f64)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Planner {
    Lives,
    /// Its connections end at that moment.
    Ends(u64),
    /// They stay, and nothing comes any more.
    Hangs(u64),
}

#[derive(Default)]
struct Measured {
    messages: u64,
    bytes: u64,
    asked: u64,
    /// From when the coordinator told it to when it was applied, of purges and of changes.
    delays: [Vec<u64>; 2],
    needed_coordinator: bool,
    left: usize,
}

impl Measured {
    /// Median, 99th of a hundred, worst.
    fn delays(&mut self, of: usize) -> [u64; 3] {
        let delays = &mut self.delays[of];
        delays.sort_unstable();
        let share = |share: f64| delays[((delays.len() - 1) as f64 * share) as usize];
        [share(0.5), share(0.99), share(1.0)]
    }
}

/// A message on its way, and when it comes.
struct InTransit<T> {
    comes: u64,
    planner: PlannerNumber,
    message: T,
}

/// When an event was told, and whether it is a purge (0) or a change (1).
struct ToldEvent {
    ms: u64,
    kind: usize,
}

/// Two planners and a forwarder at the full rate of events.
struct Play {
    first: Planner,
    /// The planner that ended or hangs.
    lost: Option<PlannerNumber>,
    publishers: [Publisher; 2],
    subscriber: Subscriber,
    id: SubscriberId,
    last: EventPosition,
    told: BTreeMap<u64, ToldEvent>,
    to_planners: VecDeque<InTransit<Subscription>>,
    to_forwarder: VecDeque<InTransit<Delivery>>,
    measured: Measured,
}

fn pop_arrived<T>(ms: u64, queue: &mut VecDeque<InTransit<T>>) -> Option<InTransit<T>> {
    queue.pop_front_if(|in_transit| in_transit.comes <= ms)
}

impl Play {
    fn new(cadence: Cadence, id: u64, first: Planner) -> Play {
        let start = || Publisher::start(at(0), cadence, Retention::default(), BASE);
        let mut subscriber = Subscriber::start(at(0), 2, 1, cadence, SETTLES);
        subscriber.set_position(at(0), BASE);
        for planner in 0..2 {
            subscriber.connected(at(0), PlannerNumber(planner));
        }
        Play {
            first,
            lost: None,
            publishers: [start(), start()],
            subscriber,
            id: SubscriberId(id),
            last: BASE,
            told: BTreeMap::new(),
            to_planners: VecDeque::new(),
            to_forwarder: VecDeque::new(),
            measured: Measured::default(),
        }
    }

    fn run(mut self, lasts: u64) -> Measured {
        for ms in 0..lasts {
            self.tell_events(ms);
            self.lose_planner(ms);
            self.ask(ms);
            self.publish(ms);
            self.receive(ms);
            self.measured.needed_coordinator |= self.subscriber.needs_coordinator(at(ms));
        }
        self.measured.left = self.told.len();
        self.measured
    }

    fn tell_events(&mut self, ms: u64) {
        if ms.is_multiple_of(1_000) {
            for publisher in &mut self.publishers {
                publisher.coordinator_heard(at(ms), true);
            }
        }
        if ms.is_multiple_of(PURGE_EVERY) {
            let fingerprint = Fingerprint((ms as u32).wrapping_mul(0x9e37_79b9));
            self.tell(ms, 0, &Content::ObjectPurge(fingerprint));
        }
        if ms.is_multiple_of(CHANGE_EVERY) {
            self.tell(ms, 1, &Content::HostChange(vec![7; CHANGE_BYTES]));
        }
    }

    fn tell(&mut self, ms: u64, kind: usize, content: &Content) {
        self.last = EventPosition {
            number: self.last.number + 1,
            hash: self.last.hash + 3,
        };
        self.told.insert(self.last.number, ToldEvent { ms, kind });
        for publisher in &mut self.publishers {
            publisher.append_event(at(ms), self.last, content.clone());
            publisher.coordinator_heard(at(ms), true);
        }
    }

    fn lose_planner(&mut self, ms: u64) {
        if self.first == Planner::Ends(ms) {
            self.lost = self.subscriber.followed();
            self.subscriber
                .disconnected(at(ms), self.lost.expect("one is followed"));
        }
        if self.first == Planner::Hangs(ms) {
            self.lost = self.subscriber.followed();
        }
    }

    fn ask(&mut self, ms: u64) {
        for (planner, message) in self.subscriber.actions(at(ms)) {
            self.measured.asked += 1;
            self.to_planners.push_back(InTransit {
                comes: ms + TRANSIT,
                planner,
                message,
            });
        }
        while let Some(asked) = pop_arrived(ms, &mut self.to_planners) {
            let publisher = &mut self.publishers[asked.planner.0 as usize];
            publisher.subscribe(at(ms), self.id, asked.message);
        }
    }

    fn publish(&mut self, ms: u64) {
        let is_gone = match self.first {
            Planner::Lives => false,
            Planner::Ends(when) | Planner::Hangs(when) => ms >= when,
        };
        for (number, publisher) in self.publishers.iter_mut().enumerate() {
            let planner = PlannerNumber(number as u32);
            for due in publisher.due(at(ms)) {
                let message = publisher
                    .update_for(at(ms), due, &mut |_| Vec::new())
                    .expect("it has subscribed");
                if !(is_gone && Some(planner) == self.lost) {
                    self.to_forwarder.push_back(InTransit {
                        comes: ms + TRANSIT,
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
            let bytes = postcard::to_stdvec(&message).expect("it can be written");
            self.measured.bytes += bytes.len() as u64;
            let before = self.subscriber.position().number;
            let applied = self.subscriber.receive(at(ms), planner, message);
            if let Ok(Applied::Events { last, .. }) = applied {
                for number in before + 1..=last.number {
                    let told = self.told.remove(&number).expect("applied once");
                    self.measured.delays[told.kind].push(ms - told.ms);
                }
            }
        }
    }
}

fn play(cadence: Cadence, id: u64, lasts: u64, first: Planner) -> Measured {
    Play::new(cadence, id, first).run(lasts)
}

fn cadence(batch_every: u64) -> Cadence {
    Cadence {
        batch_interval: Span::from_ms(batch_every),
        ..Cadence::default()
    }
}

#[test]
fn messages_bytes_and_delays_by_interval() {
    const LASTS: u64 = 60_000;
    println!(
        "interval ms | messages a s | bytes a s | purges: median, 99th, worst ms | changes: the same"
    );
    for interval in [250, 500, 1_000, 2_000] {
        let mut all = Measured::default();
        for id in 0..16 {
            let mut one = play(cadence(interval), id, LASTS, Planner::Lives);
            (all.messages, all.bytes) = (all.messages + one.messages, all.bytes + one.bytes);
            for kind in 0..2 {
                all.delays[kind].append(&mut one.delays[kind]);
            }
            assert!(!one.needed_coordinator && one.asked == 1);
        }
        let [messages, bytes] =
            [all.messages, all.bytes].map(|sum| sum as f64 / 16.0 / (LASTS as f64 / 1_000.0));
        let (purges, changes) = (all.delays(0), all.delays(1));
        println!("{interval:11} | {messages:12.2} | {bytes:9.0} | {purges:?} | {changes:?}");
        assert!(purges[2] <= interval + interval / 2 + 2 * TRANSIT && changes[2] <= 220);
    }
}

/// One message an event, each purge with the fields that the coordinator's frame has, for comparison.
#[test]
fn one_message_an_event_for_comparison() {
    let purge = FullEvent {
        position: EventPosition {
            number: 1 << 40,
            hash: u64::MAX,
        },
        frame: vec![0; 28],
    };
    let one = Batch {
        events: vec![purge],
        last: EventPosition {
            number: 1 << 40,
            hash: u64::MAX,
        },
        ..Batch::default()
    };
    let delivery = Delivery {
        update: Update::Batch(one),
        coordinator_ago_ms: Some(3),
    };
    let bytes = postcard::to_stdvec(&delivery).unwrap().len();
    println!(
        "one message an event: {} a second, {} bytes a second before any seal",
        334,
        334 * bytes
    );
    assert!(334 * bytes > 10_000);
}

/// A planner that ends or hangs at any instant of a second: nothing is lost, and the worst delay stays within 6.8 s.
#[test]
fn a_planner_that_ends_or_hangs_at_the_worst_instant() {
    for (what, fault) in [
        ("ends", Planner::Ends as fn(u64) -> Planner),
        ("hangs", Planner::Hangs as fn(u64) -> Planner),
    ] {
        let mut worst = [0; 2];
        for when in (10_000..11_000).step_by(20) {
            let mut one = play(Cadence::default(), 3, 14_000, fault(when));
            worst = [0, 1].map(|kind| worst[kind].max(one.delays(kind)[2]));
            assert!(one.left < 400, "{} not applied", one.left);
            assert!(!one.needed_coordinator);
        }
        println!(
            "a planner {what}: worst delay of purges {} ms, of changes {} ms",
            worst[0], worst[1]
        );
        assert!(worst.iter().all(|worst| *worst < 6_800));
    }
}
