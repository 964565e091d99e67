//! The events of a run, and their dispatch to handlers.

use flaxdeck::{AttemptOutcome, FillOutcome};
use flaxdeck_control::messages::{Guidance, Report};

use super::{Model, time};
use crate::host::Job;

/// An event of a run. `incarnation` counts the restarts of a forwarder or the crashes of a host; an event scheduled
/// under an earlier incarnation is ignored.
pub(super) enum Event {
    /// The next client arrives in a zone.
    Arrival { zone: usize },
    /// The next operation of a scan begins.
    Scan,
    /// A client retries an operation.
    Retry { operation: u64 },
    /// A client stops waiting for the answer to a request; `tries` says which request of the operation it is.
    ClientTimeout { operation: u64, tries: u32 },
    /// The time has come at which a forwarder's decision engine asked to be woken.
    Wake { forwarder: usize, incarnation: u32 },
    /// An attempt arrives at its host.
    AttemptReachesHost { attempt: u64 },
    /// The time allowed for an attempt is over.
    AttemptTimeout { attempt: u64 },
    /// A fill request arrives at its source.
    FillReachesSource { source: usize, job: Job },
    /// A fill's source has not answered within the time-out.
    SourceTimeout { attempt: u64 },
    /// A host finishes a job.
    JobDone {
        host: usize,
        incarnation: u32,
        job: Job,
    },
    /// The next transfer on a zone's link ends; ignored if transfers have started or ended since `version`.
    TransferEnds { zone: usize, version: u64 },
    /// The outcome of an attempt reaches its forwarder.
    AttemptEnded { attempt: u64 },
    /// The coordinator's event number `number` arrives at a forwarder.
    CoordinatorToForwarder { forwarder: usize, number: u64 },
    /// The coordinator's event number `number` arrives at a planner.
    CoordinatorToPlanner { planner: usize, number: u64 },
    /// A forwarder sends reports to all planners that it can reach.
    Report { forwarder: usize, incarnation: u32 },
    /// A report arrives at a planner.
    ReportReachesPlanner {
        planner: usize,
        forwarder: usize,
        report: Box<Report>,
    },
    /// Guidance arrives at a forwarder.
    GuidanceReachesForwarder {
        planner: usize,
        forwarder: usize,
        incarnation: u32,
        guidance: Box<Guidance>,
    },
    /// The load of hosts and links is sampled for load reports.
    LoadSample,
    /// A purge takes effect at the hosts, which drop all copies made before this time.
    PurgeSettles { made_before_ms: f64 },
    /// A fault of the scenario begins.
    FaultStarts { fault: usize },
    /// A fault of the scenario ends.
    FaultEnds { fault: usize },
    /// A host restarts.
    Restart { host: usize },
    /// A host is withdrawn and restarts later.
    Drain { host: usize },
}

impl Model<'_> {
    /// Handles an event.
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Arrival { zone } => self.client_arrives(zone),
            Event::Scan => self.scan_request(),
            Event::Retry { operation } => self.send_request(operation),
            Event::ClientTimeout { operation, tries } => self.client_times_out(operation, tries),
            Event::Wake {
                forwarder,
                incarnation,
            } => self.wake_engine(forwarder, incarnation),
            Event::AttemptReachesHost { attempt } => self.attempt_reaches_host(attempt),
            Event::AttemptTimeout { attempt } => self.attempt_times_out(attempt),
            Event::FillReachesSource { source, job } => self.fill_reaches_source(source, job),
            Event::SourceTimeout { attempt } => {
                self.fill_failed(attempt, FillOutcome::SourceUnreached);
            }
            Event::JobDone {
                host,
                incarnation,
                job,
            } => {
                if self.hosts[host].incarnation == incarnation {
                    self.job_done(host, job);
                }
            }
            Event::TransferEnds { zone, version } => self.transfer_ends(zone, version),
            Event::AttemptEnded { attempt } => self.attempt_ended(attempt),
            Event::LoadSample => self.sample_load(),
            Event::PurgeSettles { made_before_ms } => {
                for host in &mut self.hosts {
                    host.cache.purge(made_before_ms);
                }
            }
            Event::FaultStarts { fault } => self.start_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::Restart { host } => self.restart_host(host),
            Event::Drain { host } => self.drain_host(host),
            Event::CoordinatorToForwarder { .. }
            | Event::CoordinatorToPlanner { .. }
            | Event::Report { .. }
            | Event::ReportReachesPlanner { .. }
            | Event::GuidanceReachesForwarder { .. } => self.dispatch_control(event),
        }
    }

    /// Handles an event of the control plane: between the coordinator, forwarders and planners.
    fn dispatch_control(&mut self, event: Event) {
        match event {
            Event::CoordinatorToForwarder { forwarder, number } => {
                self.forwarder_receives_event(forwarder, number);
            }
            Event::CoordinatorToPlanner { planner, number } => {
                self.planner_receives_event(planner, number);
            }
            Event::Report {
                forwarder,
                incarnation,
            } => self.send_reports(forwarder, incarnation),
            Event::ReportReachesPlanner {
                planner,
                forwarder,
                report,
            } => self.planner_receives_report(planner, forwarder, &report),
            Event::GuidanceReachesForwarder {
                planner,
                forwarder,
                incarnation,
                guidance,
            } => self.forwarder_receives_guidance(forwarder, planner, incarnation, *guidance),
            _ => {}
        }
    }

    fn wake_engine(&mut self, forwarder: usize, incarnation: u32) {
        if self.forwarders[forwarder].incarnation == incarnation {
            let decisions = self.forwarders[forwarder].engine.wake(time(self.now));
            self.apply_decisions(forwarder, decisions);
        }
    }

    fn attempt_times_out(&mut self, id: u64) {
        let attempt = self.attempts.get(&id);
        if attempt.is_some_and(|attempt| attempt.outcome.is_none()) {
            self.end_attempt(id, AttemptOutcome::TimedOut, FillOutcome::Nothing);
        }
    }
}
