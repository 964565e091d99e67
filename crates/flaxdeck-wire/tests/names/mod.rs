//! The names that the platform's configuration gives to words of the protocol.

use flaxdeck_terms::Names;
use flaxdeck_terms::fields::Fields;

/// The names of the toy world.
pub(crate) fn names() -> Names {
    let config = include_str!("../../../../examples/toy/config.json");
    let value: serde_json::Value = serde_json::from_str(config).unwrap();
    let settings = Fields::of(&value, "the whole")
        .unwrap()
        .inner("settings")
        .unwrap();
    flaxdeck_terms::read(&settings).unwrap().1
}
