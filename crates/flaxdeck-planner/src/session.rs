//! One forwarder's connection, from its greeting to its end.

use std::cell::RefCell;
use std::rc::Rc;

use flaxdeck_channel::authenticated::Key;
use flaxdeck_channel::connection;
use flaxdeck_channel::connection::{CloseReason, Receiver};
use flaxdeck_channel::messages::FromForwarder;
use flaxdeck_control::messages::Epoch;
use flaxdeck_net::budget::Permit;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::state::{ConnectionNumber, SharedSender, State};

/// Why a session is over.
#[derive(Debug, Error)]
enum SessionEnd {
    /// The connection is.
    #[error(transparent)]
    Closed(#[from] CloseReason),
    /// Reports of two forwarders came on it.
    #[error("a second forwarder on one connection")]
    SecondForwarder,
}

impl SessionEnd {
    fn is_refusal(&self) -> bool {
        match self {
            SessionEnd::Closed(reason) => reason.is_refusal(),
            SessionEnd::SecondForwarder => true,
        }
    }
}

/// Serves a forwarder until its connection ends; the permit is given back then.
pub(crate) async fn serve(state: Rc<State>, key: Key, stream: TcpStream, _permit: Permit) {
    let peer = stream
        .peer_addr()
        .map_or("somebody gone".to_owned(), |peer| peer.to_string());
    let end = converse(&state, &key, stream).await;
    let why = end.to_string();
    if end.is_refusal() {
        let refused = state.count_refused();
        tracing::warn!(peer, why, refused, "a peer is refused");
    } else {
        tracing::info!(peer, why, "a conversation is over");
    }
}

async fn converse(state: &State, key: &Key, stream: TcpStream) -> SessionEnd {
    let connection = match connection::accept(stream, key).await {
        Ok(connection) => connection,
        Err(reason) => return reason.into(),
    };
    let number = state.next_connection();
    let sender = Rc::new(RefCell::new(connection.sender));
    let end = receive(state, number, &sender, connection.receiver).await;
    state.disconnected(number);
    end
}

/// Takes in what the forwarder sends, until the connection ends.
async fn receive(
    state: &State,
    number: ConnectionNumber,
    sender: &SharedSender,
    mut receiver: Receiver,
) -> SessionEnd {
    let mut forwarder: Option<Epoch> = None;
    loop {
        match receiver.receive().await {
            Ok(FromForwarder::Report(report)) => {
                let from = report.envelope.from;
                if *forwarder.get_or_insert(from) != from {
                    return SessionEnd::SecondForwarder;
                }
                state.apply_report(number, sender, &report);
            }
            Ok(FromForwarder::Subscribe(subscription)) => {
                state.subscribe(number, sender, subscription);
            }
            Err(reason) => return reason.into(),
        }
    }
}
