//! Dispatches input lines to the instances, and writes their decisions at the end of each batch.

use std::collections::BTreeMap;
use std::io::{self, Write};

use flaxdeck::{ListKind, Time};
use flaxdeck_terms::fields::Fields;
use serde_json::Value;

use crate::error::{AdapterError, EventError, InputError};
use crate::instance::Instance;
use crate::reply::encode;

/// Events for one instance, apart from its launch and its end.
const INSTANCE_EVENTS: [&str; 9] = [
    "Endpoints",
    "Accept",
    "Resolved",
    "Outdated",
    "Elapsed",
    "Dropped",
    "Started",
    "CheckResult",
    "Whisper",
];

/// All instances of this process, and the endpoint lists, which instances refer to by number.
#[derive(Default)]
pub(crate) struct Adapter {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Vec<Value>>,
    /// The time of the open batch; `None` between batches.
    now: Option<Time>,
    /// The actions of the open batch, in the order of the events that caused them.
    reply: Vec<Value>,
}

impl Adapter {
    /// Processes one input line. Writes and flushes the reply when the line ends a batch.
    ///
    /// # Errors
    ///
    /// [`AdapterError::Input`] for an invalid line, [`AdapterError::Output`] if the reply can't be written.
    pub(crate) fn handle_line(
        &mut self,
        line: &[u8],
        output: &mut impl Write,
    ) -> Result<(), AdapterError> {
        let value: Value = serde_json::from_slice(line).map_err(InputError::Json)?;
        let fields = Fields::of(&value, "the message").map_err(InputError::Field)?;
        match fields.text("event_type").map_err(InputError::Field)? {
            "Mark" => Ok(self.begin_batch(&fields)?),
            "EofBatch" => self.end_batch(output),
            event => Ok(self.handle_event(event, &fields)?),
        }
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<(), InputError> {
        let now = fields.time("sim_time_ms")?;
        match self.now.replace(now) {
            None => Ok(()),
            Some(_) => Err(InputError::MarkInsideBatch),
        }
    }

    fn end_batch(&mut self, output: &mut impl Write) -> Result<(), AdapterError> {
        let was_open = self.now.take().is_some();
        for action in self.reply.drain(..) {
            serde_json::to_writer(&mut *output, &action).map_err(io::Error::from)?;
            output.write_all(b"\n")?;
        }
        output.write_all(b"{\"event_type\":\"End\"}\n")?;
        output.flush()?;
        // The reply is written in any case, as the simulator waits for it.
        if was_open {
            Ok(())
        } else {
            Err(InputError::EndWithoutMark.into())
        }
    }

    fn handle_event(&mut self, event: &str, fields: &Fields) -> Result<(), InputError> {
        let Some(now) = self.now else {
            return Err(InputError::OutsideBatch {
                event: event.to_owned(),
            });
        };
        self.apply(event, fields, now)
            .map_err(|source| InputError::Event {
                event: event.to_owned(),
                source,
            })
    }

    fn apply(&mut self, event: &str, fields: &Fields, now: Time) -> Result<(), EventError> {
        match event {
            "Directory" => {
                let rows = fields.rows("elements")?;
                self.lists.insert(fields.unsigned("sheet")?, rows.clone());
                Ok(())
            }
            "Launch" => {
                let who = fields.text("who")?;
                let (instance, decisions) = Instance::launch(fields, now)?;
                self.instances.insert(who.to_owned(), instance);
                encode(who, now, decisions, &mut self.reply);
                Ok(())
            }
            "Destroy" => {
                let who = fields.text("who")?;
                let removed = self.instances.remove(who);
                removed.map(drop).ok_or_else(|| not_running(who))
            }
            event if INSTANCE_EVENTS.contains(&event) => self.apply_to_instance(event, fields, now),
            _ => Err(EventError::UnknownEvent),
        }
    }

    fn apply_to_instance(
        &mut self,
        event: &str,
        fields: &Fields,
        now: Time,
    ) -> Result<(), EventError> {
        let who = fields.text("who")?;
        let instance = self
            .instances
            .get_mut(who)
            .ok_or_else(|| not_running(who))?;
        let decisions = if event == "Endpoints" {
            let Some(kind) = list_kind(fields.text("how")?)? else {
                return Ok(());
            };
            let number = fields.unsigned("sheet")?;
            let rows = self.lists.get(&number);
            instance.apply_list(now, kind, rows.ok_or(EventError::ListNeverSent { number })?)?
        } else {
            instance.apply(event, fields, now)?
        };
        encode(who, now, decisions, &mut self.reply);
        Ok(())
    }
}

fn not_running(who: &str) -> EventError {
    EventError::NotRunning {
        instance: who.to_owned(),
    }
}

/// Returns whether a list is full or a delta; `None` if the simulator reports that the list could not be fetched.
fn list_kind(how: &str) -> Result<Option<ListKind>, EventError> {
    match how {
        "Partial" => Ok(Some(ListKind::Delta)),
        "Complete" | "Persisted" => Ok(Some(ListKind::Full)),
        "Error" => Ok(None),
        other => Err(EventError::UnknownListKind {
            kind: other.to_owned(),
        }),
    }
}
