//! Counters of this process. Every layer counts, the program writes them to the log.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// What is counted.
        #[allow(non_camel_case_types)]
        #[derive(Clone, Copy)]
        pub enum Counter { $($name),* }
        const NAMES: &[&str] = &[$(stringify!($name)),*];
    };
}

counters!(
    clients_opened,
    clients_closed_idle,
    clients_malformed,
    clients_stalled,
    clients_closed_silent,
    clients_not_whole,
    clients_flooding,
    requests,
    requests_invalid,
    requests_no_room,
    requests_id_in_use,
    served,
    unchanged,
    unchanged_of_another,
    rejected,
    failed,
    left,
    left_unsent,
    attempts,
    taken_back,
    superseded,
    hosts_connected,
    hosts_refused,
    hosts_unreached,
    hosts_broken,
    hosts_stale,
    hosts_timed_out,
    hosts_malformed,
    hosts_strays,
    hosts_no_room,
    feed_connects,
    feed_events,
    feed_gaps,
    feed_anew,
    hosts_doubted,
    clocks_apart,
    state_damaged,
    state_behind,
    state_broken,
    planners_connects,
    planners_refused,
    guidance_refused,
    reports_skipped,
    events_relayed,
    events_unreadable,
    deliveries_refused,
    copies_doubted,
    accept_errors,
    reloads,
    reloads_refused,
    log_lines_lost,
    must_not_happen,
    feed_messages_in,
    feed_bytes_in,
    feed_messages_out,
    feed_bytes_out,
    greetings_messages_in,
    greetings_bytes_in,
    greetings_messages_out,
    greetings_bytes_out,
    reports_messages_in,
    reports_bytes_in,
    reports_messages_out,
    reports_bytes_out,
    guidance_messages_in,
    guidance_bytes_in,
    guidance_messages_out,
    guidance_bytes_out,
    subscriptions_messages_in,
    subscriptions_bytes_in,
    subscriptions_messages_out,
    subscriptions_bytes_out,
    deliveries_messages_in,
    deliveries_bytes_in,
    deliveries_messages_out,
    deliveries_bytes_out,
);

type Metrics = [AtomicU64; NAMES.len()];

thread_local! {
    /// Only this thread writes it, so that no counting needs more than a load and a store; others may read it.
    static METRICS: Arc<Metrics> = Arc::new([const { AtomicU64::new(0) }; NAMES.len()]);
}

/// The counters of one thread, to be read by another.
pub struct Reader(Arc<Metrics>);

/// The counters of this thread.
pub fn reader() -> Reader {
    Reader(METRICS.with(Arc::clone))
}

impl Reader {
    /// All counters by name, zero ones too.
    pub fn snapshot(&self) -> impl Iterator<Item = (&'static str, u64)> {
        NAMES
            .iter()
            .copied()
            .zip(self.0.iter().map(|value| value.load(Ordering::Relaxed)))
    }
}

pub fn count(what: Counter) {
    count_by(what, 1);
}

/// Counts several at once.
pub fn count_by(what: Counter, amount: u64) {
    METRICS.with(|metrics| {
        let value = &metrics[what as usize];
        value.store(value.load(Ordering::Relaxed) + amount, Ordering::Relaxed);
    });
}

/// Counts one message of so many bytes.
pub fn count_message([messages, bytes]: [Counter; 2], length: usize) {
    count(messages);
    count_by(bytes, length as u64);
}

/// What must hold: asserted in debug builds, counted in release builds.
pub fn assert_invariant(holds: bool, what: &str) {
    debug_assert!(holds, "{what}");
    if !holds {
        count(Counter::must_not_happen);
        log::error!("must not happen: {what}");
    }
}

/// All counters that are not zero, as `name=value` words.
pub fn line() -> String {
    let some = reader()
        .snapshot()
        .filter(|(_, value)| *value > 0)
        .collect::<Vec<_>>();
    some.into_iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect::<Vec<_>>()
        .join(" ")
}
