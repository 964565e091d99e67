//! The window of a run: what is read of all processes at its beginning and its end.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::Stage;
use crate::measurement::Role;
use crate::messages::{CoordinatorOrder, CoordinatorReply};
use crate::monotonic;
use crate::processes::{Part, Process};
use crate::report::{KINDS, Looks};
use crate::run::BothSides;
use crate::service;
use crate::usage::{self, Counters, Usage};

/// How long the last requests may take beyond the drain.
const ANSWERED_WITHIN: Duration = Duration::from_secs(4);
const LOOK: Duration = Duration::from_millis(20);

/// What was read over the window.
pub struct Measured {
    pub from_us: u64,
    pub until_us: u64,
    pub looks: Vec<Looks>,
    /// The share of the machine that nobody used.
    pub idle: Option<f64>,
}

/// One process as it is at one moment.
struct Look {
    process: u32,
    role: Role,
    instances: u32,
    usage: Usage,
    counters: Counters,
}

impl Look {
    /// Both looks at the process; none if it was started in between, as its counters began anew then.
    fn since(self, before: &[Look], seconds: f64) -> Option<Looks> {
        let before = before
            .iter()
            .find(|before| before.process == self.process)?;
        let Look {
            role,
            instances,
            usage,
            counters,
            ..
        } = self;
        let (usage, counters) = ([before.usage, usage], [before.counters.clone(), counters]);
        Some(Looks {
            role,
            instances,
            seconds,
            usage,
            counters,
        })
    }
}

impl Stage<'_> {
    /// Has events happen, measures over the window, has the fault happen within it.
    pub async fn measure(&mut self, progress: &dyn Fn(&str)) -> Result<Measured, String> {
        let times = self.asked.scenario.times;
        progress("settling");
        self.coordinator.order(&CoordinatorOrder::Begin).await?;
        if let Some(service) = &mut self.service {
            service.load(
                &self.real_at,
                times.settle_s + times.window_s,
                self.asked.seed,
            );
            self.next_purge = Some(Instant::now());
        }
        self.pass_until(Instant::now() + Duration::from_secs_f64(times.settle_s))
            .await?;
        progress("measuring");
        let (begun, from_us) = (Instant::now(), monotonic::now_us());
        let (first, machine) = (self.look(), usage::machine());
        if let Some(fault) = self.asked.fault {
            self.pass_until(begun + Duration::from_secs_f64(fault.at_s))
                .await?;
            self.cause(
                fault,
                begun + Duration::from_secs_f64(fault.at_s + fault.lasts_s),
            )
            .await?;
        }
        self.pass_until(begun + Duration::from_secs_f64(times.window_s))
            .await?;
        self.next_purge = None;
        let (seconds, until_us) = (begun.elapsed().as_secs_f64(), monotonic::now_us());
        let (second, idle) = (self.look(), machine.zip(usage::machine()).map(idle_share));
        self.coordinator.order(&CoordinatorOrder::Stop).await?;
        let CoordinatorReply::Stopped { .. } = self.coordinator.reply().await? else {
            return Err("the coordinator said something else than that it has stopped".into());
        };
        progress("draining");
        sleep(Duration::from_secs_f64(times.drain_s)).await;
        let answered_by = Instant::now() + ANSWERED_WITHIN;
        while self
            .service
            .as_ref()
            .is_some_and(|service| !service.is_done())
            && Instant::now() < answered_by
        {
            sleep(LOOK).await;
        }
        let looks = second
            .into_iter()
            .filter_map(|after| after.since(&first, seconds))
            .collect();
        Ok(Measured {
            from_us,
            until_us,
            looks,
            idle,
        })
    }

    /// Lets time pass, with purges of what clients ask for when they are due.
    pub(super) async fn pass_until(&mut self, until: Instant) -> Result<(), String> {
        while let Some(due) = self.next_purge.filter(|due| *due < until) {
            sleep_until(due).await;
            if let Some(service) = &mut self.service {
                let object = service.purge();
                self.coordinator
                    .order(&CoordinatorOrder::Purge { object })
                    .await?;
            }
            self.next_purge = Some(due + service::between_purges());
        }
        sleep_until(until).await;
        Ok(())
    }

    /// What both sides have counted of each kind since the start.
    pub fn both_sides(&self) -> Vec<BothSides> {
        let all: Vec<Counters> = self
            .processes()
            .filter_map(|process| usage::last_counters(&process.counters))
            .collect();
        let sum = |name: String| {
            all.iter()
                .filter_map(|counters| counters.values.get(&name))
                .sum::<u64>()
        };
        let side = |kind: &str, way: &str| {
            ["messages", "bytes"].map(|what| sum(format!("{kind}_{what}_{way}")))
        };
        KINDS
            .iter()
            .map(|kind| BothSides {
                kind,
                sent: side(kind, "out"),
                received: side(kind, "in"),
            })
            .collect()
    }

    /// Reads all processes as they are now.
    fn look(&self) -> Vec<Look> {
        let look = |process: &Process| {
            let (role, instances) = match process.part {
                Part::Coordinator => (Role::Coordinator, 1),
                Part::Planner(_) => (Role::Planner, 1),
                Part::Hollow(count) => (Role::HollowForwarder, count),
                Part::RealForwarder(_) => (Role::RealForwarder, 1),
            };
            let counters = usage::last_counters(&process.counters).unwrap_or_default();
            usage::of(process.id).map(|usage| Look {
                process: process.id,
                role,
                instances,
                usage,
                counters,
            })
        };
        self.processes().filter_map(look).collect()
    }
}

/// The part of all processor time between two looks that nobody used.
fn idle_share((before, after): ([u64; 2], [u64; 2])) -> f64 {
    let [all, idle] = [0, 1].map(|at| after[at].saturating_sub(before[at]) as f64);
    idle / all.max(1.0)
}
