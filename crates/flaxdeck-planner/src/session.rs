//! A forwarder's session: its connection from the greeting to the end.

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

/// Why a session ended.
#[derive(Debug, Error)]
enum SessionEnd {
    /// The connection could not be established, or ended.
    #[error(transparent)]
    Closed(#[from] CloseReason),
    /// A report on the connection came from another epoch than the first one.
    #[error("reports of two forwarders on one connection")]
    SecondForwarder,
}

impl SessionEnd {
    /// Returns whether the other side is invalid, so that the session counts as refused.
    fn is_refusal(&self) -> bool {
        match self {
            SessionEnd::Closed(reason) => reason.is_refusal(),
            SessionEnd::SecondForwarder => true,
        }
    }
}

/// Serves a forwarder until its connection ends. The permit is held until then.
pub(crate) async fn serve(state: Rc<State>, key: Key, stream: TcpStream, _permit: Permit) {
    let peer = stream
        .peer_addr()
        .map_or("unknown address".to_owned(), |peer| peer.to_string());
    let end = run_session(&state, &key, stream).await;
    log_end(&state, &peer, &end);
}

fn log_end(state: &State, peer: &str, end: &SessionEnd) {
    let why = end.to_string();
    if end.is_refusal() {
        let refused = state.count_refused();
        if state.refusal_log.admits() {
            tracing::warn!(peer, why, refused, "a peer is refused");
        }
    } else if state.session_log.admits() {
        tracing::info!(peer, why, "a conversation is over");
    }
}

async fn run_session(state: &State, key: &Key, stream: TcpStream) -> SessionEnd {
    let connection = match connection::accept(stream, key).await {
        Ok(connection) => connection,
        Err(reason) => return reason.into(),
    };
    let number = state.next_connection_number();
    let sender = Rc::new(RefCell::new(connection.sender));
    let end = handle_messages(state, number, &sender, connection.receiver).await;
    state.disconnected(number);
    end
}

/// Handles the forwarder's messages until the connection ends.
async fn handle_messages(
    state: &State,
    number: ConnectionNumber,
    sender: &SharedSender,
    mut receiver: Receiver,
) -> SessionEnd {
    let mut forwarder_epoch: Option<Epoch> = None;
    loop {
        match receiver.receive().await {
            Ok(FromForwarder::Report(report)) => {
                let from = report.envelope.from;
                if *forwarder_epoch.get_or_insert(from) != from {
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
