//! What can happen in a run, and who handles it.

use flaxdeck::{AttemptOutcome, FillOutcome};
use flaxdeck_control::messages::{Guidance, Report};

use super::{Model, time};
use crate::host::Job;

/// What happens at one instant of a run. `incarnation` counts the starts of a forwarder or the crashes of a host: what was
/// planned before one no longer counts.
pub(super) enum Event {
    /// The next client of a zone comes.
    Arrival { zone: usize },
    /// The next client of a scan comes.
    Scan,
    /// A client retries.
    Retry { operation: u64 },
    /// A client waits no longer for the answer to that request of its operation.
    ClientTimeout { operation: u64, tries: u32 },
    /// A forwarder's decision engine asked to be woken.
    Wake { forwarder: usize, incarnation: u32 },
    /// An attempt reaches its host.
    AttemptReachesHost { attempt: u64 },
    /// An attempt's allowed time is up.
    AttemptTimeout { attempt: u64 },
    /// A fill reaches its source.
    FillReachesSource { source: usize, job: Job },
    /// A fill's source has said nothing for too long.
    SourceTimeout { attempt: u64 },
    /// A host is done with a job.
    JobDone {
        host: usize,
        incarnation: u32,
        job: Job,
    },
    /// The next transfer of a zone's link ends, unless another came or went since that version.
    TransferEnds { zone: usize, version: u64 },
    /// The end of an attempt reaches its forwarder.
    AttemptEnded { attempt: u64 },
    /// The coordinator's event of that number reaches a forwarder.
    CoordinatorToForwarder { forwarder: usize, number: u64 },
    /// The coordinator's event of that number reaches a planner.
    CoordinatorToPlanner { planner: usize, number: u64 },
    /// A forwarder reports to all planners.
    Report { forwarder: usize, incarnation: u32 },
    /// A report reaches a planner.
    ReportReachesPlanner {
        planner: usize,
        forwarder: usize,
        report: Box<Report>,
    },
    /// Guidance reaches a forwarder.
    GuidanceReachesForwarder {
        planner: usize,
        forwarder: usize,
        incarnation: u32,
        guidance: Box<Guidance>,
    },
    /// Hosts and links are sampled for load reports.
    LoadSample,
    /// Hosts have dropped by themselves what was made before that time.
    PurgeSettles { made_before_ms: f64 },
    /// A fault of the scenario begins.
    FaultStarts { fault: usize },
    /// A fault of the scenario ends.
    FaultEnds { fault: usize },
    /// A host restarts.
    Restart { host: usize },
    /// A host is withdrawn, to be restarted.
    Drain { host: usize },
}

impl Model<'_> {
    /// Handles one event.
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Arrival { zone } => self.client_arrives(zone),
            Event::Scan => self.scan_request(),
            Event::Retry { operation } => self.send_request(operation),
            Event::ClientTimeout { operation, tries } => self.client_times_out(operation, tries),
            Event::Wake {
                forwarder,
                incarnation,
            } => self.wake(forwarder, incarnation),
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

    /// Handles an event between coordinator, forwarders and planners.
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
            } => self.report(forwarder, incarnation),
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

    fn wake(&mut self, forwarder: usize, incarnation: u32) {
        if self.forwarders[forwarder].incarnation == incarnation {
            let decisions = self.forwarders[forwarder].engine.wake(time(self.now));
            self.decide(forwarder, decisions);
        }
    }

    fn attempt_times_out(&mut self, id: u64) {
        let attempt = self.attempts.get(&id);
        if attempt.is_some_and(|attempt| attempt.outcome.is_none()) {
            self.end_attempt(id, AttemptOutcome::TimedOut, FillOutcome::Nothing);
        }
    }
}
