//! The planner's side: when subscribers are told what.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::collections::BTreeMap;

use flaxdeck::Time;
use flaxdeck_distribution::messages::{Batch, Delivery, MAX_PURGES, Subscription, Update};
use flaxdeck_distribution::{Cadence, Content, Fingerprint, Publisher, Retention, SubscriberId};
use flaxdeck_recovery::EventPosition;

const BASE: EventPosition = EventPosition {
    number: 10,
    hash: 1,
};

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
    publisher.coordinator_heard(at(0), true);
    publisher
}

/// Everything that is sent until then, by millisecond, with the coordinator heard each 500 ms.
fn play(
    publisher: &mut Publisher,
    ms: std::ops::Range<u64>,
    events: &[(u64, u64, Content)],
) -> Vec<(u64, SubscriberId, Delivery)> {
    let mut sent = Vec::new();
    for ms in ms {
        if ms % 500 == 0 {
            publisher.coordinator_heard(at(ms), true);
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
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_subscriber_is_answered_at_once_and_hears_heartbeats_while_nothing_happens() {
    let mut publisher = publisher();
    publisher.subscribe(at(5), SubscriberId(1), Subscription::After(BASE));
    let sent = play(&mut publisher, 5..5_005, &[]);
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
fn purges_go_out_twice_a_second_and_host_changes_within_a_tenth() {
    let mut publisher = publisher();
    publisher.subscribe(at(0), SubscriberId(1), Subscription::After(BASE));
    let mut events: Vec<(u64, u64, Content)> =
        (1..=3_000).map(|n| (n * 3, 10 + n, purge(n))).collect();
    events[999].2 = Content::HostChange(vec![9]);
    let sent = play(&mut publisher, 0..9_000, &events);
    let urgent = sent
        .iter()
        .find(|(.., delivery)| !batch(delivery).events.is_empty())
        .unwrap();
    assert!((3_000..=3_100).contains(&urgent.0), "told at {}", urgent.0);
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
fn changes_that_come_thick_are_told_ten_times_a_second_at_most() {
    let mut publisher = publisher();
    publisher.subscribe(at(0), SubscriberId(7), Subscription::After(BASE));
    let events: Vec<(u64, u64, Content)> = (1..=500)
        .map(|n| (n * 4, 10 + n, Content::HostChange(vec![1])))
        .collect();
    let sent = play(&mut publisher, 0..2_000, &events);
    let gaps = sent.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(
        gaps.min() >= Some(100) && sent.len() >= 15,
        "{} messages",
        sent.len()
    );
}

#[test]
fn subscribers_are_spread_over_the_interval_and_share_what_is_encoded() {
    let mut publisher = publisher();
    for id in 0..1_600 {
        publisher.subscribe(at(0), SubscriberId(id), Subscription::After(BASE));
    }
    let events: Vec<(u64, u64, Content)> = (1..=1_650).map(|n| (n * 3, 10 + n, purge(n))).collect();
    let sent = play(&mut publisher, 0..5_000, &events);
    let mut each_tenth: BTreeMap<u64, usize> = BTreeMap::new();
    let settled = sent.iter().filter(|(ms, ..)| (1_000..5_000).contains(ms));
    for (ms, ..) in settled {
        *each_tenth.entry(ms / 125).or_default() += 1;
    }
    println!(
        "messages each 125 ms: {:?}",
        each_tenth.values().collect::<Vec<_>>()
    );
    assert!(each_tenth.values().all(|count| (350..=450).contains(count)));
    let counters = publisher.counters;
    println!("{} batches, {} encoded", counters.batches, counters.encoded);
    assert!(counters.encoded * 50 < counters.batches);
}

#[test]
fn who_reads_slowly_gets_a_larger_batch_later_and_delays_nobody() {
    let mut publisher = publisher();
    let (slow, quick) = (SubscriberId(1), SubscriberId(2));
    publisher.subscribe(at(0), slow, Subscription::After(BASE));
    publisher.subscribe(at(0), quick, Subscription::After(BASE));
    let (mut slow_batches, mut quick_batches, mut named) = (Vec::new(), 0, 0);
    for ms in 0..6_000 {
        publisher.coordinator_heard(at(ms), true);
        publisher.append_event(at(ms), position(11 + ms), purge(ms));
        for id in publisher.due(at(ms)) {
            if id == slow && !(5_000..5_600).contains(&ms) {
                named += 1;
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
        (40..=60).contains(&named),
        "named {named} times: ten a second"
    );
    assert_eq!(publisher.counters.passed_over, named - 1);
    assert_eq!(
        (slow_batches[0].after, slow_batches[0].purges.count),
        (BASE, MAX_PURGES)
    );
    assert_eq!(
        slow_batches[1].after, slow_batches[0].last,
        "the rest follows at once"
    );
}

#[test]
fn a_batch_that_is_not_all_vouches_for_nothing() {
    let mut publisher = publisher();
    for number in 11..6_011 {
        publisher.append_event(at(1), position(number), purge(number));
    }
    publisher.subscribe(at(2), SubscriberId(1), Subscription::After(BASE));
    let sent = play(&mut publisher, 2..100, &[]);
    let told: Vec<(u32, bool)> = sent
        .iter()
        .map(|(.., delivery)| {
            (
                batch(delivery).purges.count,
                delivery.coordinator_ago_ms.is_some(),
            )
        })
        .collect();
    assert_eq!(told, [(MAX_PURGES, false), (6_000 - MAX_PURGES, true)]);
}

#[test]
fn a_planner_gives_a_snapshot_only_while_it_knows_all_that_the_coordinator_has() {
    let mut publisher = Publisher::start(at(0), Cadence::default(), Retention::default(), BASE);
    publisher.append_event(at(100), position(11), purge(1));
    let id = SubscriberId(1);
    publisher.subscribe(at(200), id, Subscription::FromSnapshot);
    let told = |publisher: &mut Publisher, ms: u64| {
        let due = publisher.due(at(ms));
        due.first()
            .map(|id| publisher.update_for(at(ms), *id, &mut list).unwrap())
    };
    let behind = Update::Behind { last: position(11) };
    assert_eq!(told(&mut publisher, 200).unwrap().update, behind);
    publisher.coordinator_heard(at(300), false);
    assert_eq!(told(&mut publisher, 1_200).unwrap().update, behind);
    publisher.coordinator_heard(at(1_400), true);
    let delivery = told(&mut publisher, 1_400).unwrap();
    let Update::Snapshot(snapshot) = delivery.update else {
        panic!("{delivery:?}")
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
    // From there it goes on by batches.
    publisher.append_event(at(1_500), position(12), purge(2));
    publisher.coordinator_heard(at(1_500), true);
    let next = (1_501..2_500)
        .find_map(|ms| told(&mut publisher, ms))
        .unwrap();
    assert_eq!(batch(&next).after, position(11));
    // The coordinator is silent: no more snapshots.
    publisher.subscribe(at(4_000), id, Subscription::FromSnapshot);
    let delivery = told(&mut publisher, 4_000).unwrap();
    assert_eq!(
        (delivery.update, delivery.coordinator_ago_ms),
        (Update::Behind { last: position(12) }, None)
    );
}

#[test]
fn a_position_that_is_not_known_is_answered_by_what_can_be_given() {
    let mut publisher = publisher();
    publisher.append_event(at(1), position(11), purge(1));
    let mut told = |position: EventPosition| {
        publisher.subscribe(at(2), SubscriberId(1), Subscription::After(position));
        let due = publisher.due(at(2));
        publisher
            .update_for(at(2), due[0], &mut list)
            .unwrap()
            .update
    };
    assert_eq!(told(position(15)), Update::Behind { last: position(11) });
    assert!(matches!(told(position(3)), Update::Snapshot(_)));
    assert!(matches!(
        told(EventPosition {
            number: 11,
            hash: 3
        }),
        Update::Snapshot(_)
    ));
}

#[test]
fn a_position_of_a_numbering_that_is_no_more_is_answered_by_the_state() {
    let mut publisher = publisher();
    publisher.append_event(at(1), position(11), purge(1));
    let base = EventPosition { number: 2, hash: 9 };
    publisher.restart_numbering(at(3), base);
    let mut told = |now: Time, position: EventPosition| {
        publisher.subscribe(now, SubscriberId(1), Subscription::After(position));
        let due = publisher.due(now);
        publisher.coordinator_heard(now, true);
        publisher.update_for(now, due[0], &mut list).unwrap().update
    };
    assert!(
        matches!(told(at(3), position(11)), Update::Snapshot(snapshot) if snapshot.position == base)
    );
    assert_eq!(
        told(at(4), position(12)),
        Update::Behind { last: base },
        "never known here"
    );
    let other = EventPosition {
        number: 11,
        hash: 3,
    };
    assert_eq!(
        told(at(5), other),
        Update::Behind { last: base },
        "not of that numbering either"
    );
    assert_eq!(
        told(at(70_000), position(11)),
        Update::Behind { last: base },
        "long forgotten"
    );
}

#[test]
fn who_stands_in_a_numbering_that_is_no_more_is_told_at_once() {
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
fn nobody_is_served_after_leaving() {
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

/// What a tick of a thousand subscribers costs, printed; no bound on time, as other work shares the machine.
#[test]
fn the_cost_of_serving_is_printed() {
    let mut publisher = publisher();
    for id in 0..1_000 {
        publisher.subscribe(at(0), SubscriberId(id), Subscription::After(BASE));
    }
    let events: Vec<(u64, u64, Content)> = (1..=3_300).map(|n| (n * 3, 10 + n, purge(n))).collect();
    let started = std::time::Instant::now();
    let sent = play(&mut publisher, 0..10_000, &events);
    let each = started.elapsed().as_secs_f64() * 1e6 / sent.len() as f64;
    let bytes: usize = sent
        .iter()
        .map(|(.., delivery)| postcard::to_stdvec(delivery).unwrap().len())
        .sum();
    println!(
        "{} messages in 10 s, {each:.1} us each, {} bytes a second each",
        sent.len(),
        bytes / 10_000
    );
    assert!(bytes / 10_000 < 1_300, "{bytes}");
}
