//! The fields of a valid request, for the tests of parsers.

/// Each field that a request may have, once.
pub(crate) const FIELDS: [(&str, &str); 9] = [
    ("id", "9b1f03aa5c7e2d41"),
    ("wait", "1500"),
    ("retry", "1"),
    ("key", "7f3a9c21e0b4d655"),
    ("slice", "3"),
    ("set", "17"),
    ("kb", "412.5"),
    ("seen", "4be0c1927d55a6f3"),
    ("once", "6ba245bd25e372d4b65f22998597a9da"),
];
