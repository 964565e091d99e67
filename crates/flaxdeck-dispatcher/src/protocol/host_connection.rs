//! One connection to a host.

use std::net::SocketAddr;

use bytes::Bytes;
use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::link::{Inbound, Outbound};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_terms::Names;
use flaxdeck_wire::lines::{self, Response};
use flaxdeck_wire::{HostReply, Parsed};
use tokio::time::Instant;

/// A connection to a host. An attempt owns it while it is out, [`super::host_connections::HostConnections`] while it is
/// idle. Dropped, it closes at once: hosts are owed nothing.
pub(super) struct HostConnection {
    pub(super) address: SocketAddr,
    pub(super) inbound: Inbound,
    pub(super) outbound: Outbound,
    /// When it last came up or became idle.
    pub(super) idle_since: Instant,
    /// It has been idle before.
    pub(super) was_idle: bool,
    pub(super) _permit: Permit,
}

/// What a connection needs to read answers.
pub(super) struct ResponseReader<'a> {
    pub(super) names: &'a Names,
    /// Bytes that responses may hold together.
    pub(super) response_bytes: &'a Budget,
}

/// An answer, with the permit that its bytes hold.
pub(super) struct ReceivedResponse {
    pub(super) response: Response,
    pub(super) permit: Option<Permit>,
}

/// How an attempt ended, with the permit that the answer's bytes hold.
pub(crate) struct ReceivedReply {
    /// How the attempt ended.
    pub host_reply: HostReply,
    /// To be held until those bytes are written to the client.
    pub permit: Option<Permit>,
}

impl HostConnection {
    /// The answer to that id; none if the connection broke or what came is not of the protocol. Answers that nobody
    /// asked for here are passed over: the own one may stand behind them.
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

    /// The next answer; none if the connection broke or what came is not of the protocol.
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
                    // Until memory is free the rest stays with the host.
                    let budget = reader.response_bytes;
                    budget.reserve_for_message(needed, &mut permit).await;
                    self.read_up_to(needed).await?;
                }
                Err(malformed) => {
                    count(Counter::hosts_malformed);
                    log::warn!("a host's connection is closed: {malformed}");
                    return None;
                }
            }
        }
    }

    /// Reads until so many bytes are there; none if the connection broke.
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
