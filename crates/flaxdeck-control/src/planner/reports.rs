//! How a planner handles a forwarder's report.

use flaxdeck::Time;

use super::{Forwarder, MAX_FORWARDERS, MAX_POOLS, Planner, REPUBLISH_AFTER};
use crate::QuotaFraction;
use crate::error::{InvalidMessage, MessageError};
use crate::messages::{
    Epoch, Grant, Guidance, LeaseReport, MAX_INCARNATIONS, MAX_RATINGS, PeerSummary, Report, Stamp,
    ceil_ms,
};
use crate::ratings::{is_valid_link, is_valid_sample};

impl Planner {
    /// Applies a forwarder's report and returns guidance in answer.
    ///
    /// # Errors
    ///
    /// [`MessageError::Invalid`], `OutOfOrder`, or `OldEpoch` if a later run has reported from the forwarder's slot.
    /// Nothing of such a report is applied, and the reason is counted.
    pub fn handle_report(&mut self, now: Time, report: &Report) -> Result<Guidance, MessageError> {
        self.prune(now);
        let echoed = self.admit(now, report)?;
        self.counters.reports += 1;
        self.record_forwarder(now, report);
        let created = echoed.unwrap_or(now);
        self.record_link(now, created, report);
        let from = report.envelope.from;
        for sample in &report.samples {
            // The report was created no earlier than the stamp that it echoes. Ages count back from that stamp, or from
            // REPUBLISH_AFTER ago if the stamp is older.
            let created = created.max(now - REPUBLISH_AFTER);
            if !is_valid_sample(sample) {
                self.counters.invalid_message += 1;
                continue;
            }
            self.record_sample(now, from, created, sample);
        }
        let grants = report
            .lease_reports
            .iter()
            .filter_map(|lease_report| self.apply_lease_report(now, from, echoed, lease_report))
            .collect();
        let lends = |lease_report: &LeaseReport| lease_report.deposit > QuotaFraction::NONE;
        if echoed.is_some() && report.lease_reports.iter().any(lends) {
            self.instance_slots.record_deposit(now, report.slot);
        }
        let outstanding = self.instance_slots.outstanding(now, report.slot);
        Ok(Guidance {
            grants,
            outstanding_ms: outstanding.map(ceil_ms),
            incarnations: self.peer_summaries(report),
            ..self.guidance(now, from)
        })
    }

    /// Checks whether a report is to be accepted. Returns this planner's own stamp that the report echoes, if it is a
    /// stamp of this run.
    fn admit(&mut self, now: Time, report: &Report) -> Result<Option<Time>, MessageError> {
        let envelope = report.envelope;
        self.check(InvalidMessage::check_length(
            report.lease_reports.len(),
            MAX_INCARNATIONS,
        ))?;
        self.check(InvalidMessage::check_length(
            report.samples.len(),
            MAX_RATINGS,
        ))?;
        match self.forwarders.get(&envelope.from) {
            Some(known) if envelope.number <= known.last_number => {
                self.counters.out_of_order += 1;
                return Err(MessageError::OutOfOrder {
                    number: envelope.number,
                    last: known.last_number,
                });
            }
            None if self.forwarders.len() >= MAX_FORWARDERS => {
                self.check(Err(InvalidMessage::TooManyForwarders(MAX_FORWARDERS)))?;
            }
            _ => {}
        }
        if !self.instance_slots.admit(now, report.slot, envelope.from) {
            self.counters.ended += 1;
            return Err(MessageError::OldEpoch {
                epoch: envelope.from,
            });
        }
        let is_for_this_run = envelope.to == self.epoch;
        let echoed = envelope.echo.filter(|_| is_for_this_run).map(Stamp::time);
        if let Some(echo) = echoed.filter(|echoed| *echoed > now) {
            self.check(Err(InvalidMessage::StampFromTheFuture { echo, now }))?;
        }
        if !is_for_this_run && envelope.to != Epoch::default() {
            self.counters.not_for_us += 1;
        }
        Ok(echoed)
    }

    /// Passes on the result of a validation, and counts a failure.
    fn check(&mut self, checked: Result<(), InvalidMessage>) -> Result<(), MessageError> {
        if checked.is_err() {
            self.counters.invalid_message += 1;
        }
        Ok(checked?)
    }

    fn record_forwarder(&mut self, now: Time, report: &Report) {
        let envelope = report.envelope;
        let version = if envelope.to == self.epoch {
            report.version.min(self.version)
        } else {
            0
        };
        let known = self.forwarders.entry(envelope.from).or_insert(Forwarder {
            last_number: envelope.number,
            last_stamp: envelope.sent,
            last_heard: now,
            messages_sent: 0,
            last_event: report.last_event,
            subscribes: report.subscribes,
            version,
            zone: report.zone,
        });
        known.last_number = envelope.number;
        known.last_stamp = envelope.sent;
        known.last_heard = now;
        known.last_event = report.last_event;
        known.subscribes = report.subscribes;
        known.version = version;
    }

    fn record_link(&mut self, now: Time, created: Time, report: &Report) {
        let Some(link) = report.link else { return };
        if is_valid_link(&link) {
            self.links.record(now, created, report.zone, link);
        } else {
            self.counters.invalid_message += 1;
        }
    }

    /// Applies a forwarder's deposit and demand for one incarnation; returns the grant, if any.
    fn apply_lease_report(
        &mut self,
        now: Time,
        from: Epoch,
        echoed: Option<Time>,
        lease_report: &LeaseReport,
    ) -> Option<Grant> {
        let incarnation = &lease_report.incarnation;
        let is_listed = self
            .hosts
            .get(&incarnation.host)
            .is_some_and(|host| host.started == incarnation.started);
        let has_capacity = self.pools.len() < MAX_POOLS || self.pools.contains_key(incarnation);
        if !is_listed || !has_capacity {
            self.counters.unlisted += 1;
            return None;
        }
        let pool = self.pools.entry(incarnation.clone()).or_default();
        pool.set_own_quota(self.own_quota, now, self.own_quota_from);
        // Without a stamp of this run, the planner can't tell when the deposit began.
        if let Some(echoed) = echoed.filter(|_| lease_report.deposit > QuotaFraction::NONE) {
            pool.add_deposit(self.lease_terms, now, from, lease_report.deposit, echoed);
        }
        pool.record_in_flight(now, from, lease_report.in_flight);
        let amount = pool.grant(self.lease_terms, now, from, lease_report.demand);
        if amount == QuotaFraction::NONE {
            return None;
        }
        self.counters.grants += 1;
        Some(Grant {
            incarnation: incarnation.clone(),
            amount,
            lasts_ms: self.lease_terms.grant_duration.ms() as u32,
        })
    }

    /// Returns the demand and load of other forwarders at the warming hosts of a report.
    fn peer_summaries(&self, report: &Report) -> Vec<PeerSummary> {
        let from = report.envelope.from;
        report
            .lease_reports
            .iter()
            .filter_map(|lease_report| self.pools.get_key_value(&lease_report.incarnation))
            .map(|(incarnation, pool)| PeerSummary {
                incarnation: incarnation.clone(),
                demanded: pool.is_demanded_by_peers(from),
                peers_in_flight: pool.peers_in_flight(from),
            })
            .collect()
    }
}
