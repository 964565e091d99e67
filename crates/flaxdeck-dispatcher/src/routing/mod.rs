//! Requests on their way: a task each, the table of all, and the decision engine that decides. Nothing here knows how
//! anything is written on a connection.

mod clients;
mod guides;
mod keep;
mod requests;
mod subscription;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use flaxdeck::polled::{Input, PolledEngine, Step};
use flaxdeck::{
    AttemptIndex, Clearance, DeploymentTerms, ListKind, ObjectId, RequestId, Span, Time, ZoneId,
};
use flaxdeck_terms::{ConnectionTerms, Names};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, interval, sleep_until};

pub use clients::accept;
pub use guides::Guidelines;
pub use keep::{Keeps, recall};
pub use subscription::Digests;

use crate::protocol::host_connections::HostConnections;
use flaxdeck_channel::watch::{Event, NumberedEvents, Watch, WatchEvent};
use flaxdeck_net::budget::{Bounds, Budget};
use flaxdeck_net::clock::Clock;
use flaxdeck_recovery::EventPosition;

/// Between looks for connections that have been idle too long.
const SWEEP: Duration = Duration::from_secs(1);

/// A request's place in the table.
struct OpenRequest {
    object: ObjectId,
    /// There is a step to pick, or the client has left.
    notify: Notify,
    left: Cell<bool>,
}

/// Events that have come into force, as told to whoever watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InForce {
    /// All events with numbers over the first and up to that mark.
    Events { after: u64, upto: EventPosition },
    /// A whole list in place of all that was known.
    Anew { upto: EventPosition },
}

/// FillOutcome at once whenever events have come into force.
pub type Watcher = Box<dyn Fn(InForce)>;

pub struct Router {
    clock: Clock,
    engine: RefCell<PolledEngine>,
    table: RefCell<BTreeMap<RequestId, Rc<OpenRequest>>>,
    /// What clients call the requests whose attempts are not all over.
    ids: RefCell<BTreeSet<Bytes>>,
    names: Rc<Names>,
    zone: ZoneId,
    pool: Rc<HostConnections>,
    slots: Budget,
    /// Bytes that open requests hold, as they were asked and as they are answered.
    asked: Rc<Budget>,
    answered: Rc<Budget>,
    clients: Budget,
    /// All connections of clients, and what ends those that are being ended.
    open: RefCell<Vec<Weak<clients::Client>>>,
    ending: RefCell<VecDeque<AbortHandle>>,
    /// This process ends: no client is taken any more.
    ends: Cell<bool>,
    /// The listener has been waited at in vain: no connection is left that the system took and this process did not.
    none_waits: Cell<bool>,
    next: Cell<u64>,
    /// The time at which the decision engine wants its tick has changed.
    due_changed: Notify,
    /// What a later configuration says of the coordinator, until the watch has taken it over.
    later: RefCell<Option<(Watch, NumberedEvents)>>,
    reloaded: Notify,
    guides: RefCell<Option<Rc<guides::Guides>>>,
    /// How long it takes until hosts have dropped by themselves what was purged.
    settles: Span,
    /// What outlasts this process, where something does.
    keeper: RefCell<Option<Rc<keep::Keeper>>>,
    watcher: RefCell<Option<Watcher>>,
}

impl Router {
    pub fn new(
        clock: Clock,
        seed: u64,
        terms: DeploymentTerms,
        names: Rc<Names>,
        carriage: ConnectionTerms,
        bounds: Bounds,
    ) -> Rc<Router> {
        let (asked, answered) = (
            Rc::new(Budget::new(bounds.request_bytes)),
            Rc::new(Budget::new(bounds.response_bytes)),
        );
        let (zone, settles) = (terms.zone, terms.purge_settles);
        Rc::new(Router {
            clock,
            engine: RefCell::new(PolledEngine::start(clock.now(), seed, terms)),
            table: RefCell::new(BTreeMap::new()),
            ids: RefCell::new(BTreeSet::new()),
            pool: HostConnections::new(names.clone(), carriage, bounds.hosts, answered.clone()),
            names,
            zone,
            slots: Budget::new(bounds.requests),
            asked,
            answered,
            clients: Budget::new(bounds.clients),
            open: RefCell::default(),
            ending: RefCell::default(),
            ends: Cell::new(false),
            none_waits: Cell::new(false),
            next: Cell::new(0),
            due_changed: Notify::new(),
            later: RefCell::new(None),
            reloaded: Notify::new(),
            guides: RefCell::new(None),
            settles,
            keeper: RefCell::new(None),
            watcher: RefCell::new(None),
        })
    }

    /// Requests that are open or whose answers are not written yet, client connections, host connections.
    pub fn load(&self) -> [usize; 3] {
        [
            self.slots.in_use(),
            self.clients.in_use(),
            self.pool.connections(),
        ]
    }

    /// Nothing is left to be taken in or answered.
    pub fn at_rest(&self) -> bool {
        self.none_waits.get() && self.slots.in_use() == 0 && !self.is_told_more()
    }

    /// No connection of a client is left.
    pub fn is_alone(&self) -> bool {
        self.clients.in_use() == 0 && self.ending.borrow().iter().all(AbortHandle::is_finished)
    }

    /// No request outlasts this time.
    pub fn end_by(&self, time: Time) {
        self.report(Input::ShutdownAt(time));
    }

    fn report(&self, news: Input) {
        let (before, named, after) = {
            let mut engine = self.engine.borrow_mut();
            let before = engine.due();
            let named = engine.report(self.clock.now(), news);
            (before, named, engine.due())
        };
        if before != after {
            self.due_changed.notify_one();
        }
        self.notify(&named);
    }

    fn pick(&self, request: RequestId) -> Step {
        self.engine.borrow_mut().pick(request)
    }

    /// Whether an attempt may still be sent, and what it may ask for by now.
    fn clear(&self, request: RequestId, index: AttemptIndex) -> Option<Clearance> {
        self.engine
            .borrow_mut()
            .clear(self.clock.now(), request, index)
    }

    fn has_id(&self, id: &Bytes) -> bool {
        self.ids.borrow().contains(id)
    }

    /// When a client that finds no room may come back.
    fn retry_after(&self) -> Option<Span> {
        self.engine.borrow().retry_after()
    }

    fn notify(&self, requests: &[RequestId]) {
        let table = self.table.borrow();
        requests
            .iter()
            .filter_map(|request| table.get(request))
            .for_each(|entry| entry.notify.notify_one());
    }

    /// An event of the coordinator that follows what is known.
    pub fn told(&self, mark: EventPosition, event: Event) {
        self.told_by_others(mark, event);
        self.in_force(InForce::Events {
            after: mark.number.saturating_sub(1),
            upto: mark,
        });
    }

    /// The same of one among several that come into force together.
    fn told_by_others(&self, mark: EventPosition, event: Event) {
        self.keep_told(&event);
        if let Some(keeper) = &*self.keeper.borrow() {
            keeper.event(mark, &event);
        }
        self.apply(event);
    }

    /// Has somebody told of events that come into force from now on, and first of what is known.
    pub fn watch(&self, watcher: Watcher, known: Option<EventPosition>) {
        known
            .into_iter()
            .for_each(|upto| watcher(InForce::Anew { upto }));
        *self.watcher.borrow_mut() = Some(watcher);
    }

    fn in_force(&self, what: InForce) {
        self.watcher
            .borrow()
            .iter()
            .for_each(|watcher| watcher(what));
    }

    fn apply(&self, event: Event) {
        match event {
            Event::Hosts(list_kind, endpoints) => {
                // A whole list is long, and the first comes before the process listens.
                for endpoint in endpoints.iter().filter(|_| list_kind == ListKind::Delta) {
                    log::debug!(
                        "told: {} {:?}",
                        endpoint.listed.host.0,
                        endpoint.listed.health
                    );
                }
                self.pool.update_hosts(list_kind, &endpoints);
                let lines = endpoints
                    .into_iter()
                    .map(|endpoint| endpoint.listed)
                    .collect();
                self.report_lines(list_kind, lines);
            }
            Event::Purged {
                object,
                group,
                made,
            } => {
                log::debug!("told: a purge of {object:?} in {group:?}");
                self.report(Input::Purged {
                    object,
                    group,
                    made: self.purged_at(made),
                });
            }
        }
    }

    /// Waits until it may have changed whether the coordinator is needed beside planners.
    async fn coordinator_change(&self) -> bool {
        match self.subscription() {
            Some(subscription) => {
                subscription.coordinator_change().await;
                subscription.wants_coordinator()
            }
            None => std::future::pending().await,
        }
    }

    /// Follows the coordinator.
    pub async fn follow(self: Rc<Router>, mut watch: Watch) {
        self.begun();
        loop {
            tokio::select! {
                wanted = self.coordinator_change() => {
                    // What a link was asked for may have been replaced since.
                    watch.pause_while(true);
                    watch.pause_while(!wanted);
                }
                word = watch.next() => {
                    match word {
                        WatchEvent::Heartbeat => {}
                        WatchEvent::Event(mark, _, event) => {
                            if watch.is_current() {
                                self.hear_clock(&event);
                            }
                            self.told(mark, event);
                        }
                        WatchEvent::Relisted(mark, event, doubt) => self.told_anew(mark, event, doubt),
                    }
                    if watch.is_current() {
                        self.coordinator_heard();
                    }
                }
                () = self.reloaded.notified() => {
                    let Some((later, known)) = self.later.take() else { continue };
                    let news = watch.go_on_at(later, known);
                    let mark = watch.numbering().borrow().last();
                    news.into_iter().for_each(|event| self.told(mark, event));
                }
            }
        }
    }

    /// Takes over what a later configuration may change under load; open requests notice nothing.
    pub fn reload(&self, bounds: Bounds, watch: Watch, known: NumberedEvents) {
        self.slots.resize(bounds.requests);
        self.asked.resize(bounds.request_bytes);
        self.answered.resize(bounds.response_bytes);
        self.clients.resize(bounds.clients);
        self.pool.resize(bounds.hosts);
        *self.later.borrow_mut() = Some((watch, known));
        self.reloaded.notify_one();
    }

    /// Gives the decision engine its ticks.
    pub async fn keep_time(self: Rc<Router>) {
        loop {
            let due = self
                .engine
                .borrow()
                .due()
                .map(|due| self.clock.instant(due));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    let named = self.engine.borrow_mut().tick(self.clock.now());
                    self.notify(&named);
                }
                () = self.due_changed.notified() => {}
            }
        }
    }

    /// Closes idle connections to hosts.
    pub async fn sweep(self: Rc<Router>) {
        let mut ticks = interval(SWEEP);
        loop {
            ticks.tick().await;
            self.pool.close_expired();
        }
    }
}
