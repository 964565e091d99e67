//! The table of open requests, and the tasks that serve them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use flaxdeck::{ClientRequestId, ObjectId, RequestId};
use flaxdeck_net::metrics::assert_invariant;
use tokio::sync::Notify;

use super::task_set::TaskSet;

/// The state of an open request that code outside its task may read and change.
pub(super) struct OpenRequest {
    /// The requested object.
    pub(super) object: ObjectId,
    /// Notified when the decision engine has a step for the request, or the client has left.
    pub(super) notify: Notify,
    /// Set when the client no longer waits for the answer.
    pub(super) client_left: Cell<bool>,
}

/// Owns the entries of open requests, from their arrival to their answers, and the tasks that serve them. A task lasts
/// until all attempts of its request have ended.
#[derive(Default)]
pub(super) struct RequestTable {
    open: RefCell<BTreeMap<RequestId, Rc<OpenRequest>>>,
    /// The clients' ids of all requests whose tasks still run.
    client_ids: RefCell<BTreeSet<ClientRequestId>>,
    next: Cell<u64>,
    /// One task for each request.
    pub(super) tasks: TaskSet,
}

impl RequestTable {
    /// Returns an id that no other request of this process has.
    pub(super) fn next_id(&self) -> RequestId {
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        id
    }

    /// Adds an open request, with the id that the client gave it.
    pub(super) fn open(
        &self,
        id: RequestId,
        client_id: ClientRequestId,
        object: ObjectId,
    ) -> Rc<OpenRequest> {
        let request = Rc::new(OpenRequest {
            object,
            notify: Notify::new(),
            client_left: Cell::new(false),
        });
        self.open.borrow_mut().insert(id, request.clone());
        assert_invariant(
            self.client_ids.borrow_mut().insert(client_id),
            "no two open requests have the same client id",
        );
        request
    }

    /// Removes a request that is answered, or whose client has left.
    pub(super) fn close(&self, id: RequestId) {
        self.open.borrow_mut().remove(&id);
    }

    /// Frees a client's id once all attempts of its request have ended, so that another request may use it.
    pub(super) fn release_client_id(&self, client_id: ClientRequestId) {
        self.client_ids.borrow_mut().remove(&client_id);
    }

    /// Whether a request with that client id is open or has attempts that have not ended.
    pub(super) fn has_client_id(&self, client_id: ClientRequestId) -> bool {
        self.client_ids.borrow().contains(&client_id)
    }

    /// Whether the request is waiting for its answer.
    pub(super) fn is_open(&self, id: RequestId) -> bool {
        self.open.borrow().contains_key(&id)
    }

    /// Marks a request, if it is open, as one whose client has left, and wakes its task.
    pub(super) fn mark_client_left(&self, id: RequestId) {
        if let Some(request) = self.open.borrow().get(&id) {
            request.client_left.set(true);
            request.notify.notify_one();
        }
    }

    /// Wakes the tasks of these requests, which have steps to pick.
    pub(super) fn notify(&self, ids: &[RequestId]) {
        let open = self.open.borrow();
        for request in ids.iter().filter_map(|id| open.get(id)) {
            request.notify.notify_one();
        }
    }

    /// Returns the objects of all open requests.
    pub(super) fn objects(&self) -> Vec<ObjectId> {
        self.open
            .borrow()
            .values()
            .map(|request| request.object)
            .collect()
    }
}
