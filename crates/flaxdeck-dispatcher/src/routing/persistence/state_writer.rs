//! The state to be stored, and when what of it goes to the thread that writes it.

use std::cell::{Cell, RefCell};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use flaxdeck::{Observation, Span, Time};
use flaxdeck_channel::watch::Event;
use flaxdeck_net::clock::Clock;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::stored_state::{StateChange, StoredState, Uptime};
use flaxdeck_recovery::{EventPosition, stored_state};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::conversion::{is_measured, state_change, stored_rating, uptime};
use super::writer_thread::{WriteEvent, WriteJob};
use super::{StateDirectory, writer_thread};

/// Jobs that may wait for the disk; past that a whole snapshot takes their place.
const MAX_QUEUED_JOBS: usize = 1_024;
/// Between snapshots: what was observed of hosts in the last of it is lost by a kill.
const SNAPSHOT_INTERVAL: Span = Span::from_ms(2_000);
/// How long the end of the process waits for the last snapshot.
const FINAL_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(200);
/// Added to the stored end of a lease, so that rounding never makes it earlier than it is.
const LEASE_ROUNDING_MS: u64 = 10;

/// Owns the state to be stored and the queue to the thread that writes it. At the end of the process
/// [`StateWriter::store_final`] is owed; a run that is killed loses what [`SNAPSHOT_INTERVAL`] says.
pub(crate) struct StateWriter {
    clock: Clock,
    state: RefCell<StoredState>,
    /// The time that a purge takes to settle at all hosts.
    purge_settles: Span,
    jobs: SyncSender<WriteJob>,
    /// The queue was full: what it missed comes with the next snapshot.
    is_behind: Cell<bool>,
    next_snapshot: Cell<Time>,
    /// The permission to lend that was asked for and not answered.
    pending_permission: Cell<Option<Time>>,
}

impl StateWriter {
    /// Starts the thread, which first writes what is known now: these events, up to that position. Gives what the thread
    /// answers too.
    pub(crate) fn start(
        directory: &StateDirectory,
        clock: Clock,
        purge_settles: Span,
        events: &[Event],
        position: EventPosition,
    ) -> (StateWriter, UnboundedReceiver<WriteEvent>) {
        let mut state = StoredState {
            written: uptime(),
            last_event: position,
            ..StoredState::default()
        };
        for event in events {
            state.apply(state_change(position, event));
        }
        state.forget_settled(clock.now(), purge_settles);
        let (jobs, queue) = sync_channel(MAX_QUEUED_JOBS);
        let (answers, events) = unbounded_channel();
        let first = stored_state::encode(&state);
        let directory = directory.clone();
        // The thread ends with the process: it may be in a write that no signal interrupts.
        thread::spawn(move || writer_thread::run(&directory, &first, queue, &answers));
        let writer = StateWriter {
            clock,
            state: RefCell::new(state),
            purge_settles,
            jobs,
            is_behind: Cell::new(false),
            next_snapshot: Cell::new(clock.now() + SNAPSHOT_INTERVAL),
            pending_permission: Cell::new(None),
        };
        (writer, events)
    }

    fn enqueue(&self, job: WriteJob) {
        if let Err(TrySendError::Full(_)) = self.jobs.try_send(job) {
            count(Counter::state_behind);
            self.is_behind.set(true);
        }
    }

    /// Stores an event that was applied.
    pub(crate) fn store_event(&self, position: EventPosition, event: &Event) {
        let change = state_change(position, event);
        self.enqueue(WriteJob::Record(stored_state::encode(&change)));
        self.state.borrow_mut().apply(change);
    }

    /// Stores that something may be lent until then, unless such a permission is on its way. The answer is
    /// [`WriteEvent::LendPermission`].
    pub(crate) fn request_lend_permission(&self, until: Time) {
        let now = self.clock.now();
        if self
            .pending_permission
            .get()
            .is_some_and(|pending| pending > now)
        {
            return;
        }
        self.pending_permission.set(Some(until));
        let uptime = uptime();
        let change = StateChange::LendingPermit(Uptime {
            ms: uptime.ms + until.since(now).ms().ceil() as u64 + LEASE_ROUNDING_MS,
            ..uptime
        });
        let record = stored_state::encode(&change);
        self.enqueue(WriteJob::LendPermission { record, until });
        self.state.borrow_mut().apply(change);
    }

    /// The permission that was asked for is on the disk.
    pub(crate) fn permission_granted(&self) {
        self.pending_permission.set(None);
    }

    fn snapshot(&self, observations: &[Observation]) -> Vec<u8> {
        let now = self.clock.now();
        let ratings = observations
            .iter()
            .filter(|observation| is_measured(observation))
            .map(|observation| stored_rating(now, observation))
            .collect();
        let mut state = self.state.borrow_mut();
        state.forget_settled(now, self.purge_settles);
        state.written = uptime();
        state.ratings = ratings;
        stored_state::encode(&*state)
    }

    /// Stores a whole state if it is time, or if some change found no room in the queue.
    pub(crate) fn store_snapshot_if_needed(&self, observations: &[Observation]) {
        let now = self.clock.now();
        if now >= self.next_snapshot.get() || self.is_behind.replace(false) {
            self.next_snapshot.set(now + SNAPSHOT_INTERVAL);
            self.enqueue(WriteJob::Snapshot(self.snapshot(observations)));
        }
    }

    /// Stores a last whole state, and waits for the disk a little.
    pub(crate) fn store_final(&self, observations: &[Observation]) {
        let (done, written) = sync_channel(1);
        let state = self.snapshot(observations);
        self.enqueue(WriteJob::FinalSnapshot { state, done });
        let _ = written.recv_timeout(FINAL_SNAPSHOT_TIMEOUT); // what it does not take by then is as after a kill
    }
}
