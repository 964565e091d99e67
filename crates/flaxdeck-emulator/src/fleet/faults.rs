//! Faults as data, and their injection.

use super::Fleet;
use super::process::Signal;
use crate::error::EmulatorError;
use crate::proxy::LinkState;
use crate::state::FailureMode;

/// One fault. Forwarders and planners are named by their indices from 0, hosts and objects by their ids.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A planner is killed.
    KillPlanner(usize),
    /// A planner restarts.
    StartPlanner(usize),
    /// A planner stands still with its sockets open, until it is thawed.
    FreezePlanner(usize),
    /// A frozen planner goes on.
    ThawPlanner(usize),
    /// A forwarder is killed.
    KillForwarder(usize),
    /// A forwarder restarts.
    StartForwarder(usize),
    /// A forwarder stands still with its sockets open, until it is thawed.
    FreezeForwarder(usize),
    /// A frozen forwarder goes on.
    ThawForwarder(usize),
    /// What a forwarder keeps is gone.
    LoseState(usize),
    /// All processes that start from now on have a wall clock so many milliseconds ahead.
    SkewClocks(i64),
    /// The link between a forwarder and a planner, in that order.
    PlannerLink(usize, usize, LinkState),
    /// The link between a forwarder and the coordinator.
    CoordinatorLink(usize, LinkState),
    /// The coordinator announces that a host drains.
    Drain(String),
    /// The coordinator announces that a host is in service, as it is.
    Announce(String),
    /// A host crashes, and is listed as gone after a while by whoever plays the coordinator.
    KillHost(String),
    /// A host starts anew, empty and cold, and is listed so.
    RestartHost(String),
    /// A host answers differently.
    HostFailureMode(String, FailureMode),
    /// An object is purged.
    Purge(String),
    /// The coordinator says nothing more, or speaks again.
    SilenceCoordinator(bool),
    /// The coordinator restarts and numbers from 1 again.
    LoseNumbering,
    /// The coordinator restarts from what it knew so many events ago.
    RollBackCoordinator(u64),
    /// The coordinator restarts and numbers so much further on.
    JumpAhead(u64),
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds of the world.
    pub at_ms: f64,
    /// What happens then.
    pub fault: Fault,
}

impl From<(f64, Fault)> for ScheduledFault {
    fn from((at_ms, fault): (f64, Fault)) -> ScheduledFault {
        ScheduledFault { at_ms, fault }
    }
}

impl Fleet {
    /// Has one fault happen now.
    ///
    /// # Errors
    ///
    /// If a program or a host doesn't restart.
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
                // There may be none.
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
            Fault::SilenceCoordinator(silent) => self.world.silence_coordinator(*silent),
            Fault::LoseNumbering => self.world.lose_numbering(),
            Fault::RollBackCoordinator(events) => self.world.roll_back_coordinator(*events),
            Fault::JumpAhead(events) => self.world.jump_ahead(*events),
        }
        Ok(())
    }

    /// Has the faults of a script happen at their times, in order.
    ///
    /// # Errors
    ///
    /// If a program or a host doesn't restart; what comes after it in the script doesn't happen.
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

    /// A planner's address outlives it in the fleet's own list.
    fn kill_planner(&mut self, planner: usize) {
        if let Some(mut process) = self.planners[planner].take() {
            process.kill();
        }
    }

    /// A killed forwarder stays in its place, so that it restarts at its address.
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
