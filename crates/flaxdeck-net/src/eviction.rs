//! Selects the client connections that are closed to free capacity for new ones.

use std::time::Duration;

use tokio::time::Instant;

/// How long a new connection may send nothing before it is one of the first to be closed: a few round trips of a
/// distant client.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// The state of a connection that [`choose`] uses.
pub trait Connection {
    /// Whether the client has sent a complete message.
    fn has_sent(&self) -> bool;
    /// When the client last sent a complete message, or when the connection was accepted if it has sent none.
    fn quiet_since(&self) -> Instant;
    /// Whether the connection has an open request, an answer that is not fully written or a partly received message.
    fn is_busy(&self) -> bool;
    /// Whether received bytes have not been read yet. Unlike the other methods, this costs a system call.
    fn has_unread(&self) -> bool;
}

/// The connections to close.
#[derive(Debug)]
pub enum Eviction<'a, C> {
    /// All connections that have sent no message.
    Silent(Vec<&'a C>),
    /// The connection that has been idle longest.
    Idle(&'a C),
    /// No connection can be closed.
    Nothing,
}

/// Chooses all connections that have sent no message, or else the one that has been idle longest. A connection
/// accepted less than `MIN_SILENCE` ago is kept, as its first request may be in transit, and so is one that is busy or
/// has unread bytes.
// At the connection limit, a system call per open connection for every new one would use so much of the available CPU
// that clients time out before they are accepted. The checks without system calls therefore come first, and idle
// connections are checked for unread bytes in order of idle time, up to the first one that can be closed.
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
