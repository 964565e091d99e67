//! Which connections are closed to make room for new ones.

use std::time::Duration;

use tokio::time::Instant;

/// How long a connection may say nothing before it is the first to make room: a few trips of a far client.
const SILENT: Duration = Duration::from_millis(250);

/// What the choice depends on.
pub trait Connection {
    /// It has said something whole.
    fn has_spoken(&self) -> bool;
    /// When it last said something whole, or when it was accepted.
    fn quiet_since(&self) -> Instant;
    /// Something of it is open: a request, an answer that it has not taken, a message that has come in part.
    fn is_busy(&self) -> bool;
    /// Something has come on it that was not read yet. This one is asked of the system.
    fn has_unread(&self) -> bool;
}

/// The connections to close.
#[derive(Debug)]
pub enum Eviction<'a, C> {
    /// All that never said anything.
    Silent(Vec<&'a C>),
    /// The one that has rested longest.
    Idle(&'a C),
    Nobody,
}

/// Those that never said anything go first, all of them; else the longest idle does. A new one that has not spoken yet
/// stays, as its first request may be on its way.
// Guards against a full house in which each new connection costs a system call for every one that is open: a process
// near its share of the core then accepts later than clients wait. So what is free to know is looked at first, and
// idle ones are asked in order, up to the first that can go.
pub fn choose<C: Connection>(connections: &[C], now: Instant) -> Eviction<'_, C> {
    let quiet = |connection: &C| now.saturating_duration_since(connection.quiet_since()) > SILENT;
    let mute =
        |connection: &&C| !connection.has_spoken() && quiet(connection) && !connection.is_busy();
    let silent: Vec<&C> = connections
        .iter()
        .filter(mute)
        .filter(|connection| !connection.has_unread())
        .collect();
    if !silent.is_empty() {
        return Eviction::Silent(silent);
    }
    let rests = |connection: &&C| connection.has_spoken() && !connection.is_busy();
    let mut resting: Vec<&C> = connections.iter().filter(rests).collect();
    resting.sort_by_key(|connection| connection.quiet_since());
    let longest = resting
        .into_iter()
        .find(|connection| !connection.has_unread());
    longest.map_or(Eviction::Nobody, Eviction::Idle)
}
