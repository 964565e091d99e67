//! Typed access to the fields of a JSON object, with errors that name the field.
//!
//! A field with the value null counts as absent.

use flaxdeck::{Span, Time};
use serde_json::{Map, Value};

use crate::error::SettingsError;

/// The longest span accepted in a field, in milliseconds: some thirty years, which can be added to any time without
/// overflow.
const MAX_SPAN_MS: f64 = 1e12;

/// The fields of one JSON object.
pub struct Fields<'a>(pub &'a Map<String, Value>);

type Read<T> = Result<T, SettingsError>;

impl<'a> Fields<'a> {
    /// Returns the fields of an object; `what` describes it in errors.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::NotAnObject`] if the value is not an object.
    pub fn of(value: &'a Value, what: &str) -> Read<Fields<'a>> {
        match value.as_object() {
            Some(fields) => Ok(Fields(fields)),
            None => Err(SettingsError::NotAnObject {
                what: what.to_owned(),
            }),
        }
    }

    /// Returns the field's value; none if it is absent or null.
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    /// Returns the field's value converted by `read`, which returns none for an unexpected value.
    fn typed<T>(
        &self,
        name: &str,
        expected: &'static str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Read<Option<T>> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        match read(value) {
            Some(value) => Ok(Some(value)),
            None => Err(SettingsError::WrongType {
                field: name.to_owned(),
                expected,
            }),
        }
    }

    /// Returns the elements of an array, each converted by `read`; empty if the field is absent.
    fn elements<T>(
        &self,
        name: &str,
        expected: &'static str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Read<Vec<T>> {
        let Some(rows) = self.rows_or_none(name)? else {
            return Ok(Vec::new());
        };
        let element = |row| {
            read(row).ok_or_else(|| SettingsError::WrongElement {
                field: name.to_owned(),
                expected,
            })
        };
        rows.iter().map(element).collect()
    }

    fn required<T>(name: &str, value: Option<T>) -> Read<T> {
        value.ok_or_else(|| SettingsError::Missing {
            field: name.to_owned(),
        })
    }

    /// Reads a required string.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or not a string.
    pub fn text(&self, name: &str) -> Read<&'a str> {
        Self::required(name, self.text_or_none(name)?)
    }

    /// Reads an optional string.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not a string.
    pub fn text_or_none(&self, name: &str) -> Read<Option<&'a str>> {
        self.typed(name, "a string", Value::as_str)
    }

    /// Reads a required unsigned integer.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or not an unsigned integer.
    pub fn unsigned(&self, name: &str) -> Read<u64> {
        Self::required(name, self.unsigned_or_none(name)?)
    }

    /// Reads an optional unsigned integer, which may be written as a float without a fraction.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not an unsigned integer.
    pub fn unsigned_or_none(&self, name: &str) -> Read<Option<u64>> {
        let from_float = |value: &Value| {
            let float = value.as_f64()?;
            (float.fract() == 0.0 && (0.0..9.0e18).contains(&float)).then_some(float as u64)
        };
        self.typed(name, "an unsigned integer", |value| {
            value.as_u64().or_else(|| from_float(value))
        })
    }

    /// Reads a required number.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or not a number.
    pub fn number(&self, name: &str) -> Read<f64> {
        Self::required(name, self.number_or_none(name)?)
    }

    /// Reads an optional number.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not a number.
    pub fn number_or_none(&self, name: &str) -> Read<Option<f64>> {
        self.typed(name, "a number", Value::as_f64)
    }

    /// Reads an optional number; `default` if the field is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not a number.
    pub fn number_or(&self, name: &str, default: f64) -> Read<f64> {
        Ok(self.number_or_none(name)?.unwrap_or(default))
    }

    /// Reads a required span in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing, not a number, or out of range.
    pub fn span(&self, name: &str) -> Read<Span> {
        Self::required(name, self.span_or_none(name)?)
    }

    /// Reads an optional span in milliseconds; zero if the field is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not a number, or out of range.
    pub fn span_or_zero(&self, name: &str) -> Read<Span> {
        Ok(self.span_or_none(name)?.unwrap_or(Span::ZERO))
    }

    fn span_or_none(&self, name: &str) -> Read<Option<Span>> {
        let ms = self.typed(name, "a time of 0 to 1e12 ms", |value| {
            value.as_f64().filter(|ms| (0.0..=MAX_SPAN_MS).contains(ms))
        })?;
        Ok(ms.map(Span::of_ms))
    }

    /// Reads a required time in milliseconds since 1970.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or not a number.
    pub fn time(&self, name: &str) -> Read<Time> {
        self.number(name).map(Time::at_ms)
    }

    /// Reads an optional flag; false if the field is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is neither true nor false.
    pub fn flag_or_false(&self, name: &str) -> Read<bool> {
        let flag = self.typed(name, "true or false", Value::as_bool)?;
        Ok(flag.unwrap_or(false))
    }

    /// Reads a required array.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or not an array.
    pub fn rows(&self, name: &str) -> Read<&'a Vec<Value>> {
        Self::required(name, self.rows_or_none(name)?)
    }

    /// Reads an optional array.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not an array.
    pub fn rows_or_none(&self, name: &str) -> Read<Option<&'a Vec<Value>>> {
        self.typed(name, "an array", Value::as_array)
    }

    /// Reads an optional array of numbers; empty if the field is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not an array, or has an element of another type.
    pub fn numbers(&self, name: &str) -> Read<Vec<f64>> {
        self.elements(name, "numbers", Value::as_f64)
    }

    /// Reads an optional array of flags; empty if the field is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not an array, or has an element of another type.
    pub fn flags(&self, name: &str) -> Read<Vec<bool>> {
        self.elements(name, "flags", Value::as_bool)
    }

    /// Reads an optional array of strings; empty if the field is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is not an array, or has an element of another type.
    pub fn texts(&self, name: &str) -> Read<Vec<String>> {
        self.elements(name, "strings", |row| row.as_str().map(str::to_owned))
    }

    /// Reads a required object.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or not an object.
    pub fn inner(&self, name: &str) -> Read<Fields<'a>> {
        let fields = self.typed(name, "an object", Value::as_object)?;
        Self::required(name, fields).map(Fields)
    }
}
