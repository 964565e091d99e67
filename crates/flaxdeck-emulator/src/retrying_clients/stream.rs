//! A connection to one dispatcher, and what comes from it.

use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::requests::{AnswerMessage, take_answer};

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// What comes from a stream, which is named by its number.
pub(super) enum StreamEvent {
    Answered { stream: u64, answer: AnswerMessage },
    Ended { stream: u64 },
}

/// A connection to a dispatcher.
pub(super) struct Stream {
    pub(super) number: u64,
    pub(super) write: OwnedWriteHalf,
    pub(super) reader: JoinHandle<()>,
}

/// Reads a stream's answers until it ends.
pub(super) async fn read_answers(
    mut from: OwnedReadHalf,
    stream: u64,
    events: mpsc::UnboundedSender<StreamEvent>,
) {
    let mut bytes = Vec::new();
    let mut piece = vec![0; BUFFER_BYTES];
    'reading: while let Ok(count @ 1..) = from.read(&mut piece).await {
        bytes.extend_from_slice(&piece[..count]);
        while let Some(answer) = take_answer(&mut bytes) {
            let Ok(answer) = answer else { break 'reading };
            if events
                .send(StreamEvent::Answered { stream, answer })
                .is_err()
            {
                return;
            }
        }
    }
    // Nobody listens once the connection has ended all its operations.
    let _ = events.send(StreamEvent::Ended { stream });
}
