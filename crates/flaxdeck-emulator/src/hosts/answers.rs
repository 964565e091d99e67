//! How a host answers a request.

use std::collections::HashMap;
use std::sync::Arc;

use flaxdeck_invariants::RecordedEvent;
use tokio::time::sleep_until;

use super::admission::{Admission, admit};
use super::fills::{Copy, CopyError, find_copy};
use crate::objects::{body, size_kb};
use crate::state::{HostKind, SharedState};

/// The request class of at-most-once writes, whose effect must not happen twice.
const WRITE_CLASS: &str = "submit";

/// An answer of the line protocol.
pub(super) struct Answer {
    pub(super) status: &'static str,
    pub(super) fields: String,
    pub(super) body: Vec<u8>,
}

/// Answers a request; `None` if the host doesn't answer.
pub(super) async fn answer(
    world: &Arc<SharedState>,
    id: &str,
    fields: &HashMap<String, String>,
    request: &str,
) -> Option<Answer> {
    let field = |name: &str| fields.get(name).map_or("", String::as_str);
    let object = field("key");
    let is_write = field("class") == WRITE_CLASS;
    world.lock().hosts.get_mut(id)?.requests_in_flight += 1;
    let copy = match admit(world, id, size_kb(object) as f64) {
        Admission::Until(until_ms) => {
            let copy = if is_write {
                world.record(RecordedEvent::EffectApplied {
                    effect: format!("{request} {object}"),
                });
                Ok(Copy::cached(world.now()))
            } else {
                find_copy(world, id, object, field("fetch"), field("newer")).await
            };
            sleep_until(world.instant(until_ms)).await;
            copy
        }
        Admission::Rejected => Err(CopyError::new("full")),
        Admission::Failed => Err(CopyError::new("failed")),
        Admission::Down | Admission::Silent => {
            // Never completes: the connection ends with the host, or the dispatcher gives up.
            std::future::pending::<()>().await;
            return None;
        }
    };
    let load = end_request(world, id)?;
    if !is_write {
        count_answer(world, id, &copy);
    }
    Some(encode(world, object, copy, &load))
}

/// Encodes the answer for the line protocol, with the host's load report.
fn encode(world: &SharedState, object: &str, copy: Result<Copy, CopyError>, load: &str) -> Answer {
    match copy {
        Ok(copy) => {
            let stamp = world.unix_ms(world.now());
            let source = copy.source;
            Answer {
                status: "data",
                fields: format!("version=v{object},stamp={stamp},{source},{load}"),
                body: body(object, copy.made_ms),
            }
        }
        Err(CopyError { status, fill }) => Answer {
            status,
            fields: match fill {
                Some(fill) => format!("{fill},{load}"),
                None => load.to_owned(),
            },
            body: Vec::new(),
        },
    }
}

/// Counts down the host's requests in flight and returns the load report for the answer; `None` for an unknown host.
fn end_request(world: &SharedState, id: &str) -> Option<String> {
    let mut state = world.lock();
    let host = state.hosts.get_mut(id)?;
    host.requests_in_flight = host.requests_in_flight.saturating_sub(1);
    let outstanding = host.requests_in_flight;
    Some(format!("stats=outstanding:{outstanding};x0:0.5;x1:0.1"))
}

fn count_answer(world: &SharedState, id: &str, copy: &Result<Copy, CopyError>) {
    let Ok(copy) = copy else { return };
    let now_ms = world.now();
    let mut state = world.lock();
    let host = state.hosts.get(id);
    if host.is_some_and(|host| host.kind == HostKind::Cache) {
        let interval = state.interval(now_ms);
        interval.cache_answers += 1;
        interval.cache_hits += u32::from(copy.is_hit());
    }
}
