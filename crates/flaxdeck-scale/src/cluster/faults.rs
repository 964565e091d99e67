//! What goes wrong in a run.

use std::fs;
use std::time::Duration;

use flaxdeck_emulator::LinkState;
use rustix::process::Signal;
use tokio::time::Instant;

use super::start::platform_settings;
use super::{Cluster, write_file};
use crate::error::RunError;
use crate::messages::{CoordinatorOrder, CoordinatorReply};
use crate::scenario::{Fault, FaultKind};

/// Slow readers run for so long, ...
const SLOW_RUNS: Duration = Duration::from_millis(200);
/// ... and then stand still for so long.
const SLOW_STOPS: Duration = Duration::from_millis(800);
/// By how much purges come more often in a storm.
const STORM_FACTOR: f64 = 10.0;

impl Cluster<'_> {
    /// Has a fault happen now and end at that time.
    pub(super) async fn inject(&mut self, fault: Fault, until: Instant) -> Result<(), RunError> {
        match fault.kind {
            FaultKind::PlannerKilled => self.kill_planner(until).await,
            FaultKind::PlannerHung => self.hang_planner(until).await,
            FaultKind::RegionRestarted => self.restart_hollow_process().await,
            FaultKind::CoordinatorForgets => self.order_coordinator(CoordinatorOrder::Forget).await,
            FaultKind::CoordinatorSilent => self.silence_coordinator(until).await,
            FaultKind::LinkCut => self.cut_link(until).await,
            FaultKind::SlowReaders => self.slow_readers(until).await,
            FaultKind::PurgeStorm => self.purge_storm(until).await,
        }
    }

    pub(super) async fn order_coordinator(
        &mut self,
        order: CoordinatorOrder,
    ) -> Result<(), RunError> {
        Ok(self.coordinator.process.order(&order).await?)
    }

    async fn kill_planner(&mut self, until: Instant) -> Result<(), RunError> {
        self.planners[0].process.kill().await;
        self.pass_until(until).await?;
        let address = self.planners[0].address;
        self.planners[0].process = self.start_planner(0, address).await?.process;
        Ok(())
    }

    async fn hang_planner(&mut self, until: Instant) -> Result<(), RunError> {
        self.planners[0].process.signal(Signal::STOP);
        self.pass_until(until).await?;
        self.planners[0].process.signal(Signal::CONT);
        Ok(())
    }

    /// What a silent coordinator would have announced counts as announced only some seconds later, by the platform's
    /// page: no purge that clients could notice is made meanwhile.
    async fn silence_coordinator(&mut self, until: Instant) -> Result<(), RunError> {
        let next_purge = self.next_purge.take();
        self.order_coordinator(CoordinatorOrder::Silent(true))
            .await?;
        self.pass_until(until).await?;
        self.order_coordinator(CoordinatorOrder::Silent(false))
            .await?;
        self.next_purge = next_purge.map(|_| until);
        Ok(())
    }

    async fn cut_link(&mut self, until: Instant) -> Result<(), RunError> {
        self.set_link(LinkState::Cut);
        self.pass_until(until).await?;
        self.set_link(LinkState::Up);
        Ok(())
    }

    fn set_link(&self, state: LinkState) {
        if let Some(link) = &self.link {
            link.set(state);
        }
    }

    async fn slow_readers(&mut self, until: Instant) -> Result<(), RunError> {
        while Instant::now() < until {
            self.hollow[0].process.signal(Signal::STOP);
            self.pass_until(Instant::now() + SLOW_STOPS).await?;
            self.hollow[0].process.signal(Signal::CONT);
            self.pass_until(Instant::now() + SLOW_RUNS).await?;
        }
        Ok(())
    }

    async fn purge_storm(&mut self, until: Instant) -> Result<(), RunError> {
        self.order_coordinator(CoordinatorOrder::PurgeRateTimes(STORM_FACTOR))
            .await?;
        self.pass_until(until).await?;
        self.order_coordinator(CoordinatorOrder::PurgeRateTimes(1.0))
            .await
    }

    /// Kills all hollow forwarders of the first process and starts as many at once, from a configuration of now.
    async fn restart_hollow_process(&mut self) -> Result<(), RunError> {
        let path = self.folder.join("known.json");
        self.order_coordinator(CoordinatorOrder::WriteKnown(path.clone()))
            .await?;
        match self.coordinator.process.reply().await? {
            CoordinatorReply::Written => {}
            _ => {
                let said = "something else than that its file is written";
                return Err(RunError::CoordinatorReply(said.to_owned()));
            }
        }
        let text = fs::read_to_string(&path).map_err(RunError::file(&path))?;
        let known = serde_json::from_str(&text).map_err(RunError::KnownEvents)?;
        let configuration = self.configuration(known, platform_settings(&self.options.point));
        let path = self.folder.join("restart.json");
        write_file(&path, &configuration.to_string())?;
        self.hollow[0].process.kill().await;
        let count = self.hollow[0].log.count;
        let restarted = self.start_hollow_process(count, "restart.json", "first.plan")?;
        let earlier = std::mem::replace(&mut self.hollow[0], restarted);
        self.killed.push(earlier.log);
        Ok(())
    }
}
