//! Counters of events, which the program writes to the log.
//!
//! Each thread has its own set of counters; [`reader`] gives another thread read access to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$documentation:meta])* $name:ident),* $(,)?) => {
        /// The counters; each variant documents what it counts.
        #[allow(
            non_camel_case_types,
            reason = "a variant's name is printed as the counter's name in the log"
        )]
        #[derive(Clone, Copy)]
        pub enum Counter { $($(#[$documentation])* $name),* }

        /// The names of all counters, in the order of their variants.
        const NAMES: &[&str] = &[$(stringify!($name)),*];
    };
}

counters!(
    /// Client connections accepted.
    clients_opened,
    /// Client connections closed to free capacity, as the one that had been idle longest.
    clients_closed_idle,
    /// Client connections closed as the client sent malformed messages.
    clients_malformed,
    /// Client connections closed as the client accepted none of the bytes queued for it.
    clients_stalled,
    /// Client connections closed to free capacity, as they had sent no message.
    clients_closed_silent,
    /// Client connections closed as a message was not completely received in time.
    clients_not_whole,
    /// Messages of clients that were too slow, discarded as others needed their memory; their requests are rejected.
    messages_displaced,
    /// Answers replaced by failures before any of them was written, as the client read nothing for too long.
    answers_withdrawn,
    /// Client connections closed as too many answers were pending for a client that did not read them.
    clients_flooding,
    /// Requests admitted.
    requests,
    /// Requests answered with an error as they were well-formed messages with invalid content.
    requests_invalid,
    /// Requests rejected at once as the limit on requests or on memory was reached.
    requests_no_room,
    /// Requests not accepted as their id belongs to another request that still has attempts in flight.
    requests_id_in_use,
    /// Requests whose id is that of an earlier one that may have run and must not run a second time.
    requests_repeated,
    /// Answers whose size is not the one that their client stated.
    sizes_contradicted,
    /// Requests answered with an object.
    served,
    /// Requests answered with the message that the client's own copy is current.
    unchanged,
    /// Host responses that report a copy as current which the client does not hold.
    unchanged_of_another,
    /// Requests answered with a rejection, usually with a retry-after.
    rejected,
    /// Requests answered with a failure.
    failed,
    /// Requests whose clients cancelled them or disconnected.
    left,
    /// Requests counted in `left` of which nothing had been sent to a host.
    left_unsent,
    /// Attempts started.
    attempts,
    /// Attempts cancelled before they ended.
    taken_back,
    /// Attempts not written as they were no longer wanted, or their time to be sent had passed, once they had a
    /// connection.
    superseded,
    /// Connections opened to hosts.
    hosts_connected,
    /// Connections to hosts that were refused or failed with another error.
    hosts_refused,
    /// Connections to hosts that were not established in time, or requests that could not be written.
    hosts_unreached,
    /// Host connections that failed with an attempt in flight.
    hosts_broken,
    /// Host connections that turned out to be closed after they had been idle.
    hosts_stale,
    /// Attempts that received no response in time.
    hosts_timed_out,
    /// Host connections closed as the host sent malformed responses.
    hosts_malformed,
    /// Host responses with an id other than that of the attempt on the connection.
    hosts_strays,
    /// Attempts not sent as the limit on host connections was reached.
    hosts_no_room,
    /// Attempts to connect to the coordinator.
    feed_connects,
    /// Events received from the coordinator.
    feed_events,
    /// Gaps found in the coordinator's numbering of events.
    feed_gaps,
    /// Full lists that replaced the known state as the coordinator had started another numbering.
    feed_anew,
    /// Times that the endpoint list expired, as the coordinator was not heard for too long.
    list_expired,
    /// Hosts withheld from the endpoint list as an earlier numbering had withdrawn them.
    hosts_doubted,
    /// Updates of the measured offset between the local clock and the coordinator's.
    clocks_apart,
    /// Stored states found to be damaged, which are read only up to the damage, or to be unusable.
    state_damaged,
    /// Write jobs of the stored state that found the queue of the writer full.
    state_behind,
    /// Stores abandoned after a write error.
    state_broken,
    /// Attempts to connect to planners.
    planners_connects,
    /// Planners rejected for a wrong key, protocol version or role.
    planners_refused,
    /// Guidance messages of planners rejected.
    guidance_refused,
    /// Reports not sent to a planner that reads too slowly.
    reports_skipped,
    /// Events of the coordinator relayed by planners.
    events_relayed,
    /// Relayed events that this version cannot parse.
    events_unreadable,
    /// Batches of events rejected.
    deliveries_refused,
    /// Times that copies older than a given time were withheld as a purge may have been missed.
    copies_doubted,
    /// Errors of the system while accepting a connection.
    accept_errors,
    /// Configurations reloaded.
    reloads,
    /// Reloads rejected as the new configuration was invalid; the previous one stays in force.
    reloads_refused,
    /// Log lines dropped as the queue of the logger was full because nobody read the log.
    log_lines_lost,
    /// Log lines not written as too many of their kind were due.
    log_lines_suppressed,
    /// Violated invariants.
    must_not_happen,
    /// Messages received: the coordinator's watch.
    feed_messages_in,
    /// Bytes received: the coordinator's watch.
    feed_bytes_in,
    /// Messages sent: the coordinator's watch.
    feed_messages_out,
    /// Bytes sent: the coordinator's watch.
    feed_bytes_out,
    /// Messages received: session greetings between forwarders and planners.
    greetings_messages_in,
    /// Bytes received: session greetings between forwarders and planners.
    greetings_bytes_in,
    /// Messages sent: session greetings between forwarders and planners.
    greetings_messages_out,
    /// Bytes sent: session greetings between forwarders and planners.
    greetings_bytes_out,
    /// Messages received: reports of forwarders.
    reports_messages_in,
    /// Bytes received: reports of forwarders.
    reports_bytes_in,
    /// Messages sent: reports of forwarders.
    reports_messages_out,
    /// Bytes sent: reports of forwarders.
    reports_bytes_out,
    /// Messages received: guidance of planners.
    guidance_messages_in,
    /// Bytes received: guidance of planners.
    guidance_bytes_in,
    /// Messages sent: guidance of planners.
    guidance_messages_out,
    /// Bytes sent: guidance of planners.
    guidance_bytes_out,
    /// Messages received: subscriptions to events.
    subscriptions_messages_in,
    /// Bytes received: subscriptions to events.
    subscriptions_bytes_in,
    /// Messages sent: subscriptions to events.
    subscriptions_messages_out,
    /// Bytes sent: subscriptions to events.
    subscriptions_bytes_out,
    /// Messages received: batches of events.
    deliveries_messages_in,
    /// Bytes received: batches of events.
    deliveries_bytes_in,
    /// Messages sent: batches of events.
    deliveries_messages_out,
    /// Bytes sent: batches of events.
    deliveries_bytes_out,
);

type Values = [AtomicU64; NAMES.len()];

thread_local! {
    /// Written by this thread only, so that counting needs no more than a load and a store; other threads may read
    /// them.
    static VALUES: Arc<Values> = Arc::new([const { AtomicU64::new(0) }; NAMES.len()]);
}

/// Read access to the counters of one thread, usable from another.
pub struct Reader(Arc<Values>);

/// Returns read access to the counters of this thread.
pub fn reader() -> Reader {
    Reader(VALUES.with(Arc::clone))
}

impl Reader {
    /// Returns all counters with their names, including those that are zero.
    pub fn snapshot(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let values = self.0.iter().map(|value| value.load(Ordering::Relaxed));
        NAMES.iter().copied().zip(values)
    }
}

/// Increments a counter by one.
pub fn count(counter: Counter) {
    count_by(counter, 1);
}

/// Increments a counter by `amount`.
pub fn count_by(counter: Counter, amount: u64) {
    VALUES.with(|values| {
        let value = &values[counter as usize];
        value.store(value.load(Ordering::Relaxed) + amount, Ordering::Relaxed);
    });
}

/// Counts one message of `length` bytes with a counter of messages and one of bytes.
pub fn count_message([messages, bytes]: [Counter; 2], length: usize) {
    count(messages);
    count_by(bytes, length as u64);
}

/// Checks an invariant, described by `what`. A violation panics in debug builds; in release builds it is counted and
/// logged, and the process continues.
pub fn assert_invariant(holds: bool, what: &str) {
    debug_assert!(holds, "{what}");
    if !holds {
        count(Counter::must_not_happen);
        log::error!("invariant violated: {what}");
    }
}

/// Returns the non-zero counters of this thread as space-separated `name=value` pairs.
pub fn line() -> String {
    let words: Vec<String> = reader()
        .snapshot()
        .filter(|(_, value)| *value > 0)
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    words.join(" ")
}
