//! Keeps a connection to each planner, in a task of its own, and applies the messages that arrive on it.

use std::rc::Rc;

use flaxdeck::Span;
use flaxdeck_channel::connection;
use flaxdeck_channel::connection::{CloseReason, Connection, Receiver};
use flaxdeck_channel::messages::FromPlanner;
use flaxdeck_control::membership::PlannerId;
use flaxdeck_net::clock;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::ReconnectBackoff;
use tokio::time::sleep;

use super::ControlClient;
use crate::routing::Router;

/// The shortest pause before a planner is connected to again: about the time of one or two reports.
const MIN_BACKOFF: Span = Span::from_ms(150);
/// The longest pause: as long as a planner may be silent before another planner takes over the leases of its hosts.
const MAX_BACKOFF: Span = Span::from_ms(1000);

/// Keeps a connection to the planner, reconnecting with a backoff, until the client is stopped.
pub(super) async fn maintain_connection(
    client: Rc<ControlClient>,
    router: Rc<Router>,
    planner: PlannerId,
) {
    let address = client.options.planners[planner.0 as usize];
    let number = planner.0;
    let seed = client.seed ^ (u64::from(number) + 1) << 32;
    let mut backoff = ReconnectBackoff::new(seed, MIN_BACKOFF, MAX_BACKOFF);
    loop {
        count(Counter::planners_connects);
        match connection::connect(address, &client.options.key).await {
            Ok(connected) => {
                log::info!("planner {number} at {address} is connected");
                backoff.answered(router.clock.now());
                let reason = client.run_session(&router, planner, connected).await;
                log::warn!("planner {number} at {address}: the conversation is over: {reason}");
            }
            Err(error) if error.is_refusal() => {
                count(Counter::planners_refused);
                log::warn!("planner {number} at {address} is refused: {error}");
            }
            Err(error) => {
                log::debug!("connecting to planner {number} at {address} failed: {error}")
            }
        }
        // Once no planner can be reached, only the coordinator is left as a source of events.
        if client.planners.mark_unreachable(planner) {
            client.expedited_reconnect.expedite();
        }
        sleep(clock::to_duration(backoff.pause(router.clock.now(), false))).await;
    }
}

impl ControlClient {
    /// Runs the session with the planner until the connection ends; returns the reason for its end.
    async fn run_session(
        &self,
        router: &Router,
        planner: PlannerId,
        connection: Connection,
    ) -> CloseReason {
        self.session.connection_opened(planner);
        self.planners.opened(planner, connection.sender);
        self.report_now();
        self.planner_connected(router, planner);
        let reason = self.receive(router, planner, connection.receiver).await;
        self.planners.closed(planner);
        self.planner_disconnected(router, planner);
        reason
    }

    /// Applies the planner's messages until the connection ends; returns the reason for its end.
    async fn receive(
        &self,
        router: &Router,
        planner: PlannerId,
        mut receiver: Receiver,
    ) -> CloseReason {
        loop {
            match receiver.receive().await {
                Ok(FromPlanner::Guidance(guidance)) => {
                    self.apply_guidance(router, planner, guidance);
                }
                Ok(FromPlanner::Delivery(delivery)) => {
                    self.apply_delivery(router, planner, delivery);
                }
                Err(reason) => return reason,
            }
        }
    }
}
