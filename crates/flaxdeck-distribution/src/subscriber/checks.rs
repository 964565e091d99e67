//! Checks that a delivery is complete and consistent, before anything of it is applied.

use super::InvalidDelivery;
use crate::fingerprint::Fingerprint;
use crate::messages::{Batch, FullEvent, MAX_FULL_BYTES, MAX_FULL_EVENTS, Snapshot};

fn frame_bytes(events: &[FullEvent]) -> usize {
    events.iter().map(|event| event.frame.len()).sum()
}

fn check_length(bytes: usize) -> Result<(), InvalidDelivery> {
    if bytes > MAX_FULL_BYTES {
        return Err(InvalidDelivery::TooLong(bytes));
    }
    Ok(())
}

fn check_events(events: &[FullEvent]) -> Result<(), InvalidDelivery> {
    if events.len() > MAX_FULL_EVENTS {
        return Err(InvalidDelivery::TooManyEvents(events.len()));
    }
    check_length(frame_bytes(events))?;
    let is_increasing =
        events.is_sorted_by(|previous, next| previous.position.number < next.position.number);
    if !is_increasing {
        return Err(InvalidDelivery::Positions);
    }
    Ok(())
}

/// Checks a batch and returns its purges.
pub(super) fn check_batch(batch: &Batch) -> Result<Vec<Fingerprint>, InvalidDelivery> {
    let Batch {
        after,
        last,
        purges,
        events,
    } = batch;
    check_events(events)?;
    let range = InvalidDelivery::Range {
        after: after.number,
        last: last.number,
    };
    let numbers = last.number.checked_sub(after.number).ok_or(range)?;
    if numbers == 0 && last != after {
        return Err(range);
    }
    let event_count = u64::from(purges.count) + events.len() as u64;
    if numbers != event_count {
        return Err(InvalidDelivery::Count {
            numbers,
            events: event_count,
        });
    }
    let is_in_range = |event: &FullEvent| {
        event.position.number > after.number && event.position.number <= last.number
    };
    let matches_end = events
        .last()
        .is_none_or(|event| event.position.number < last.number || event.position == *last);
    if !matches_end || !events.iter().all(is_in_range) {
        return Err(InvalidDelivery::Positions);
    }
    Ok(purges.decode()?)
}

/// Checks a snapshot and returns its purges.
pub(super) fn check_snapshot(snapshot: &Snapshot) -> Result<Vec<Fingerprint>, InvalidDelivery> {
    check_events(&snapshot.group_purges)?;
    check_length(snapshot.list.len() + frame_bytes(&snapshot.group_purges))?;
    let is_out_of_range = |event: &FullEvent| event.position.number > snapshot.position.number;
    if snapshot.group_purges.last().is_some_and(is_out_of_range) {
        return Err(InvalidDelivery::Positions);
    }
    Ok(snapshot.purges.decode()?)
}
