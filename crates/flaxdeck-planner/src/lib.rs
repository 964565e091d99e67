//! A planner on sockets: one connection to the coordinator, one from each forwarder. All that it decides is
//! `flaxdeck_control::planner` and `flaxdeck_distribution::publisher`; here messages only move.

mod events;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::{Health, ListKind};
use flaxdeck_channel::authenticated::Key;
use flaxdeck_channel::connection::{self, CloseReason, Receiver, Sender};
use flaxdeck_channel::messages::{FromForwarder, FromPlanner};
use flaxdeck_channel::watch::{Event, NumberedEvents, Watch, WatchEvent};
use flaxdeck_control::messages::{Epoch, RelayedEvent, Report};
use flaxdeck_control::planner::Planner;
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use flaxdeck_distribution::messages::Subscription;
use flaxdeck_distribution::{Cadence, SubscriberId};
use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::clock::Clock;
use flaxdeck_net::counters_file;
use flaxdeck_net::listener::Listener;
use flaxdeck_net::metrics;
use flaxdeck_recovery::EventPosition;
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, interval, sleep, sleep_until};

use events::Events;

/// Between lines of counters in the log.
const COUNTERS: Duration = Duration::from_secs(10);
/// After an accept that failed.
const PAUSE: Duration = Duration::from_millis(5);
/// Forwarders that may be connected at once, each with at most a frame and some messages in memory.
pub const MAX_CONNECTIONS: usize = 4_096;

/// What a planner is told at start.
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub key: Key,
    pub lease_terms: LeaseTerms,
    /// Its own part of each cold host.
    pub own: QuotaFraction,
    /// How often forwarders are told of events that subscribe to them.
    pub cadence: Cadence,
    pub watch: Watch,
    pub known: NumberedEvents,
    /// Where its counters are written as they grow, if anywhere.
    pub counters: Option<PathBuf>,
}

type Shared = Rc<RefCell<Sender>>;

struct Server {
    clock: Clock,
    planner: RefCell<Planner>,
    key: Key,
    /// By forwarder, with the number of its connection.
    speakers: RefCell<BTreeMap<Epoch, (u64, Shared)>>,
    events: RefCell<Events>,
    /// By the number of its connection.
    subscribers: RefCell<BTreeMap<SubscriberId, Shared>>,
    /// Somebody may be due sooner than was known.
    due_changed: Notify,
    next: Cell<u64>,
    budget: Budget,
    refused: Cell<u64>,
}

/// Runs until SIGTERM or ctrl-c.
pub fn run(start: impl FnOnce() -> Result<Start, String>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    LocalSet::new().block_on(&runtime, async move { serve(start()?).await })
}

async fn serve(start: Start) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|error| format!("no signals: {error}"));
    let (mut terminate, mut interrupt) = (
        signals(SignalKind::terminate())?,
        signals(SignalKind::interrupt())?,
    );
    let clock = Clock::start();
    let Start {
        name,
        listen,
        key,
        lease_terms,
        own,
        cadence,
        watch,
        known,
        counters,
    } = start;
    let epoch = Epoch::new(clock.now(), std::process::id());
    let server = Rc::new(Server {
        clock,
        planner: RefCell::new(Planner::start(clock.now(), epoch, lease_terms, own)),
        key,
        speakers: RefCell::default(),
        events: RefCell::new(Events::start(clock.now(), cadence, watch.names())),
        subscribers: RefCell::default(),
        due_changed: Notify::new(),
        next: Cell::new(0),
        budget: Budget::new(MAX_CONNECTIONS),
        refused: Cell::new(0),
    });
    known
        .into_iter()
        .for_each(|(_, event)| server.listed(event));
    server.begins_at(watch.numbering().borrow().last());
    let listener =
        Listener::open(listen).map_err(|error| format!("cannot listen at {listen}: {error}"))?;
    let at = listener
        .address()
        .map_err(|error| format!("cannot listen at {listen}: {error}"))?;
    spawn_local(server.clone().follow(watch));
    spawn_local(server.clone().accept(listener));
    spawn_local(server.clone().publish());
    spawn_local(server.clone().log_counters());
    counters.into_iter().for_each(counters_file::spawn);
    tracing::info!(
        planner = name,
        epoch = epoch.0,
        "listening at {at}, {lease_terms:?}"
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    server.log_line();
    tracing::info!("asked to end; what was granted runs off by itself");
    Ok(())
}

impl Server {
    /// All that is known here of the coordinator's events ends with that one.
    fn begins_at(&self, mark: EventPosition) {
        self.planner.borrow_mut().restart_log_at(mark);
        self.events.borrow_mut().begins_at(self.clock.now(), mark);
    }

    /// Takes in what an event outside the numbering says of hosts.
    fn listed(&self, event: Event) {
        self.events.borrow_mut().list(&event);
        self.told(event);
    }

    fn told(&self, event: Event) {
        let Event::Hosts(list_kind, endpoints) = event else {
            return;
        };
        let (now, mut planner) = (self.clock.now(), self.planner.borrow_mut());
        if list_kind == ListKind::Full {
            let named: BTreeSet<&str> = endpoints
                .iter()
                .map(|endpoint| &*endpoint.listed.host.0)
                .collect();
            let gone = planner
                .hosts()
                .filter(|host| !named.contains(host.as_str()))
                .cloned();
            gone.collect::<Vec<String>>()
                .iter()
                .for_each(|host| planner.update_host(now, host, None));
        }
        for endpoint in &endpoints {
            let line = &endpoint.listed;
            let started = line.started.map_or(0, |at| at.ms() as u64);
            planner.update_host(
                now,
                &line.host.0,
                (line.health != Health::Removed).then_some(started),
            );
        }
    }

    async fn follow(self: Rc<Server>, mut watch: Watch) {
        loop {
            let event = match watch.next().await {
                WatchEvent::Heartbeat => None,
                WatchEvent::Event(mark, frame, event) => {
                    self.events
                        .borrow_mut()
                        .told(self.clock.now(), mark, &frame, &event);
                    self.told(event);
                    Some(RelayedEvent {
                        position: mark,
                        frame: frame.to_vec(),
                    })
                }
                WatchEvent::Relisted(mark, event, doubt) => {
                    tracing::warn!(
                        ?mark,
                        ?doubt,
                        "the coordinator's numbering is another: its list is taken anew"
                    );
                    self.listed(event);
                    self.begins_at(mark);
                    None
                }
            };
            let news = event.is_some();
            let (now, current) = (self.clock.now(), watch.is_current());
            self.planner
                .borrow_mut()
                .coordinator_heard(now, event, current);
            self.events.borrow_mut().coordinator_heard(now, current);
            if news {
                self.push();
            }
            self.due_changed.notify_one();
        }
    }

    /// Passes on what has just come: nobody waits for his next report to hear of a drain.
    fn push(&self) {
        for (epoch, (_, sender)) in self.speakers.borrow().iter() {
            let mut sender = sender.borrow_mut();
            if !sender.may_send() {
                continue;
            }
            if let Some(guidance) = self
                .planner
                .borrow_mut()
                .unsolicited_guidance(self.clock.now(), *epoch)
            {
                sender.send(&FromPlanner::Guidance(guidance));
            }
        }
    }

    /// Tells subscribers of events, each when it is due; who reads slowly is told more at once later.
    async fn publish(self: Rc<Server>) {
        loop {
            let due = self
                .events
                .borrow()
                .next_due()
                .map(|due| self.clock.instant(due));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
                () = self.due_changed.notified() => {}
            }
            let now = self.clock.now();
            let due = self.events.borrow_mut().due(now);
            for id in due {
                let Some(sender) = self.subscribers.borrow().get(&id).cloned() else {
                    continue;
                };
                if !sender.borrow().may_send() {
                    continue;
                }
                if let Some(delivery) = self.events.borrow_mut().delivery(now, id) {
                    sender.borrow_mut().send(&FromPlanner::Delivery(delivery));
                }
            }
        }
    }

    fn subscribe(&self, id: SubscriberId, sender: &Shared, subscription: Subscription) {
        self.subscribers.borrow_mut().insert(id, sender.clone());
        self.events
            .borrow_mut()
            .subscribe(self.clock.now(), id, subscription);
        self.due_changed.notify_one();
    }

    fn unsubscribe(&self, id: SubscriberId) {
        self.subscribers.borrow_mut().remove(&id);
        self.events.borrow_mut().leave(id);
    }

    async fn accept(self: Rc<Server>, listener: Listener) {
        loop {
            let place = self.budget.wait_for(1).await;
            match listener.accept().await {
                Ok(stream) => {
                    spawn_local(self.clone().attend(stream, place));
                }
                Err(error) => {
                    tracing::warn!(%error, "accept");
                    sleep(PAUSE).await;
                }
            }
        }
    }

    async fn attend(self: Rc<Server>, stream: TcpStream, _place: Permit) {
        let peer = stream
            .peer_addr()
            .map_or("somebody gone".to_owned(), |peer| peer.to_string());
        let over = match connection::accept(stream, &self.key).await {
            Ok((sender, receiver)) => {
                let number = self.next.get();
                self.next.set(number + 1);
                let sender = Rc::new(RefCell::new(sender));
                let over = self.converse(number, &sender, receiver).await;
                // A later connection of the same forwarder has a sender of its own.
                self.speakers
                    .borrow_mut()
                    .retain(|_, (theirs, _)| *theirs != number);
                self.unsubscribe(SubscriberId(number));
                over
            }
            Err(over) => over,
        };
        match over {
            CloseReason::Refused(why) => {
                self.refused.set(self.refused.get() + 1);
                tracing::warn!(peer, why, refused = self.refused.get(), "a peer is refused");
            }
            CloseReason::Broken(why) => tracing::info!(peer, why, "a conversation is over"),
        }
    }

    async fn converse(&self, number: u64, sender: &Shared, mut receiver: Receiver) -> CloseReason {
        let mut known = None;
        loop {
            let report: Report = match receiver.receive().await {
                Ok(FromForwarder::Report(report)) => report,
                Ok(FromForwarder::Subscribe(subscription)) => {
                    self.subscribe(SubscriberId(number), sender, subscription);
                    continue;
                }
                Err(over) => return over,
            };
            let from = report.envelope.from;
            if *known.get_or_insert(from) != from {
                return CloseReason::Refused("a second forwarder on one connection");
            }
            if self
                .speakers
                .borrow()
                .get(&from)
                .is_none_or(|(theirs, _)| *theirs != number)
            {
                self.speakers
                    .borrow_mut()
                    .insert(from, (number, sender.clone()));
            }
            // Who does not read what he is told gets no more until he does.
            if !sender.borrow().may_send() {
                continue;
            }
            let judged = self
                .planner
                .borrow_mut()
                .handle_report(self.clock.now(), &report);
            match judged {
                Ok(guidance) => sender.borrow_mut().send(&FromPlanner::Guidance(guidance)),
                Err(why) => tracing::warn!(forwarder = from.0, ?why, "a report is refused"),
            }
        }
    }

    fn log_line(&self) {
        let planner = self.planner.borrow();
        let load = planner.load(self.clock.now());
        let (counters, refused) = (planner.counters, self.refused.get());
        tracing::info!(
            forwarders = load.forwarders,
            lives = load.pools,
            lent = load.held,
            out = load.reserved,
            refused,
            ?counters,
            "counted"
        );
        let (size, counters) = self.events.borrow().load();
        tracing::info!(
            subscribers = size.subscribers,
            kept = size.log.events,
            bytes = size.log.bytes,
            ?counters,
            "events"
        );
        tracing::info!("traffic: {}", metrics::line());
    }

    async fn log_counters(self: Rc<Server>) {
        let mut ticks = interval(COUNTERS);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            self.log_line();
        }
    }
}
