//! Reports to the decision engine as of when all events of the coordinator are known, in a dispatcher without planners.
//! A forwarder has its session with the planners for that.

use std::rc::Rc;

use flaxdeck::polled::Input;
use flaxdeck_channel::watch::Completeness;
use flaxdeck_net::metrics::{Counter, count};
use tokio::time::sleep_until;

use super::Router;

impl Router {
    /// Reports each change, and logs when the endpoint list expires and when it is valid again, until the router's
    /// tasks are aborted.
    pub(super) async fn follow_completeness(self: Rc<Router>, completeness: Rc<Completeness>) {
        let by_configuration = completeness.by_configuration(&self.clock);
        let mut is_expired = false;
        loop {
            let by_heartbeat = completeness.by_heartbeat(&self.clock);
            let as_of = by_heartbeat.unwrap_or(by_configuration);
            self.report(Input::EventsConfirmed(as_of));
            let expires = self.engine.borrow().list_valid_until();
            if is_expired && self.clock.now() < expires {
                is_expired = false;
                log::warn!("the coordinator is heard again, the endpoint list is valid");
            }
            tokio::select! {
                () = completeness.changed() => {}
                () = sleep_until(self.clock.instant(expires)), if !is_expired => {
                    is_expired = self.clock.now() >= expires;
                    if is_expired {
                        count(Counter::list_expired);
                        log::error!(
                            "the coordinator was not heard for {:.0} ms: hosts may have begun to drain, so nothing \
                             new is sent",
                            self.clock.now().since(as_of.time()).ms()
                        );
                    }
                }
            }
        }
    }
}
