//! Reads the request classes from the settings.

use flaxdeck::{Repeats, RequestClass, Scope, Span};

use crate::MAX_NAME;
use crate::error::{ClassNameError, SettingsError};
use crate::fields::Fields;

/// The method of a client's health check of a dispatcher.
const ALIVE: &str = "alive";

/// The request classes and their names, in the same order.
pub(crate) struct Classes {
    pub(crate) names: Vec<String>,
    pub(crate) classes: Vec<RequestClass>,
}

/// The lists in `family_info` that hold one property each of all classes, indexed by the class's number.
struct Properties {
    has_parts: Vec<bool>,
    goes_through: Vec<bool>,
    max_age_ms: Vec<f64>,
    older_by_ms: Vec<f64>,
}

impl Classes {
    pub(crate) fn read(settings: &Fields, family: &Fields) -> Result<Classes, SettingsError> {
        let properties = Properties::read(family)?;
        let mut read = Classes {
            names: Vec::new(),
            classes: Vec::new(),
        };
        for (index, row) in settings.rows("request_classes")?.iter().enumerate() {
            let fields = Fields::of(row, "a request class")?;
            let name = class_name(fields.text("name")?, &read.names)?;
            read.names.push(name);
            read.classes.push(class(&fields, &properties, index)?);
        }
        if read.names.is_empty() {
            return Err(SettingsError::NoClass);
        }
        Ok(read)
    }
}

impl Properties {
    fn read(family: &Fields) -> Result<Properties, SettingsError> {
        Ok(Properties {
            has_parts: family.flags("class_parts")?,
            goes_through: family.flags("goes_through")?,
            max_age_ms: family.numbers("max_age_ms")?,
            older_by_ms: family.numbers("older_by_ms")?,
        })
    }
}

fn class(
    fields: &Fields,
    properties: &Properties,
    index: usize,
) -> Result<RequestClass, SettingsError> {
    let flag = |flags: &[bool]| flags.get(index).copied().unwrap_or(false);
    let ms = |numbers: &[f64]| numbers.get(index).copied().unwrap_or(0.0);
    Ok(RequestClass {
        objective: fields.span("objective_ms")?,
        stretch: fields.number_or("aim_stretch", 0.0)?,
        repeats: repeats(fields)?,
        goes_through: flag(&properties.goes_through),
        parted: flag(&properties.has_parts),
        fresh: Some(ms(&properties.max_age_ms))
            .filter(|ms| *ms > 0.0)
            .map(Span::of_ms),
        stale_grace: Span::of_ms(ms(&properties.older_by_ms)),
    })
}

/// Checks a class's name, which clients send as a method and hosts receive as a field of a line.
fn class_name(name: &str, others: &[String]) -> Result<String, SettingsError> {
    match class_name_error(name, others) {
        None => Ok(name.to_owned()),
        Some(source) => Err(SettingsError::ClassName {
            name: name.to_owned(),
            source,
        }),
    }
}

fn class_name_error(name: &str, others: &[String]) -> Option<ClassNameError> {
    let is_invalid = |character: char| {
        character.is_whitespace() || character.is_control() || ",=".contains(character)
    };
    if name.is_empty() || name.len() > MAX_NAME {
        Some(ClassNameError::Length { bytes: name.len() })
    } else if name.contains(is_invalid) {
        Some(ClassNameError::Character)
    } else if name == ALIVE {
        Some(ClassNameError::Reserved)
    } else if others.iter().any(|other| other == name) {
        Some(ClassNameError::Duplicate)
    } else {
        None
    }
}

fn repeats(class: &Fields) -> Result<Repeats, SettingsError> {
    Ok(match class.text("effect")? {
        "idempotent" => Repeats::Idempotent,
        "at_most_once" => Repeats::AtMostOnce,
        "deduplicated" => Repeats::Deduplicated {
            scope: key_scope(class)?,
            remembered: class.span("memory_span_ms")?,
        },
        other => {
            return Err(SettingsError::UnknownEffect {
                effect: other.to_owned(),
            });
        }
    })
}

fn key_scope(class: &Fields) -> Result<Scope, SettingsError> {
    match class.text_or_none("key_scope")? {
        Some("all") => Ok(Scope::All),
        Some("zone") => Ok(Scope::Zone),
        Some("cell") => Ok(Scope::Cell),
        other => Err(SettingsError::UnknownKeyScope {
            scope: other.map(str::to_owned),
        }),
    }
}
