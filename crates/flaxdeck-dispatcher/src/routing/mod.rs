//! Serves requests: a task for each, the table of open ones, and the decision engine that chooses every step. The wire
//! formats are handled in `protocol`, not here.
//!
//! The [`Router`] owns the decision engine and everything that outlasts a request: the table of requests, the client
//! connections, the connections to hosts and the budgets. `events` applies the coordinator's events, whether they come
//! from the coordinator or from a planner; `coordinator` follows the coordinator itself; `control_client` holds the
//! sessions with planners and all state that only a forwarder has, not a dispatcher without planners; `persistence`
//! stores that state on disk.
//!
//! Everything runs on one thread and one `LocalSet`. No cell is borrowed across an await. [`Router::shut_down`] has to
//! be called at the end, since the router's tasks hold references to it.

mod answer_sizes;
mod attempt_task;
mod client_connections;
mod clients;
mod control_client;
mod coordinator;
mod events;
mod persistence;
mod request_table;
mod requests;
mod staleness;
mod task_set;

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::polled::{Input, PolledEngine, Step};
use flaxdeck::run_history::RunHistory;
use flaxdeck::{AttemptIndex, Clearance, DeploymentTerms, RequestId, Span, Time, ZoneId};
use flaxdeck_channel::watch::Watch;
use flaxdeck_net::budget::{Bounds, Budget};
use flaxdeck_net::clock::Clock;
use flaxdeck_terms::{ConnectionTerms, Names};
use tokio::sync::Notify;
use tokio::time::{Instant, interval, sleep_until};

pub(crate) use clients::accept_clients;
pub use control_client::{ControlClientOptions, SubscriptionOptions};
pub use events::{AppliedEvents, EventListener};
pub use persistence::StateDirectory;
pub(crate) use persistence::restore;

use crate::protocol::host_connections::HostConnections;
use answer_sizes::AnswerSizes;
use client_connections::ClientConnections;
use control_client::ControlClient;
use coordinator::PendingReload;
use request_table::RequestTable;
use task_set::TaskSet;

/// The interval at which connections to hosts that have been idle too long are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Routes all requests of this process.
pub(crate) struct Router {
    clock: Clock,
    engine: RefCell<PolledEngine>,
    /// Notified when the time of the decision engine's next tick has changed.
    tick_changed: Notify,
    requests: RequestTable,
    names: Rc<Names>,
    zone: ZoneId,
    /// The time after which hosts have dropped purged copies by themselves.
    purge_settles: Span,
    /// The longest time that a client waits for an answer.
    longest_wait: Span,
    answer_sizes: AnswerSizes,
    /// The requests that have ended and must not run a second time.
    run_history: RefCell<RunHistory>,
    host_connections: Rc<HostConnections>,
    /// One permit for each request, held until its answer is written.
    slots: Budget,
    /// Memory for the bodies of open requests, in bytes.
    request_bytes: Rc<Budget>,
    /// Memory for the answers to open requests, in bytes.
    answer_bytes: Rc<Budget>,
    clients: ClientConnections,
    /// The coordinator of a reloaded configuration, until the watch has switched to it.
    pending_reload: RefCell<Option<PendingReload>>,
    reload_requested: Notify,
    /// Set once, before any event is applied, if planners guide this router.
    control_client: OnceCell<Rc<ControlClient>>,
    event_listener: RefCell<Option<EventListener>>,
    /// The tasks that follow the coordinator and give the decision engine its ticks.
    tasks: TaskSet,
}

impl Router {
    /// Creates a router that knows no hosts and serves no clients yet. `flow_bytes_per_s` is the pace of one answer, if
    /// the configuration tells it.
    pub(crate) fn new(
        clock: Clock,
        seed: u64,
        terms: DeploymentTerms,
        names: Rc<Names>,
        connection_terms: ConnectionTerms,
        bounds: Bounds,
        flow_bytes_per_s: Option<f64>,
    ) -> Rc<Router> {
        let answer_bytes = Rc::new(Budget::new(bounds.response_bytes));
        let (zone, purge_settles) = (terms.zone, terms.purge_settles);
        let longest_wait = connection_terms.longest_wait;
        let answer_sizes = AnswerSizes::new(flow_bytes_per_s, &terms);
        let run_history = RunHistory::new(&terms, bounds.remembered_runs);
        Rc::new(Router {
            clock,
            engine: RefCell::new(PolledEngine::start(clock.now(), seed, terms)),
            tick_changed: Notify::new(),
            requests: RequestTable::default(),
            host_connections: HostConnections::new(
                names.clone(),
                connection_terms,
                bounds.hosts,
                answer_bytes.clone(),
            ),
            names,
            zone,
            purge_settles,
            longest_wait,
            answer_sizes,
            run_history: RefCell::new(run_history),
            slots: Budget::new(bounds.requests),
            request_bytes: Rc::new(Budget::new(bounds.request_bytes)),
            answer_bytes,
            clients: ClientConnections::new(bounds.clients),
            pending_reload: RefCell::new(None),
            reload_requested: Notify::new(),
            control_client: OnceCell::new(),
            event_listener: RefCell::new(None),
            tasks: TaskSet::default(),
        })
    }

    /// Starts the tasks that follow the coordinator and give the decision engine its ticks. To be called once.
    pub(crate) fn start_tasks(self: &Rc<Router>, watch: Watch) {
        if !self.is_guided() {
            self.tasks
                .spawn(self.clone().follow_completeness(watch.completeness()));
        }
        self.tasks.spawn(self.clone().follow_coordinator(watch));
        self.tasks.spawn(self.clone().drive_ticks());
    }

    /// Stores a final snapshot, if this run stores its state, and aborts all tasks of the router and its control
    /// client.
    pub(crate) fn shut_down(&self) {
        if let Some(client) = self.control_client.get() {
            client.store_final_state(self);
        }
        self.stop_tasks();
    }

    /// Aborts all tasks of the router and its control client. Neither clients nor planners are notified.
    pub(crate) fn stop_tasks(&self) {
        if let Some(client) = self.control_client.get() {
            client.stop();
        }
        self.clients.tasks.abort_all();
        self.requests.tasks.abort_all();
        self.tasks.abort_all();
    }

    /// Whether planners guide this router.
    pub(crate) fn is_guided(&self) -> bool {
        self.control_client.get().is_some()
    }

    /// Waits until clients may be accepted. A dispatcher without planners may do so at once; a forwarder when the
    /// endpoint list is confirmed, or after the wait that follows from the operator's file.
    pub(crate) async fn wait_until_ready(&self) {
        if let Some(client) = self.control_client.get() {
            client.wait_until_ready(self).await;
        }
    }

    /// Returns the number of planners with an open connection.
    pub(crate) fn connected_planners(&self) -> usize {
        self.control_client
            .get()
            .map_or(0, |client| client.connected_planners())
    }

    /// Returns the state of the sessions with planners as a line for the log; none without planners.
    pub(crate) fn guidance_status(&self) -> Option<String> {
        let client = self.control_client.get()?;
        Some(client.status_line(self))
    }

    /// Returns the number of requests that are open or whose answers are not written yet, of client connections and of
    /// host connections.
    pub(crate) fn load(&self) -> [usize; 3] {
        [
            self.slots.in_use(),
            self.clients.budget.in_use(),
            self.host_connections.connections(),
        ]
    }

    /// Whether no request is open, no answer is waiting to be written and no input of a client is unread.
    pub(crate) fn is_idle(&self) -> bool {
        self.slots.in_use() == 0 && !self.clients.has_pending_input()
    }

    /// Whether no client connection is left.
    pub(crate) fn has_no_clients(&self) -> bool {
        self.clients.is_empty()
    }

    /// Closes all client connections, including those accepted from now on.
    pub(crate) fn close_clients(&self) {
        self.clients.close_all();
    }

    /// Sets the time by which every request has to be answered.
    pub(crate) fn set_shutdown_deadline(&self, time: Time) {
        self.report(Input::ShutdownAt(time));
    }

    /// Reports an input to the decision engine, and wakes the tasks of the requests that have a step to pick.
    fn report(&self, input: Input) {
        let (due_before, ready, due_after) = {
            let mut engine = self.engine.borrow_mut();
            let due_before = engine.due();
            let ready = engine.report(self.clock.now(), input);
            (due_before, ready, engine.due())
        };
        if due_before != due_after {
            self.tick_changed.notify_one();
        }
        self.requests.notify(&ready);
    }

    /// Takes a request's next step from the decision engine.
    fn pick(&self, request: RequestId) -> Step {
        self.engine.borrow_mut().pick(request)
    }

    /// Returns the terms on which an attempt may be sent now; none if it may not be sent any more.
    fn clear_attempt(&self, request: RequestId, index: AttemptIndex) -> Option<Clearance> {
        self.engine
            .borrow_mut()
            .clear_attempt(self.clock.now(), request, index)
    }

    /// Returns the time after which a client rejected for lack of capacity may retry, if one is to be named.
    fn retry_after(&self) -> Option<Span> {
        self.engine.borrow().retry_after()
    }

    /// Gives the decision engine its ticks, until the router's tasks are aborted.
    async fn drive_ticks(self: Rc<Router>) {
        loop {
            let next = self.engine.borrow().due();
            let next = next.map(|at| self.clock.instant(at));
            tokio::select! {
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    let ready = self.engine.borrow_mut().tick(self.clock.now());
                    self.requests.notify(&ready);
                }
                () = self.tick_changed.notified() => {}
            }
        }
    }

    /// Closes connections to hosts that have been idle too long, until it is aborted.
    pub(crate) async fn close_idle_host_connections(self: Rc<Router>) {
        let mut ticks = interval(IDLE_SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.host_connections.close_expired();
        }
    }
}
