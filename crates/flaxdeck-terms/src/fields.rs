//! Typed access to the fields of one JSON object, with faults that name the field.

use flaxdeck::{Span, Time};
use serde_json::{Map, Value};

pub struct Fields<'a>(pub &'a Map<String, Value>);

type Read<T> = Result<T, String>;

/// The longest time that a field may tell, in milliseconds: some thirty years, which every clock can add.
const LONGEST_MS: f64 = 1e12;

impl<'a> Fields<'a> {
    pub fn of(value: &'a Value, what: &str) -> Read<Fields<'a>> {
        value
            .as_object()
            .map(Fields)
            .ok_or_else(|| format!("{what} is not an object"))
    }

    /// The field's value; none where it is absent or null.
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    fn typed<T>(
        &self,
        name: &str,
        kind: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Read<Option<T>> {
        match self.get(name) {
            None => Ok(None),
            Some(value) => read(value)
                .map(Some)
                .ok_or_else(|| format!("field {name} is not {kind}")),
        }
    }

    fn needed<T>(name: &str, value: Option<T>) -> Read<T> {
        value.ok_or_else(|| format!("field {name} is missing"))
    }

    pub fn text(&self, name: &str) -> Read<&'a str> {
        Self::needed(name, self.text_or_none(name)?)
    }

    pub fn text_or_none(&self, name: &str) -> Read<Option<&'a str>> {
        self.typed(name, "a string", Value::as_str)
    }

    pub fn whole(&self, name: &str) -> Read<u64> {
        Self::needed(name, self.whole_or_none(name)?)
    }

    pub fn whole_or_none(&self, name: &str) -> Read<Option<u64>> {
        self.typed(name, "a whole number", |value| {
            value.as_u64().or_else(|| {
                value
                    .as_f64()
                    .filter(|n| n.fract() == 0.0 && (0.0..9.0e18).contains(n))
                    .map(|n| n as u64)
            })
        })
    }

    pub fn number(&self, name: &str) -> Read<f64> {
        Self::needed(name, self.number_or_none(name)?)
    }

    pub fn number_or_none(&self, name: &str) -> Read<Option<f64>> {
        self.typed(name, "a number", Value::as_f64)
    }

    pub fn number_or(&self, name: &str, absent: f64) -> Read<f64> {
        Ok(self.number_or_none(name)?.unwrap_or(absent))
    }

    pub fn span(&self, name: &str) -> Read<Span> {
        Self::needed(name, self.span_or_none(name)?)
    }

    /// A span that counts as none where the field is absent.
    pub fn span_or_zero(&self, name: &str) -> Read<Span> {
        Ok(self.span_or_none(name)?.unwrap_or(Span::ZERO))
    }

    fn span_or_none(&self, name: &str) -> Read<Option<Span>> {
        let kind = "a time of 0 to 1e12 ms";
        let ms = self.typed(name, kind, |value| {
            value.as_f64().filter(|ms| (0.0..=LONGEST_MS).contains(ms))
        })?;
        Ok(ms.map(Span::of_ms))
    }

    pub fn time(&self, name: &str) -> Read<Time> {
        self.number(name).map(Time::at_ms)
    }

    /// False where the field is absent.
    pub fn flag_or_false(&self, name: &str) -> Read<bool> {
        Ok(self
            .typed(name, "true or false", Value::as_bool)?
            .unwrap_or(false))
    }

    pub fn rows(&self, name: &str) -> Read<&'a Vec<Value>> {
        Self::needed(name, self.rows_or_none(name)?)
    }

    pub fn rows_or_none(&self, name: &str) -> Read<Option<&'a Vec<Value>>> {
        self.typed(name, "an array", Value::as_array)
    }

    pub fn numbers(&self, name: &str) -> Read<Vec<f64>> {
        let Some(rows) = self.rows_or_none(name)? else {
            return Ok(Vec::new());
        };
        let number = |row: &Value| {
            row.as_f64()
                .ok_or_else(|| format!("field {name} holds no numbers"))
        };
        rows.iter().map(number).collect()
    }

    pub fn flags(&self, name: &str) -> Read<Vec<bool>> {
        let Some(rows) = self.rows_or_none(name)? else {
            return Ok(Vec::new());
        };
        let flag = |row: &Value| {
            row.as_bool()
                .ok_or_else(|| format!("field {name} holds no flags"))
        };
        rows.iter().map(flag).collect()
    }

    pub fn texts(&self, name: &str) -> Read<Vec<String>> {
        let Some(rows) = self.rows_or_none(name)? else {
            return Ok(Vec::new());
        };
        let text = |row: &Value| {
            row.as_str()
                .map(str::to_owned)
                .ok_or_else(|| format!("field {name} holds no strings"))
        };
        rows.iter().map(text).collect()
    }

    pub fn inner(&self, name: &str) -> Read<Fields<'a>> {
        let value = Self::needed(name, self.get(name))?;
        value
            .as_object()
            .map(Fields)
            .ok_or_else(|| format!("field {name} is not an object"))
    }
}
