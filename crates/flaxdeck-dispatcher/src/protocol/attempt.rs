//! One attempt: writes a request to a host and reads the response.
//!
//! While it is in flight it owns its connection. However it ends, [`PendingAttempt::drop`](PendingAttempt) decides what
//! happens to the connection: it is kept idle, kept idle once the host has confirmed a cancellation, or closed.

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

/// How long a host may take to confirm that it has read a cancellation; after that the connection is closed.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(1);

/// The terms of an attempt that may be sent now.
pub(crate) struct ClearedAttempt<'a> {
    /// The options that are sent to the host with the request.
    pub options: AttemptOptions<'a>,
    /// The time by which the last byte of the request must be written.
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
    /// Sends a request to a host and waits for the response until `until`. `clear` returns the terms of the attempt, or
    /// none if it may not be sent any more. It is called before a connection is chosen and again right before the first
    /// byte is written, as the terms can change in between. Until `started` is set nothing has been written. Dropping
    /// the future cancels the attempt.
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
        let is_current = self.is_current(host, &connection);
        let Some(cleared) = is_current.then(&clear).flatten() else {
            count(Counter::superseded);
            let id = String::from_utf8_lossy(&request.id);
            log::debug!(
                "request {id} is not sent to host {}: no longer wanted there when its connection was ready",
                host.0
            );
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

    /// Waits for the confirmation of a cancellation. The response may already be on the way, so the connection is kept
    /// only once the host has confirmed that none will follow.
    async fn confirm_cancellation(
        self: Rc<HostConnections>,
        host: HostId,
        mut connection: HostConnection,
    ) {
        let confirmed = async {
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
        if timeout(MAX_CANCEL_TIME, confirmed).await == Ok(Some(())) {
            self.keep_idle(&host, connection);
        }
    }
}

/// An attempt that is in flight. Dropping it before the response is received cancels it.
struct PendingAttempt<'a> {
    connections: &'a Rc<HostConnections>,
    host: &'a HostId,
    id: &'a Bytes,
    /// Whether the connection is closed with the attempt. True for an attempt that required a new connection: few later
    /// attempts would reuse it.
    single_use: bool,
    /// None once it can't be used any more.
    connection: Option<HostConnection>,
    /// Whether the request is written to its last byte and its response is not received.
    written: bool,
}

impl PendingAttempt<'_> {
    #[allow(
        clippy::expect_used,
        reason = "the connection is taken only where the attempt ends"
    )]
    fn connection(&mut self) -> &mut HostConnection {
        self.connection
            .as_mut()
            .expect("an attempt in flight has a connection")
    }

    /// Writes the request; its last byte must be written by `cleared.sent_by`.
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
        // The last byte was never written, so the request has not run. Its connection is closed, as part of the request
        // may be on it.
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

    /// Waits for the response.
    async fn receive(&mut self, until: Instant) -> ReceivedReply {
        let (id, reader) = (self.id, self.connections.response_reader());
        match timeout_at(until, self.connection().reply_to(id, &reader)).await {
            Ok(Some(reply)) => {
                self.written = false;
                reply
            }
            Ok(None) => ReceivedReply::without_body(self.end_broken()),
            Err(_) => {
                count(Counter::hosts_timed_out);
                ReceivedReply::without_body(AttemptOutcome::TimedOut)
            }
        }
    }

    /// Drops the connection that broke after the request was written, and returns the attempt's outcome: stale if the
    /// connection had been idle before and no byte of a response was received.
    fn end_broken(&mut self) -> AttemptOutcome {
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
        // Dropping the connection closes it, which cancels the request.
        if self.single_use {
            return;
        }
        if self.written {
            // Written at once, so that no other host gets the request before this one is told.
            let cancellation = lines::encode_cancel(self.id);
            connection.outbound.send([cancellation], [None, None]);
            let connections = self.connections.clone();
            spawn_local(connections.confirm_cancellation(self.host.clone(), connection));
        } else if !connection.outbound.has_pending() && !connection.outbound.is_closed() {
            self.connections.keep_idle(self.host, connection);
        }
    }
}
