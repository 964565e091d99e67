//! How a planner takes in a forwarder's report.

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
    /// Takes in a forwarder's report and answers it with guidance.
    ///
    /// # Errors
    ///
    /// Nothing of the report is taken in, and the reason is counted: [`MessageError::Invalid`], `OutOfOrder`, or
    /// `OldEpoch` where a later run was heard from the forwarder's slot.
    pub fn handle_report(&mut self, now: Time, report: &Report) -> Result<Guidance, MessageError> {
        self.prune(now);
        let seen = self.admit(now, report)?;
        self.counters.reports += 1;
        self.record_forwarder(now, report);
        let written = seen.unwrap_or(now);
        self.record_link(now, written, report);
        let from = report.envelope.from;
        for sample in &report.samples {
            // An age counts from the stamp at the earliest, and no stamp is taken to be older than this.
            let written = written.max(now - REPUBLISH_AFTER);
            if !is_valid_sample(sample) {
                self.counters.invalid_message += 1;
                continue;
            }
            self.record_sample(now, from, written, sample);
        }
        let grants = report
            .lease_reports
            .iter()
            .filter_map(|lease_report| self.apply_lease_report(now, from, seen, lease_report))
            .collect();
        let lends = |lease_report: &LeaseReport| lease_report.deposit > QuotaFraction::NONE;
        if seen.is_some() && report.lease_reports.iter().any(lends) {
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

    /// Whether a report is to be taken in; gives this planner's own stamp that the forwarder had seen, if that is of
    /// this run.
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
        let seen = envelope.echo.filter(|_| is_for_this_run).map(Stamp::time);
        if let Some(echo) = seen.filter(|seen| *seen > now) {
            self.check(Err(InvalidMessage::StampFromTheFuture { echo, now }))?;
        }
        if !is_for_this_run && envelope.to != Epoch::default() {
            self.counters.not_for_us += 1;
        }
        Ok(seen)
    }

    /// Counts an invalid message.
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

    fn record_link(&mut self, now: Time, written: Time, report: &Report) {
        let Some(link) = report.link else { return };
        if is_valid_link(&link) {
            self.links.record(now, written, report.zone, link);
        } else {
            self.counters.invalid_message += 1;
        }
    }

    /// Takes in what a forwarder lends and demands of one incarnation; gives the grant, if any.
    fn apply_lease_report(
        &mut self,
        now: Time,
        from: Epoch,
        seen: Option<Time>,
        lease_report: &LeaseReport,
    ) -> Option<Grant> {
        let incarnation = &lease_report.incarnation;
        let is_listed = self
            .hosts
            .get(&incarnation.host)
            .is_some_and(|host| host.started == incarnation.started);
        let has_room = self.pools.len() < MAX_POOLS || self.pools.contains_key(incarnation);
        if !is_listed || !has_room {
            self.counters.unlisted += 1;
            return None;
        }
        let pool = self.pools.entry(incarnation.clone()).or_default();
        pool.set_own(self.own, now, self.own_from);
        // Without a stamp of this run it can't be told from when a deposit counts.
        if let Some(seen) = seen.filter(|_| lease_report.deposit > QuotaFraction::NONE) {
            pool.add_deposit(self.lease_terms, now, from, lease_report.deposit, seen);
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

    /// What others do at the warming hosts of a report.
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
