//! One attempt: a request written to a host, and its answer.
//!
//! While it is out it owns its connection. However it ends, [`PendingAttempt::drop`](PendingAttempt) says what becomes of
//! that: it is kept idle, or cleared by a cancellation first, or closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxdeck::{AttemptOutcome, HostId};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_wire::lines::{self, AttemptOptions};
use flaxdeck_wire::{ClientRequest, HostReply};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout, timeout_at};

use super::host_connection::HostConnection;
pub(crate) use super::host_connection::ReceivedReply;
use super::host_connections::HostConnections;

/// How long a host may take to show that it has read a cancellation; one that takes longer is silent.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(1);

/// What an attempt may ask for by now.
pub(crate) struct ClearedAttempt<'a> {
    /// What it asks of the host.
    pub options: AttemptOptions<'a>,
    /// By when its last byte has to be written.
    pub sent_by: Instant,
}

impl ReceivedReply {
    fn without_body(outcome: AttemptOutcome) -> ReceivedReply {
        ReceivedReply {
            host_reply: HostReply::without_body(outcome),
            permit: None,
        }
    }
}

impl HostConnections {
    /// Sends a request to a host and waits for its answer until that time. `clear` tells whether the attempt still
    /// stands; it is asked before a connection is looked for and again right before the first byte, as what the attempt
    /// may ask for, and by when its last byte has to be written, can change meanwhile. Until `started` is set nothing has
    /// been written. Dropping the future cancels the attempt.
    pub(crate) async fn attempt<'a>(
        self: &Rc<HostConnections>,
        host: &HostId,
        request: &ClientRequest,
        until: Instant,
        clear: impl Fn() -> Option<ClearedAttempt<'a>>,
        started: &Cell<bool>,
    ) -> ReceivedReply {
        let Some(cleared) = clear() else {
            return ReceivedReply::without_body(AttemptOutcome::Superseded);
        };
        let connection = match self.connection_for(host, &cleared).await {
            Ok(connection) => connection,
            Err(outcome) => return ReceivedReply::without_body(outcome),
        };
        let Some(cleared) = clear() else {
            count(Counter::superseded);
            let id = String::from_utf8_lossy(&request.id);
            log::debug!("{id} no longer to be sent to {}", host.0);
            self.keep_idle(host, connection);
            return ReceivedReply::without_body(AttemptOutcome::Superseded);
        };
        let mut pending = PendingAttempt {
            connections: self,
            host,
            id: &request.id,
            single_use: cleared.options.new_connection,
            connection: Some(connection),
            written: false,
        };
        started.set(true);
        match pending.write(request, &cleared, until).await {
            Ok(()) => pending.receive(until).await,
            Err(outcome) => ReceivedReply::without_body(outcome),
        }
    }

    async fn connection_for(
        &self,
        host: &HostId,
        cleared: &ClearedAttempt<'_>,
    ) -> Result<HostConnection, AttemptOutcome> {
        if !cleared.options.new_connection
            && let Some(connection) = self.take_idle(host)
        {
            return Ok(connection);
        }
        self.connect(host, cleared.sent_by).await
    }

    /// Cancels a request. Its late answer may be on its way, so the connection is kept only once the host has shown that
    /// none will follow.
    async fn cancel(
        self: Rc<HostConnections>,
        host: HostId,
        id: Bytes,
        mut connection: HostConnection,
    ) {
        let cancel = lines::encode_cancel(&id);
        connection.outbound.send([cancel], [None, None]);
        let cleared = async {
            connection.outbound.flush().await.ok()?;
            let reader = self.response_reader();
            while connection
                .next_response(&reader)
                .await?
                .response
                .id
                .is_some()
            {}
            Some(())
        };
        if timeout(MAX_CANCEL_TIME, cleared).await == Ok(Some(())) {
            self.keep_idle(&host, connection);
        }
    }
}

/// An attempt that is out. Dropped before its answer has come, it is cancelled.
struct PendingAttempt<'a> {
    connections: &'a Rc<HostConnections>,
    host: &'a HostId,
    id: &'a Bytes,
    /// Its connection serves no other, as few that could use it come by: it ends with it.
    single_use: bool,
    /// None once it is of no more use.
    connection: Option<HostConnection>,
    /// The request is written and its answer has not come.
    written: bool,
}

impl PendingAttempt<'_> {
    #[allow(
        clippy::expect_used,
        reason = "the connection is given up only where the attempt ends"
    )]
    fn connection(&mut self) -> &mut HostConnection {
        self.connection
            .as_mut()
            .expect("an attempt that is out has a connection")
    }

    /// Writes the request, in the time in which its last byte has to be written.
    async fn write(
        &mut self,
        request: &ClientRequest,
        cleared: &ClearedAttempt<'_>,
        until: Instant,
    ) -> Result<(), AttemptOutcome> {
        let pieces = lines::encode_request(request, &cleared.options);
        let connection = self.connection();
        connection.outbound.send(pieces, [None, None]);
        let flushed = timeout_at(cleared.sent_by, connection.outbound.flush()).await;
        if matches!(flushed, Ok(Ok(()))) {
            self.written = true;
            return Ok(());
        }
        // The last byte was never written, so nothing ran; half a request ends with its connection.
        let was_idle = self.connection.take().is_some_and(|lost| lost.was_idle);
        if was_idle {
            self.connections.close_idle(self.host);
            return Err(AttemptOutcome::NotSent);
        }
        if flushed.is_err() && cleared.sent_by < until {
            count(Counter::superseded);
            return Err(AttemptOutcome::Superseded);
        }
        count(Counter::hosts_unreached);
        Err(AttemptOutcome::NotConnected)
    }

    /// Waits for the answer.
    async fn receive(&mut self, until: Instant) -> ReceivedReply {
        let (id, reader) = (self.id, self.connections.response_reader());
        match timeout_at(until, self.connection().reply_to(id, &reader)).await {
            Ok(Some(reply)) => {
                self.written = false;
                reply
            }
            Ok(None) => ReceivedReply::without_body(self.broken()),
            Err(_) => {
                count(Counter::hosts_timed_out);
                ReceivedReply::without_body(AttemptOutcome::TimedOut)
            }
        }
    }

    /// How an attempt ends whose connection broke after the request was written.
    fn broken(&mut self) -> AttemptOutcome {
        let is_stale = self
            .connection
            .take()
            .is_some_and(|lost| lost.was_idle && lost.inbound.bytes.is_empty());
        if is_stale {
            self.connections.close_idle(self.host);
            return AttemptOutcome::Stale;
        }
        count(Counter::hosts_broken);
        AttemptOutcome::Broken
    }
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        // Closing a connection cancels what is open on it.
        if self.single_use {
            return;
        }
        if self.written {
            let (host, id) = (self.host.clone(), self.id.clone());
            spawn_local(self.connections.clone().cancel(host, id, connection));
        } else if !connection.outbound.has_pending() && !connection.outbound.is_closed() {
            self.connections.keep_idle(self.host, connection);
        }
    }
}
