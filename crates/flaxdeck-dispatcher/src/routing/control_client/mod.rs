//! The forwarder's side of the control plane: it sends reports to planners, applies the guidance and events that they
//! send, and reports the resulting hints to the decision engine. No request waits for any of this. `flaxdeck-control`
//! decides which guidance is valid and which quotas are lent and granted.
//!
//! A [`ControlClient`] owns all state that a forwarder has beyond that of a dispatcher without planners. Each part is
//! changed only by its own module:
//!
//! | module | state |
//! | --- | --- |
//! | `session` | the session with the planners: leases, freshness of the guidance, due reports |
//! | `planner_connections` | the connections to planners, and which are unreachable |
//! | `endpoint_records` | the endpoint list as last announced, and which endpoints are withheld |
//! | `coordinator_clock` | the offset between the local clock and the coordinator's |
//! | `startup_gate` | the startup phase, and when clients are accepted |
//! | `subscription`, `purges` | the subscription to one planner's events, and unsettled purges |
//!
//! The other modules act on this state: `connecting` keeps a connection to each planner, `reporting` sends reports,
//! `guidance` and `delivery` apply the planners' messages, and `stored_state` restores the state of an earlier run and
//! stores later changes.

mod connecting;
mod coordinator_clock;
mod delivery;
mod endpoint_records;
mod guidance;
mod planner_connections;
mod purges;
mod reporting;
mod session;
mod startup_gate;
mod stored_state;
mod subscription;

use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::{CaughtUpAt, CoordinatorKnowledge, Endpoint, Span, Time};
use flaxdeck_channel::authenticated::Key;
use flaxdeck_channel::watch::{Event, ExpeditedReconnect, Watch};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::Epoch;
use flaxdeck_net::log_limiter::LogLimiter;
use flaxdeck_net::metrics::assert_invariant;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::Numbering;
use flaxdeck_recovery::startup::WithoutContact;
use flaxdeck_wire::frames::AddressedEndpoint;
use tokio::sync::Notify;

use super::Router;
use super::persistence::{StateDirectory, StateWriter};
use super::task_set::TaskSet;
use coordinator_clock::CoordinatorClock;
use endpoint_records::EndpointRecords;
use planner_connections::PlannerConnections;
use session::Session;
use startup_gate::StartupGate;
use subscription::EventSubscription;
pub use subscription::SubscriptionOptions;

/// The options with which a forwarder starts its control side.
#[derive(Clone, Debug)]
pub struct ControlClientOptions {
    /// The addresses of all planners, in the order of the operator's file; a planner's id is its index.
    pub planners: Vec<SocketAddr>,
    /// The key by which forwarders and planners authenticate each other.
    pub key: Key,
    /// The options of the session with the planners.
    pub session: ForwarderOptions,
    /// The interval at which reports to planners may become due.
    pub report_every: Duration,
    /// The options of the subscription to one planner's events; none if the coordinator and all planners send every
    /// event.
    pub subscription: Option<SubscriptionOptions>,
    /// Where this forwarder stores its state; none if it stores none.
    pub state_directory: Option<StateDirectory>,
    /// The file to which the counters of this process are written while it runs, if any.
    pub counters: Option<PathBuf>,
}

/// A forwarder's side of the sessions with its planners. It owns the tasks that run them. [`ControlClient::stop`] has
/// to be called at the end, since the tasks hold references to the client.
pub(super) struct ControlClient {
    options: ControlClientOptions,
    /// Makes the backoff and the choice of a planner differ between forwarders.
    seed: u64,
    session: Session,
    planners: PlannerConnections,
    subscription: Option<EventSubscription>,
    /// The numbering of the applied events, whether they came from the coordinator or a planner. Shared with the watch.
    numbering: Rc<RefCell<Numbering>>,
    endpoints: EndpointRecords,
    coordinator_clock: CoordinatorClock,
    startup: StartupGate,
    /// Limits the lines about planners' messages that are rejected.
    rejection_log: LogLimiter,
    /// Sets how urgent the watch's next connection to the coordinator is.
    expedited_reconnect: Rc<ExpeditedReconnect>,
    /// Notified to have reports sent before the next tick.
    report_requested: Notify,
    /// Set once, when this run begins to store its state; never if it stores none.
    state_writer: OnceCell<StateWriter>,
    tasks: TaskSet,
}

impl ControlClientOptions {
    /// Has the operator's limit on time without contact not outlast the endpoint list.
    fn limit_unconfirmed(&mut self, list_lifetime: Span) {
        let limit = &mut self.session.unconfirmed_limit;
        *limit = limit.map(|limit| limit.min(list_lifetime));
    }

    /// Warns if a planner that hangs makes events later than the settings allow.
    fn warn_of_late_events(&self, shortest_grace: Option<Span>) {
        let (Some(subscription), Some(grace)) = (self.subscription, shortest_grace) else {
            return;
        };
        let delay = subscription.cadence.max_failover_delay();
        if delay > grace {
            log::warn!(
                "events may arrive {:.0} ms late if a planner hangs, the settings allow {:.0} ms: a shorter batch-ms \
                 in the plan keeps to that",
                delay.ms(),
                grace.ms()
            );
        }
    }
}

impl ControlClient {
    fn new(
        router: &Router,
        epoch: Epoch,
        seed: u64,
        mut options: ControlClientOptions,
        watch: &mut Watch,
    ) -> ControlClient {
        let numbering = watch.numbering();
        let expedited_reconnect = watch.expedited_reconnect(!options.planners.is_empty());
        let now = router.clock.now();
        let count = options.planners.len();
        let list_lifetime = router.engine.borrow().list_lifetime();
        options.limit_unconfirmed(list_lifetime);
        options.warn_of_late_events(router.engine.borrow().shortest_event_grace());
        let mut session = ForwarderSession::start(now, epoch, options.session, count as u32);
        session.note_complete(watch.completeness().by_configuration(&router.clock));
        if options.session.unconfirmed_limit.is_some() {
            session.limit_list_lifetime(list_lifetime);
        }
        let subscription = options.subscription.map(|subscription| {
            session.suppress_reports(subscription.report_idle_every);
            EventSubscription::start(now, count as u32, seed, subscription, router.purge_settles)
        });
        watch.set_paused(subscription.is_some());
        let without_contact = options
            .session
            .unconfirmed_limit
            .map_or(WithoutContact::GoOn, WithoutContact::RejectAfter);
        ControlClient {
            options,
            seed,
            session: Session::new(session),
            planners: PlannerConnections::new(count),
            subscription,
            numbering,
            endpoints: EndpointRecords::default(),
            coordinator_clock: CoordinatorClock::default(),
            startup: StartupGate::new(now, without_contact),
            rejection_log: LogLimiter::default(),
            expedited_reconnect,
            report_requested: Notify::new(),
            state_writer: OnceCell::new(),
            tasks: TaskSet::default(),
        }
    }

    fn start_tasks(self: &Rc<ControlClient>, router: &Rc<Router>) {
        for planner in 0..self.options.planners.len() as u32 {
            self.tasks.spawn(connecting::maintain_connection(
                self.clone(),
                router.clone(),
                PlannerId(planner),
            ));
        }
        self.tasks
            .spawn(reporting::send_reports(self.clone(), router.clone()));
        self.tasks.spawn(delivery::update_subscription_when_due(
            self.clone(),
            router.clone(),
        ));
        self.tasks.spawn(guidance::update_hints_when_due(
            self.clone(),
            router.clone(),
        ));
    }

    /// Aborts all tasks, which ends the sessions with planners.
    pub(super) fn stop(&self) {
        self.tasks.abort_all();
    }

    /// Returns the position of the last applied event.
    fn position(&self) -> EventPosition {
        self.numbering.borrow().last()
    }

    /// Records the endpoints of an event that is about to be applied, and stores the event.
    pub(super) fn record_event(&self, position: EventPosition, event: &Event) {
        if let Event::Hosts(_, endpoints) = event {
            self.endpoints
                .record(endpoints.iter().map(|endpoint| &endpoint.listed));
        }
        self.store_event(position, event);
    }

    /// Replaces the endpoint records by a full list. With `withhold`, endpoints that were known to be withdrawn stay
    /// so, and the list is changed accordingly. Returns the number of endpoints withheld.
    pub(super) fn replace_endpoints(
        &self,
        now: Time,
        endpoints: &mut [AddressedEndpoint],
        withhold: bool,
    ) -> usize {
        self.endpoints.replace(now, endpoints, withhold)
    }

    /// Converts the start times of endpoints to the local clock.
    pub(super) fn endpoints_to_local(&self, endpoints: &mut [Endpoint]) {
        self.coordinator_clock.endpoints_to_local(endpoints);
    }

    /// Marks all events from now on as live: the configuration's events have been applied.
    pub(super) fn go_live(&self) {
        self.coordinator_clock.go_live();
    }

    /// Whether events are live.
    pub(super) fn is_live(&self) -> bool {
        self.coordinator_clock.is_live()
    }

    /// Notes what the forwarder's own watch of the coordinator knows of its events.
    pub(super) fn note_coordinator_knowledge(
        &self,
        router: &Router,
        knowledge: CoordinatorKnowledge,
    ) {
        if knowledge.is_caught_up {
            self.purge_if_earlier_purges_unknown(router);
            let at = CaughtUpAt::new(router.clock.now());
            self.session.note_caught_up(at);
        }
        if let Some(as_of) = knowledge.complete_as_of {
            self.session.note_complete(as_of);
        }
        self.update_confirmation(router);
    }

    /// Notes what the planner that delivers the events knows of the coordinator's events.
    fn note_planner_knowledge(&self, router: &Router, subscription: &EventSubscription) {
        if let Some(at) = subscription.caught_up_at() {
            self.session.note_caught_up(at);
        }
        if let Some(as_of) = subscription.complete_as_of() {
            self.session.note_complete(as_of);
        }
        self.update_confirmation(router);
    }

    fn update_confirmation(&self, router: &Router) {
        if self.session.was_unconfirmed() {
            self.update_hints(router);
        }
        self.note_confirmation(router);
    }

    /// Updates the startup phase if the endpoint list is confirmed by now.
    fn note_confirmation(&self, router: &Router) {
        let now = router.clock.now();
        if self.session.is_confirmed(now) {
            self.startup.list_confirmed(now);
        }
    }

    /// Notes that this run starts with the state that an earlier run stored, up to an event after those of the
    /// configuration. So the configuration did not hold all events, and nothing shows yet that the stored state does.
    pub(super) fn note_outdated_configuration(&self) {
        self.session.forget_completeness();
    }

    /// Waits until clients may be accepted: when the endpoint list is confirmed, or after the wait that follows from
    /// the operator's file.
    pub(super) async fn wait_until_ready(&self, router: &Router) {
        self.startup.wait(router.clock).await;
        self.startup
            .started_listening(router.clock.now(), self.session.own_share_from());
    }

    /// Waits until the need for the coordinator's own connection may have changed, and returns whether it is needed.
    pub(super) async fn coordinator_need_changed(&self) -> bool {
        match &self.subscription {
            Some(subscription) => subscription.coordinator_need_changed().await,
            None => std::future::pending().await,
        }
    }

    /// Returns the number of planners with an open connection.
    pub(super) fn connected_planners(&self) -> usize {
        self.planners.connected()
    }

    /// Returns the state of the session and the subscription as a line for the log.
    pub(super) fn status_line(&self, router: &Router) -> String {
        let session = self.session.status(router.clock.now());
        let events = self
            .subscription
            .as_ref()
            .map(|subscription| format!(" events: {}", subscription.status()))
            .unwrap_or_default();
        format!("guidance: {session}{events}")
    }
}

impl Router {
    /// Starts the control client, so that planners guide this router from now on. To be called once, before any event
    /// is applied.
    pub(crate) fn start_control_client(
        self: &Rc<Router>,
        epoch: Epoch,
        seed: u64,
        options: ControlClientOptions,
        watch: &mut Watch,
    ) {
        let client = Rc::new(ControlClient::new(self, epoch, seed, options, watch));
        assert_invariant(
            self.control_client.set(client.clone()).is_ok(),
            "the control client of a router is started only once",
        );
        client.update_hints(self);
        client.start_tasks(self);
    }
}
