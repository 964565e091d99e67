//! The purges that a forwarder has to apply: none is forgotten before it has settled, and few objects match by chance.

use flaxdeck::{ObjectId, Span, Time};
use flaxdeck_distribution::{Fingerprint, PurgeIndex};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SETTLE_TIME: Span = Span::from_ms(6_000);

fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0 + ms as f64)
}

fn of(objects: &[u64]) -> Vec<Fingerprint> {
    objects
        .iter()
        .map(|object| Fingerprint::of(ObjectId(*object)))
        .collect()
}

#[test]
fn a_purge_counts_until_it_has_settled_and_from_when_it_was_last_told() {
    let mut index = PurgeIndex::new(SETTLE_TIME);
    index.record(at(0), &of(&[1, 2]));
    index.record(at(3_000), &of(&[2, 3]));
    assert_eq!(index.purged_at(at(3_000), ObjectId(1)), Some(at(0)));
    assert_eq!(index.purged_at(at(3_000), ObjectId(2)), Some(at(3_000)));
    assert_eq!(index.purged_at(at(3_000), ObjectId(4)), None);
    assert_eq!(index.purged_at(at(6_000), ObjectId(1)), Some(at(0)));
    assert_eq!(index.purged_at(at(7_000), ObjectId(1)), None, "settled");
    assert_eq!(index.purged_at(at(7_000), ObjectId(2)), Some(at(3_000)));
    index.prune(at(20_000));
    assert!(index.is_empty());
}

#[test]
fn a_storm_beyond_the_bound_puts_all_copies_from_before_in_doubt_until_they_have_settled() {
    let mut index = PurgeIndex::with_max_entries(SETTLE_TIME, 100);
    index.record(at(0), &of(&[1, 2]));
    index.record(at(10), &of(&[3]));
    assert_eq!(index.incomplete_before(at(10)), None);
    index.record(at(20), &of(&(1_000..1_098).collect::<Vec<_>>()));
    assert_eq!(index.len(), 100);
    assert_eq!(index.incomplete_before(at(20)), Some(at(0)));
    assert_eq!(
        index.purged_at(at(20), ObjectId(3)),
        Some(at(10)),
        "still known"
    );
    assert_eq!(index.incomplete_before(at(7_000)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Beside a plain list of all purges: an unsettled one is found, or reported as dropped.
    #[test]
    fn no_unsettled_purge_is_forgotten(
        told in prop::collection::vec((0..900_u64, prop::collection::vec(0..30_u64, 0..8)), 0..60),
        most in 4..60_usize,
    ) {
        let mut index = PurgeIndex::with_max_entries(SETTLE_TIME, most);
        let (mut now, mut all) = (0, Vec::new());
        for (pause, objects) in told {
            now += pause;
            index.record(at(now), &of(&objects));
            all.extend(objects.into_iter().map(|object| (at(now), object)));
            for object in 0..30 {
                let last = all.iter().rev().find(|(_, purged)| *purged == object).map(|(told, _)| *told);
                let unsettled = last.filter(|last| at(now).since(*last) <= SETTLE_TIME);
                let from = index.purged_at(at(now), ObjectId(object)).max(index.incomplete_before(at(now)));
                prop_assert!(from >= unsettled, "object {} purged at {:?}, known {:?}", object, unsettled, from);
            }
            prop_assert!(index.len() <= most);
        }
    }
}

/// With 3,300 unsettled purges, ten seconds of 330, fewer than one in 10,000 of ten million other objects match.
#[test]
fn few_objects_match_by_chance() {
    const PURGED: u64 = 3_300;
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    // Ids as they may be given: one after the other, and all over the range.
    for (kind, sequential, asked) in [
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
        let matched = (0..asked)
            .filter(|_| index.purged_at(at(1), id(&mut rng)).is_some())
            .count();
        let one_in = asked / matched.max(1);
        println!(
            "{kind}: {matched} of {asked} objects match one of {PURGED} purges by chance, one in {one_in}"
        );
        assert!(matched < asked / 10_000);
    }
}
