//! Forms of the file with their places: `(word argument ...)`. Every fault names the place, what is wrong, why, and
//! how to mend it; reading goes on after one, so that a file's faults come together.

use lexpr::Datum;
use lexpr::Value;
use lexpr::datum::Ref;

/// Where in the file, counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{file}:{}:{}: {problem}, {reason}, {remedy}", .place.line, .place.column)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// Where it stands.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
    /// Why that is wrong.
    pub reason: String,
    /// How to mend it.
    pub remedy: String,
}

/// What is wrong with a file so far.
pub struct Faults {
    file: String,
    found: Vec<Fault>,
}

impl Faults {
    /// Those of a file of that name, none yet.
    pub fn of(file: &str) -> Faults {
        Faults {
            file: file.to_owned(),
            found: Vec::new(),
        }
    }

    /// Adds one.
    pub fn add(
        &mut self,
        place: Place,
        problem: String,
        reason: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.found.push(Fault {
            file: self.file.clone(),
            place,
            problem,
            reason: reason.into(),
            remedy: remedy.into(),
        });
    }

    /// The value if there are none.
    ///
    /// # Errors
    ///
    /// All faults in the order of the file.
    pub fn or<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        self.found.sort();
        if self.found.is_empty() {
            Ok(value)
        } else {
            Err(self.found)
        }
    }
}

/// A form that is being read: each word may be taken once, what is left over is a fault.
pub struct Form<'a> {
    /// The word that it begins with.
    pub word: String,
    /// Where it begins.
    pub place: Place,
    arguments: Vec<Ref<'a>>,
}

fn place(datum: Ref) -> Place {
    let start = datum.span().start();
    Place {
        line: start.line(),
        column: start.column() + 1,
    }
}

/// The changes of single letters that make one word of another.
fn distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (at, letter) in one.chars().enumerate() {
        let mut corner = at;
        row[0] = at + 1;
        for (to, with) in other.iter().enumerate() {
            let change = corner + usize::from(letter != *with);
            corner = row[to + 1];
            row[to + 1] = change.min(corner + 1).min(row[to] + 1);
        }
    }
    row[other.len()]
}

fn nearest(word: &str, known: &[&str]) -> String {
    let near = known.iter().min_by_key(|other| distance(word, other));
    match near.filter(|near| distance(word, near) <= word.len().max(near.len()) / 2) {
        Some(near) => format!("write {near}"),
        None => format!("take it out; known here: {}", known.join(" ")),
    }
}

impl<'a> Form<'a> {
    /// The form that a datum holds.
    pub fn of(datum: Ref<'a>, faults: &mut Faults) -> Option<Form<'a>> {
        let at = place(datum);
        let mut parts = datum.list_iter()?;
        let Some(word) = parts
            .next()
            .and_then(|head| head.value().as_symbol().map(str::to_owned))
        else {
            let why = "each form begins with its word";
            faults.add(at, "a form without a word".into(), why, "write (word ...)");
            return None;
        };
        Some(Form {
            word,
            place: at,
            arguments: parts.collect(),
        })
    }

    fn says(&self) -> String {
        format!("({} ...)", self.word)
    }

    /// The forms within that begin with one of the known words; anything else is a fault.
    pub fn forms(&self, known: &[&str], faults: &mut Faults) -> Vec<Form<'a>> {
        let mut forms = Vec::new();
        for datum in &self.arguments {
            if datum.value().is_list() && !datum.value().is_null() {
                let Some(form) = Form::of(*datum, faults) else {
                    continue;
                };
                if known.contains(&&*form.word) {
                    forms.push(form);
                } else {
                    let what = format!("{} is not known in {}", form.word, self.says());
                    faults.add(
                        form.place,
                        what,
                        "a misspelt word would do nothing",
                        nearest(&form.word, known),
                    );
                }
            } else {
                let what = format!("{} stands alone in {}", datum.value(), self.says());
                faults.add(
                    place(*datum),
                    what,
                    "only forms may stand there",
                    "write it as (word value)",
                );
            }
        }
        forms
    }

    /// The value of a form that has just one.
    pub fn value(&self, faults: &mut Faults) -> Option<(&'a Value, Place)> {
        match &self.arguments[..] {
            [one] => Some((one.value(), place(*one))),
            others => {
                let what = format!("{} has {} values", self.says(), others.len());
                faults.add(
                    self.place,
                    what,
                    "it takes one",
                    format!("write ({} value)", self.word),
                );
                None
            }
        }
    }

    /// A number within bounds, both ends allowed.
    pub fn number(&self, least: f64, most: f64, faults: &mut Faults) -> Option<f64> {
        let (value, at) = self.value(faults)?;
        let number = value
            .as_f64()
            .filter(|number| (least..=most).contains(number));
        if number.is_none() {
            let what = format!("{} is {value}", self.word);
            faults.add(
                at,
                what,
                format!("it is a number from {least} to {most}"),
                "choose one within",
            );
        }
        number
    }

    /// A text in double quotes.
    pub fn text(&self, faults: &mut Faults) -> Option<(String, Place)> {
        let (value, at) = self.value(faults)?;
        match value.as_str() {
            Some(text) => Some((text.to_owned(), at)),
            None => {
                let what = format!("{} is {value}", self.word);
                faults.add(at, what, "it is a text", "put it in double quotes");
                None
            }
        }
    }

    /// Yes or no.
    pub fn flag(&self, faults: &mut Faults) -> Option<bool> {
        let (value, at) = self.value(faults)?;
        let flag = value.as_bool().or(match value.as_symbol() {
            Some("yes") => Some(true),
            Some("no") => Some(false),
            _ => None,
        });
        if flag.is_none() {
            let what = format!("{} is {value}", self.word);
            faults.add(at, what, "it is yes or no", "write yes or no");
        }
        flag
    }

    /// One of some words.
    pub fn choice(&self, known: &[&'static str], faults: &mut Faults) -> Option<&'static str> {
        let (value, at) = self.value(faults)?;
        let chosen = value
            .as_symbol()
            .and_then(|word| known.iter().find(|known| **known == word).copied());
        if chosen.is_none() {
            let what = format!("{} is {value}", self.word);
            let word = value.as_symbol().unwrap_or_default();
            faults.add(
                at,
                what,
                format!("it is one of: {}", known.join(" ")),
                nearest(word, known),
            );
        }
        chosen
    }
}

/// Takes the forms of one word out; more than one is a fault, as one would hide the other.
pub fn only<'a>(forms: &mut Vec<Form<'a>>, word: &str, faults: &mut Faults) -> Option<Form<'a>> {
    let at = forms.iter().position(|form| form.word == word)?;
    let first = forms.remove(at);
    while let Some(again) = forms.iter().position(|form| form.word == word) {
        let again = forms.remove(again);
        let what = format!("{word} is set a second time");
        let why = format!("line {} has set it", first.place.line);
        faults.add(again.place, what, why, "take one of them out");
    }
    Some(first)
}

/// All datums of a text; none if it is no sequence of S-expressions.
fn read_datums(text: &str, faults: &mut Faults) -> Option<Vec<Datum>> {
    let mut parser = lexpr::Parser::from_str_custom(text, lexpr::parse::Options::default());
    let mut datums = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(Some(datum)) => datums.push(datum),
            Ok(None) => return Some(datums),
            Err(error) => {
                let place = error.location().map_or(Place::default(), |at| Place {
                    line: at.line(),
                    column: at.column() + 1,
                });
                faults.add(
                    place,
                    format!("not an S-expression ({error})"),
                    "the rest can't be read then",
                    "look for a missing ) or \"",
                );
                return None;
            }
        }
    }
}

/// Reads a text that holds one form of that word, and has it looked into; none if there is no such form.
pub fn root<T>(
    text: &str,
    word: &str,
    faults: &mut Faults,
    look: impl FnOnce(&Form, &mut Faults) -> T,
) -> Option<T> {
    let roots = read_datums(text, faults)?;
    let mend = format!("put all in one ({word} ...)");
    let [root] = &roots[..] else {
        let what = format!("{} forms stand at the top", roots.len());
        faults.add(Place { line: 1, column: 1 }, what, "a file holds one", mend);
        return None;
    };
    let Some(form) = Form::of(root.as_ref(), faults) else {
        let what = format!("the file holds {}", root.value());
        faults.add(place(root.as_ref()), what, "it is no form", mend);
        return None;
    };
    if form.word != word {
        let what = format!("the file holds {}", form.says());
        faults.add(
            form.place,
            what,
            format!("it is no {word}"),
            format!("write ({word} ...)"),
        );
        return None;
    }
    Some(look(&form, faults))
}
