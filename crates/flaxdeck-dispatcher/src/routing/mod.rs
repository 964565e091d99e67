//! Requests on their way: a task each, the table of all, and the decision engine that decides. Nothing here knows how
//! anything is written on a connection.
//!
//! The [`Router`] owns the decision engine and everything that outlasts a request: the table of requests, the client
//! connections, the connections to hosts and the budgets. `events` applies what the coordinator announces, whoever
//! brought it; `coordinator` follows the coordinator itself; `control_client` holds the conversations with planners and
//! all state of a forwarder that a lone dispatcher does not have; `persistence` stores that state on disk.
//!
//! All of it runs on one thread and one `LocalSet`. No cell is borrowed across an await. [`Router::shut_down`] is owed
//! at the end: the router's tasks hold it alive until then.

mod client_connections;
mod clients;
mod control_client;
mod coordinator;
mod events;
mod persistence;
mod request_table;
mod requests;
mod task_set;

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::polled::{Input, PolledEngine, Step};
use flaxdeck::{AttemptIndex, Clearance, DeploymentTerms, RequestId, Span, Time, ZoneId};
use flaxdeck_channel::watch::Watch;
use flaxdeck_net::budget::{Bounds, Budget};
use flaxdeck_net::clock::Clock;
use flaxdeck_terms::{ConnectionTerms, Names};
use tokio::sync::Notify;
use tokio::time::{Instant, interval, sleep_until};

pub(crate) use clients::accept;
pub use control_client::{ControlClientOptions, SubscriptionOptions};
pub use events::{AppliedEvents, EventListener};
pub use persistence::StateDirectory;
pub(crate) use persistence::restore;

use crate::protocol::host_connections::HostConnections;
use client_connections::ClientConnections;
use control_client::ControlClient;
use coordinator::LaterConfiguration;
use request_table::RequestTable;
use task_set::TaskSet;

/// Between looks for connections to hosts that have been idle too long.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Routes the requests of this process.
pub(crate) struct Router {
    clock: Clock,
    engine: RefCell<PolledEngine>,
    /// The time at which the decision engine wants its tick has changed.
    tick_changed: Notify,
    requests: RequestTable,
    names: Rc<Names>,
    zone: ZoneId,
    /// How long it takes until hosts have dropped by themselves what was purged.
    purge_settles: Span,
    /// The connections to hosts.
    host_connections: Rc<HostConnections>,
    /// A permit for each request until its answer is written.
    slots: Budget,
    /// Bytes that open requests hold, as they were asked.
    request_bytes: Rc<Budget>,
    /// Bytes that open requests hold, as they are answered.
    answer_bytes: Rc<Budget>,
    clients: ClientConnections,
    /// What a later configuration says of the coordinator, until the watch has taken it over.
    later_configuration: RefCell<Option<LaterConfiguration>>,
    configuration_changed: Notify,
    /// Set once, before any event is applied, if planners guide this router.
    control_client: OnceCell<Rc<ControlClient>>,
    event_listener: RefCell<Option<EventListener>>,
    /// Those that follow the coordinator and give the decision engine its ticks.
    tasks: TaskSet,
}

impl Router {
    /// A router that knows no host yet and takes no clients.
    pub(crate) fn new(
        clock: Clock,
        seed: u64,
        terms: DeploymentTerms,
        names: Rc<Names>,
        connection_terms: ConnectionTerms,
        bounds: Bounds,
    ) -> Rc<Router> {
        let answer_bytes = Rc::new(Budget::new(bounds.response_bytes));
        let (zone, purge_settles) = (terms.zone, terms.purge_settles);
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
            slots: Budget::new(bounds.requests),
            request_bytes: Rc::new(Budget::new(bounds.request_bytes)),
            answer_bytes,
            clients: ClientConnections::new(bounds.clients),
            later_configuration: RefCell::new(None),
            configuration_changed: Notify::new(),
            control_client: OnceCell::new(),
            event_listener: RefCell::new(None),
            tasks: TaskSet::default(),
        })
    }

    /// Starts to follow the coordinator and to give the decision engine its ticks. To be called once.
    pub(crate) fn start_tasks(self: &Rc<Router>, watch: Watch) {
        self.tasks.spawn(self.clone().follow_coordinator(watch));
        self.tasks.spawn(self.clone().drive_ticks());
    }

    /// Stores a last state, if state is stored, and ends all tasks of the router and its control client.
    pub(crate) fn shut_down(&self) {
        if let Some(client) = self.control_client.get() {
            client.store_final_state(self);
        }
        self.stop_tasks();
    }

    /// Ends all tasks of the router and its control client, with no word to anybody.
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

    /// Waits until clients are to be taken: at once for a lone dispatcher, for a forwarder once somebody confirms the
    /// endpoint list, or as the operator's file says.
    pub(crate) async fn wait_until_ready(&self) {
        if let Some(client) = self.control_client.get() {
            client.wait_until_ready(self).await;
        }
    }

    /// Planners with a connection that is up.
    pub(crate) fn connected_planners(&self) -> usize {
        self.control_client
            .get()
            .map_or(0, |client| client.connected_planners())
    }

    /// The state of the conversations with planners as a line for the log; none without planners.
    pub(crate) fn guidance_line(&self) -> Option<String> {
        let client = self.control_client.get()?;
        Some(client.status_line(self))
    }

    /// Requests that are open or whose answers are not written yet, client connections, host connections.
    pub(crate) fn load(&self) -> [usize; 3] {
        [
            self.slots.in_use(),
            self.clients.budget.in_use(),
            self.host_connections.connections(),
        ]
    }

    /// Nothing is left to be taken in or answered.
    pub(crate) fn at_rest(&self) -> bool {
        self.slots.in_use() == 0 && !self.clients.has_unread()
    }

    /// No connection of a client is left.
    pub(crate) fn is_alone(&self) -> bool {
        self.clients.is_empty()
    }

    /// Ends all connections of clients, those too that are accepted from now on.
    pub(crate) fn end_clients(&self) {
        self.clients.close();
    }

    /// No request outlasts this time.
    pub(crate) fn end_by(&self, time: Time) {
        self.report(Input::ShutdownAt(time));
    }

    /// Tells the decision engine what became known, and wakes the tasks of requests with a step to take.
    fn report(&self, input: Input) {
        let (before, named, after) = {
            let mut engine = self.engine.borrow_mut();
            let before = engine.due();
            let named = engine.report(self.clock.now(), input);
            (before, named, engine.due())
        };
        if before != after {
            self.tick_changed.notify_one();
        }
        self.requests.notify(&named);
    }

    /// A request's next step.
    fn pick(&self, request: RequestId) -> Step {
        self.engine.borrow_mut().pick(request)
    }

    /// Whether an attempt may still be sent, and what it may ask for by now.
    fn clear(&self, request: RequestId, index: AttemptIndex) -> Option<Clearance> {
        self.engine
            .borrow_mut()
            .clear_attempt(self.clock.now(), request, index)
    }

    /// When a client that finds no room may come back.
    fn retry_after(&self) -> Option<Span> {
        self.engine.borrow().retry_after()
    }

    /// Gives the decision engine its ticks, until the router's tasks end.
    async fn drive_ticks(self: Rc<Router>) {
        loop {
            let next = self.engine.borrow().due();
            let next = next.map(|at| self.clock.instant(at));
            tokio::select! {
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    let named = self.engine.borrow_mut().tick(self.clock.now());
                    self.requests.notify(&named);
                }
                () = self.tick_changed.notified() => {}
            }
        }
    }

    /// Closes idle connections to hosts, until it is aborted.
    pub(crate) async fn sweep(self: Rc<Router>) {
        let mut ticks = interval(IDLE_SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.host_connections.close_expired();
        }
    }
}
