//! The publisher: which updates subscribers are sent, and when.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::collections::BTreeMap;

use flaxdeck::{CompleteAsOf, CoordinatorKnowledge, Time};
use flaxdeck_distribution::messages::{Batch, Delivery, MAX_PURGES, Subscription, Update};
use flaxdeck_distribution::{Cadence, Content, Fingerprint, Publisher, Retention, SubscriberId};
use flaxdeck_recovery::EventPosition;

const BASE: EventPosition = EventPosition {
    number: 10,
    hash: 1,
};

/// A planner that has all of the coordinator's events as of that time.
fn complete(as_of: Time) -> CoordinatorKnowledge {
    CoordinatorKnowledge::complete(CompleteAsOf::by_heartbeat(as_of))
}

fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0 + ms as f64)
}

fn position(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number * 7,
    }
}

fn purge(number: u64) -> Content {
    Content::ObjectPurge(Fingerprint((number as u32).wrapping_mul(0x9e37_79b9)))
}

fn list(number: u64) -> Vec<u8> {
    vec![number as u8]
}

fn publisher() -> Publisher {
    let mut publisher = Publisher::start(at(0), Cadence::default(), Retention::default(), BASE);
    publisher.coordinator_heard(at(0), complete(at(0)));
    publisher
}

/// Runs the publisher for the range of milliseconds and returns all messages sent, with the time of each. A message
/// from the coordinator is recorded every 500 ms.
fn run_publisher(
    publisher: &mut Publisher,
    ms: std::ops::Range<u64>,
    events: &[(u64, u64, Content)],
) -> Vec<(u64, SubscriberId, Delivery)> {
    let mut sent = Vec::new();
    for ms in ms {
        if ms % 500 == 0 {
            publisher.coordinator_heard(at(ms), complete(at(ms)));
        }
        for (_, number, content) in events.iter().filter(|(when, ..)| *when == ms) {
            publisher.append_event(at(ms), position(*number), content.clone());
        }
        for id in publisher.due(at(ms)) {
            sent.extend(
                publisher
                    .update_for(at(ms), id, &mut list)
                    .map(|delivery| (ms, id, delivery)),
            );
        }
    }
    sent
}

fn batch(delivery: &Delivery) -> &Batch {
    match &delivery.update {
        Update::Batch(batch) => batch,
        other => panic!("expected a batch, got {other:?}"),
    }
}

#[test]
fn a_subscriber_is_answered_immediately_and_gets_heartbeats_while_idle() {
    let mut publisher = publisher();
    publisher.subscribe(at(5), SubscriberId(1), Subscription::After(BASE));
    let sent = run_publisher(&mut publisher, 5..5_005, &[]);
    let times: Vec<u64> = sent.iter().map(|(ms, ..)| *ms).collect();
    assert_eq!(times, [5, 1_005, 2_005, 3_005, 4_005]);
    assert!(
        sent.iter()
            .all(|(_, _, delivery)| batch(delivery).last == BASE)
    );
    assert!(
        sent.iter()
            .all(|(_, _, delivery)| delivery.coordinator_ago_ms.is_some())
    );
}

#[test]
fn purges_are_sent_twice_a_second_and_host_changes_within_100_ms() {
    let mut publisher = publisher();
    publisher.subscribe(at(0), SubscriberId(1), Subscription::After(BASE));
    let mut events: Vec<(u64, u64, Content)> =
        (1..=3_000).map(|n| (n * 3, 10 + n, purge(n))).collect();
    events[999].2 = Content::HostChange(vec![9]);
    let sent = run_publisher(&mut publisher, 0..9_000, &events);
    let urgent = sent
        .iter()
        .find(|(.., delivery)| !batch(delivery).events.is_empty())
        .unwrap();
    assert!(
        (3_000..=3_100).contains(&urgent.0),
        "the host change was sent at {} ms",
        urgent.0
    );
    assert!(
        (18..=22).contains(&sent.len()),
        "{} messages in 9 s",
        sent.len()
    );
    let gaps = sent.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(gaps.clone().max() <= Some(750) && gaps.min() >= Some(100));
    let mut position = BASE;
    for (.., delivery) in &sent {
        assert_eq!(batch(delivery).after, position);
        position = batch(delivery).last;
    }
    assert!(position.number > 10 + 2_800);
}

#[test]
fn frequent_host_changes_are_sent_at_most_ten_times_a_second() {
    let mut publisher = publisher();
    publisher.subscribe(at(0), SubscriberId(7), Subscription::After(BASE));
    let events: Vec<(u64, u64, Content)> = (1..=500)
        .map(|n| (n * 4, 10 + n, Content::HostChange(vec![1])))
        .collect();
    let sent = run_publisher(&mut publisher, 0..2_000, &events);
    let gaps = sent.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(
        gaps.min() >= Some(100) && sent.len() >= 15,
        "{} messages in 2 s",
        sent.len()
    );
}

#[test]
fn subscribers_are_spread_over_the_interval_and_share_encoded_batches() {
    let mut publisher = publisher();
    for id in 0..1_600 {
        publisher.subscribe(at(0), SubscriberId(id), Subscription::After(BASE));
    }
    let events: Vec<(u64, u64, Content)> = (1..=1_650).map(|n| (n * 3, 10 + n, purge(n))).collect();
    let sent = run_publisher(&mut publisher, 0..5_000, &events);
    let mut messages_by_eighth: BTreeMap<u64, usize> = BTreeMap::new();
    let after_start = sent.iter().filter(|(ms, ..)| (1_000..5_000).contains(ms));
    for (ms, ..) in after_start {
        *messages_by_eighth.entry(ms / 125).or_default() += 1;
    }
    println!(
        "messages per 125 ms: {:?}",
        messages_by_eighth.values().collect::<Vec<_>>()
    );
    assert!(
        messages_by_eighth
            .values()
            .all(|count| (350..=450).contains(count))
    );
    let counters = publisher.counters;
    println!(
        "{} batches sent, {} of them encoded",
        counters.batches, counters.encoded
    );
    assert!(counters.encoded * 50 < counters.batches);
}

#[test]
fn a_slow_subscriber_gets_a_larger_batch_later_without_delaying_others() {
    let mut publisher = publisher();
    let (slow, quick) = (SubscriberId(1), SubscriberId(2));
    publisher.subscribe(at(0), slow, Subscription::After(BASE));
    publisher.subscribe(at(0), quick, Subscription::After(BASE));
    let (mut slow_batches, mut quick_batches, mut reported) = (Vec::new(), 0, 0);
    for ms in 0..6_000 {
        publisher.coordinator_heard(at(ms), complete(at(ms)));
        publisher.append_event(at(ms), position(11 + ms), purge(ms));
        for id in publisher.due(at(ms)) {
            if id == slow && !(5_000..5_600).contains(&ms) {
                reported += 1;
                continue;
            }
            let delivery = publisher.update_for(at(ms), id, &mut list).unwrap();
            quick_batches += u32::from(id == quick);
            if id == slow {
                slow_batches.push(batch(&delivery).clone());
            }
        }
    }
    assert!(quick_batches >= 11);
    assert!(
        (40..=60).contains(&reported),
        "reported as due {reported} times, expected ten a second"
    );
    assert_eq!(publisher.counters.passed_over, reported - 1);
    assert_eq!(
        (slow_batches[0].after, slow_batches[0].purges.count),
        (BASE, MAX_PURGES)
    );
    assert_eq!(
        slow_batches[1].after, slow_batches[0].last,
        "the remaining events follow immediately"
    );
}

#[test]
fn an_incomplete_batch_carries_no_coordinator_time() {
    let mut publisher = publisher();
    for number in 11..6_011 {
        publisher.append_event(at(1), position(number), purge(number));
    }
    publisher.subscribe(at(2), SubscriberId(1), Subscription::After(BASE));
    let sent = run_publisher(&mut publisher, 2..100, &[]);
    let batches: Vec<(u32, bool)> = sent
        .iter()
        .map(|(.., delivery)| {
            (
                batch(delivery).purges.count,
                delivery.coordinator_ago_ms.is_some(),
            )
        })
        .collect();
    assert_eq!(batches, [(MAX_PURGES, false), (6_000 - MAX_PURGES, true)]);
}

#[test]
fn snapshots_are_sent_only_while_the_planner_has_all_events() {
    let mut publisher = Publisher::start(at(0), Cadence::default(), Retention::default(), BASE);
    publisher.append_event(at(100), position(11), purge(1));
    let id = SubscriberId(1);
    publisher.subscribe(at(200), id, Subscription::FromSnapshot);
    let next_update = |publisher: &mut Publisher, ms: u64| {
        let due = publisher.due(at(ms));
        due.first()
            .map(|id| publisher.update_for(at(ms), *id, &mut list).unwrap())
    };
    let behind = Update::Behind { last: position(11) };
    assert_eq!(next_update(&mut publisher, 200).unwrap().update, behind);
    publisher.coordinator_heard(at(300), CoordinatorKnowledge::default());
    assert_eq!(next_update(&mut publisher, 1_200).unwrap().update, behind);
    publisher.coordinator_heard(at(1_400), complete(at(1_400)));
    let delivery = next_update(&mut publisher, 1_400).unwrap();
    let Update::Snapshot(snapshot) = delivery.update else {
        panic!("expected a snapshot, got {delivery:?}")
    };
    assert_eq!(
        (
            snapshot.position,
            &snapshot.list[..],
            snapshot.purges_reach_ms
        ),
        (position(11), &[11][..], 1_400)
    );
    assert_eq!(
        (snapshot.purges.count, delivery.coordinator_ago_ms),
        (1, Some(0))
    );
    // The subscriber continues with batches after the snapshot.
    publisher.append_event(at(1_500), position(12), purge(2));
    publisher.coordinator_heard(at(1_500), complete(at(1_500)));
    let next = (1_501..2_500)
        .find_map(|ms| next_update(&mut publisher, ms))
        .unwrap();
    assert_eq!(batch(&next).after, position(11));
    // The coordinator has been silent for too long: no more snapshots.
    publisher.subscribe(at(4_000), id, Subscription::FromSnapshot);
    let delivery = next_update(&mut publisher, 4_000).unwrap();
    assert_eq!(
        (delivery.update, delivery.coordinator_ago_ms),
        (Update::Behind { last: position(12) }, None)
    );
}

#[test]
fn an_unknown_position_is_answered_with_behind_or_a_snapshot() {
    let mut publisher = publisher();
    publisher.append_event(at(1), position(11), purge(1));
    let mut next_update = |position: EventPosition| {
        publisher.subscribe(at(2), SubscriberId(1), Subscription::After(position));
        let due = publisher.due(at(2));
        publisher
            .update_for(at(2), due[0], &mut list)
            .unwrap()
            .update
    };
    assert_eq!(
        next_update(position(15)),
        Update::Behind { last: position(11) }
    );
    assert!(matches!(next_update(position(3)), Update::Snapshot(_)));
    assert!(matches!(
        next_update(EventPosition {
            number: 11,
            hash: 3
        }),
        Update::Snapshot(_)
    ));
}

#[test]
fn a_position_of_the_previous_numbering_is_answered_with_a_snapshot() {
    let mut publisher = publisher();
    publisher.append_event(at(1), position(11), purge(1));
    let base = EventPosition { number: 2, hash: 9 };
    publisher.restart_numbering(at(3), base);
    let mut next_update = |now: Time, position: EventPosition| {
        publisher.subscribe(now, SubscriberId(1), Subscription::After(position));
        let due = publisher.due(now);
        publisher.coordinator_heard(now, complete(now));
        publisher.update_for(now, due[0], &mut list).unwrap().update
    };
    assert!(
        matches!(next_update(at(3), position(11)), Update::Snapshot(snapshot) if snapshot.position == base)
    );
    assert_eq!(
        next_update(at(4), position(12)),
        Update::Behind { last: base },
        "number 12 was never in the log"
    );
    let other = EventPosition {
        number: 11,
        hash: 3,
    };
    assert_eq!(
        next_update(at(5), other),
        Update::Behind { last: base },
        "the hash is not of the previous numbering either"
    );
    assert_eq!(
        next_update(at(70_000), position(11)),
        Update::Behind { last: base },
        "the previous log is no longer retained"
    );
}

#[test]
fn a_subscriber_of_the_previous_numbering_is_due_immediately() {
    let mut publisher = publisher();
    publisher.subscribe(at(0), SubscriberId(1), Subscription::After(BASE));
    assert_eq!(publisher.due(at(0)), [SubscriberId(1)]);
    publisher
        .update_for(at(0), SubscriberId(1), &mut list)
        .unwrap();
    publisher.restart_numbering(at(200), EventPosition { number: 2, hash: 9 });
    assert_eq!(publisher.due(at(200)), [SubscriberId(1)]);
}

#[test]
fn removed_subscribers_are_not_served() {
    let mut publisher = publisher();
    let ids = [SubscriberId(1), SubscriberId(2)];
    for id in ids.iter() {
        publisher.subscribe(at(0), *id, Subscription::After(BASE));
    }
    publisher.unsubscribe(ids[0]);
    publisher.subscribe(at(1), ids[1], Subscription::None);
    assert_eq!(
        (publisher.due(at(1)), publisher.next_due()),
        (Vec::new(), None)
    );
    assert_eq!(publisher.update_for(at(1), ids[0], &mut list), None);
}

/// Prints the cost of serving a thousand subscribers. The time has no bound, as other work shares the machine.
#[test]
fn bytes_per_subscriber_stay_within_bounds() {
    let mut publisher = publisher();
    for id in 0..1_000 {
        publisher.subscribe(at(0), SubscriberId(id), Subscription::After(BASE));
    }
    let events: Vec<(u64, u64, Content)> = (1..=3_300).map(|n| (n * 3, 10 + n, purge(n))).collect();
    let started = std::time::Instant::now();
    let sent = run_publisher(&mut publisher, 0..10_000, &events);
    let each = started.elapsed().as_secs_f64() * 1e6 / sent.len() as f64;
    let bytes: usize = sent
        .iter()
        .map(|(.., delivery)| postcard::to_stdvec(delivery).unwrap().len())
        .sum();
    println!(
        "{} messages in 10 s, {each:.1} us per message, {} bytes a second per subscriber",
        sent.len(),
        bytes / 10_000
    );
    assert!(
        bytes / 10_000 < 1_300,
        "{bytes} bytes in 10 s for 1,000 subscribers"
    );
}

// Guards against a planner that confirms the lists of its forwarders after a pause in a slow backlog.
#[test]
fn batches_tell_the_age_of_the_last_heartbeat_to_a_planner_that_has_only_caught_up() {
    let mut publisher = publisher();
    publisher.subscribe(at(10), SubscriberId(1), Subscription::After(BASE));
    publisher.coordinator_heard(
        at(9_000),
        CoordinatorKnowledge {
            is_caught_up: true,
            ..complete(at(0))
        },
    );
    assert_eq!(publisher.due(at(9_000)), [SubscriberId(1)]);
    let delivery = publisher
        .update_for(at(9_000), SubscriberId(1), &mut list)
        .unwrap();
    assert_eq!(batch(&delivery).last, BASE);
    assert_eq!(delivery.coordinator_ago_ms, Some(9_000));
}

#[test]
fn a_planner_without_a_heartbeat_since_its_start_tells_that_it_was_never_complete() {
    let mut publisher = Publisher::start(at(0), Cadence::default(), Retention::default(), BASE);
    publisher.subscribe(at(10), SubscriberId(1), Subscription::After(BASE));
    publisher.coordinator_heard(
        at(40),
        CoordinatorKnowledge {
            is_caught_up: true,
            complete_as_of: None,
        },
    );
    assert_eq!(publisher.due(at(40)), [SubscriberId(1)]);
    let delivery = publisher
        .update_for(at(40), SubscriberId(1), &mut list)
        .unwrap();
    assert_eq!(delivery.coordinator_ago_ms, Some(u32::MAX));
}
