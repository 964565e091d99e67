//! The cache of a host: eviction by rank, and lookups bounded by the age of the copy.

use flaxdeck_fleet::cache::Cache;

#[test]
fn a_scan_evicts_only_copies_of_the_lowest_rank() {
    let mut cache = Cache::new(100.0);
    for object in 0..5 {
        cache.insert(object, 2, 0.0, 10.0);
    }
    for object in 100..200 {
        cache.insert(object, 1, 0.0, 10.0);
    }
    assert!((0..5).all(|object| cache.lookup(object, 0.0).is_some()));
    assert_eq!(
        (100..200)
            .filter(|object| cache.lookup(*object, 0.0).is_some())
            .count(),
        5
    );
}

#[test]
fn a_copy_older_than_allowed_is_a_miss_until_a_newer_copy_is_inserted() {
    let mut cache = Cache::new(100.0);
    cache.insert(1, 1, 5.0, 10.0);
    assert_eq!(
        (cache.lookup(1, 6.0), cache.lookup(1, 5.0)),
        (None, Some(5.0))
    );
    cache.insert(1, 1, 9.0, 10.0);
    assert_eq!(cache.lookup(1, 6.0), Some(9.0));
    assert_eq!(cache.used_kb(), 10.0);
}
