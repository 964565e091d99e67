//! The task of one attempt, which ends with the attempt or is aborted by the task of its request.

use std::cell::Cell;
use std::rc::Rc;

use flaxdeck::{Attempt, AttemptIndex, Clearance, RequestId, Span};
use flaxdeck_net::budget::Permit;
use flaxdeck_wire::{AttemptOptions, ClientRequest, HostReply};
use tokio::time::Instant;

use super::Router;
use crate::protocol::attempt::ClearedAttempt;

/// The result of an attempt's task.
pub(super) struct EndedAttempt {
    pub(super) index: AttemptIndex,
    pub(super) reply: HostReply,
    /// The memory that the answer's body holds.
    pub(super) bytes: Option<Permit>,
}

/// Carries out one attempt: waits for a connection to the host, sends the request and reads the reply.
pub(super) struct AttemptTask {
    pub(super) router: Rc<Router>,
    pub(super) request: RequestId,
    pub(super) index: AttemptIndex,
    pub(super) client_request: Rc<ClientRequest>,
    pub(super) attempt: Attempt,
    pub(super) until: Instant,
    /// Set just before the first byte is written to the host.
    pub(super) is_write_started: Rc<Cell<bool>>,
}

impl AttemptTask {
    pub(super) async fn run(self) -> EndedAttempt {
        let clear = || self.clear();
        let received = self
            .router
            .host_connections
            .attempt(
                &self.attempt.host,
                &self.client_request,
                self.until,
                clear,
                &self.is_write_started,
            )
            .await;
        EndedAttempt {
            index: self.index,
            reply: received.host_reply,
            bytes: received.permit,
        }
    }

    /// Returns the options of the attempt if it is sent now, and by when its last byte has to be written; none if it
    /// may not be sent any more.
    fn clear(&self) -> Option<ClearedAttempt<'_>> {
        let Clearance { oldest, sent_by } = self.router.clear_attempt(self.request, self.index)?;
        let remaining = self.until.checked_duration_since(Instant::now())?;
        let attempt = &self.attempt;
        let options = AttemptOptions {
            class: &self.router.names.classes[self.client_request.class.0],
            timeout: Span::of_ms(remaining.as_secs_f64() * 1000.0),
            source: Some(&attempt.source).filter(|source| **source != attempt.host),
            retention_rank: attempt.keep,
            new_connection: attempt.fresh,
            max_age: oldest,
            join: attempt.join,
            only_cached: attempt.only_held,
            revalidate: attempt.renew,
        };
        Some(ClearedAttempt {
            options,
            sent_by: self.until.min(self.router.clock.instant(sent_by)),
        })
    }
}
