//! Injects the fault of a run.

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

/// How long slow readers run in each cycle.
const SLOW_READER_RUNNING: Duration = Duration::from_millis(200);
/// How long slow readers are stopped in each cycle.
const SLOW_READER_STOPPED: Duration = Duration::from_millis(800);
/// The factor by which the purge rate rises during a purge storm.
const PURGE_STORM_FACTOR: f64 = 10.0;

impl Cluster<'_> {
    /// Injects a fault now; a fault with a duration is undone at `until`.
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
        Ok(self.coordinator.process.send_order(&order).await?)
    }

    async fn kill_planner(&mut self, until: Instant) -> Result<(), RunError> {
        self.planners[0].process.kill().await;
        self.wait_until(until).await?;
        let address = self.planners[0].address;
        self.planners[0].process = self.start_planner(0, address).await?.process;
        Ok(())
    }

    async fn hang_planner(&mut self, until: Instant) -> Result<(), RunError> {
        self.planners[0].process.send_signal(Signal::STOP);
        self.wait_until(until).await?;
        self.planners[0].process.send_signal(Signal::CONT);
        Ok(())
    }

    /// Silences the coordinator. By the platform's documentation, what it would have announced meanwhile counts as
    /// announced only some seconds later, so no object that clients request is purged during the silence.
    async fn silence_coordinator(&mut self, until: Instant) -> Result<(), RunError> {
        let next_purge = self.next_purge.take();
        self.order_coordinator(CoordinatorOrder::Silent(true))
            .await?;
        self.wait_until(until).await?;
        self.order_coordinator(CoordinatorOrder::Silent(false))
            .await?;
        self.next_purge = next_purge.map(|_| until);
        Ok(())
    }

    async fn cut_link(&mut self, until: Instant) -> Result<(), RunError> {
        self.set_link(LinkState::Cut);
        self.wait_until(until).await?;
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
            self.hollow[0].process.send_signal(Signal::STOP);
            self.wait_until(Instant::now() + SLOW_READER_STOPPED)
                .await?;
            self.hollow[0].process.send_signal(Signal::CONT);
            self.wait_until(Instant::now() + SLOW_READER_RUNNING)
                .await?;
        }
        Ok(())
    }

    async fn purge_storm(&mut self, until: Instant) -> Result<(), RunError> {
        self.order_coordinator(CoordinatorOrder::PurgeRateTimes(PURGE_STORM_FACTOR))
            .await?;
        self.wait_until(until).await?;
        self.order_coordinator(CoordinatorOrder::PurgeRateTimes(1.0))
            .await
    }

    /// Kills the first process of hollow forwarders and immediately starts one with as many forwarders, from a
    /// configuration with the coordinator's current state.
    async fn restart_hollow_process(&mut self) -> Result<(), RunError> {
        let path = self.folder.join("known.json");
        self.order_coordinator(CoordinatorOrder::WriteKnown(path.clone()))
            .await?;
        match self.coordinator.process.read_reply().await? {
            CoordinatorReply::Written => {}
            _ => {
                let mismatch = "a reply other than Written to the order WriteKnown";
                return Err(RunError::CoordinatorReply(mismatch.to_owned()));
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
        let killed = std::mem::replace(&mut self.hollow[0], restarted);
        self.killed_logs.push(killed.log);
        Ok(())
    }
}
