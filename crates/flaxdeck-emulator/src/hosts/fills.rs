//! Copies: from what a host has cached, or filled from its source.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, sleep_until};

use super::admission::{Admission, admit};
use crate::objects::size_kb;
use crate::state::{HostKind, SharedState};

/// Milliseconds until hosts have dropped by themselves what was purged.
const PURGE_SETTLES_MS: f64 = 5_000.0;
/// Milliseconds that a filling host waits for a source that says nothing.
const SOURCE_TIMEOUT_MS: f64 = 1_500.0;
/// What an answer says of a copy that was cached.
const HIT: &str = "how=hit";

/// A copy that a host can hand out.
pub(super) struct Copy {
    pub(super) made_ms: f64,
    /// Where it is from, as answers say it.
    pub(super) source: String,
}

impl Copy {
    /// A copy that the host has.
    pub(super) fn cached(made_ms: f64) -> Copy {
        Copy {
            made_ms,
            source: HIT.to_owned(),
        }
    }

    /// Whether it was cached.
    pub(super) fn is_hit(&self) -> bool {
        self.source == HIT
    }
}

/// Why a host has no copy to hand out.
pub(super) struct CopyError {
    /// The answer's word.
    pub(super) word: &'static str,
    /// What the answer says of a fill that failed.
    pub(super) fill: Option<String>,
}

impl CopyError {
    /// Without a fill.
    pub(super) fn new(word: &'static str) -> CopyError {
        CopyError { word, fill: None }
    }
}

/// A copy that a source sent.
struct Fill {
    made_ms: f64,
    /// A parent had to ask the origin.
    through_origin: bool,
}

/// Why a fill failed, as answers say it.
type FillError = &'static str;

/// A copy young enough, cached or filled. `max_age` is in milliseconds; empty, any copy will do.
pub(super) async fn find_copy(
    world: &Arc<SharedState>,
    id: &str,
    object: &str,
    source: &str,
    max_age: &str,
) -> Result<Copy, CopyError> {
    let oldest_ms = oldest_allowed(world, object, max_age);
    let cached = match world.lock().hosts.get(id) {
        Some(host) if host.kind == HostKind::Origin => return Ok(Copy::cached(world.now())),
        Some(host) => host.cached(object, oldest_ms),
        None => None,
    };
    if let Some(made_ms) = cached {
        return Ok(Copy::cached(made_ms));
    }
    if source.is_empty() {
        return Err(CopyError::new("absent"));
    }
    let started_ms = world.now();
    let filled = fill_from(world, source, object, oldest_ms).await;
    let took_ms = world.now() - started_ms;
    let fill = filled.map_err(|why| CopyError {
        word: "full",
        fill: Some(format!("how={why},took={took_ms:.1}")),
    })?;
    if let Some(host) = world.lock().hosts.get_mut(id) {
        host.cached_ms.insert(object.to_owned(), fill.made_ms);
    }
    let how = if fill.through_origin {
        "via_origin"
    } else {
        "filled"
    };
    Ok(Copy {
        made_ms: fill.made_ms,
        source: format!("how={how},took={took_ms:.1}"),
    })
}

/// When the oldest copy was made that may be handed out.
fn oldest_allowed(world: &SharedState, object: &str, max_age: &str) -> f64 {
    let now_ms = world.now();
    let by_age = max_age.parse::<f64>();
    let by_age = by_age.map_or(f64::NEG_INFINITY, |age_ms| now_ms - age_ms);
    // Some time after a purge hosts have heard of it themselves.
    match world.lock().purged_ms.get(object) {
        Some(purged_ms) if now_ms - purged_ms > PURGE_SETTLES_MS => by_age.max(*purged_ms),
        _ => by_age,
    }
}

/// A fill from a parent or the origin.
async fn fill_from(
    world: &Arc<SharedState>,
    source: &str,
    object: &str,
    oldest_ms: f64,
) -> Result<Fill, FillError> {
    let admission = admit(world, source, size_kb(object) as f64);
    count_origin_fill(world, source, &admission);
    let until_ms = admitted_until(admission).await?;
    let (kind, cached) = {
        let mut state = world.lock();
        let host = state.hosts.get(source).ok_or("src_broke")?;
        let found = (host.kind, host.cached(object, oldest_ms));
        state.fills_at_origin += u64::from(found.0 == HostKind::Origin);
        found
    };
    let fill = if kind == HostKind::Origin {
        wait_ms(world.layout.origin_latency_ms).await;
        Fill {
            made_ms: world.now(),
            through_origin: false,
        }
    } else {
        wait_ms(world.layout.parent_latency_ms).await;
        match cached {
            Some(made_ms) => Fill {
                made_ms,
                through_origin: false,
            },
            None => fill_parent(world, source, object, oldest_ms).await?,
        }
    };
    sleep_until(world.instant(until_ms)).await;
    Ok(fill)
}

/// When the source is through with a fill.
async fn admitted_until(admission: Admission) -> Result<f64, FillError> {
    match admission {
        Admission::Until(until_ms) => Ok(until_ms),
        Admission::Rejected | Admission::Failed => Err("src_refused"),
        Admission::Down => Err("src_broke"),
        Admission::Silent => {
            wait_ms(SOURCE_TIMEOUT_MS).await;
            Err("src_broke")
        }
    }
}

/// A parent fills from the origin, and caches the copy.
async fn fill_parent(
    world: &Arc<SharedState>,
    parent: &str,
    object: &str,
    oldest_ms: f64,
) -> Result<Fill, FillError> {
    let origin = {
        let state = world.lock();
        let mut hosts = state.hosts.iter();
        let origin = hosts.find(|(_, host)| host.kind == HostKind::Origin);
        origin.map(|(id, _)| id.clone()).ok_or("origin_failed")?
    };
    let filled = Box::pin(fill_from(world, &origin, object, oldest_ms)).await;
    let made_ms = filled.map_err(|_| "origin_failed")?.made_ms;
    if let Some(host) = world.lock().hosts.get_mut(parent) {
        host.cached_ms.insert(object.to_owned(), made_ms);
    }
    Ok(Fill {
        made_ms,
        through_origin: true,
    })
}

fn count_origin_fill(world: &SharedState, source: &str, admission: &Admission) {
    let now_ms = world.now();
    let mut state = world.lock();
    let host = state.hosts.get(source);
    if host.is_some_and(|host| host.kind == HostKind::Origin) {
        let interval = state.interval(now_ms);
        interval.origin_fills += u32::from(matches!(admission, Admission::Until(_)));
        interval.origin_fills_refused += u32::from(matches!(admission, Admission::Rejected));
    }
}

async fn wait_ms(ms: f64) {
    sleep(Duration::from_secs_f64(ms / 1000.0)).await;
}
