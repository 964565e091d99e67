//! The names of request classes, zones and kinds for the tests of parsers and writers.

use flaxdeck_terms::Names;
use flaxdeck_terms::fields::Fields;

/// The names from the settings of the toy example.
pub(crate) fn names() -> Names {
    let config = include_str!("../../../../examples/toy/config.json");
    let value: serde_json::Value = serde_json::from_str(config).unwrap();
    let settings = Fields::of(&value, "the configuration")
        .unwrap()
        .inner("settings")
        .unwrap();
    flaxdeck_terms::read(&settings).unwrap().1
}
