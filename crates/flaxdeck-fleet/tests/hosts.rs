//! What hosts keep, by rank and age.

use flaxdeck_fleet::hosts::Copies;

#[test]
fn a_scan_pushes_out_only_what_is_of_the_lowest_rank() {
    let mut copies = Copies::new(100.0);
    (0..5).for_each(|object| copies.keep(object, 2, 0.0, 10.0));
    (100..200).for_each(|object| copies.keep(object, 1, 0.0, 10.0));
    assert!((0..5).all(|object| copies.look(object, 0.0).is_some()));
    assert_eq!(
        (100..200)
            .filter(|object| copies.look(*object, 0.0).is_some())
            .count(),
        5
    );
}

#[test]
fn a_copy_older_than_asked_is_none_and_a_new_one_takes_its_place() {
    let mut copies = Copies::new(100.0);
    copies.keep(1, 1, 5.0, 10.0);
    assert_eq!(
        (copies.look(1, 6.0), copies.look(1, 5.0)),
        (None, Some(5.0))
    );
    copies.keep(1, 1, 9.0, 10.0);
    assert_eq!(copies.look(1, 6.0), Some(9.0));
    assert_eq!(copies.kb(), 10.0);
}
