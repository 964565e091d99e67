//! What can happen in a run, and who handles it.

use flaxdeck::{AttemptOutcome, FillOutcome};
use flaxdeck_control::messages::{Guidance, Report};

use super::{Model, time};
use crate::hosts::Job;

/// What happens at one instant of a run. `run` counts the starts of a forwarder or host: what was planned before a
/// restart no longer counts.
pub(super) enum Event {
    /// The next client of a location comes.
    Arrival { zone: usize },
    /// The next client of a scan comes.
    Scan,
    /// A client retries.
    Try { want: u64 },
    /// A client waits no longer for that try.
    ClientStops { want: u64, tries: u32 },
    /// A forwarder's decision engine asked to be woken.
    Wake { forwarder: usize, run: u32 },
    /// An attempt reaches its host.
    AtHost { attempt: u64 },
    /// An attempt's allowed time is up.
    TimeUp { attempt: u64 },
    /// A fill reaches its source: a parent or the origin, asked by a cache, or (`behind`) the origin, asked by a parent.
    FillAt {
        attempt: u64,
        source: usize,
        behind: bool,
    },
    /// A fill's source has said nothing for too long.
    SourceSilent { attempt: u64 },
    /// A host is done with a job.
    Served { host: usize, run: u32, job: Job },
    /// The next transfer of a location's link ends, unless another came or went since that turn.
    TransferEnds { zone: usize, turn: u64 },
    /// Word that an attempt has ended reaches its forwarder.
    AttemptEnded { attempt: u64 },
    /// The coordinator's event of that number reaches a forwarder.
    ForwarderHears { forwarder: usize, number: u64 },
    /// The coordinator's event of that number reaches a planner.
    PlannerHears { planner: usize, number: u64 },
    /// A forwarder reports to all planners.
    Report { forwarder: usize, run: u32 },
    /// A report reaches a planner.
    Reported {
        planner: usize,
        forwarder: usize,
        report: Box<Report>,
    },
    /// Guidance reaches a forwarder.
    Guided {
        planner: usize,
        forwarder: usize,
        run: u32,
        guidance: Box<Guidance>,
    },
    /// Hosts and links are sampled for what they tell of their load.
    Samples,
    /// Hosts have dropped by themselves what was made before that time.
    PurgeSettles { made: f64 },
    /// A fault of the shape begins.
    FaultBegins { fault: usize },
    /// A fault of the shape ends.
    FaultEnds { fault: usize },
    /// A host starts again.
    Restart { host: usize },
    /// A host is withdrawn, to be started again.
    Drain { host: usize },
}

impl Model<'_> {
    /// Handles one event.
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Arrival { zone } => self.client_comes(zone),
            Event::Scan => self.scan_comes(),
            Event::Try { want } => self.try_want(want),
            Event::ClientStops { want, tries } => self.client_stops(want, tries),
            Event::Wake { forwarder, run } => self.wake(forwarder, run),
            Event::AtHost { attempt } => self.at_host(attempt),
            Event::TimeUp { attempt } => self.time_up(attempt),
            Event::FillAt {
                attempt,
                source,
                behind,
            } => {
                let job = if behind {
                    Job::Behind(attempt)
                } else {
                    Job::Fill(attempt)
                };
                self.fill_at(attempt, source, job);
            }
            Event::SourceSilent { attempt } => {
                self.fill_failed(attempt, FillOutcome::SourceUnreached)
            }
            Event::Served { host, run, job } => {
                if self.hosts[host].run == run {
                    self.served(host, job);
                }
            }
            Event::TransferEnds { zone, turn } => self.transfer_ends(zone, turn),
            Event::AttemptEnded { attempt } => self.ended(attempt),
            Event::ForwarderHears { forwarder, number } => self.forwarder_hears(forwarder, number),
            Event::PlannerHears { planner, number } => self.planner_hears(planner, number),
            Event::Report { forwarder, run } => self.report(forwarder, run),
            Event::Reported {
                planner,
                forwarder,
                report,
            } => self.reported(planner, forwarder, &report),
            Event::Guided {
                planner,
                forwarder,
                run,
                guidance,
            } => {
                self.guided(forwarder, planner, run, *guidance);
            }
            Event::Samples => self.sample(),
            Event::PurgeSettles { made } => self
                .hosts
                .iter_mut()
                .for_each(|host| host.copies.purge(made)),
            Event::FaultBegins { fault } => self.fault_begins(fault),
            Event::FaultEnds { fault } => self.fault_ends(fault),
            Event::Restart { host } => self.restart(host),
            Event::Drain { host } => self.drain(host),
        }
    }

    fn wake(&mut self, forwarder: usize, run: u32) {
        if self.forwarders[forwarder].run == run {
            let decisions = self.forwarders[forwarder].engine.wake(time(self.now));
            self.decide(forwarder, decisions);
        }
    }

    fn time_up(&mut self, attempt: u64) {
        if self
            .attempts
            .get(&attempt)
            .is_some_and(|attempt| attempt.outcome.is_none())
        {
            self.end(attempt, AttemptOutcome::TimedOut, FillOutcome::Nothing);
        }
    }
}
