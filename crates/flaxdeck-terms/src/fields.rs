//! Typed access to the fields of one JSON object, with errors that name the field.
//!
//! A field that is null counts as absent.

use flaxdeck::{Span, Time};
use serde_json::{Map, Value};

use crate::error::SettingsError;

/// The longest time that a field may tell, in milliseconds: some thirty years, which every clock can add.
const LONGEST_MS: f64 = 1e12;

/// One JSON object.
pub struct Fields<'a>(pub &'a Map<String, Value>);

type Read<T> = Result<T, SettingsError>;

impl<'a> Fields<'a> {
    /// The fields of a value; `what` names it in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError::NotAnObject`].
    pub fn of(value: &'a Value, what: &str) -> Read<Fields<'a>> {
        match value.as_object() {
            Some(fields) => Ok(Fields(fields)),
            None => Err(SettingsError::NotAnObject {
                what: what.to_owned(),
            }),
        }
    }

    /// The field's value; none where it is absent or null.
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    /// The field's value as `read` reads it, which gives none for one that is not what is expected.
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

    /// The elements of an array, as `read` reads each; none where the field is absent.
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

    /// A string that has to be there.
    ///
    /// # Errors
    ///
    /// The field is missing or not a string.
    pub fn text(&self, name: &str) -> Read<&'a str> {
        Self::required(name, self.text_or_none(name)?)
    }

    /// A string, if the field is there.
    ///
    /// # Errors
    ///
    /// The field is not a string.
    pub fn text_or_none(&self, name: &str) -> Read<Option<&'a str>> {
        self.typed(name, "a string", Value::as_str)
    }

    /// A whole number from 0 up that has to be there.
    ///
    /// # Errors
    ///
    /// The field is missing or not a whole number.
    pub fn whole(&self, name: &str) -> Read<u64> {
        Self::required(name, self.whole_or_none(name)?)
    }

    /// A whole number from 0 up, if the field is there; one written with a point counts too.
    ///
    /// # Errors
    ///
    /// The field is not a whole number.
    pub fn whole_or_none(&self, name: &str) -> Read<Option<u64>> {
        let whole = |value: &Value| {
            let float = value.as_f64()?;
            (float.fract() == 0.0 && (0.0..9.0e18).contains(&float)).then_some(float as u64)
        };
        self.typed(name, "a whole number", |value| {
            value.as_u64().or_else(|| whole(value))
        })
    }

    /// A number that has to be there.
    ///
    /// # Errors
    ///
    /// The field is missing or not a number.
    pub fn number(&self, name: &str) -> Read<f64> {
        Self::required(name, self.number_or_none(name)?)
    }

    /// A number, if the field is there.
    ///
    /// # Errors
    ///
    /// The field is not a number.
    pub fn number_or_none(&self, name: &str) -> Read<Option<f64>> {
        self.typed(name, "a number", Value::as_f64)
    }

    /// A number, and what it is where the field is absent.
    ///
    /// # Errors
    ///
    /// The field is not a number.
    pub fn number_or(&self, name: &str, absent: f64) -> Read<f64> {
        Ok(self.number_or_none(name)?.unwrap_or(absent))
    }

    /// A length of time in milliseconds that has to be there.
    ///
    /// # Errors
    ///
    /// The field is missing, not a number, or out of range.
    pub fn span(&self, name: &str) -> Read<Span> {
        Self::required(name, self.span_or_none(name)?)
    }

    /// A length of time in milliseconds; zero where the field is absent.
    ///
    /// # Errors
    ///
    /// The field is not a number, or out of range.
    pub fn span_or_zero(&self, name: &str) -> Read<Span> {
        Ok(self.span_or_none(name)?.unwrap_or(Span::ZERO))
    }

    fn span_or_none(&self, name: &str) -> Read<Option<Span>> {
        let ms = self.typed(name, "a time of 0 to 1e12 ms", |value| {
            value.as_f64().filter(|ms| (0.0..=LONGEST_MS).contains(ms))
        })?;
        Ok(ms.map(Span::of_ms))
    }

    /// A moment, in milliseconds since 1970, that has to be there.
    ///
    /// # Errors
    ///
    /// The field is missing or not a number.
    pub fn time(&self, name: &str) -> Read<Time> {
        self.number(name).map(Time::at_ms)
    }

    /// A flag; false where the field is absent.
    ///
    /// # Errors
    ///
    /// The field is neither true nor false.
    pub fn flag_or_false(&self, name: &str) -> Read<bool> {
        let flag = self.typed(name, "true or false", Value::as_bool)?;
        Ok(flag.unwrap_or(false))
    }

    /// An array that has to be there.
    ///
    /// # Errors
    ///
    /// The field is missing or not an array.
    pub fn rows(&self, name: &str) -> Read<&'a Vec<Value>> {
        Self::required(name, self.rows_or_none(name)?)
    }

    /// An array, if the field is there.
    ///
    /// # Errors
    ///
    /// The field is not an array.
    pub fn rows_or_none(&self, name: &str) -> Read<Option<&'a Vec<Value>>> {
        self.typed(name, "an array", Value::as_array)
    }

    /// An array of numbers; empty where the field is absent.
    ///
    /// # Errors
    ///
    /// The field is not an array, or holds something else.
    pub fn numbers(&self, name: &str) -> Read<Vec<f64>> {
        self.elements(name, "numbers", Value::as_f64)
    }

    /// An array of flags; empty where the field is absent.
    ///
    /// # Errors
    ///
    /// The field is not an array, or holds something else.
    pub fn flags(&self, name: &str) -> Read<Vec<bool>> {
        self.elements(name, "flags", Value::as_bool)
    }

    /// An array of strings; empty where the field is absent.
    ///
    /// # Errors
    ///
    /// The field is not an array, or holds something else.
    pub fn texts(&self, name: &str) -> Read<Vec<String>> {
        self.elements(name, "strings", |row| row.as_str().map(str::to_owned))
    }

    /// An object that has to be there.
    ///
    /// # Errors
    ///
    /// The field is missing or not an object.
    pub fn inner(&self, name: &str) -> Read<Fields<'a>> {
        let fields = self.typed(name, "an object", Value::as_object)?;
        Self::required(name, fields).map(Fields)
    }
}
