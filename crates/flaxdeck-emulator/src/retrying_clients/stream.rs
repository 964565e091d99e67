//! A stream to one dispatcher and the events read from it.

use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::requests::{AnswerMessage, take_answer};

/// The size of the read buffer.
const BUFFER_BYTES: usize = 64 * 1024;

/// An event of the stream with this number.
pub(super) enum StreamEvent {
    Answered { stream: u64, answer: AnswerMessage },
    Ended { stream: u64 },
}

/// An open TCP connection to a dispatcher, with the task that reads its answers.
pub(super) struct Stream {
    pub(super) number: u64,
    pub(super) write: OwnedWriteHalf,
    pub(super) reader: JoinHandle<()>,
}

/// Sends the answers of a stream as events until it ends, then its end.
pub(super) async fn read_answers(
    mut from: OwnedReadHalf,
    stream: u64,
    events: mpsc::UnboundedSender<StreamEvent>,
) {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; BUFFER_BYTES];
    'reading: while let Ok(count @ 1..) = from.read(&mut chunk).await {
        bytes.extend_from_slice(&chunk[..count]);
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
    // The receiver is gone once all operations of the connection have ended.
    let _ = events.send(StreamEvent::Ended { stream });
}
