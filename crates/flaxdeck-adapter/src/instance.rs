//! One instance: a decision engine, and the decoding of the events for it.

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    AttemptEnded, AttemptIndex, AttemptOutcome, CellId, Decisions, Endpoint, GroupId, Health,
    HostId, ListKind, LoadReport, ObjectId, Request, RequestId, Span, Time, ZoneId,
};
use flaxdeck_terms::fields::Fields;
use flaxdeck_terms::{Names, fill_outcome, index_of};
use serde_json::Value;

use crate::error::EventError;

/// One instance: its decision engine, and the names to which its settings give numbers.
pub(crate) struct Instance {
    engine: DecisionEngine,
    names: Names,
}

impl Instance {
    /// Starts an instance. Returns it with its first decisions.
    pub(crate) fn launch(fields: &Fields, now: Time) -> Result<(Instance, Decisions), EventError> {
        let seed = fields.unsigned("entropy")?;
        let (terms, names) = flaxdeck_terms::read(&fields.inner("params")?)?;
        let (engine, decisions) = DecisionEngine::start(now, seed, terms);
        Ok((Instance { engine, names }, decisions))
    }

    /// Applies an endpoint list.
    pub(crate) fn apply_list(
        &mut self,
        now: Time,
        kind: ListKind,
        rows: &[Value],
    ) -> Result<Decisions, EventError> {
        let endpoints: Result<_, _> = rows.iter().map(|row| self.endpoint(row)).collect();
        Ok(self.engine.list(now, kind, endpoints?))
    }

    /// Applies any other event.
    pub(crate) fn apply(
        &mut self,
        event: &str,
        fields: &Fields,
        now: Time,
    ) -> Result<Decisions, EventError> {
        Ok(match event {
            "Accept" => {
                let request = self.request(fields)?;
                self.engine.request(now, request)
            }
            "Resolved" => {
                let ended = self.attempt_ended(fields)?;
                self.engine.attempt_ended(now, ended)
            }
            "Outdated" => self.purge(fields, now)?,
            "Elapsed" => {
                fields.unsigned("ctx")?;
                self.engine.wake(now)
            }
            "Dropped" => {
                let request = RequestId(fields.unsigned("request_id")?);
                self.engine.client_left(now, request)
            }
            "CheckResult" => {
                let host = HostId(fields.text("host")?.into());
                let report = self.load_report(fields)?;
                self.engine.load_polled(now, &host, report)
            }
            // `Started` (of a streamed answer) and `Whisper` (a message) have no effect: the adapter requests neither.
            _ => Decisions::default(),
        })
    }

    fn purge(&mut self, fields: &Fields, now: Time) -> Result<Decisions, EventError> {
        let key = fields.unsigned_or_none("key")?.filter(|key| *key != 0);
        let group = GroupId(fields.unsigned("family_id")?);
        let made = now - fields.span_or_zero("how_old_ms")?;
        Ok(self.engine.purge(now, key.map(ObjectId), group, made))
    }

    fn endpoint(&self, row: &Value) -> Result<Endpoint, EventError> {
        let row = Fields::of(row, "a list entry")?;
        let kind = row
            .text_or_none("shape")?
            .and_then(|shape| index_of(&self.names.machine_kinds, shape));
        let health = health(row.text("mode")?)?;
        let zone = row
            .text_or_none("region_part")?
            .and_then(|zone| index_of(&self.names.zones, zone));
        Ok(Endpoint {
            host: HostId(row.text("host")?.into()),
            weight: row.number_or("heft", 1.0)?,
            zone: zone.map(ZoneId),
            cell: CellId(row.unsigned_or_none("cluster")?.unwrap_or(0)),
            role: self.names.role(kind),
            health,
            started: row
                .number_or_none("boot_time_ms")?
                .filter(|ms| *ms > 0.0)
                .map(Time::at_ms),
        })
    }

    fn request(&self, fields: &Fields) -> Result<Request, EventError> {
        let class = fields.text("qos")?;
        let Some(class) = self.names.class(class) else {
            return Err(EventError::UnknownClass {
                class: class.to_owned(),
            });
        };
        Ok(Request {
            id: RequestId(fields.unsigned("request_id")?),
            class,
            object: ObjectId(fields.unsigned_or_none("key")?.unwrap_or(0)),
            part: fields.unsigned_or_none("slice")?.unwrap_or(0),
            group: GroupId(fields.unsigned_or_none("set_no")?.unwrap_or(0)),
            size_kb: fields.number_or_none("bytes_k")?.filter(|kb| *kb > 0.0),
            deadline: fields.time("expires_ms")?,
            is_retry: fields.flag_or_false("again_by_client")?,
        })
    }

    fn load_report(&self, fields: &Fields) -> Result<LoadReport, EventError> {
        let values = fields.numbers("stats")?;
        let value = |index: Option<usize>| values.get(index?).copied();
        Ok(LoadReport {
            link: value(self.names.link_index),
            in_flight: value(self.names.in_hand_index),
            utilization: value(self.names.busy_index),
        })
    }

    fn attempt_ended(&self, fields: &Fields) -> Result<AttemptEnded, EventError> {
        Ok(AttemptEnded {
            request: RequestId(fields.unsigned("request_id")?),
            index: AttemptIndex(fields.unsigned("leg")? as u32),
            host: HostId(fields.text("host")?.into()),
            outcome: outcome(fields.text("reason")?)?,
            took: fields.span_or_zero("latency_ms")?,
            closed: fields.flag_or_false("no_more")?,
            fill: fill_outcome(fields.unsigned_or_none("detail")?.unwrap_or(0)),
            waited: fields.number_or_none("waited_ms")?.map(Span::of_ms),
            actual_kb: None,
            unchanged: false,
            report: self.load_report(fields)?,
        })
    }
}

fn health(mode: &str) -> Result<Health, EventError> {
    match mode {
        "in_service" => Ok(Health::InService),
        "terminating" => Ok(Health::Draining),
        "terminated" => Ok(Health::Removed),
        other => Err(EventError::UnknownMode {
            mode: other.to_owned(),
        }),
    }
}

fn outcome(reason: &str) -> Result<AttemptOutcome, EventError> {
    match reason {
        "S" => Ok(AttemptOutcome::Answered),
        "E" => Ok(AttemptOutcome::Errored),
        "F" => Ok(AttemptOutcome::Rejected),
        "T" => Ok(AttemptOutcome::TimedOut),
        "C" => Ok(AttemptOutcome::NotConnected),
        "R" => Ok(AttemptOutcome::Broken),
        "X" => Ok(AttemptOutcome::Cancelled),
        "N" => Ok(AttemptOutcome::NotSent),
        "M" => Ok(AttemptOutcome::NoCopy),
        other => Err(EventError::UnknownOutcome {
            outcome: other.to_owned(),
        }),
    }
}
