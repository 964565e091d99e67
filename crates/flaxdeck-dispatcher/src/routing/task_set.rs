//! Sets of tasks on this thread's `LocalSet`, each with an owner that aborts them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use tokio::task::{AbortHandle, spawn_local};

type Handles = RefCell<BTreeMap<u64, AbortHandle>>;

/// The running tasks of one owner. They are aborted by [`TaskSet::abort_all`], or when the set is dropped.
///
/// Unlike with tokio's `JoinSet`, no caller has to reap tasks that have ended: each removes its own entry. So spawning
/// the task of a request, which happens while a client connection is being read, takes no time for clean-up.
#[derive(Default)]
pub(super) struct TaskSet {
    running: Rc<Handles>,
    next: Cell<u64>,
}

impl TaskSet {
    /// Spawns a task on the current `LocalSet`.
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

    /// Aborts all tasks; each ends when the `LocalSet` runs it next.
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

/// A task's entry in its set. Dropping it removes the entry, so that happens when the task ends, is aborted or panics.
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
