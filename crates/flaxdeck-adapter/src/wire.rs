//! Decodes wire lines into calls on the instances and encodes what they return.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::rc::Rc;

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    AttemptEnded, AttemptIndex, AttemptOutcome, CellId, Decisions, Endpoint, Final, GroupId,
    Health, HostId, ListKind, LoadReport, ObjectId, Request, RequestId, Span, Time, ZoneId,
};
use flaxdeck_terms::fields::Fields;
use flaxdeck_terms::{Names, place, told};
use serde_json::{Value, json};

#[derive(Debug)]
pub enum Fault {
    /// The line makes no sense on the wire; it is passed over.
    Input(String),
    Output(io::Error),
}

impl From<String> for Fault {
    fn from(what: String) -> Fault {
        Fault::Input(what)
    }
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Fault {
        Fault::Output(error)
    }
}

/// One instance, with the names that its start gave to numbers.
struct Instance {
    engine: DecisionEngine,
    names: Names,
}

/// All instances of this process and the numbered lists, which belong to none.
#[derive(Default)]
pub struct Desk {
    instances: BTreeMap<String, Instance>,
    sheets: BTreeMap<u64, Rc<Vec<Value>>>,
    /// The batch's clock, while a batch is open.
    now: Option<Time>,
    /// Reply lines, as the events bring them about.
    reply: Vec<Value>,
}

impl Desk {
    /// Takes one line; writes and flushes a reply when the line ends a batch.
    pub fn take(&mut self, line: &[u8], output: &mut impl Write) -> Result<(), Fault> {
        let value: Value =
            serde_json::from_slice(line).map_err(|error| format!("not JSON: {error}"))?;
        let fields = Fields::of(&value, "the message")?;
        let name = fields.text("event_type")?;
        match name {
            "Mark" => {
                let now = fields.time("sim_time_ms")?;
                if self.now.replace(now).is_some() {
                    return Err(Fault::Input(
                        "Mark inside a batch: the clock is set anew".into(),
                    ));
                }
            }
            "EofBatch" => {
                let open = self.now.take().is_some();
                for action in self.reply.drain(..) {
                    serde_json::to_writer(&mut *output, &action).map_err(io::Error::from)?;
                    output.write_all(b"\n")?;
                }
                output.write_all(b"{\"event_type\":\"End\"}\n")?;
                output.flush()?;
                // The other side waits for a reply all the same.
                if !open {
                    return Err(Fault::Input("EofBatch without a Mark".into()));
                }
            }
            _ => {
                let now = self.now.ok_or_else(|| format!("{name} outside a batch"))?;
                self.event(name, &fields, now)
                    .map_err(|fault| format!("{name}: {fault}"))?;
            }
        }
        Ok(())
    }

    fn event(&mut self, name: &str, fields: &Fields, now: Time) -> Result<(), String> {
        if name == "Directory" {
            let rows = fields.rows("elements")?;
            self.sheets
                .insert(fields.whole("sheet")?, Rc::new(rows.clone()));
            return Ok(());
        }
        const KNOWN: [&str; 11] = [
            "Launch",
            "Destroy",
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
        if !KNOWN.contains(&name) {
            return Err("unknown event".into());
        }
        let who = fields.text("who")?;
        if name == "Launch" {
            let (instance, decisions) = Instance::launch(fields, now)?;
            self.instances.insert(who.to_owned(), instance);
            encode(who, now, decisions, &mut self.reply);
            return Ok(());
        }
        if name == "Destroy" {
            return match self.instances.remove(who) {
                Some(_) => Ok(()),
                None => Err(format!("{who} was never started")),
            };
        }
        let instance = self
            .instances
            .get_mut(who)
            .ok_or_else(|| format!("{who} was never started"))?;
        let decisions = match name {
            "Endpoints" => {
                let list_kind = match fields.text("how")? {
                    "Partial" => ListKind::Delta,
                    "Complete" | "Persisted" => ListKind::Full,
                    "Error" => return Ok(()),
                    other => return Err(format!("unknown kind of list {other}")),
                };
                let number = fields.whole("sheet")?;
                let rows = self
                    .sheets
                    .get(&number)
                    .ok_or_else(|| format!("list {number} was never sent"))?;
                let listed = instance.listed(rows)?;
                instance.engine.list(now, list_kind, listed)
            }
            "Accept" => {
                let request = instance.request(fields)?;
                instance.engine.request(now, request)
            }
            "Resolved" => {
                let ended = instance.ended(fields)?;
                instance.engine.attempt_ended(now, ended)
            }
            "Outdated" => {
                let object = fields
                    .whole_or_none("key")?
                    .filter(|key| *key != 0)
                    .map(ObjectId);
                let group = GroupId(fields.whole("family_id")?);
                let made = now - fields.span_or_zero("how_old_ms")?;
                instance.engine.purge(now, object, group, made)
            }
            "Elapsed" => {
                fields.whole("ctx")?;
                instance.engine.wake(now)
            }
            "Dropped" => instance
                .engine
                .client_left(now, RequestId(fields.whole("request_id")?)),
            "CheckResult" => {
                let (host, told) = (
                    HostId(fields.text("host")?.into()),
                    instance.report(fields)?,
                );
                instance.engine.seen(now, &host, told)
            }
            // Streamed answers and messages are never asked for here: nothing follows from them.
            _ => return Ok(()),
        };
        encode(who, now, decisions, &mut self.reply);
        Ok(())
    }
}

impl Instance {
    fn launch(fields: &Fields, now: Time) -> Result<(Instance, Decisions), String> {
        let seed = fields.whole("entropy")?;
        let (terms, names) = flaxdeck_terms::read(&fields.inner("params")?)?;
        let (engine, decisions) = DecisionEngine::start(now, seed, terms);
        Ok((Instance { engine, names }, decisions))
    }

    fn listed(&self, rows: &[Value]) -> Result<Vec<Endpoint>, String> {
        rows.iter()
            .map(|row| self.listed_one(&Fields::of(row, "a list entry")?))
            .collect()
    }

    fn listed_one(&self, row: &Fields) -> Result<Endpoint, String> {
        let kind = row
            .text_or_none("shape")?
            .and_then(|shape| place(&self.names.kinds, shape));
        let role = self.names.role(kind);
        let health = match row.text("mode")? {
            "in_service" => Health::InService,
            "terminating" => Health::Draining,
            "terminated" => Health::Removed,
            other => return Err(format!("unknown mode {other}")),
        };
        let zone = row
            .text_or_none("region_part")?
            .and_then(|zone| place(&self.names.zones, zone));
        Ok(Endpoint {
            host: HostId(row.text("host")?.into()),
            weight: row.number_or("heft", 1.0)?,
            zone: zone.map(ZoneId),
            cell: CellId(row.whole_or_none("cluster")?.unwrap_or(0)),
            role,
            health,
            started: row
                .number_or_none("boot_time_ms")?
                .filter(|ms| *ms > 0.0)
                .map(Time::at_ms),
        })
    }

    fn request(&self, fields: &Fields) -> Result<Request, String> {
        let name = fields.text("qos")?;
        let class = self
            .names
            .class(name)
            .ok_or_else(|| format!("unknown class {name}"))?;
        Ok(Request {
            id: RequestId(fields.whole("request_id")?),
            class,
            object: ObjectId(fields.whole_or_none("key")?.unwrap_or(0)),
            part: fields.whole_or_none("slice")?.unwrap_or(0),
            group: GroupId(fields.whole_or_none("set_no")?.unwrap_or(0)),
            size_kb: fields.number_or_none("bytes_k")?.filter(|kb| *kb > 0.0),
            deadline: fields.time("expires_ms")?,
            again: fields.flag_or_false("again_by_client")?,
        })
    }

    fn report(&self, fields: &Fields) -> Result<LoadReport, String> {
        let values = fields.numbers("stats")?;
        let value = |at: Option<usize>| at.and_then(|at| values.get(at)).copied();
        let Names {
            link_at,
            in_hand_at,
            busy_at,
            ..
        } = self.names;
        Ok(LoadReport {
            link: value(link_at),
            in_hand: value(in_hand_at),
            busy: value(busy_at),
        })
    }

    fn ended(&self, fields: &Fields) -> Result<AttemptEnded, String> {
        Ok(AttemptEnded {
            request: RequestId(fields.whole("request_id")?),
            index: AttemptIndex(fields.whole("leg")? as u32),
            host: HostId(fields.text("host")?.into()),
            outcome: match fields.text("reason")? {
                "S" => AttemptOutcome::Answered,
                "E" => AttemptOutcome::Errored,
                "F" => AttemptOutcome::Rejected,
                "T" => AttemptOutcome::TimedOut,
                "C" => AttemptOutcome::NotConnected,
                "R" => AttemptOutcome::Broken,
                "X" => AttemptOutcome::Cancelled,
                "N" => AttemptOutcome::NotSent,
                "M" => AttemptOutcome::NoCopy,
                other => return Err(format!("unknown outcome {other}")),
            },
            took: fields.span_or_zero("latency_ms")?,
            closed: fields.flag_or_false("no_more")?,
            fill: told(fields.whole_or_none("detail")?.unwrap_or(0)),
            waited: fields.number_or_none("waited_ms")?.map(Span::of_ms),
            report: self.report(fields)?,
        })
    }
}

fn encode(who: &str, now: Time, decisions: Decisions, reply: &mut Vec<Value>) {
    for cancel in decisions.cancels {
        reply.push(
            json!({"event_type": "UndoSend", "who": who, "request_id": cancel.request.0,
            "leg": cancel.index.0}),
        );
    }
    for sent in decisions.attempts {
        let bits = u8::from(sent.join) + 2 * u8::from(sent.only_held) + 8 * u8::from(sent.renew);
        let mut action = json!({"event_type": "Obtain", "who": who, "request_id": sent.request.0,
            "host": &*sent.host.0, "miss_from": &*sent.source.0, "allow_for_ms": sent.allow.ms(),
            "bits": bits, "keep": sent.keep});
        if let Some(oldest) = sent.oldest {
            action["how_old_ms"] = json!(oldest.ms());
        }
        reply.push(action);
    }
    for last in decisions.finals {
        reply.push(match last {
            Final::Rejected {
                request,
                retry_after,
            } => {
                let mut action =
                    json!({"event_type": "PushBack", "who": who, "request_id": request.0});
                if let Some(retry_after) = retry_after {
                    action["come_back_ms"] = json!(retry_after.ms());
                }
                action
            }
            Final::Failed { request } => {
                json!({"event_type": "ReportFailure", "who": who, "request_id": request.0})
            }
        });
    }
    for host in decisions.looks {
        reply.push(json!({"event_type": "Inspect", "who": who, "host": &*host.0}));
    }
    if let Some(at) = decisions.wake {
        reply.push(
            json!({"event_type": "WakeMe", "who": who, "after_ms": at.since(now).ms(), "ctx": 0}),
        );
    }
}
