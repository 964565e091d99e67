//! Which client connections are closed to make room for new ones.

use std::time::Duration;

use tokio::time::Instant;

/// How long a connection may send nothing before it is the first to make room: a few round trips of a far client.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// What the choice depends on.
pub trait Connection {
    /// It has sent a whole message.
    fn has_sent(&self) -> bool;
    /// When it last sent a whole message, or when it was accepted.
    fn quiet_since(&self) -> Instant;
    /// Something of it is open: a request, an answer that it has not taken, a message that has come in part.
    fn is_busy(&self) -> bool;
    /// Something has come on it that was not read yet. This one costs a system call.
    fn has_unread(&self) -> bool;
}

/// The connections to close.
#[derive(Debug)]
pub enum Eviction<'a, C> {
    /// All that never sent a message.
    Silent(Vec<&'a C>),
    /// The one that has been idle longest.
    Idle(&'a C),
    /// None can be closed.
    Nothing,
}

/// Those that never sent a message go first, all of them; else the longest idle does. A new one that has not spoken yet
/// stays, as its first request may be on its way.
// Guards against a full process in which each new connection costs a system call for every one that is open: near its
// share of the core it then accepts later than clients wait. So what is free to know is looked at first, and idle ones
// are asked in order, up to the first that can go.
pub fn choose<C: Connection>(connections: &[C], now: Instant) -> Eviction<'_, C> {
    let silent: Vec<&C> = connections
        .iter()
        .filter(|connection| is_silent(*connection, now))
        .filter(|connection| !connection.has_unread())
        .collect();
    if !silent.is_empty() {
        return Eviction::Silent(silent);
    }
    match longest_idle(connections) {
        Some(connection) => Eviction::Idle(connection),
        None => Eviction::Nothing,
    }
}

fn is_silent(connection: &impl Connection, now: Instant) -> bool {
    let quiet = now.saturating_duration_since(connection.quiet_since());
    !connection.has_sent() && quiet > MIN_SILENCE && !connection.is_busy()
}

fn longest_idle<C: Connection>(connections: &[C]) -> Option<&C> {
    let mut idle: Vec<&C> = connections
        .iter()
        .filter(|connection| connection.has_sent() && !connection.is_busy())
        .collect();
    idle.sort_by_key(|connection| connection.quiet_since());
    idle.into_iter().find(|connection| !connection.has_unread())
}
