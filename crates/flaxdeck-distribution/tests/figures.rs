//! Figures for `docs/distribution.md`, in virtual time: messages, bytes and delays of one forwarder at 330 purges a second
//! with a change of hosts a second, by interval of batches, and the worst delay where its planner ends or hangs.

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::{Span, Time};
use flaxdeck_distribution::messages::{Batch, Delivery, FullEvent, Update};
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

fn play(cadence: Cadence, id: u64, lasts: u64, first: Planner) -> Measured {
    let start = || Publisher::start(at(0), cadence, Retention::default(), BASE);
    let mut publishers = [start(), start()];
    let mut subscriber = Subscriber::start(at(0), 2, 1, cadence, SETTLES);
    subscriber.set_position(at(0), BASE);
    (0..2).for_each(|planner| subscriber.connected(at(0), PlannerNumber(planner)));
    let (mut to_planners, mut to_forwarder) = (VecDeque::new(), VecDeque::new());
    let (mut measured, mut told) = (Measured::default(), BTreeMap::new());
    let (mut last, mut lost) = (BASE, None);
    for ms in 0..lasts {
        for publisher in &mut publishers {
            if ms % 1_000 == 0 {
                publisher.coordinator_heard(at(ms), true);
            }
        }
        let mut contents = Vec::new();
        if ms % PURGE_EVERY == 0 {
            contents.push((
                0,
                Content::ObjectPurge(Fingerprint((ms as u32).wrapping_mul(0x9e37_79b9))),
            ));
        }
        if ms % CHANGE_EVERY == 0 {
            contents.push((1, Content::HostChange(vec![7; CHANGE_BYTES])));
        }
        for (kind, content) in contents {
            last = EventPosition {
                number: last.number + 1,
                hash: last.hash + 3,
            };
            told.insert(last.number, (ms, kind));
            for publisher in &mut publishers {
                publisher.append_event(at(ms), last, content.clone());
                publisher.coordinator_heard(at(ms), true);
            }
        }
        let gone = match first {
            Planner::Lives => false,
            Planner::Ends(when) | Planner::Hangs(when) => ms >= when,
        };
        if first == Planner::Ends(ms) {
            lost = subscriber.followed();
            subscriber.disconnected(at(ms), lost.unwrap());
        }
        if first == Planner::Hangs(ms) {
            lost = subscriber.followed();
        }
        for (to, subscription) in subscriber.actions(at(ms)) {
            measured.asked += 1;
            to_planners.push_back((ms + TRANSIT, to, subscription));
        }
        while to_planners.front().is_some_and(|(comes, ..)| *comes <= ms) {
            let (_, to, subscription) = to_planners.pop_front().unwrap();
            publishers[to.0 as usize].subscribe(at(ms), SubscriberId(id), subscription);
        }
        for (number, publisher) in publishers.iter_mut().enumerate() {
            let number = PlannerNumber(number as u32);
            for due in publisher.due(at(ms)) {
                let delivery = publisher
                    .update_for(at(ms), due, &mut |_| Vec::new())
                    .unwrap();
                if !(gone && Some(number) == lost) {
                    to_forwarder.push_back((ms + TRANSIT, number, delivery));
                }
            }
        }
        while to_forwarder.front().is_some_and(|(comes, ..)| *comes <= ms) {
            let (_, from, delivery) = to_forwarder.pop_front().unwrap();
            measured.messages += 1;
            measured.bytes += postcard::to_stdvec(&delivery).unwrap().len() as u64;
            let before = subscriber.position().number;
            if let Ok(Applied::Events { last: upto, .. }) =
                subscriber.receive(at(ms), from, delivery)
            {
                for number in before + 1..=upto.number {
                    let (when, kind): (u64, usize) = told.remove(&number).expect("applied once");
                    measured.delays[kind].push(ms - when);
                }
            }
        }
        measured.needed_coordinator |= subscriber.needs_coordinator(at(ms));
    }
    measured.left = told.len();
    measured
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
            (0..2).for_each(|kind| all.delays[kind].append(&mut one.delays[kind]));
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
