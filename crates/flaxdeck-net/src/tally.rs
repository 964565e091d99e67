//! Counters of this process. Every layer counts, the program writes them to the log.

use std::cell::Cell;

macro_rules! tally {
    ($($name:ident),* $(,)?) => {
        /// What is counted.
        #[allow(non_camel_case_types)]
        #[derive(Clone, Copy)]
        pub enum Count { $($name),* }
        const NAMES: &[&str] = &[$(stringify!($name)),*];
    };
}

tally!(
    clients_opened,
    clients_closed_idle,
    clients_malformed,
    clients_stalled,
    clients_closed_silent,
    clients_not_whole,
    clients_flooding,
    pulls,
    pulls_invalid,
    pulls_no_room,
    pulls_id_in_use,
    finished,
    unchanged,
    unchanged_of_another,
    bounced,
    forfeited,
    left,
    left_unsent,
    hand_offs,
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

thread_local! {
    static TALLY: [Cell<u64>; NAMES.len()] = const { [const { Cell::new(0) }; NAMES.len()] };
}

pub fn count(what: Count) {
    count_by(what, 1);
}

/// Counts several at once.
pub fn count_by(what: Count, amount: u64) {
    TALLY.with(|tally| tally[what as usize].set(tally[what as usize].get() + amount));
}

/// Counts one message of so many bytes.
pub fn count_message([messages, bytes]: [Count; 2], length: usize) {
    count(messages);
    count_by(bytes, length as u64);
}

/// All counters of this thread by name, zero ones too.
pub fn snapshot() -> Vec<(&'static str, u64)> {
    TALLY.with(|tally| NAMES.iter().copied().zip(tally.iter().map(Cell::get)).collect())
}

/// What must hold: asserted in debug builds, counted in release builds.
pub fn must(holds: bool, what: &str) {
    debug_assert!(holds, "{what}");
    if !holds {
        count(Count::must_not_happen);
        log::error!("must not happen: {what}");
    }
}

/// All counters that are not zero, as `name=value` words.
pub fn line() -> String {
    let words = |tally: &[Cell<u64>; NAMES.len()]| {
        let some = NAMES.iter().zip(tally).filter(|(_, value)| value.get() > 0);
        some.map(|(name, value)| format!("{name}={}", value.get())).collect::<Vec<_>>().join(" ")
    };
    TALLY.with(words)
}
