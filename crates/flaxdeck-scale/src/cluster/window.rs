//! The measurement window of a run: samples all processes at its beginning and its end.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::Cluster;
use crate::error::RunError;
use crate::measurement::Role;
use crate::messages::{CoordinatorOrder, CoordinatorReply};
use crate::monotonic;
use crate::options::{MessageCount, MessageTotals};
use crate::processes::{Process, ProcessKind};
use crate::report::{MESSAGE_KINDS, ProcessWindow};
use crate::service;
use crate::usage::{self, Counters, MachineTime, Usage};

/// How long the last requests may take after the drain time.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_secs(4);
/// How often the clients are checked for pending requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The measurements of the window.
pub(crate) struct Window {
    /// The beginning and the end of the window, in microseconds of the monotonic clock.
    pub(crate) from_us: u64,
    pub(crate) until_us: u64,
    pub(crate) processes: Vec<ProcessWindow>,
    /// The idle fraction of the machine's processor time; `None` where the system does not report it.
    pub(crate) idle_fraction: Option<f64>,
}

/// Usage and counters of one process at one moment.
struct ProcessSample {
    process: u32,
    role: Role,
    instances: u32,
    usage: Usage,
    counters: Counters,
}

impl ProcessSample {
    /// Combines this sample with the earlier one of the same process; `None` if the process was started in between, as
    /// its counters began at 0 then.
    fn window_since(self, before: &[ProcessSample], seconds: f64) -> Option<ProcessWindow> {
        let mut before = before.iter();
        let before = before.find(|before| before.process == self.process)?;
        Some(ProcessWindow {
            role: self.role,
            instances: self.instances,
            seconds,
            usage_before: before.usage,
            usage_after: self.usage,
            counters_before: before.counters.clone(),
            counters_after: self.counters,
        })
    }
}

impl Cluster<'_> {
    /// Starts events and load, measures over the window with the fault in it, and stops the events.
    pub(crate) async fn measure(&mut self, progress: &dyn Fn(&str)) -> Result<Window, RunError> {
        progress("settling");
        self.start_events().await?;
        progress("measuring");
        let started = Instant::now();
        let from_us = monotonic::now_us();
        let before = self.sample();
        let machine_before = usage::read_machine_time();
        self.run_window(started).await?;
        let seconds = started.elapsed().as_secs_f64();
        let until_us = monotonic::now_us();
        let after = self.sample();
        let machine_after = usage::read_machine_time();
        self.stop_events().await?;
        progress("draining");
        self.drain().await;
        let processes = after
            .into_iter()
            .filter_map(|after| after.window_since(&before, seconds));
        Ok(Window {
            from_us,
            until_us,
            processes: processes.collect(),
            idle_fraction: machine_before
                .zip(machine_after)
                .map(|(before, after)| idle_fraction(before, after)),
        })
    }

    /// Starts events and load, and waits for the settling time.
    async fn start_events(&mut self) -> Result<(), RunError> {
        let times = self.options.scenario.times;
        self.order_coordinator(CoordinatorOrder::Begin).await?;
        if let Some(service) = &mut self.service {
            let addresses: Vec<_> = self.real.iter().map(|real| real.address).collect();
            let seconds = times.settle_s + times.window_s;
            service.start_load(&addresses, seconds, self.options.seed);
            self.next_purge = Some(Instant::now());
        }
        self.wait_until(after(Instant::now(), times.settle_s)).await
    }

    /// Waits for the end of the window and injects the fault within it.
    async fn run_window(&mut self, started: Instant) -> Result<(), RunError> {
        if let Some(fault) = self.options.fault {
            self.wait_until(after(started, fault.at_s)).await?;
            let until = after(started, fault.at_s + fault.lasts_s);
            self.inject(fault, until).await?;
        }
        let window_s = self.options.scenario.times.window_s;
        self.wait_until(after(started, window_s)).await?;
        self.next_purge = None;
        Ok(())
    }

    async fn stop_events(&mut self) -> Result<(), RunError> {
        self.order_coordinator(CoordinatorOrder::Stop).await?;
        match self.coordinator.process.read_reply().await? {
            CoordinatorReply::Stopped { .. } => Ok(()),
            _ => {
                let mismatch = "a reply other than Stopped to the order Stop";
                Err(RunError::CoordinatorReply(mismatch.to_owned()))
            }
        }
    }

    /// Waits for the drain time, so that late events arrive, and then for responses to the last requests.
    async fn drain(&self) {
        let drain_s = self.options.scenario.times.drain_s;
        sleep(Duration::from_secs_f64(drain_s)).await;
        let Some(service) = &self.service else {
            return;
        };
        let limit = Instant::now() + LAST_RESPONSES_TIMEOUT;
        while !service.is_done() && Instant::now() < limit {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a time; meanwhile orders the purges of objects that clients request, each when it is due.
    pub(super) async fn wait_until(&mut self, until: Instant) -> Result<(), RunError> {
        while let Some(due) = self.next_purge.filter(|due| *due < until) {
            sleep_until(due).await;
            if let Some(service) = &mut self.service {
                let object = service.purge_random_object();
                self.order_coordinator(CoordinatorOrder::Purge { object })
                    .await?;
            }
            self.next_purge = Some(due + service::purge_interval());
        }
        sleep_until(until).await;
        Ok(())
    }

    /// Returns how many messages and bytes of each kind senders and receivers have counted since the start.
    pub(crate) fn message_totals(&self) -> Vec<MessageTotals> {
        let counters: Vec<Counters> = self
            .processes()
            .filter_map(|process| usage::last_counters(&process.counters))
            .collect();
        let sum = |name: String| {
            let values = counters
                .iter()
                .filter_map(|process| process.values.get(&name));
            values.sum::<u64>()
        };
        let count = |kind: &str, direction: &str| MessageCount {
            messages: sum(format!("{kind}_messages_{direction}")),
            bytes: sum(format!("{kind}_bytes_{direction}")),
        };
        let totals = |kind: &&'static str| MessageTotals {
            kind,
            sent: count(kind, "out"),
            received: count(kind, "in"),
        };
        MESSAGE_KINDS.iter().map(totals).collect()
    }

    /// Samples all current processes.
    fn sample(&self) -> Vec<ProcessSample> {
        self.processes().filter_map(sample).collect()
    }
}

fn sample(process: &Process) -> Option<ProcessSample> {
    let (role, instances) = match process.kind {
        ProcessKind::Coordinator => (Role::Coordinator, 1),
        ProcessKind::Planner(_) => (Role::Planner, 1),
        ProcessKind::Hollow(count) => (Role::HollowForwarder, count),
        ProcessKind::RealForwarder(_) => (Role::RealForwarder, 1),
    };
    Some(ProcessSample {
        process: process.id,
        role,
        instances,
        counters: usage::last_counters(&process.counters).unwrap_or_default(),
        usage: usage::read_process_usage(process.id)?,
    })
}

fn after(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

/// Returns the idle fraction of the machine's processor time between two samples.
fn idle_fraction(before: MachineTime, after: MachineTime) -> f64 {
    let all = after.all.saturating_sub(before.all) as f64;
    let idle = after.idle.saturating_sub(before.idle) as f64;
    idle / all.max(1.0)
}
