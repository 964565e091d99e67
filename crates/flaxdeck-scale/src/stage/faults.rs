//! What goes wrong in a run.

use std::fs;
use std::time::Duration;

use flaxdeck_emulator::LinkState;
use rustix::process::Signal;
use tokio::time::Instant;

use super::start::platform_settings;
use super::{Killed, Stage, write};
use crate::messages::{CoordinatorOrder, CoordinatorReply};
use crate::scenario::{Fault, FaultKind};

/// Slow readers run for the first part of each such span and stand still for the rest.
const SLOW_TURN: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(800)];
/// By how much purges come more often in a storm.
const STORM: f64 = 10.0;

impl Stage<'_> {
    /// Has a fault happen now and end at that time.
    pub(super) async fn cause(&mut self, fault: Fault, until: Instant) -> Result<(), String> {
        match fault.kind {
            FaultKind::PlannerKilled => {
                self.planners[0].kill().await;
                self.pass_until(until).await?;
                let (process, _) = self.start_planner(0, self.planners_at[0]).await?;
                self.planners[0] = process;
            }
            FaultKind::PlannerHung => {
                self.planners[0].signal(Signal::STOP);
                self.pass_until(until).await?;
                self.planners[0].signal(Signal::CONT);
            }
            FaultKind::RegionRestarted => self.restart_region().await?,
            FaultKind::CoordinatorForgets => {
                self.coordinator.order(&CoordinatorOrder::Forget).await?
            }
            FaultKind::CoordinatorSilent => {
                // What a silent coordinator would have told counts as told only some seconds later, by the platform's
                // page: no purge that clients could notice is made meanwhile.
                let next_purge = self.next_purge.take();
                self.coordinator
                    .order(&CoordinatorOrder::Silent(true))
                    .await?;
                self.pass_until(until).await?;
                self.coordinator
                    .order(&CoordinatorOrder::Silent(false))
                    .await?;
                self.next_purge = next_purge.map(|_| until);
            }
            FaultKind::LinkCut => {
                self.wire.iter().for_each(|wire| wire.set(LinkState::Cut));
                self.pass_until(until).await?;
                self.wire.iter().for_each(|wire| wire.set(LinkState::Up));
            }
            FaultKind::SlowReaders => {
                while Instant::now() < until {
                    self.regions[0].process.signal(Signal::STOP);
                    self.pass_until(Instant::now() + SLOW_TURN[1]).await?;
                    self.regions[0].process.signal(Signal::CONT);
                    self.pass_until(Instant::now() + SLOW_TURN[0]).await?;
                }
            }
            FaultKind::PurgeStorm => {
                self.coordinator
                    .order(&CoordinatorOrder::PurgeRateTimes(STORM))
                    .await?;
                self.pass_until(until).await?;
                self.coordinator
                    .order(&CoordinatorOrder::PurgeRateTimes(1.0))
                    .await?;
            }
        }
        Ok(())
    }

    /// Kills all hollow forwarders of the first process and starts as many at once, from a configuration of now.
    async fn restart_region(&mut self) -> Result<(), String> {
        let known = self.folder.join("known.json");
        self.coordinator
            .order(&CoordinatorOrder::WriteKnown(known.clone()))
            .await?;
        let CoordinatorReply::Written = self.coordinator.reply().await? else {
            return Err("the coordinator said something else than that its file is written".into());
        };
        let text =
            fs::read_to_string(&known).map_err(|error| format!("{}: {error}", known.display()))?;
        let known =
            serde_json::from_str(&text).map_err(|error| format!("known events: {error}"))?;
        let configuration = self.configuration(known, platform_settings(&self.asked.point));
        write(
            &self.folder.join("restart.json"),
            &configuration.to_string(),
        )?;
        self.regions[0].process.kill().await;
        let count = self.regions[0].count;
        let region = self.start_region(count, "restart.json", "first.plan")?;
        let old = std::mem::replace(&mut self.regions[0], region);
        self.killed.push(Killed {
            in_force: old.in_force,
            first: old.first,
            count: old.count,
        });
        Ok(())
    }
}
