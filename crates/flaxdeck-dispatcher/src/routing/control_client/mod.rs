//! The planners beside the coordinator: reports go out, guidance and events come in, and the decision engine is told
//! what holds. No request waits for any of it. What is believed, lent and borrowed is decided in `flaxdeck-control`.
//!
//! A [`ControlClient`] owns all state of a forwarder that a lone dispatcher does not have, each part in a module that
//! alone changes it:
//!
//! | module | state |
//! | --- | --- |
//! | `session` | the session with the planners: leases, freshness, what is due |
//! | `planner_connections` | the connections to planners, and which are unreachable |
//! | `endpoint_records` | the endpoint list as last announced, and which of it is unconfirmed |
//! | `coordinator_clock` | how far apart this clock and the coordinator's are |
//! | `startup_gate` | how far this forwarder has come back, and whether it takes clients |
//! | `subscription`, `purges` | events by a subscription to one planner, purges that have not settled |
//!
//! The others act on it: `connecting` holds a connection to each planner, `reporting` sends reports, `guidance` and
//! `delivery` apply what planners say, `stored_state` takes up what an earlier run left and stores what follows.

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

use flaxdeck::{Endpoint, Time};
use flaxdeck_channel::authenticated::Key;
use flaxdeck_channel::watch::{Event, ExpeditedReconnect, Watch};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::Epoch;
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

/// What a forwarder is told of its planners at start.
#[derive(Clone, Debug)]
pub struct ControlClientOptions {
    /// The addresses of all planners, in the order of the plan.
    pub planners: Vec<SocketAddr>,
    /// The key that all instances share.
    pub key: Key,
    /// What the session with the planners keeps to.
    pub session: ForwarderOptions,
    /// Between reports to each planner.
    pub report_every: Duration,
    /// Events come by a subscription to one planner; none if all planners and the coordinator send every event.
    pub subscription: Option<SubscriptionOptions>,
    /// Where this forwarder stores its state, if it does.
    pub state_directory: Option<StateDirectory>,
    /// Where the counters of this process are written as they grow, if anywhere.
    pub counters: Option<PathBuf>,
}

/// A forwarder's side of the conversations with its planners. It owns the tasks that hold them;
/// [`ControlClient::stop`] is owed at the end, as the tasks keep the client itself alive.
pub(super) struct ControlClient {
    options: ControlClientOptions,
    /// Spreads what many forwarders would do at once.
    seed: u64,
    session: Session,
    planners: PlannerConnections,
    subscription: Option<EventSubscription>,
    /// The coordinator's events as applied here, whoever brought them; the watch owns it.
    numbering: Rc<RefCell<Numbering>>,
    endpoints: EndpointRecords,
    coordinator_clock: CoordinatorClock,
    startup: StartupGate,
    /// Tells the watch how urgent its next connection to the coordinator is.
    expedited_reconnect: Rc<ExpeditedReconnect>,
    /// A report is wanted before the next tick.
    report_requested: Notify,
    /// Set once, with the first state that is stored.
    state_writer: OnceCell<StateWriter>,
    tasks: TaskSet,
}

impl ControlClient {
    fn new(
        router: &Router,
        epoch: Epoch,
        seed: u64,
        options: ControlClientOptions,
        watch: &mut Watch,
    ) -> ControlClient {
        let numbering = watch.numbering();
        let expedited_reconnect = watch.expedited_reconnect(!options.planners.is_empty());
        let now = router.clock.now();
        let count = options.planners.len();
        let mut session = ForwarderSession::start(now, epoch, options.session, count as u32);
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
            expedited_reconnect,
            report_requested: Notify::new(),
            state_writer: OnceCell::new(),
            tasks: TaskSet::default(),
        }
    }

    fn start_tasks(self: &Rc<ControlClient>, router: &Rc<Router>) {
        for planner in 0..self.options.planners.len() as u32 {
            self.tasks.spawn(connecting::hold_connection(
                self.clone(),
                router.clone(),
                PlannerId(planner),
            ));
        }
        self.tasks
            .spawn(reporting::send_reports(self.clone(), router.clone()));
        self.tasks
            .spawn(delivery::renew_subscription(self.clone(), router.clone()));
        self.tasks
            .spawn(guidance::renew_hints(self.clone(), router.clone()));
    }

    /// Ends all conversations with planners.
    pub(super) fn stop(&self) {
        self.tasks.abort_all();
    }

    /// The last event that was applied here.
    fn position(&self) -> EventPosition {
        self.numbering.borrow().last()
    }

    /// An event is about to be applied: what outlasts it is recorded here and stored.
    pub(super) fn record_event(&self, position: EventPosition, event: &Event) {
        if let Event::Hosts(_, endpoints) = event {
            self.endpoints
                .record(endpoints.iter().map(|endpoint| &endpoint.listed));
        }
        self.store_event(position, event);
    }

    /// A full list comes in place of what was known. With `withhold`, endpoints that were withdrawn stay so, in the
    /// list too. Gives how many that are.
    pub(super) fn replace_endpoints(
        &self,
        now: Time,
        endpoints: &mut [AddressedEndpoint],
        withhold: bool,
    ) -> usize {
        self.endpoints.replace(now, endpoints, withhold)
    }

    /// Puts the starts of endpoints by the own clock.
    pub(super) fn endpoints_by_own_clock(&self, endpoints: &mut [Endpoint]) {
        self.coordinator_clock.endpoints_by_own_clock(endpoints);
    }

    /// The events of the configuration have been applied: later ones happen while this process runs.
    pub(super) fn go_live(&self) {
        self.coordinator_clock.go_live();
    }

    /// Whether they have.
    pub(super) fn is_live(&self) -> bool {
        self.coordinator_clock.is_live()
    }

    /// All is known here that the coordinator had at that time.
    fn events_known_at(&self, router: &Router, at: Time) {
        self.session.events_known_at(at);
        if self.session.was_unconfirmed() {
            self.update_hints(router);
        }
        self.note_confirmation(router);
    }

    /// The coordinator itself has spoken, and all has come that it had to say.
    pub(super) fn coordinator_current(&self, router: &Router) {
        self.current_by_coordinator(router);
        self.events_known_at(router, router.clock.now());
    }

    /// Somebody may have confirmed that the endpoint list is still true.
    fn note_confirmation(&self, router: &Router) {
        if self.session.is_confirmed() {
            self.startup.confirmed(router.clock.now());
        }
    }

    /// Waits until clients are to be taken: once somebody confirms the endpoint list, or as the operator's file says.
    pub(super) async fn wait_until_ready(&self, router: &Router) {
        self.startup.wait(router.clock).await;
        self.startup
            .ready(router.clock.now(), self.session.owns_from());
    }

    /// Waits until it may have changed whether the coordinator is needed beside planners, and gives whether it is.
    pub(super) async fn coordinator_need_changed(&self) -> bool {
        match &self.subscription {
            Some(subscription) => subscription.coordinator_need_changed().await,
            None => std::future::pending().await,
        }
    }

    /// Planners with a connection that is up.
    pub(super) fn connected_planners(&self) -> usize {
        self.planners.connected()
    }

    /// The state of the session and the subscription as a line for the log.
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
    /// Has planners guide this router from now on. To be called once, before any event is applied.
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
            "a router has one control client",
        );
        client.update_hints(self);
        client.start_tasks(self);
    }
}
