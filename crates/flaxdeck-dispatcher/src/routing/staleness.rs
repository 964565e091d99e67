//! Reports to the decision engine when the coordinator was last heard, in a dispatcher without planners. A forwarder
//! has its session with the planners for that.

use std::rc::Rc;

use flaxdeck::polled::Input;
use flaxdeck::{Span, Time};
use flaxdeck_channel::watch::LastHeard;
use flaxdeck_net::metrics::{Counter, count};
use tokio::time::sleep_until;

use super::Router;

impl Router {
    /// Reports each change, and logs when the endpoint list expires and when it is valid again, until the router's
    /// tasks are aborted.
    pub(super) async fn follow_last_heard(self: Rc<Router>, last_heard: Rc<LastHeard>) {
        let mut is_expired = false;
        loop {
            self.report(Input::EventsConfirmed {
                at: self.last_heard_time(&last_heard),
            });
            let expires = self.engine.borrow().list_valid_until();
            if is_expired && self.clock.now() < expires {
                is_expired = false;
                log::warn!("the coordinator is heard again, the endpoint list is valid");
            }
            tokio::select! {
                () = last_heard.changed() => {}
                () = sleep_until(self.clock.instant(expires)), if !is_expired => {
                    is_expired = self.clock.now() >= expires;
                    if is_expired {
                        count(Counter::list_expired);
                        log::error!(
                            "the coordinator was not heard for {:.0} ms: hosts may have begun to drain, so nothing \
                             new is sent",
                            last_heard.at().elapsed().as_secs_f64() * 1000.0
                        );
                    }
                }
            }
        }
    }

    fn last_heard_time(&self, last_heard: &LastHeard) -> Time {
        let ago = Span::of_ms(last_heard.at().elapsed().as_secs_f64() * 1000.0);
        self.clock.now() - ago
    }
}
