//! The purge index of a forwarder: every purge is found until it has settled, and false matches are rare.

use flaxdeck::{ObjectId, Span, Time};
use flaxdeck_distribution::{Fingerprint, PurgeIndex};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SETTLE_TIME: Span = Span::from_ms(6_000);

fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0 + ms as f64)
}

fn fingerprints(objects: &[u64]) -> Vec<Fingerprint> {
    objects
        .iter()
        .map(|object| Fingerprint::of(ObjectId(*object)))
        .collect()
}

#[test]
fn a_purge_applies_from_its_last_receipt_until_it_settles() {
    let mut index = PurgeIndex::new(SETTLE_TIME);
    index.record(at(0), &fingerprints(&[1, 2]));
    index.record(at(3_000), &fingerprints(&[2, 3]));
    assert_eq!(index.purged_at(at(3_000), ObjectId(1)), Some(at(0)));
    assert_eq!(index.purged_at(at(3_000), ObjectId(2)), Some(at(3_000)));
    assert_eq!(index.purged_at(at(3_000), ObjectId(4)), None);
    assert_eq!(index.purged_at(at(6_000), ObjectId(1)), Some(at(0)));
    assert_eq!(
        index.purged_at(at(7_000), ObjectId(1)),
        None,
        "object 1 has settled"
    );
    assert_eq!(index.purged_at(at(7_000), ObjectId(2)), Some(at(3_000)));
    index.prune(at(20_000));
    assert!(index.is_empty());
}

#[test]
fn purges_dropped_at_the_limit_invalidate_all_older_copies_until_they_settle() {
    let mut index = PurgeIndex::with_max_entries(SETTLE_TIME, 100);
    index.record(at(0), &fingerprints(&[1, 2]));
    index.record(at(10), &fingerprints(&[3]));
    assert_eq!(index.incomplete_before(at(10)), None);
    index.record(at(20), &fingerprints(&(1_000..1_098).collect::<Vec<_>>()));
    assert_eq!(index.len(), 100);
    assert_eq!(index.incomplete_before(at(20)), Some(at(0)));
    assert_eq!(
        index.purged_at(at(20), ObjectId(3)),
        Some(at(10)),
        "the purge of object 3 is still in the index"
    );
    assert_eq!(index.incomplete_before(at(7_000)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares the index with a plain list of all purges: an unsettled purge is found, or reported as dropped.
    #[test]
    fn every_unsettled_purge_is_found_or_reported_as_dropped(
        received in prop::collection::vec((0..900_u64, prop::collection::vec(0..30_u64, 0..8)), 0..60),
        max_entries in 4..60_usize,
    ) {
        let mut index = PurgeIndex::with_max_entries(SETTLE_TIME, max_entries);
        let (mut now, mut all) = (0, Vec::new());
        for (pause, objects) in received {
            now += pause;
            index.record(at(now), &fingerprints(&objects));
            all.extend(objects.into_iter().map(|object| (at(now), object)));
            for object in 0..30 {
                let last = all.iter().rev().find(|(_, purged)| *purged == object).map(|(received, _)| *received);
                let unsettled = last.filter(|last| at(now).since(*last) <= SETTLE_TIME);
                let latest_cutoff = index.purged_at(at(now), ObjectId(object)).max(index.incomplete_before(at(now)));
                prop_assert!(
                    latest_cutoff >= unsettled,
                    "object {} was last purged at {:?}, the index returns {:?}", object, unsettled, latest_cutoff
                );
            }
            prop_assert!(index.len() <= max_entries);
        }
    }
}

/// With 3,300 unsettled purges, ten seconds at 330 a second, fewer than one in 10,000 of other objects match by chance:
/// one million sequential ids and ten million random ids are looked up.
#[test]
fn the_rate_of_false_matches_is_below_one_in_10_000() {
    const PURGED: u64 = 3_300;
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    // Ids may be assigned sequentially or at random.
    for (kind, sequential, lookups) in [
        ("ids in sequence", true, 1_000_000),
        ("random ids", false, 10_000_000),
    ] {
        let mut index = PurgeIndex::new(SETTLE_TIME);
        let mut next = 0_u64;
        let mut id = |rng: &mut Pcg64Mcg| {
            next += 1;
            ObjectId(if sequential { next } else { rng.random() })
        };
        for _ in 0..PURGED {
            index.record(at(0), &[Fingerprint::of(id(&mut rng))]);
        }
        let matched = (0..lookups)
            .filter(|_| index.purged_at(at(1), id(&mut rng)).is_some())
            .count();
        let one_in = lookups / matched.max(1);
        println!(
            "{kind}: {matched} of {lookups} objects match one of {PURGED} purges by chance, one in {one_in}"
        );
        assert!(matched < lookups / 10_000);
    }
}
