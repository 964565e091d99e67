//! Collects the state to be stored and sends it to the thread that writes it, as records of changes and as snapshots.

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

/// The most jobs that may wait for the disk; those beyond it are dropped, and the next snapshot replaces them.
const MAX_QUEUED_JOBS: usize = 1_024;
/// The interval between snapshots. Observations of hosts since the last one are lost when the process is killed.
const SNAPSHOT_INTERVAL: Span = Span::from_ms(2_000);
/// How long the process waits at its end for the final snapshot to be written.
const FINAL_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(200);
/// Added to the stored end of a lending permit, so that rounding never makes it earlier than it is.
const LEASE_ROUNDING_MS: u64 = 10;

/// Owns the state to be stored and the queue to the thread that writes it. [`StateWriter::store_final`] has to be
/// called at the end of the process; a process that is killed loses the observations of up to one
/// [`SNAPSHOT_INTERVAL`].
pub(crate) struct StateWriter {
    clock: Clock,
    state: RefCell<StoredState>,
    /// The time after which hosts have dropped purged copies by themselves.
    purge_settles: Span,
    jobs: SyncSender<WriteJob>,
    /// Set when a job was dropped because the queue was full: a snapshot is stored at the next opportunity.
    is_behind: Cell<bool>,
    next_snapshot: Cell<Time>,
    /// The end of the lending permit that was requested and is not yet stored.
    pending_permit: Cell<Option<Time>>,
}

impl StateWriter {
    /// Starts the thread, which first writes a snapshot of `events`, the state at `position`. Also returns the channel
    /// of the thread's answers.
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
        // The thread is never joined, since it may be in a write that no signal interrupts; it ends with the process.
        thread::spawn(move || writer_thread::run(&directory, &first, queue, &answers));
        let writer = StateWriter {
            clock,
            state: RefCell::new(state),
            purge_settles,
            jobs,
            is_behind: Cell::new(false),
            next_snapshot: Cell::new(clock.now() + SNAPSHOT_INTERVAL),
            pending_permit: Cell::new(None),
        };
        (writer, events)
    }

    fn enqueue(&self, job: WriteJob) {
        if let Err(TrySendError::Full(_)) = self.jobs.try_send(job) {
            count(Counter::state_behind);
            self.is_behind.set(true);
        }
    }

    /// Stores an event that is applied at that position.
    pub(crate) fn store_event(&self, position: EventPosition, event: &Event) {
        let change = state_change(position, event);
        self.enqueue(WriteJob::Record(stored_state::encode(&change)));
        self.state.borrow_mut().apply(change);
    }

    /// Stores that quota may be lent until that time, unless a permit that has not run out is already on its way to the
    /// disk. The answer is [`WriteEvent::LendingPermit`].
    pub(crate) fn request_lending_permit(&self, until: Time) {
        let now = self.clock.now();
        if self
            .pending_permit
            .get()
            .is_some_and(|pending| pending > now)
        {
            return;
        }
        self.pending_permit.set(Some(until));
        let uptime = uptime();
        let change = StateChange::LendingPermit(Uptime {
            ms: uptime.ms + until.since(now).ms().ceil() as u64 + LEASE_ROUNDING_MS,
            ..uptime
        });
        let record = stored_state::encode(&change);
        self.enqueue(WriteJob::LendingPermit { record, until });
        self.state.borrow_mut().apply(change);
    }

    /// Notes that the requested lending permit is stored.
    pub(crate) fn lending_permit_stored(&self) {
        self.pending_permit.set(None);
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

    /// Stores a snapshot if one is due, or if the queue was full since the last one.
    pub(crate) fn store_snapshot_if_needed(&self, observations: &[Observation]) {
        let now = self.clock.now();
        if now >= self.next_snapshot.get() || self.is_behind.replace(false) {
            self.next_snapshot.set(now + SNAPSHOT_INTERVAL);
            self.enqueue(WriteJob::Snapshot(self.snapshot(observations)));
        }
    }

    /// Stores the final snapshot, and waits up to [`FINAL_SNAPSHOT_TIMEOUT`] until it is written.
    pub(crate) fn store_final(&self, observations: &[Observation]) {
        let (done, written) = sync_channel(1);
        let state = self.snapshot(observations);
        self.enqueue(WriteJob::FinalSnapshot { state, done });
        let _ = written.recv_timeout(FINAL_SNAPSHOT_TIMEOUT); // on a timeout, the state is as after a kill
    }
}
