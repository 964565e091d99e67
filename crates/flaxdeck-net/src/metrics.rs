//! Counters of this process. Every layer counts, the program writes them to the log.
//!
//! A counter belongs to the thread that counts; [`reader`] hands its counters to another thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$documentation:meta])* $name:ident),* $(,)?) => {
        /// What is counted.
        #[allow(
            non_camel_case_types,
            reason = "a variant's name is the name that operators see in the log"
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
    /// Client connections closed to make room: the longest idle.
    clients_closed_idle,
    /// Client connections closed as what came on them is not of the protocol.
    clients_malformed,
    /// Client connections closed as their clients took none of what waited for them.
    clients_stalled,
    /// Client connections closed to make room: those that never sent a message.
    clients_closed_silent,
    /// Client connections closed as no whole message came in time.
    clients_not_whole,
    /// Client connections closed as too many answers were owed to a client that took none.
    clients_flooding,
    /// Requests admitted.
    requests,
    /// Requests that could be read, but not acted upon.
    requests_invalid,
    /// Requests rejected at once: no capacity for another, or no memory.
    requests_no_room,
    /// Requests refused under the id of another whose attempts are not over.
    requests_id_in_use,
    /// Requests answered with an object.
    served,
    /// Requests answered: the client's own copy is current.
    unchanged,
    /// Host responses that call a copy current which the client does not hold.
    unchanged_of_another,
    /// Requests rejected, most with a retry-after.
    rejected,
    /// Requests that failed.
    failed,
    /// Requests whose clients cancelled or left.
    left,
    /// Of `left`, those of which nothing had been sent.
    left_unsent,
    /// Attempts begun.
    attempts,
    /// Attempts cancelled before their end.
    taken_back,
    /// Attempts not written, as they were no longer wanted once their connection was up.
    superseded,
    /// Connections opened to hosts.
    hosts_connected,
    /// Connections that hosts refused.
    hosts_refused,
    /// Connections to hosts that did not come up in time, or requests that could not be written.
    hosts_unreached,
    /// Host connections that broke with an attempt on them.
    hosts_broken,
    /// Host connections that had died while idle.
    hosts_stale,
    /// Attempts without a response in time.
    hosts_timed_out,
    /// Host connections closed as what came on them is not of the protocol.
    hosts_malformed,
    /// Host responses under an id that was not asked for on that connection.
    hosts_strays,
    /// Attempts not sent as no descriptor was free for a connection.
    hosts_no_room,
    /// Connections to the coordinator.
    feed_connects,
    /// Events of the coordinator.
    feed_events,
    /// Gaps in the coordinator's numbering.
    feed_gaps,
    /// Whole lists taken in place of all that was known, as the coordinator's numbering is another.
    feed_anew,
    /// Hosts that stay out as an older numbering had withdrawn them.
    hosts_doubted,
    /// Findings that the wall clock and the coordinator's differ.
    clocks_apart,
    /// Stored states read up to their damage only.
    state_damaged,
    /// Times that storing fell behind the events.
    state_behind,
    /// Stores given up as their disk failed.
    state_broken,
    /// Connections to planners.
    planners_connects,
    /// Planners refused: of another key, version or side.
    planners_refused,
    /// Messages of planners refused.
    guidance_refused,
    /// Reports not sent to a planner that reads too slowly.
    reports_skipped,
    /// Events that came by way of planners.
    events_relayed,
    /// Relayed events that this build can not read.
    events_unreadable,
    /// Batches of events refused.
    deliveries_refused,
    /// Times that copies of before a moment were withheld, as a purge may have been missed.
    copies_doubted,
    /// Connections that the system could not accept.
    accept_errors,
    /// Configurations read again.
    reloads,
    /// Configurations that could not be used, which changed nothing.
    reloads_refused,
    /// Log lines lost as nobody read the log.
    log_lines_lost,
    /// Invariants violated.
    must_not_happen,
    /// Messages received: the coordinator's watch.
    feed_messages_in,
    /// Bytes received: the coordinator's watch.
    feed_bytes_in,
    /// Messages sent: the coordinator's watch.
    feed_messages_out,
    /// Bytes sent: the coordinator's watch.
    feed_bytes_out,
    /// Messages received: greetings between forwarders and planners.
    greetings_messages_in,
    /// Bytes received: greetings between forwarders and planners.
    greetings_bytes_in,
    /// Messages sent: greetings between forwarders and planners.
    greetings_messages_out,
    /// Bytes sent: greetings between forwarders and planners.
    greetings_bytes_out,
    /// Messages received: forwarders' reports.
    reports_messages_in,
    /// Bytes received: forwarders' reports.
    reports_bytes_in,
    /// Messages sent: forwarders' reports.
    reports_messages_out,
    /// Bytes sent: forwarders' reports.
    reports_bytes_out,
    /// Messages received: planners' guidance.
    guidance_messages_in,
    /// Bytes received: planners' guidance.
    guidance_bytes_in,
    /// Messages sent: planners' guidance.
    guidance_messages_out,
    /// Bytes sent: planners' guidance.
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
    /// Only this thread writes them, so that no counting needs more than a load and a store; others may read them.
    static VALUES: Arc<Values> = Arc::new([const { AtomicU64::new(0) }; NAMES.len()]);
}

/// The counters of one thread, to be read by another.
pub struct Reader(Arc<Values>);

/// The counters of this thread.
pub fn reader() -> Reader {
    Reader(VALUES.with(Arc::clone))
}

impl Reader {
    /// All counters by name, zero ones too.
    pub fn snapshot(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let values = self.0.iter().map(|value| value.load(Ordering::Relaxed));
        NAMES.iter().copied().zip(values)
    }
}

/// Counts one.
pub fn count(counter: Counter) {
    count_by(counter, 1);
}

/// Counts several at once.
pub fn count_by(counter: Counter, amount: u64) {
    VALUES.with(|values| {
        let value = &values[counter as usize];
        value.store(value.load(Ordering::Relaxed) + amount, Ordering::Relaxed);
    });
}

/// Counts one message of so many bytes.
pub fn count_message([messages, bytes]: [Counter; 2], length: usize) {
    count(messages);
    count_by(bytes, length as u64);
}

/// Checks what must hold: panics in debug builds; in release builds a violation is counted and logged, and the process
/// goes on.
pub fn assert_invariant(holds: bool, what: &str) {
    debug_assert!(holds, "{what}");
    if !holds {
        count(Counter::must_not_happen);
        log::error!("must not happen: {what}");
    }
}

/// All counters of this thread that are not zero, as `name=value` words.
pub fn line() -> String {
    let words: Vec<String> = reader()
        .snapshot()
        .filter(|(_, value)| *value > 0)
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    words.join(" ")
}
