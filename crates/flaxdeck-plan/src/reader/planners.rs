//! Reads the planners of a plan file.

use std::net::SocketAddr;

use crate::form::{Faults, Form, Place, take_single};
use crate::plan::{MAX_PLANNERS, Planner};

/// A value with its position in the file.
struct Placed<T> {
    value: T,
    place: Place,
}

/// Reads `(planners (planner ...) ...)`.
pub(super) fn read_planners(form: &Form, faults: &mut Faults) -> Vec<Planner> {
    let mut planners: Vec<Planner> = Vec::new();
    let forms = form.forms(&["planner"], faults);
    if forms.len() > MAX_PLANNERS {
        let problem = format!("{} planners are listed", forms.len());
        let reason =
            format!("at most {MAX_PLANNERS} are allowed, as each forwarder reports to all of them");
        faults.add(
            form.place,
            problem,
            reason,
            "list fewer, each as (planner (name p1) (listen \"address:port\"))",
        );
    }
    for form in forms {
        let Some((name, listen)) = read_planner(&form, faults) else {
            continue;
        };
        check_unique(&planners, &name, &listen, faults);
        planners.push(Planner {
            name: name.value,
            listen: listen.value,
        });
    }
    planners
}

fn read_planner(form: &Form, faults: &mut Faults) -> Option<(Placed<String>, Placed<SocketAddr>)> {
    let mut inner = form.forms(&["name", "listen"], faults);
    let name = take_single(&mut inner, "name", faults);
    let listen = take_single(&mut inner, "listen", faults);
    for (found, word) in [(name.is_some(), "name"), (listen.is_some(), "listen")] {
        if !found {
            let reason = "a planner needs both name and listen";
            faults.add(
                form.place,
                format!("{word} is missing"),
                reason,
                format!("add ({word} ...)"),
            );
        }
    }
    let name = name.and_then(|form| read_name(&form, faults));
    let listen = listen.and_then(|form| read_address(&form, faults));
    Some((name?, listen?))
}

fn read_name(form: &Form, faults: &mut Faults) -> Option<Placed<String>> {
    let (value, place) = form.value(faults)?;
    let Some(name) = value.as_symbol().or(value.as_str()) else {
        faults.add(
            place,
            format!("name is {value}"),
            "it must be a word",
            "write (name p1)",
        );
        return None;
    };
    Some(Placed {
        value: name.to_owned(),
        place,
    })
}

fn read_address(form: &Form, faults: &mut Faults) -> Option<Placed<SocketAddr>> {
    let (text, place) = form.text(faults)?;
    let Ok(value) = text.parse() else {
        let reason = "it must be an IP address and a port; host names are not resolved";
        faults.add(
            place,
            format!("listen is {text:?}"),
            reason,
            "write (listen \"127.0.0.1:7501\")",
        );
        return None;
    };
    Some(Placed { value, place })
}

fn check_unique(
    planners: &[Planner],
    name: &Placed<String>,
    listen: &Placed<SocketAddr>,
    faults: &mut Faults,
) {
    if planners.iter().any(|planner| planner.name == name.value) {
        let reason = "two planners with the same name can't be distinguished";
        faults.add(
            name.place,
            format!("name {} is used twice", name.value),
            reason,
            "choose another name",
        );
    }
    let is_duplicate = planners
        .iter()
        .any(|planner| planner.listen == listen.value);
    if listen.value.port() != 0 && is_duplicate {
        let reason = "two planners can't listen on the same address";
        faults.add(
            listen.place,
            format!("listen {} is used twice", listen.value),
            reason,
            "choose another port",
        );
    }
}
