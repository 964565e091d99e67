//! Copies that hosts answer with: from their cache, or filled from a source.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, sleep_until};

use super::admission::{Admission, admit};
use crate::objects::size_kb;
use crate::state::{HostKind, SharedState};

/// The time after a purge from which hosts no longer use older copies on their own, in milliseconds.
const PURGE_SETTLES_MS: f64 = 5_000.0;
/// How long a host waits for a fill from a source that doesn't answer, in milliseconds.
const SOURCE_TIMEOUT_MS: f64 = 1_500.0;
/// The field of an answer with a copy from the cache.
const HIT: &str = "how=hit";

/// A copy that a host can answer with.
pub(super) struct Copy {
    pub(super) made_ms: f64,
    /// The field of the answer that says where the copy is from.
    pub(super) source: String,
}

impl Copy {
    /// Creates a copy from the host's cache.
    pub(super) fn cached(made_ms: f64) -> Copy {
        Copy {
            made_ms,
            source: HIT.to_owned(),
        }
    }

    /// Returns whether it is from the cache.
    pub(super) fn is_hit(&self) -> bool {
        self.source == HIT
    }
}

/// Why a host has no copy to answer with.
pub(super) struct CopyError {
    /// The status of the answer.
    pub(super) status: &'static str,
    /// The field of the answer for a failed fill.
    pub(super) fill: Option<String>,
}

impl CopyError {
    /// Creates an error without a failed fill.
    pub(super) fn new(status: &'static str) -> CopyError {
        CopyError { status, fill: None }
    }
}

/// A copy that a source has sent.
struct Fill {
    made_ms: f64,
    /// Whether a parent filled it from the origin first.
    through_origin: bool,
}

/// Why a fill failed, by its name in answers.
type FillError = &'static str;

/// Returns a cached or filled copy that is recent enough. `max_age` is in milliseconds; if empty, age is not limited.
/// An empty `source` allows no fill.
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
    let fill = filled.map_err(|cause| CopyError {
        status: "full",
        fill: Some(format!("how={cause},took={took_ms:.1}")),
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

/// Returns the earliest time at which a copy must have been made to be served.
fn oldest_allowed(world: &SharedState, object: &str, max_age: &str) -> f64 {
    let now_ms = world.now();
    let by_age = max_age.parse::<f64>();
    let by_age = by_age.map_or(f64::NEG_INFINITY, |age_ms| now_ms - age_ms);
    // Hosts apply a purge on their own some time after it was published.
    match world.lock().purged_ms.get(object) {
        Some(purged_ms) if now_ms - purged_ms > PURGE_SETTLES_MS => by_age.max(*purged_ms),
        _ => by_age,
    }
}

/// Fills from a parent or the origin.
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

/// Returns when the source will have finished the fill, or fails as the source does.
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

/// Fills a parent from the origin and caches the copy there.
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
