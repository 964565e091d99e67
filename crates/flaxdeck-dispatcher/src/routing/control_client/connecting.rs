//! A task for each planner: it holds a connection, and hands on what comes by it.

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

/// The first pause before another attempt to reach a planner: as short as a report or two.
const MIN_BACKOFF: Span = Span::from_ms(150);
/// The longest: as long as a planner may be silent until its hosts' leases are another's.
const MAX_BACKOFF: Span = Span::from_ms(1000);

/// Connects to the planner again and again, until the client is stopped.
pub(super) async fn hold_connection(
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
                let over = client.converse(&router, planner, connected).await;
                log::warn!("planner {number} at {address}: the conversation is over: {over}");
            }
            Err(why) if why.is_refusal() => {
                count(Counter::planners_refused);
                log::warn!("planner {number} at {address} is refused: {why}");
            }
            Err(why) => log::debug!("planner {number} at {address}: {why}"),
        }
        // With the last of them unreached there is nobody to ask but the coordinator.
        if client.planners.unreachable(planner) {
            client.expedited_reconnect.expedite();
        }
        sleep(clock::to_duration(backoff.pause(router.clock.now(), false))).await;
    }
}

impl ControlClient {
    /// Until the connection ends.
    async fn converse(
        &self,
        router: &Router,
        planner: PlannerId,
        connection: Connection,
    ) -> CloseReason {
        self.session.connected(planner);
        self.planners.opened(planner, connection.sender);
        self.report_now();
        self.planner_connected(router, planner);
        let over = self.receive(router, planner, connection.receiver).await;
        self.planners.closed(planner);
        self.planner_disconnected(router, planner);
        over
    }

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
                Err(over) => return over,
            }
        }
    }
}
