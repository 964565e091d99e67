//! A planner's event log: retention by time, order, no gaps, and a correct report of what was dropped.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck::{Span, Time};
use flaxdeck_distribution::event_log::LogSize;
use flaxdeck_distribution::messages::{MAX_FULL_BYTES, MAX_FULL_EVENTS, MAX_PURGES};
use flaxdeck_distribution::{Content, EventLog, Fingerprint, PositionError, Retention};
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
    Content::ObjectPurge(Fingerprint(number as u32))
}

fn retention(max_bytes: usize) -> Retention {
    Retention {
        max_bytes,
        ..Retention::default()
    }
}

fn log() -> EventLog {
    EventLog::start(at(0), retention(1 << 24), BASE)
}

#[test]
fn a_batch_contains_all_following_events_in_order() {
    let mut log = log();
    log.append(at(1), position(11), purge(11));
    log.append(at(2), position(12), Content::HostChange(vec![1]));
    log.append(at(3), position(13), Content::GroupPurge(vec![2]));
    log.append(at(4), position(14), purge(3));
    let batch = log.batch_after(BASE).unwrap();
    assert_eq!(
        (batch.after, batch.last, batch.purges.count),
        (BASE, position(14), 2)
    );
    assert_eq!(
        batch.purges.decode(),
        Ok(vec![Fingerprint(3), Fingerprint(11)])
    );
    let events: Vec<(u64, u8)> = batch
        .events
        .iter()
        .map(|event| (event.position.number, event.frame[0]))
        .collect();
    assert_eq!(events, [(12, 1), (13, 2)]);
    assert_eq!(log.batch_after(position(13)).unwrap().purges.count, 1);
    let heartbeat = log.batch_after(position(14)).unwrap();
    assert_eq!(
        (heartbeat.after, heartbeat.last),
        (position(14), position(14))
    );
    assert_eq!(
        (
            log.next_event_received_at(position(11)),
            log.next_urgent_event_received_at(position(12))
        ),
        (Some(at(2)), Some(at(3)))
    );
    assert_eq!(
        (
            log.next_event_received_at(position(14)),
            log.next_urgent_event_received_at(position(13))
        ),
        (None, None)
    );
}

#[test]
fn positions_are_compared_including_the_hash() {
    let mut log = log();
    log.append(at(1), position(11), purge(1));
    assert_eq!(log.batch_after(position(12)), Err(PositionError::Ahead));
    assert_eq!(
        log.batch_after(EventPosition {
            number: 11,
            hash: 5
        }),
        Err(PositionError::Unknown)
    );
    assert_eq!(
        log.batch_after(EventPosition {
            number: 10,
            hash: 5
        }),
        Err(PositionError::Unknown)
    );
    assert_eq!(log.batch_after(position(9)), Err(PositionError::Unknown));
    assert_eq!(
        log.batch_after(EventPosition::NONE),
        Err(PositionError::Unknown)
    );
}

#[test]
fn events_are_retained_for_30_s_at_a_high_rate() {
    let mut log = log();
    for number in 11..20_000 {
        log.append(at(number * 3), position(number), purge(number));
    }
    assert_eq!(log.size().events, 10_001, "events of 30 s at 333 a second");
    assert_eq!(log.counters.shortened, 0);
    assert!(log.batch_after(position(9_998)).is_ok());
    assert_eq!(
        log.batch_after(position(9_997)),
        Err(PositionError::Unknown)
    );
    log.prune(at(20_000 * 3 + 40_000));
    assert_eq!(
        (log.size(), log.last()),
        (LogSize::default(), position(19_999))
    );
    assert!(
        log.batch_after(position(19_999)).is_ok(),
        "the last position can be continued from with an empty log"
    );
}

#[test]
fn the_byte_limit_shortens_the_purge_reach_and_is_counted() {
    let mut log = EventLog::start(at(0), retention(20_000), BASE);
    for number in 11..1_011 {
        log.append(at(number), position(number), purge(number));
    }
    let LogSize {
        events: entries,
        bytes,
    } = log.size();
    assert!(bytes <= 20_000 && entries > 100);
    assert_eq!(log.counters.shortened as usize, 1_000 - entries);
    let recent = log.recent_purges(at(1_010), MAX_FULL_BYTES);
    assert_eq!(recent.objects.len(), entries);
    assert_eq!(
        recent.reach,
        Span::from_ms(entries as u64),
        "the reach begins after the last dropped event"
    );
}

#[test]
fn purge_reach_is_limited_by_the_start_of_the_log() {
    let mut log = log();
    log.append(at(500), position(11), purge(1));
    log.append(at(600), position(12), Content::GroupPurge(vec![3]));
    let recent = log.recent_purges(at(2_000), MAX_FULL_BYTES);
    assert_eq!(
        (recent.objects.len(), recent.groups.len(), recent.reach),
        (1, 1, Span::from_ms(2_000))
    );
    log.restart(at(2_500), position(3));
    let recent = log.recent_purges(at(3_000), MAX_FULL_BYTES);
    assert_eq!(
        (recent.objects.len(), recent.groups.len(), recent.reach),
        (0, 0, Span::from_ms(500))
    );
    assert_eq!(log.batch_after(position(12)), Err(PositionError::Ahead));
}

#[test]
fn recent_purges_are_limited_to_the_latest_and_report_their_reach() {
    let mut log = log();
    for number in 11..11 + 2 * u64::from(MAX_PURGES) {
        log.append(at(number), position(number), purge(number));
    }
    let last = 10 + 2 * u64::from(MAX_PURGES);
    let recent = log.recent_purges(at(last), MAX_FULL_BYTES);
    assert_eq!(recent.objects.len(), MAX_PURGES as usize);
    assert_eq!(recent.reach, Span::from_ms(u64::from(MAX_PURGES)));
}

#[test]
fn recent_group_purges_are_limited_by_the_available_bytes() {
    let mut log = log();
    for number in 11..21 {
        log.append(
            at(number),
            position(number),
            Content::GroupPurge(vec![0; 100]),
        );
    }
    let recent = log.recent_purges(at(20), 450);
    let numbers: Vec<u64> = recent
        .groups
        .iter()
        .map(|event| event.position.number)
        .collect();
    assert_eq!(
        (numbers, recent.reach),
        (vec![17, 18, 19, 20], Span::from_ms(4))
    );
}

#[test]
fn a_long_backlog_is_split_into_consecutive_batches() {
    let mut log = log();
    for number in 11..9_011 {
        log.append(at(number), position(number), purge(number));
    }
    for number in 9_011..9_611 {
        log.append(
            at(number),
            position(number),
            Content::HostChange(vec![0; 2_000]),
        );
    }
    let (mut position, mut batches, mut delivered) = (BASE, 0, 0);
    while position != log.last() {
        let batch = log.batch_after(position).unwrap();
        assert!(batch.purges.count <= MAX_PURGES && batch.events.len() <= MAX_FULL_EVENTS);
        let bytes: usize = batch.events.iter().map(|event| event.frame.len()).sum();
        assert!(
            bytes <= MAX_FULL_BYTES
                && batch.after == position
                && batch.last.number > position.number
        );
        delivered += u64::from(batch.purges.count) + batch.events.len() as u64;
        (position, batches) = (batch.last, batches + 1);
    }
    assert_eq!((delivered, batches), (9_600, 7));
}

#[test]
fn subscribers_cannot_skip_a_gap_or_an_oversized_event() {
    let mut log = log();
    log.append(at(1), position(11), purge(1));
    log.append(at(2), position(14), purge(2));
    assert_eq!(
        (log.counters.gaps, log.batch_after(position(11))),
        (1, Err(PositionError::Unknown))
    );
    assert_eq!(
        log.recent_purges(at(5), MAX_FULL_BYTES).reach,
        Span::from_ms(3)
    );
    assert_eq!(log.last(), position(14));
    log.append(
        at(6),
        position(15),
        Content::HostChange(vec![0; MAX_FULL_BYTES + 1]),
    );
    assert_eq!(
        (log.counters.oversized, log.batch_after(position(14))),
        (1, Err(PositionError::Unknown))
    );
    assert!(log.batch_after(position(15)).is_ok());
    log.append(at(7), position(15), purge(1));
    log.append(at(7), position(3), purge(1));
    assert_eq!((log.counters.out_of_order, log.last()), (2, position(15)));
}
