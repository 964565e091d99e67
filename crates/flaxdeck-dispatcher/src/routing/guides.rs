//! The planners beside the coordinator: reports go out, guidance comes in, and the decision engine is told what holds. No request
//! waits for any of it. What is believed, lent and borrowed is decided in `flaxdeck-control`.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::polled::Input;
use flaxdeck::{Endpoint, GroupId, HostId, ListKind, Observation, Span, Time};
use flaxdeck_channel::authenticated::Key;
use flaxdeck_channel::connection::{self, CloseReason, Receiver, Sender};
use flaxdeck_channel::messages::{FromForwarder, FromPlanner};
use flaxdeck_channel::watch::{Event, ExpeditedReconnect, Watch};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession, Freshness};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Epoch, Guidance};
use flaxdeck_control::quotas::LeaseTotals;
use flaxdeck_distribution::PlannerNumber;
use flaxdeck_net::clock;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::clocks::{self, ClockOffset};
use flaxdeck_recovery::numbering::{MissedPeriod, Numbering};
use flaxdeck_recovery::startup::{Startup, WithoutContact};
use flaxdeck_recovery::{EventPosition, ReconnectBackoff, unconfirmed};
use flaxdeck_wire::frames;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until};

use super::keep::{Keeper, Keeps, Recalled, Wrote};
use super::subscription::{Digests, EventSubscription};
use super::{InForce, Router};

/// Between tries to reach a planner: as short as a report or two at first; at most as long as a planner may be silent
/// until its hosts' lives are another's.
const RETRY: [Span; 2] = [Span::from_ms(150), Span::from_ms(1000)];

/// What a forwarder is told of its planners at start.
#[derive(Clone, Debug)]
pub struct Guidelines {
    pub planners: Vec<SocketAddr>,
    pub key: Key,
    pub stance: ForwarderOptions,
    pub report_every: Duration,
    /// Events come by a subscription to one planner; none if each is told by all and by the coordinator.
    pub digests: Option<Digests>,
    /// Where this forwarder keeps its state, if it does.
    pub keeps: Option<Keeps>,
    /// Where the counters of this process are written as they grow, if anywhere.
    pub counters: Option<PathBuf>,
}

pub struct Guides {
    guide: RefCell<ForwarderSession>,
    pub(super) speakers: RefCell<Vec<Option<Sender>>>,
    pub(super) subscription: Option<Rc<EventSubscription>>,
    guidelines: Guidelines,
    /// The coordinator's events as applied here, whoever brought them.
    numbering: Rc<RefCell<Numbering>>,
    /// The lines of hosts as last told, and which of them are doubted.
    lines: RefCell<BTreeMap<HostId, Endpoint>>,
    clocks: RefCell<ClockOffset>,
    /// What is told from now on has happened while this process ran.
    begun: Cell<bool>,
    doubted: RefCell<unconfirmed::UnconfirmedEndpoints>,
    back: RefCell<Startup>,
    seed: u64,
    urgency: Rc<ExpeditedReconnect>,
    /// Planners whose last try came to nothing.
    unreached: RefCell<BTreeSet<usize>>,
    informed: Cell<Freshness>,
    due_changed: Notify,
    vouched: Notify,
    report_now: Notify,
}

impl Guides {
    /// The planner whose events are followed is told samples of hosts too.
    pub(super) fn follows(&self, planner: Option<PlannerNumber>) {
        self.guide
            .borrow_mut()
            .set_subscribed_to(planner.map(|planner| PlannerId(planner.0)));
    }
}

impl Router {
    /// Has the router guided from now on.
    pub fn guide_by(
        self: &Rc<Router>,
        epoch: Epoch,
        seed: u64,
        guidelines: Guidelines,
        watch: &mut Watch,
    ) {
        let (numbering, urgency) = (
            watch.numbering(),
            watch.urgency(!guidelines.planners.is_empty()),
        );
        let (count, now) = (guidelines.planners.len(), self.clock.now());
        let mut guide = ForwarderSession::start(now, epoch, guidelines.stance, count as u32);
        let subscription = guidelines.digests.map(|digests| {
            guide.suppress_reports(digests.report_idle_every);
            let numbering = numbering.clone();
            EventSubscription::start(now, count as u32, seed, digests, self.settles, numbering)
        });
        watch.pause_while(subscription.is_some());
        let unheard = guidelines
            .stance
            .unconfirmed_limit
            .map_or(WithoutContact::GoOn, WithoutContact::RejectAfter);
        let guides = Rc::new(Guides {
            guide: RefCell::new(guide),
            speakers: RefCell::new((0..count).map(|_| None).collect()),
            subscription: subscription.map(Rc::new),
            guidelines,
            numbering,
            lines: RefCell::default(),
            clocks: RefCell::default(),
            begun: Cell::new(false),
            doubted: RefCell::default(),
            back: RefCell::new(Startup::begin(now, unheard)),
            seed,
            urgency,
            unreached: RefCell::default(),
            informed: Cell::new(Freshness::Standalone),
            due_changed: Notify::new(),
            vouched: Notify::new(),
            report_now: Notify::new(),
        });
        *self.guides.borrow_mut() = Some(guides.clone());
        self.tell_engine(&guides);
        for at in 0..count {
            spawn_local(self.clone().listen_to(guides.clone(), at));
        }
        spawn_local(self.clone().report_for_ever(guides.clone()));
        spawn_local(self.clone().keep_subscribed(guides.clone()));
        spawn_local(self.clone().keep_guided(guides));
    }

    pub fn is_guided(&self) -> bool {
        self.guides.borrow().is_some()
    }

    /// Waits until clients are to be taken: once somebody vouches for the list, or as the operator's file says.
    pub async fn comes_back(&self) {
        let Some(guides) = self.guides.borrow().clone() else {
            return;
        };
        loop {
            let at = guides.back.borrow().listens_at();
            if self.clock.now() >= at {
                break;
            }
            tokio::select! {
                () = sleep_until(self.clock.instant(at)) => {}
                () = guides.vouched.notified() => {}
            }
        }
        let (now, owns_from) = (self.clock.now(), guides.guide.borrow().own_share_from());
        let mut back = guides.back.borrow_mut();
        back.started_listening(now);
        let times = back.times();
        let [vouched, listens] =
            [times.confirmed, times.listening].map(|took| took.map_or(f64::NAN, Span::ms));
        let phase = back.phase(now, owns_from);
        log::info!(
            "back: {phase}, the list vouched for after {vouched:.1} ms, clients after {listens:.1} ms"
        );
    }

    fn keep_lines(guides: &Guides, lines: &[Endpoint]) {
        guides
            .doubted
            .borrow_mut()
            .confirm(lines.iter().map(|line| &line.host));
        let told = lines.iter().map(|line| (line.host.clone(), line.clone()));
        guides.lines.borrow_mut().extend(told);
    }

    /// Takes up what an earlier run left; from then on all that is told is kept. Gives what is to be kept at first.
    pub fn take_up(
        self: &Rc<Router>,
        recalled: Recalled,
        keeps: &Keeps,
        first: &[Event],
        last: EventPosition,
    ) {
        let Some(guides) = self.guides.borrow().clone() else {
            return;
        };
        let now = self.clock.now();
        {
            let mut guide = guides.guide.borrow_mut();
            recalled
                .waits
                .into_iter()
                .for_each(|waits| guide.set_startup_wait(now, waits));
            guide.require_lending_permit(now);
            let mut guided = guide.hints(now);
            guided.hints.extend(recalled.hints);
            drop(guide);
            self.report(Input::PeerHints(guided));
        }
        let keeper = Keeper::begin(keeps, self.clock, self.settles, first, last);
        if let Some(wrote) = keeper.wrote() {
            spawn_local(self.clone().hear_writer(guides, keeper.clone(), wrote));
        }
        *self.keeper.borrow_mut() = Some(keeper);
    }

    async fn hear_writer(
        self: Rc<Router>,
        guides: Rc<Guides>,
        keeper: Rc<Keeper>,
        mut wrote: UnboundedReceiver<Wrote>,
    ) {
        while let Some(wrote) = wrote.recv().await {
            match wrote {
                Wrote::Begun(generation) => log::info!("state is kept, generation {generation}"),
                Wrote::Leave(until) => {
                    keeper.answered();
                    guides.guide.borrow_mut().extend_lending_permit(until);
                }
                Wrote::Failed(why) => {
                    count(Counter::state_broken);
                    log::error!("no state is kept any more, and nothing is lent: {why}");
                }
            }
        }
    }

    /// Keeps a last state at the end of the process.
    pub fn keep_last(&self) {
        let keeper = self.keeper.borrow().clone();
        if let Some(keeper) = keeper {
            keeper.last(&self.observations());
        }
    }

    /// Lines of hosts that an event tells are kept, to be held against a list that comes in place of what follows.
    pub(super) fn keep_told(&self, event: &Event) {
        let Some(guides) = self.guides.borrow().clone() else {
            return;
        };
        if let Event::Hosts(_, endpoints) = event {
            let lines: Vec<Endpoint> = endpoints
                .iter()
                .map(|endpoint| endpoint.listed.clone())
                .collect();
            Router::keep_lines(&guides, &lines);
        }
    }

    /// An event that has just happened tells how far apart the clocks are.
    pub(super) fn hear_clock(&self, event: &Event) {
        let Some(guides) = self.guides.borrow().clone() else {
            return;
        };
        let now = self.clock.now();
        let mut told: Vec<(Time, Span)> = Vec::new();
        match event {
            Event::Purged { made, .. } => told.push((*made, clocks::MAX_PURGE_DELAY)),
            Event::Hosts(ListKind::Delta, endpoints) => {
                let lines = guides.lines.borrow();
                for line in endpoints.iter().map(|endpoint| &endpoint.listed) {
                    let anew = lines
                        .get(&line.host)
                        .is_some_and(|before| before.started != line.started);
                    told.extend(
                        line.started
                            .filter(|_| anew)
                            .map(|started| (started, clocks::MAX_START_DELAY)),
                    );
                }
            }
            Event::Hosts(ListKind::Full, _) => {}
        }
        let changed =
            |(told, late): (Time, Span)| guides.clocks.borrow_mut().record_event(now, told, late);
        if told
            .into_iter()
            .map(changed)
            .fold(false, |any, changed| any | changed)
        {
            count(Counter::clocks_apart);
            let ahead = guides.clocks.borrow().ahead_ms();
            log::error!("the wall clock is {ahead:.0} ms ahead of the coordinator's");
            let lines = guides.lines.borrow().values().cloned().collect();
            self.report_lines(ListKind::Delta, lines);
        }
    }

    /// What was seen of hosts, with their starts as they were told.
    fn observations(&self) -> Vec<Observation> {
        let mut observations = self.engine.borrow().observations(self.clock.now());
        self.guides.borrow().iter().for_each(|guides| {
            guides
                .clocks
                .borrow()
                .delocalize_observations(&mut observations)
        });
        observations
    }

    /// Lines of hosts go to the decision engine with their starts by the own clock.
    pub(super) fn report_lines(&self, list_kind: ListKind, mut lines: Vec<Endpoint>) {
        self.guides
            .borrow()
            .iter()
            .for_each(|guides| guides.clocks.borrow().localize_endpoints(&mut lines));
        self.report(Input::EndpointList(list_kind, lines));
    }

    /// When a purge counts as made. Guards against a clock that makes it older than it is: beside others it counts from
    /// when it was told, which asks for younger copies than need be and never for older ones.
    pub(super) fn purged_at(&self, made: Time) -> Time {
        let begun = self
            .guides
            .borrow()
            .as_ref()
            .is_some_and(|guides| guides.begun.get());
        if begun { self.clock.now() } else { made }
    }

    /// What the configuration tells has been told.
    pub(super) fn begun(&self) {
        self.guides
            .borrow()
            .iter()
            .for_each(|guides| guides.begun.set(true));
    }

    /// A whole list came in place of what should have followed: what can't be vouched for counts as in doubt.
    pub(super) fn told_anew(&self, mark: EventPosition, event: Event, doubt: Option<MissedPeriod>) {
        let (Some(guides), Event::Hosts(list_kind, mut endpoints)) =
            (self.guides.borrow().clone(), event)
        else {
            return;
        };
        let now = self.clock.now();
        let lines: Vec<Endpoint> = endpoints
            .iter()
            .map(|endpoint| endpoint.listed.clone())
            .collect();
        let mut withheld = 0;
        if doubt.is_some() {
            let adopted = guides
                .doubted
                .borrow_mut()
                .adopt(now, &guides.lines.borrow(), lines);
            withheld = adopted.held_back;
            endpoints
                .iter_mut()
                .zip(adopted.endpoints)
                .for_each(|(endpoint, line)| endpoint.listed = line);
        }
        let lines = endpoints
            .iter()
            .map(|endpoint| (endpoint.listed.host.clone(), endpoint.listed.clone()));
        *guides.lines.borrow_mut() = lines.collect();
        let copies = doubt.and_then(|doubt| unconfirmed::copies_from(now, doubt, self.settles));
        if doubt.is_some() {
            (0..withheld).for_each(|_| count(Counter::hosts_doubted));
            log::error!(
                "the coordinator's numbering is another, event {}: its list is taken anew, {withheld} hosts stay \
                 withdrawn in doubt, copies {}",
                mark.number,
                copies.map_or("are not doubted".into(), |from| format!(
                    "from before {:.0} are doubted",
                    from.ms()
                ))
            );
        }
        let event = Event::Hosts(list_kind, endpoints);
        if let Some(keeper) = &*self.keeper.borrow() {
            keeper.event(mark, &event);
        }
        self.apply(event);
        if let Some(made) = copies {
            self.report(Input::Purged {
                object: None,
                group: GroupId::ALL,
                made,
            });
        }
        self.in_force(InForce::Anew { upto: mark });
    }

    /// Planners with a conversation that is up.
    pub fn connected_planners(&self) -> usize {
        let guides = self.guides.borrow();
        guides
            .iter()
            .map(|guides| guides.speakers.borrow().iter().flatten().count())
            .sum()
    }

    /// The coordinator itself has spoken.
    pub(super) fn coordinator_heard(&self) {
        let Some(guides) = self.guides.borrow().clone() else {
            return;
        };
        self.current_by_coordinator();
        self.events_known_at(&guides, self.clock.now());
    }

    /// All is known here that the coordinator had at that time.
    pub(super) fn events_known_at(&self, guides: &Guides, at: Time) {
        guides.guide.borrow_mut().events_known_at(at);
        if guides.informed.get() == Freshness::Unconfirmed {
            self.tell_engine(guides);
        }
        self.note_vouched(guides);
    }

    /// A coordinator that has little room is left to planners while they tell the same.
    fn note_urgency(&self, guides: &Guides) {
        guides.urgency.set_calm(
            guides
                .guide
                .borrow()
                .is_confirmed_by_planners(self.clock.now()),
        );
    }

    fn note_vouched(&self, guides: &Guides) {
        if guides.guide.borrow().confirmed_at().is_some() {
            guides.back.borrow_mut().list_confirmed(self.clock.now());
            guides.vouched.notify_one();
        }
    }

    /// How the guidance stands, in words for the log; none without.
    pub fn guidance_line(&self) -> Option<String> {
        let guides = self.guides.borrow().clone()?;
        let (guide, now) = (guides.guide.borrow(), self.clock.now());
        let LeaseTotals { lent, granted } = guide.lease_totals(now);
        let (informed, counters) = (guide.freshness(now), guide.counters);
        let events = guides
            .subscription
            .as_ref()
            .map(|subscription| format!(" events: {}", subscription.line()));
        let events = events.unwrap_or_default();
        Some(format!(
            "guidance: {informed} lent={lent:.3} granted={granted:.3} {counters:?}{events}"
        ))
    }

    fn tell_engine(&self, guides: &Guides) {
        let now = self.clock.now();
        let (mut guided, informed) = {
            let mut guide = guides.guide.borrow_mut();
            (guide.hints(now), guide.freshness(now))
        };
        for quota in guided
            .hints
            .iter_mut()
            .filter_map(|hint| hint.quota.as_mut())
        {
            quota.started = quota
                .started
                .map(|started| guides.clocks.borrow().to_local(started));
        }
        let before = guides.informed.replace(informed);
        if before != informed {
            let worse = matches!(informed, Freshness::Unconfirmed)
                && guides.back.borrow().times().confirmed.is_some();
            let level = if worse {
                log::Level::Error
            } else {
                log::Level::Info
            };
            log::log!(level, "guidance is now {informed}, was {before}");
        }
        self.report(Input::PeerHints(guided));
        guides.due_changed.notify_one();
    }

    async fn report_for_ever(self: Rc<Router>, guides: Rc<Guides>) {
        let mut ticks = interval(guides.guidelines.report_every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // A planner that has just been reached need not wait for the next report.
            tokio::select! {
                _ = ticks.tick() => {}
                () = guides.report_now.notified() => {}
            }
            let now = self.clock.now();
            let observations = self.observations();
            {
                let mut guide = guides.guide.borrow_mut();
                guide.update_usage(now, &observations);
                guide.update_link(self.zone, self.engine.borrow().link());
                let mut speakers = guides.speakers.borrow_mut();
                for (at, sender) in speakers.iter_mut().enumerate() {
                    let (Some(sender), planner) = (sender, PlannerId(at as u32)) else {
                        continue;
                    };
                    if !guide.is_report_due(now, planner, &observations) {
                        continue;
                    }
                    if sender.may_send() {
                        let last = guides.numbering.borrow().last();
                        sender.send(&FromForwarder::Report(guide.report(
                            now,
                            planner,
                            &observations,
                            last,
                        )));
                    } else {
                        count(Counter::reports_skipped);
                    }
                }
            }
            // What was lent is not used from this moment on.
            self.tell_engine(&guides);
            self.note_urgency(&guides);
            let owns_from = guides.guide.borrow().own_share_from();
            if let Some(took) = guides.back.borrow_mut().completed(now, owns_from) {
                log::info!("back in full after {:.0} ms", took.ms());
            }
            let keeper = self.keeper.borrow().clone();
            if let Some(keeper) = keeper {
                let leave = guides.guide.borrow_mut().requested_lending_permit(now);
                leave.into_iter().for_each(|until| keeper.leave(until));
                keeper.tick(&observations);
            }
            let back = guides.doubted.borrow_mut().take_expired(now);
            if !back.is_empty() {
                log::warn!(
                    "{} hosts that were in doubt are used again: nothing more was told of them",
                    back.len()
                );
                Router::keep_lines(&guides, &back);
                self.report_lines(ListKind::Delta, back);
            }
        }
    }

    /// Tells the decision engine when what holds changes by itself.
    async fn keep_guided(self: Rc<Router>, guides: Rc<Guides>) {
        loop {
            let due = guides.guide.borrow().next_change(self.clock.now());
            let due = due.map(|due| self.clock.instant(due) + Duration::from_micros(100));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => self.tell_engine(&guides),
                () = guides.due_changed.notified() => {}
            }
        }
    }

    async fn listen_to(self: Rc<Router>, guides: Rc<Guides>, at: usize) {
        let address = guides.guidelines.planners[at];
        let mut pace =
            ReconnectBackoff::new(guides.seed ^ (at as u64 + 1) << 32, RETRY[0], RETRY[1]);
        loop {
            count(Counter::planners_connects);
            match connection::connect(address, &guides.guidelines.key).await {
                Ok((sender, receiver)) => {
                    log::info!("planner {at} at {address} is connected");
                    pace.answered(self.clock.now());
                    guides.unreached.borrow_mut().remove(&at);
                    guides
                        .guide
                        .borrow_mut()
                        .connection_opened(PlannerId(at as u32));
                    guides.speakers.borrow_mut()[at] = Some(sender);
                    guides.report_now.notify_one();
                    self.planner_connected(&guides, at, true);
                    let over = self.hear_out(&guides, at, receiver).await;
                    guides.speakers.borrow_mut()[at] = None;
                    self.planner_connected(&guides, at, false);
                    log::warn!("planner {at} at {address}: the conversation is over: {over:?}");
                }
                Err(CloseReason::Refused(why)) => {
                    count(Counter::planners_refused);
                    log::warn!("planner {at} at {address} is refused: {why}");
                }
                Err(CloseReason::Broken(why)) => log::debug!("planner {at} at {address}: {why}"),
            }
            // With the last of them unreached there is nobody to ask but the coordinator.
            let new = guides.unreached.borrow_mut().insert(at);
            if new && guides.unreached.borrow().len() == guides.guidelines.planners.len() {
                guides.urgency.expedite();
            }
            sleep(clock::to_duration(pace.pause(self.clock.now(), false))).await;
        }
    }

    async fn hear_out(&self, guides: &Guides, at: usize, mut receiver: Receiver) -> CloseReason {
        loop {
            let guidance: Guidance = match receiver.receive().await {
                Ok(FromPlanner::Guidance(guidance)) => guidance,
                Ok(FromPlanner::Delivery(delivery)) => {
                    self.delivered(guides, at, delivery);
                    continue;
                }
                Err(over) => return over,
            };
            let (now, last) = (self.clock.now(), guides.numbering.borrow().last());
            let judged =
                guides
                    .guide
                    .borrow_mut()
                    .apply_guidance(now, PlannerId(at as u32), guidance, last);
            match judged {
                Ok(events) => {
                    for relayed in events {
                        match frames::read(&relayed.frame, &self.names) {
                            Ok(event) => {
                                let last = guides.numbering.borrow().last();
                                if !guides.numbering.borrow_mut().accept_relayed(
                                    now,
                                    last,
                                    relayed.position,
                                ) {
                                    break;
                                }
                                count(Counter::events_relayed);
                                event
                                    .into_iter()
                                    .for_each(|event| self.told(relayed.position, event));
                            }
                            Err(malformed) => {
                                count(Counter::events_unreadable);
                                log::warn!("planner {at} passed on an event that is {}", malformed);
                                break;
                            }
                        }
                    }
                    self.tell_engine(guides);
                    self.note_vouched(guides);
                }
                Err(why) => {
                    count(Counter::guidance_refused);
                    log::warn!("guidance of planner {at} is refused: {why:?}");
                }
            }
        }
    }
}
