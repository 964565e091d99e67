//! Whether a delivery is whole and in order in itself, before anything of it is applied.

use super::Invalid;
use crate::fingerprint::Fingerprint;
use crate::messages::*;

fn check_events(events: &[FullEvent]) -> Result<(), Invalid> {
    if events.len() > MAX_FULL_EVENTS {
        return Err(Invalid::TooManyEvents);
    }
    let bytes: usize = events.iter().map(|event| event.frame.len()).sum();
    if bytes > MAX_FULL_BYTES {
        return Err(Invalid::TooLong);
    }
    let increasing = events
        .windows(2)
        .all(|pair| pair[0].mark.number < pair[1].mark.number);
    increasing.then_some(()).ok_or(Invalid::Marks)
}

/// Whether a batch is whole and in order in itself; gives its purges.
pub(super) fn check_batch(batch: &Batch) -> Result<Vec<Fingerprint>, Invalid> {
    let Batch {
        after,
        upto,
        purges,
        events,
    } = batch;
    check_events(events)?;
    let numbers = upto
        .number
        .checked_sub(after.number)
        .ok_or(Invalid::Range)?;
    if numbers == 0 && upto != after {
        return Err(Invalid::Range);
    }
    if numbers != u64::from(purges.count) + events.len() as u64 {
        return Err(Invalid::Count);
    }
    let in_range =
        |event: &FullEvent| event.mark.number > after.number && event.mark.number <= upto.number;
    let ends_well = events
        .last()
        .is_none_or(|last| last.mark.number < upto.number || last.mark == *upto);
    if !ends_well || !events.iter().all(in_range) {
        return Err(Invalid::Marks);
    }
    purges.decode().map_err(Invalid::Digest)
}

pub(super) fn check_snapshot(snapshot: &Snapshot) -> Result<Vec<Fingerprint>, Invalid> {
    check_events(&snapshot.group_purges)?;
    let group_bytes: usize = snapshot
        .group_purges
        .iter()
        .map(|event| event.frame.len())
        .sum();
    if snapshot.list.len() + group_bytes > MAX_FULL_BYTES {
        return Err(Invalid::TooLong);
    }
    if snapshot
        .group_purges
        .last()
        .is_some_and(|last| last.mark.number > snapshot.upto.number)
    {
        return Err(Invalid::Marks);
    }
    snapshot.purges.decode().map_err(Invalid::Digest)
}
