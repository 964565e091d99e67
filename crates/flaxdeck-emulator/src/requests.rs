//! The clients' protocol: encodes requests and decodes answers.

use std::io;

use flaxdeck_invariants::FinalAnswer;
use rmpv::Value;

use crate::objects::size_kb;

/// The body of every write.
const WRITE_BODY: &[u8] = b"a form";

/// The content of a request message.
pub(crate) struct RequestMessage<'a> {
    /// The number of the call, unique on its connection.
    pub(crate) call: u32,
    /// The id of the request.
    pub(crate) id: &'a str,
    pub(crate) object: &'a str,
    pub(crate) write: bool,
    pub(crate) timeout_ms: u64,
    /// Whether it repeats an earlier request.
    pub(crate) is_retry: bool,
}

impl RequestMessage<'_> {
    /// Encodes the message as MessagePack-RPC.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let timeout = self.timeout_ms.to_string();
        let kb = size_kb(self.object).to_string();
        let mut fields = vec![
            ("id", self.id),
            ("wait", &timeout),
            ("key", self.object),
            ("slice", "0"),
            ("set", "7"),
            ("kb", &kb),
        ];
        if self.is_retry {
            fields.push(("retry", "1"));
        }
        let class = if self.write { "submit" } else { "page" };
        let body = if self.write { WRITE_BODY } else { &[] };
        let fields = fields
            .into_iter()
            .map(|(name, value)| (Value::from(name), Value::from(value)));
        let arguments = Value::Array(vec![
            Value::Map(fields.collect()),
            Value::Binary(body.to_vec()),
        ]);
        let message = Value::Array(vec![
            Value::from(0),
            Value::from(self.call),
            Value::from(class),
            arguments,
        ]);
        let mut bytes = Vec::new();
        // Writing to a vector can't fail.
        let _ = rmpv::encode::write_value(&mut bytes, &message);
        bytes
    }
}

/// Returns the id of the request that is sent as this call on this connection.
pub(crate) fn request_id(connection: usize, call: u32) -> String {
    format!("{connection:08x}{call:08x}")
}

/// A dispatcher's answer to a request.
pub(crate) struct AnswerMessage {
    pub(crate) call: u32,
    pub(crate) answer: FinalAnswer,
    /// The retry-after in milliseconds, if the answer has one.
    pub(crate) retry_after_ms: Option<f64>,
    pub(crate) body: Vec<u8>,
}

/// Removes and decodes one complete answer at the start of the buffer; `None` until one is complete.
pub(crate) fn take_answer(bytes: &mut Vec<u8>) -> Option<io::Result<AnswerMessage>> {
    let mut rest = &bytes[..];
    let value = rmpv::decode::read_value(&mut rest).ok()?;
    let used = bytes.len() - rest.len();
    bytes.drain(..used);
    Some(decode_answer(&value).ok_or_else(|| io::ErrorKind::InvalidData.into()))
}

fn decode_answer(value: &Value) -> Option<AnswerMessage> {
    let [_, call, error, result] = value.as_array()?.as_slice() else {
        return None;
    };
    let call = call.as_u64()? as u32;
    if error.is_nil() {
        let body = result.as_array().and_then(|result| result.first());
        let body = body.and_then(Value::as_slice).unwrap_or(&[]);
        return Some(AnswerMessage {
            call,
            answer: FinalAnswer::Served,
            retry_after_ms: None,
            body: body.to_vec(),
        });
    }
    let error = error.as_array()?;
    let answer = match error.first().and_then(Value::as_str)? {
        "Backoff" => FinalAnswer::Rejected,
        "Lost" => FinalAnswer::Failed,
        _ => return None,
    };
    let details = error.get(1).and_then(Value::as_map).into_iter().flatten();
    let retry_after = details
        .filter(|(name, _)| name.as_str() == Some("after"))
        .find_map(|(_, value)| value.as_str());
    Some(AnswerMessage {
        call,
        answer,
        retry_after_ms: retry_after.and_then(|text| text.parse().ok()),
        body: Vec::new(),
    })
}
