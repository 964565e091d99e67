//! Tasks of this thread's `LocalSet` with an owner that ends them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use tokio::task::{AbortHandle, spawn_local};

type Handles = RefCell<BTreeMap<u64, AbortHandle>>;

/// The tasks that one owner has started and that have not ended. Those left are aborted by [`TaskSet::abort_all`], or
/// when the set is dropped.
///
/// Unlike tokio's `JoinSet`, nobody has to reap tasks that have ended: each takes its own entry out. That keeps it out of
/// the way of a request, whose task is spawned while a client's connection is read.
#[derive(Default)]
pub(super) struct TaskSet {
    running: Rc<Handles>,
    next: Cell<u64>,
}

impl TaskSet {
    /// Starts a task on the `LocalSet` that is running.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let number = self.next.get();
        self.next.set(number + 1);
        let entry = Entry {
            running: Rc::downgrade(&self.running),
            number,
        };
        let handle = spawn_local(async move {
            let _entry = entry;
            task.await;
        });
        self.running
            .borrow_mut()
            .insert(number, handle.abort_handle());
    }

    /// Ends all tasks at their next turn.
    pub(super) fn abort_all(&self) {
        for task in self.running.borrow().values() {
            task.abort();
        }
    }
}

impl Drop for TaskSet {
    fn drop(&mut self) {
        self.abort_all();
    }
}

/// A task's entry in its set, taken out when the task ends, also by a panic.
struct Entry {
    running: Weak<Handles>,
    number: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(running) = self.running.upgrade() {
            running.borrow_mut().remove(&self.number);
        }
    }
}
