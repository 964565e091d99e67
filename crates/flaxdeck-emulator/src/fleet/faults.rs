//! Fault injection: faults as data, and what carries them out.

use std::time::Duration;

use super::Fleet;
use super::process::Signal;
use crate::error::EmulatorError;
use crate::proxy::LinkState;
use crate::state::FailureMode;

/// One fault or recovery. Forwarders and planners are given by index from 0, hosts and objects by id.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills a planner.
    KillPlanner(usize),
    /// Restarts a planner.
    StartPlanner(usize),
    /// Suspends a planner's process, with its sockets open, until `ThawPlanner`.
    FreezePlanner(usize),
    /// Resumes a suspended planner.
    ThawPlanner(usize),
    /// Kills a forwarder.
    KillForwarder(usize),
    /// Restarts a forwarder.
    StartForwarder(usize),
    /// Suspends a forwarder's process, with its sockets open, until `ThawForwarder`.
    FreezeForwarder(usize),
    /// Resumes a suspended forwarder.
    ThawForwarder(usize),
    /// Deletes a forwarder's stored state.
    LoseState(usize),
    /// Sets the wall clock of all processes started from now on ahead by this many milliseconds.
    SkewClocks(i64),
    /// Sets the state of the link between a forwarder (first index) and a planner (second index).
    PlannerLink(usize, usize, LinkState),
    /// Sets the state of the link between a forwarder and the coordinator.
    CoordinatorLink(usize, LinkState),
    /// The coordinator publishes that a host drains.
    Drain(String),
    /// The coordinator publishes that a host is in service; the host itself does not restart.
    Announce(String),
    /// Crashes a host. The coordinator does not publish it.
    KillHost(String),
    /// Restarts a host, cold and with an empty cache, and the coordinator publishes it.
    RestartHost(String),
    /// Sets how a host answers.
    HostFailureMode(String, FailureMode),
    /// The coordinator publishes a purge of an object.
    Purge(String),
    /// Makes the coordinator send nothing (`true`) or resume sending (`false`).
    SilenceCoordinator(bool),
    /// Lets this time pass between two events that the coordinator sends on a connection.
    PaceCoordinator(Duration),
    /// Restarts the coordinator with a numbering that begins at 1 again.
    LoseNumbering,
    /// Restarts the coordinator in its state of this many events ago.
    RollBackCoordinator(u64),
    /// Restarts the coordinator with its numbering advanced by this much.
    JumpAhead(u64),
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds since the start of the world.
    pub at_ms: f64,
    /// The fault.
    pub fault: Fault,
}

impl From<(f64, Fault)> for ScheduledFault {
    fn from((at_ms, fault): (f64, Fault)) -> ScheduledFault {
        ScheduledFault { at_ms, fault }
    }
}

impl Fleet {
    /// Injects one fault now.
    ///
    /// # Errors
    ///
    /// If a program or a host can't be restarted.
    pub fn inject(&mut self, fault: &Fault) -> Result<(), EmulatorError> {
        match fault {
            Fault::StartPlanner(planner) => return self.start_planner(*planner),
            Fault::StartForwarder(forwarder) => return self.start_forwarder(*forwarder),
            Fault::RestartHost(host) => return self.world.restart_host(host),
            Fault::KillPlanner(planner) => self.kill_planner(*planner),
            Fault::KillForwarder(forwarder) => self.kill_forwarder(*forwarder),
            Fault::FreezePlanner(planner) => self.signal_planner(*planner, Signal::Stop),
            Fault::ThawPlanner(planner) => self.signal_planner(*planner, Signal::Continue),
            Fault::FreezeForwarder(forwarder) => self.signal_forwarder(*forwarder, Signal::Stop),
            Fault::ThawForwarder(forwarder) => {
                self.signal_forwarder(*forwarder, Signal::Continue);
            }
            Fault::LoseState(forwarder) => {
                // There may be no stored state.
                let _ = std::fs::remove_dir_all(self.state_folder(*forwarder));
            }
            Fault::SkewClocks(ms) => self.clock_skew_ms = *ms,
            Fault::PlannerLink(forwarder, planner, state) => {
                self.planner_links[*forwarder][*planner].set(*state);
            }
            Fault::CoordinatorLink(forwarder, state) => {
                self.coordinator_links[*forwarder].set(*state);
            }
            Fault::Drain(host) => self.world.drain_host(host),
            Fault::Announce(host) => self.world.announce_host(host),
            Fault::KillHost(host) => self.world.kill_host(host),
            Fault::HostFailureMode(host, mode) => self.world.set_failure_mode(host, *mode),
            Fault::Purge(object) => self.world.purge(object),
            Fault::PaceCoordinator(pace) => self.world.set_coordinator_pace(*pace),
            Fault::SilenceCoordinator(silent) => self.world.silence_coordinator(*silent),
            Fault::LoseNumbering => self.world.lose_numbering(),
            Fault::RollBackCoordinator(events) => self.world.roll_back_coordinator(*events),
            Fault::JumpAhead(events) => self.world.jump_ahead(*events),
        }
        Ok(())
    }

    /// Injects the faults of a script in order, each at its time.
    ///
    /// # Errors
    ///
    /// If a program or a host can't be restarted; the rest of the script is not played.
    pub fn play<S>(&mut self, script: &[S]) -> Result<(), EmulatorError>
    where
        S: Clone + Into<ScheduledFault>,
    {
        for step in script {
            let ScheduledFault { at_ms, fault } = step.clone().into();
            self.world.wait_until(at_ms);
            self.inject(&fault)?;
        }
        Ok(())
    }

    /// Kills a planner. Its address stays in `planner_addresses`, for its restart.
    fn kill_planner(&mut self, planner: usize) {
        if let Some(mut process) = self.planners[planner].take() {
            process.kill();
        }
    }

    /// Kills a forwarder. Its entry stays in `forwarders`, so that it restarts at the same address.
    fn kill_forwarder(&mut self, forwarder: usize) {
        if let Some(process) = &mut self.forwarders[forwarder] {
            process.kill();
        }
    }

    fn signal_planner(&self, planner: usize, signal: Signal) {
        if let Some(process) = &self.planners[planner] {
            process.signal(signal);
        }
    }

    fn signal_forwarder(&self, forwarder: usize, signal: Signal) {
        if let Some(process) = &self.forwarders[forwarder] {
            process.signal(signal);
        }
    }
}
