//! One connection to a host.

use std::net::SocketAddr;

use bytes::Bytes;
use flaxdeck::Time;
use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::link::{Inbound, Outbound};
use flaxdeck_net::log_limiter::LogLimiter;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_terms::Names;
use flaxdeck_wire::lines::{self, Response};
use flaxdeck_wire::{HostReply, Parsed};
use tokio::time::Instant;

/// The process of a host from one start to the next. Another process may have the same address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HostProcess {
    pub(super) address: SocketAddr,
    /// Its start as the endpoint list tells it; none if that is long past.
    pub(super) started: Option<Time>,
}

/// A connection to a host. An attempt owns it while in flight, [`super::host_connections::HostConnections`] while it is
/// idle. Dropping it closes it at once, as nothing has to be written to a host before.
pub(super) struct HostConnection {
    /// The process that was listed when the connection was opened.
    pub(super) process: HostProcess,
    pub(super) inbound: Inbound,
    pub(super) outbound: Outbound,
    /// When it was opened, or last became idle.
    pub(super) idle_since: Instant,
    /// Whether it has been idle before.
    pub(super) was_idle: bool,
    pub(super) _permit: Permit,
}

/// The shared state that a connection needs to read responses.
pub(super) struct ResponseReader<'a> {
    pub(super) names: &'a Names,
    /// The memory budget of all responses, in bytes.
    pub(super) response_bytes: &'a Budget,
    /// Limits the lines about malformed responses.
    pub(super) malformed_log: &'a LogLimiter,
}

/// A response, with the permit that its bytes hold.
pub(super) struct ReceivedResponse {
    pub(super) response: Response,
    pub(super) permit: Option<Permit>,
}

/// The result of an attempt, with the permit that the response's bytes hold.
pub(crate) struct ReceivedReply {
    /// The outcome of the attempt, and what the host has sent.
    pub host_reply: HostReply,
    /// To be held until the response's bytes are written to the client.
    pub permit: Option<Permit>,
}

impl HostConnection {
    /// Reads the response to the request with that id; none if the connection broke or a response is malformed.
    /// Responses with other ids are skipped, as the awaited one may follow them.
    pub(super) async fn reply_to(
        &mut self,
        id: &Bytes,
        reader: &ResponseReader<'_>,
    ) -> Option<ReceivedReply> {
        loop {
            let ReceivedResponse { response, permit } = self.next_response(reader).await?;
            if response.id.as_ref() == Some(id) {
                return Some(ReceivedReply {
                    host_reply: response.host_reply,
                    permit,
                });
            }
            count(Counter::hosts_strays);
        }
    }

    /// Reads the next response; none if the connection broke or the response is malformed.
    pub(super) async fn next_response(
        &mut self,
        reader: &ResponseReader<'_>,
    ) -> Option<ReceivedResponse> {
        let mut permit = None;
        loop {
            match lines::parse(&mut self.inbound.bytes, reader.names) {
                Ok(Parsed::Complete(response)) => {
                    return Some(ReceivedResponse { response, permit });
                }
                Ok(Parsed::Incomplete(missing)) => {
                    let needed = self.inbound.bytes.len() + missing;
                    // Nothing more is read until memory is free; meanwhile the rest stays at the host.
                    let budget = reader.response_bytes;
                    budget.reserve_for_message(needed, &mut permit).await;
                    self.read_up_to(needed).await?;
                }
                Err(malformed) => {
                    count(Counter::hosts_malformed);
                    if reader.malformed_log.admits() {
                        log::warn!(
                            "closing the connection to the host at {}: {malformed}",
                            self.process.address
                        );
                    }
                    return None;
                }
            }
        }
    }

    /// Reads until the buffer holds at least `needed` bytes; none if the connection broke.
    async fn read_up_to(&mut self, needed: usize) -> Option<()> {
        while self.inbound.bytes.len() < needed {
            let missing = needed - self.inbound.bytes.len();
            if !matches!(self.inbound.read_more(missing).await, Ok(true)) {
                return None;
            }
        }
        Some(())
    }
}
