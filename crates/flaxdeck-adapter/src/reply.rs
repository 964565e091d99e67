//! Encodes decisions as actions, the lines of a reply.

use flaxdeck::{Attempt, Cancel, Decisions, Final, Time};
use serde_json::{Value, json};

/// A miss may wait for a fill of the same object that is under way.
const JOIN: u8 = 1;
/// The source may only serve what it has cached.
const ONLY_CACHED: u8 = 2;
/// The host makes sure that its copy is up to date.
const REVALIDATE: u8 = 8;

/// Appends the actions for the decisions of the instance named `who`.
pub(crate) fn encode(who: &str, now: Time, decisions: Decisions, reply: &mut Vec<Value>) {
    for cancel in &decisions.cancels {
        reply.push(encode_cancel(who, cancel));
    }
    for attempt in &decisions.attempts {
        reply.push(encode_attempt(who, attempt));
    }
    for answer in decisions.finals {
        reply.push(encode_final(who, answer));
    }
    for host in decisions.looks {
        reply.push(json!({"event_type": "Inspect", "who": who, "host": &*host.0}));
    }
    if let Some(at) = decisions.wake {
        let after = at.since(now).ms();
        reply.push(json!({"event_type": "WakeMe", "who": who, "after_ms": after, "ctx": 0}));
    }
}

fn encode_cancel(who: &str, cancel: &Cancel) -> Value {
    json!({"event_type": "UndoSend", "who": who, "request_id": cancel.request.0,
        "leg": cancel.index.0})
}

fn encode_attempt(who: &str, attempt: &Attempt) -> Value {
    let bits = JOIN * u8::from(attempt.join)
        + ONLY_CACHED * u8::from(attempt.only_held)
        + REVALIDATE * u8::from(attempt.renew);
    let mut action = json!({"event_type": "Obtain", "who": who, "request_id": attempt.request.0,
        "host": &*attempt.host.0, "miss_from": &*attempt.source.0, "allow_for_ms": attempt.allow.ms(),
        "bits": bits, "keep": attempt.keep});
    if let Some(oldest) = attempt.oldest {
        action["how_old_ms"] = json!(oldest.ms());
    }
    action
}

fn encode_final(who: &str, answer: Final) -> Value {
    match answer {
        Final::Rejected {
            request,
            retry_after,
        } => {
            let mut action = json!({"event_type": "PushBack", "who": who, "request_id": request.0});
            if let Some(retry_after) = retry_after {
                action["come_back_ms"] = json!(retry_after.ms());
            }
            action
        }
        Final::Failed { request } => {
            json!({"event_type": "ReportFailure", "who": who, "request_id": request.0})
        }
    }
}
