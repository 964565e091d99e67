//! The table of open requests, and the tasks that serve them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::Bytes;
use flaxdeck::{ObjectId, RequestId};
use flaxdeck_net::metrics::assert_invariant;
use tokio::sync::Notify;

use super::task_set::TaskSet;

/// What others may do with a request while its task serves it.
pub(super) struct OpenRequest {
    /// The object that it asks for.
    pub(super) object: ObjectId,
    /// There is a step to pick, or the client has left.
    pub(super) notify: Notify,
    /// The client waits for no answer any more.
    pub(super) left: Cell<bool>,
}

/// Owns the entries of open requests, from their arrival to their answers, and the tasks that serve them, which last
/// until all attempts are over.
#[derive(Default)]
pub(super) struct RequestTable {
    open: RefCell<BTreeMap<RequestId, Rc<OpenRequest>>>,
    /// What clients call the requests whose attempts are not all over.
    client_ids: RefCell<BTreeSet<Bytes>>,
    next: Cell<u64>,
    /// One for each request.
    pub(super) tasks: TaskSet,
}

impl RequestTable {
    /// A number that no other request of this process has.
    pub(super) fn next_id(&self) -> RequestId {
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        id
    }

    /// Opens a request that the client calls by that id.
    pub(super) fn open(
        &self,
        id: RequestId,
        client_id: Bytes,
        object: ObjectId,
    ) -> Rc<OpenRequest> {
        let request = Rc::new(OpenRequest {
            object,
            notify: Notify::new(),
            left: Cell::new(false),
        });
        self.open.borrow_mut().insert(id, request.clone());
        assert_invariant(
            self.client_ids.borrow_mut().insert(client_id),
            "open requests differ by their ids",
        );
        request
    }

    /// The request has its answer, or needs none any more.
    pub(super) fn close(&self, id: RequestId) {
        self.open.borrow_mut().remove(&id);
    }

    /// All its attempts are over, so another one may be called the same.
    pub(super) fn release_client_id(&self, client_id: &Bytes) {
        self.client_ids.borrow_mut().remove(client_id);
    }

    /// Whether a request is called so, open or with attempts that are not over.
    pub(super) fn has_client_id(&self, client_id: &Bytes) -> bool {
        self.client_ids.borrow().contains(client_id)
    }

    /// Whether the request waits for its answer.
    pub(super) fn is_open(&self, id: RequestId) -> bool {
        self.open.borrow().contains_key(&id)
    }

    /// The client of the request has left.
    pub(super) fn client_left(&self, id: RequestId) {
        if let Some(request) = self.open.borrow().get(&id) {
            request.left.set(true);
            request.notify.notify_one();
        }
    }

    /// There are steps to pick for these.
    pub(super) fn notify(&self, ids: &[RequestId]) {
        let open = self.open.borrow();
        for request in ids.iter().filter_map(|id| open.get(id)) {
            request.notify.notify_one();
        }
    }

    /// The objects that are asked for right now.
    pub(super) fn objects(&self) -> Vec<ObjectId> {
        self.open
            .borrow()
            .values()
            .map(|request| request.object)
            .collect()
    }
}
