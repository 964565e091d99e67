//! Parses forms, `(word argument ...)`, and keeps their positions in the file. Every fault names the position, the
//! problem, the reason, and how to fix it. Parsing continues after a fault, so that all faults of a file are reported
//! together.

use lexpr::Datum;
use lexpr::Value;
use lexpr::datum::Ref;

/// A position in the file; line and column count from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line number.
    pub line: usize,
    /// The column number.
    pub column: usize,
}

/// One fault of a file, printed as `file:line:column: problem, reason, remedy`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{file}:{}:{}: {problem}, {reason}, {remedy}", .place.line, .place.column)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// The position of the fault.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
    /// Why that is a problem.
    pub reason: String,
    /// How to fix it.
    pub remedy: String,
}

/// Collects the faults of one file.
pub struct Faults {
    file: String,
    found: Vec<Fault>,
}

impl Faults {
    /// Returns an empty collection for the file of that name.
    pub fn of(file: &str) -> Faults {
        Faults {
            file: file.to_owned(),
            found: Vec::new(),
        }
    }

    /// Adds a fault.
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

    /// Returns the value if there are no faults.
    ///
    /// # Errors
    ///
    /// All faults, sorted by their position in the file.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        self.found.sort();
        if self.found.is_empty() {
            Ok(value)
        } else {
            Err(self.found)
        }
    }
}

/// A form, `(word argument ...)`, whose arguments are still to be interpreted.
pub struct Form<'a> {
    /// The first word, which says what the form sets.
    pub word: String,
    /// The position at which the form begins.
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

/// Returns the Levenshtein distance of two words.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (i, letter) in one.chars().enumerate() {
        let mut diagonal = i;
        row[0] = i + 1;
        for (j, other_letter) in other.iter().enumerate() {
            let substitution = diagonal + usize::from(letter != *other_letter);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[other.len()]
}

/// Suggests the valid word that is most similar, or all valid words if none is similar enough.
fn suggestion(word: &str, known: &[&str]) -> String {
    let nearest = known.iter().min_by_key(|other| edit_distance(word, other));
    match nearest
        .filter(|nearest| edit_distance(word, nearest) <= word.len().max(nearest.len()) / 2)
    {
        Some(nearest) => format!("write {nearest}"),
        None => format!("remove it; allowed here: {}", known.join(" ")),
    }
}

impl<'a> Form<'a> {
    /// Interprets a datum as a form. Returns `None` if the datum is not a list, or, with a fault, if the list does not
    /// begin with a word.
    pub fn of(datum: Ref<'a>, faults: &mut Faults) -> Option<Form<'a>> {
        let at = place(datum);
        let mut parts = datum.list_iter()?;
        let Some(word) = parts
            .next()
            .and_then(|head| head.value().as_symbol().map(str::to_owned))
        else {
            let reason = "the first word says what a form sets";
            faults.add(
                at,
                "the form does not begin with a word".into(),
                reason,
                "write (word ...)",
            );
            return None;
        };
        Some(Form {
            word,
            place: at,
            arguments: parts.collect(),
        })
    }

    /// Returns the form in abbreviated notation, for messages.
    fn abbreviated(&self) -> String {
        format!("({} ...)", self.word)
    }

    /// Returns the inner forms that begin with one of the known words; every other argument is a fault.
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
                    let problem = format!("{} is not known in {}", form.word, self.abbreviated());
                    faults.add(
                        form.place,
                        problem,
                        "an unknown word would be ignored",
                        suggestion(&form.word, known),
                    );
                }
            } else {
                let problem = format!("{} in {} is not a form", datum.value(), self.abbreviated());
                faults.add(
                    place(*datum),
                    problem,
                    "only forms are allowed there",
                    "write it as (word value)",
                );
            }
        }
        forms
    }

    /// Returns the value of a form that takes exactly one, and its position; any other number of values is a fault.
    pub fn value(&self, faults: &mut Faults) -> Option<(&'a Value, Place)> {
        match &self.arguments[..] {
            [one] => Some((one.value(), place(*one))),
            others => {
                let problem = format!("{} has {} values", self.abbreviated(), others.len());
                faults.add(
                    self.place,
                    problem,
                    "it takes exactly one",
                    format!("write ({} value)", self.word),
                );
                None
            }
        }
    }

    /// Returns the number that the form sets; anything but a number from `min` to `max`, both included, is a fault.
    pub fn number(&self, min: f64, max: f64, faults: &mut Faults) -> Option<f64> {
        let (value, at) = self.value(faults)?;
        let number = value.as_f64().filter(|number| (min..=max).contains(number));
        if number.is_none() {
            let problem = format!("{} is {value}", self.word);
            faults.add(
                at,
                problem,
                format!("it must be a number from {min} to {max}"),
                "choose a number in that range",
            );
        }
        number
    }

    /// Returns the string that the form sets, and its position; anything but a string is a fault.
    pub fn text(&self, faults: &mut Faults) -> Option<(String, Place)> {
        let (value, at) = self.value(faults)?;
        match value.as_str() {
            Some(text) => Some((text.to_owned(), at)),
            None => {
                let problem = format!("{} is {value}", self.word);
                faults.add(
                    at,
                    problem,
                    "it must be a string",
                    "put it in double quotes",
                );
                None
            }
        }
    }

    /// Returns whether the form says yes; anything but yes or no is a fault.
    pub fn flag(&self, faults: &mut Faults) -> Option<bool> {
        let (value, at) = self.value(faults)?;
        let flag = value.as_bool().or(match value.as_symbol() {
            Some("yes") => Some(true),
            Some("no") => Some(false),
            _ => None,
        });
        if flag.is_none() {
            let problem = format!("{} is {value}", self.word);
            faults.add(at, problem, "it must be yes or no", "write yes or no");
        }
        flag
    }

    /// Returns the word that the form sets; anything but one of the known words is a fault.
    pub fn choice(&self, known: &[&'static str], faults: &mut Faults) -> Option<&'static str> {
        let (value, at) = self.value(faults)?;
        let chosen = value
            .as_symbol()
            .and_then(|word| known.iter().find(|known| **known == word).copied());
        if chosen.is_none() {
            let problem = format!("{} is {value}", self.word);
            let word = value.as_symbol().unwrap_or_default();
            faults.add(
                at,
                problem,
                format!("it must be one of: {}", known.join(" ")),
                suggestion(word, known),
            );
        }
        chosen
    }
}

/// Removes the form that begins with that word and returns it. Further ones are removed too and are faults, as only one
/// could take effect.
pub fn take_single<'a>(
    forms: &mut Vec<Form<'a>>,
    word: &str,
    faults: &mut Faults,
) -> Option<Form<'a>> {
    let at = forms.iter().position(|form| form.word == word)?;
    let first = forms.remove(at);
    while let Some(at) = forms.iter().position(|form| form.word == word) {
        let duplicate = forms.remove(at);
        let problem = format!("{word} is set a second time");
        let reason = format!("line {} sets it already", first.place.line);
        faults.add(duplicate.place, problem, reason, "remove one of them");
    }
    Some(first)
}

/// Parses a text into datums. Returns `None`, with a fault, if it is not a sequence of S-expressions.
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
                    "the rest of the file can't be read",
                    "look for a missing ) or \"",
                );
                return None;
            }
        }
    }
}

/// Parses a text that must consist of one form with that word, and reads the form with `read_form`. Returns `None`,
/// with a fault, if the text is anything else.
pub fn root<T>(
    text: &str,
    word: &str,
    faults: &mut Faults,
    read_form: impl FnOnce(&Form, &mut Faults) -> T,
) -> Option<T> {
    let roots = read_datums(text, faults)?;
    let remedy = format!("put everything into one ({word} ...)");
    let [root] = &roots[..] else {
        let problem = format!("{} forms at the top level", roots.len());
        faults.add(
            Place { line: 1, column: 1 },
            problem,
            "a file consists of one",
            remedy,
        );
        return None;
    };
    let Some(form) = Form::of(root.as_ref(), faults) else {
        let problem = format!("the file consists of {}", root.value());
        faults.add(place(root.as_ref()), problem, "that is not a form", remedy);
        return None;
    };
    if form.word != word {
        let problem = format!("the file consists of {}", form.abbreviated());
        faults.add(
            form.place,
            problem,
            format!("a ({word} ...) is expected"),
            format!("write ({word} ...)"),
        );
        return None;
    }
    Some(read_form(&form, faults))
}
