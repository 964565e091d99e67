//! The coordinator's connection. What follows what, and whether the numbering is still the one known here, is decided
//! in `flaxdeck_recovery::numbering`.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxdeck::{Span, Time};
use flaxdeck_recovery::numbering::{EventAction, MissedPeriod, Numbering, ReconnectReason};
use flaxdeck_recovery::{EventPosition, LiveEdge, ReconnectBackoff};
use flaxdeck_terms::Names;
use flaxdeck_terms::fields::Fields;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use flaxdeck_net::clock::{self, Clock};
use flaxdeck_net::link::{self, Inbound, Outbound};
use flaxdeck_net::metrics::{Counter, count, count_message};
use flaxdeck_wire::Parsed;
use flaxdeck_wire::frames::{self, Frame, KnownEvents};
pub use flaxdeck_wire::frames::{Event, NumberedEvents};

/// A frame comes each second; two missing are a dead connection. What a coordinator that stopped would have told
/// counts as told after 4 s, so the rest is for the new connection.
const SILENT: Duration = Duration::from_millis(2200);
/// How long a connection to the coordinator may take to come up: as long as the longest pause between two tries.
const CONNECT: Duration = Duration::from_millis(900);
/// Between tries: short at first, since what is told counts as told while no connection is up; at most so long that the
/// watch is back within a second of the coordinator, with a far trip and a busy machine's delay for the rest.
const RETRY: [Span; 2] = [Span::from_ms(100), Span::from_ms(900)];

/// Whether others tell what the coordinator would, so that a call to it has time.
#[derive(Default)]
pub struct ExpeditedReconnect {
    calm: Cell<bool>,
    expedite: Notify,
}

impl ExpeditedReconnect {
    /// Nobody else can be asked.
    pub fn expedite(&self) {
        self.calm.set(false);
        self.expedite.notify_one();
    }

    pub fn set_calm(&self, calm: bool) {
        if self.calm.replace(calm) && !calm {
            self.expedite();
        }
    }
}

/// What the coordinator says.
pub enum WatchEvent {
    /// Nothing new, but it is there.
    Heartbeat,
    /// An event that follows, and the frame that it came in, for who passes it on.
    Event(EventPosition, Bytes, Event),
    /// A whole list in place of all that was known.
    Relisted(EventPosition, Event, Option<MissedPeriod>),
}

pub struct Watch {
    address: SocketAddr,
    names: Rc<Names>,
    clock: Clock,
    /// Others may bring events as well, and move it on.
    numbering: Rc<RefCell<Numbering>>,
    pace: ReconnectBackoff,
    link: Option<(Inbound, Outbound)>,
    urgency: Rc<ExpeditedReconnect>,
    /// Others may tell the same sooner: the first call waits.
    waits: bool,
    /// Others tell all of it: no link is held, none is opened.
    paused: bool,
    /// When the link came up, last had a whole frame, or began one.
    heard: Instant,
    /// It has been told that all has come which the coordinator had when the link came up.
    told_current: bool,
    /// Tells that where events come without a pause.
    live_edge: LiveEdge,
}

impl Watch {
    /// The watch after the events of a configuration, and these. One that trusts keeps to the platform's page, by which
    /// a number always means the same event; the other has it proven. The seed spreads its calls.
    pub fn start(
        address: SocketAddr,
        known: &Fields,
        names: Rc<Names>,
        trusts: bool,
        seed: u64,
    ) -> Result<(Watch, NumberedEvents), String> {
        let known = frames::known_events(known, &names).map_err(|fault| fault.to_string())?;
        let KnownEvents {
            last: number,
            events,
        } = known;
        let hash = events
            .last()
            .filter(|(last, _)| *last == number)
            .map_or(0, |(_, event)| event.hash());
        let last = EventPosition { number, hash };
        let numbering = if trusts {
            Numbering::with_trusted_numbers(last)
        } else {
            Numbering::new(last)
        };
        let numbering = Rc::new(RefCell::new(numbering));
        let (pace, clock) = (
            ReconnectBackoff::new(seed, RETRY[0], RETRY[1]),
            Clock::start(),
        );
        let (urgency, waits, paused) = (Rc::default(), false, false);
        let (heard, told_current, link, live_edge) =
            (Instant::now(), false, None, LiveEdge::default());
        let watch = Watch {
            address,
            names,
            clock,
            numbering,
            pace,
            link,
            urgency,
            waits,
            paused,
            heard,
            told_current,
            live_edge,
        };
        Ok((watch, events))
    }

    /// What is known of the numbering, to be moved on when others bring events.
    pub fn numbering(&self) -> Rc<RefCell<Numbering>> {
        self.numbering.clone()
    }

    /// What tells it when to expedite. Beside planners, who may tell the same sooner, the first call waits a little.
    pub fn urgency(&mut self, beside_planners: bool) -> Rc<ExpeditedReconnect> {
        self.waits = beside_planners;
        self.urgency.clone()
    }

    /// Ends the link while others tell all that the coordinator would, or has it opened again. What they tell may be
    /// late, so a numbering that is found to be another afterwards counts as not heard to its end.
    pub fn pause_while(&mut self, others_tell: bool) {
        if others_tell && !self.paused {
            self.hang_up(true);
        }
        self.paused = others_tell;
    }

    /// The names by which frames are read.
    pub fn names(&self) -> Rc<Names> {
        self.names.clone()
    }

    /// Whether all has come that the coordinator had to tell when the link came up.
    pub fn is_current(&self) -> bool {
        self.told_current
    }

    /// Goes on with the same numbering at the coordinator of a later configuration; gives those of its events
    /// that are new here. Asks again even at the same address.
    pub fn go_on_at(&mut self, later: Watch, known: NumberedEvents) -> Vec<Event> {
        self.address = later.address;
        self.hang_up(false);
        let mut numbering = self.numbering.borrow_mut();
        let news = known.into_iter().filter_map(|(number, event)| {
            numbering
                .accept_configured(EventPosition {
                    number,
                    hash: event.hash(),
                })
                .then_some(event)
        });
        news.collect()
    }

    fn hang_up(&mut self, by_silence: bool) {
        (self.link, self.told_current, self.live_edge) = (None, false, LiveEdge::default());
        self.numbering.borrow_mut().connection_closed(by_silence);
    }

    async fn pause(&mut self) {
        let pause = self.pace.pause(self.clock.now(), self.urgency.calm.get());
        self.wait(pause).await;
    }

    /// All that expedite at once still draw a pause each.
    async fn wait(&mut self, pause: Span) {
        let hurries = tokio::select! {
            () = sleep(clock::to_duration(pause)) => false,
            () = self.urgency.expedite.notified() => true,
        };
        if hurries {
            self.pace.expedite();
            let pause = self.pace.pause(self.clock.now(), false);
            sleep(clock::to_duration(pause)).await;
        }
    }

    /// The coordinator's next word; connections that end are opened again.
    pub async fn next(&mut self) -> WatchEvent {
        loop {
            if self.paused {
                std::future::pending::<()>().await;
            }
            if self.waits {
                let first = self.pace.initial_delay();
                self.wait(first).await;
                self.waits = false;
            }
            let Some((inbound, _)) = &mut self.link else {
                self.connect().await;
                continue;
            };
            let parsed = frames::parse(&mut inbound.bytes, &self.names);
            if let Ok(Parsed::Complete(frame)) = &parsed {
                count_message(
                    [Counter::feed_messages_in, Counter::feed_bytes_in],
                    frame.bytes.len(),
                );
                self.heard = Instant::now();
            }
            match parsed {
                Ok(Parsed::Complete(Frame { event: None, .. })) => {
                    let now = self.clock.now();
                    let next = self.numbering.borrow_mut().receive_heartbeat(now);
                    if next == EventAction::Skip {
                        self.pace.answered(now);
                        self.told_current = true;
                        return WatchEvent::Heartbeat;
                    }
                    log::warn!("the coordinator has nothing where it was asked: {next:?}");
                    self.hang_up(false);
                    self.pause().await;
                }
                Ok(Parsed::Complete(Frame {
                    number,
                    bytes: frame,
                    event: Some(event),
                })) => {
                    let (now, whole) = (self.clock.now(), event.is_full_list());
                    self.note_live(now, &event);
                    let mark = EventPosition {
                        number,
                        hash: event.hash(),
                    };
                    let next = self.numbering.borrow_mut().receive(now, mark, whole);
                    match next {
                        EventAction::Skip => {}
                        EventAction::Apply => {
                            self.pace.answered(now);
                            count(Counter::feed_events);
                            return WatchEvent::Event(mark, frame, event);
                        }
                        EventAction::Replace(doubt) => {
                            self.pace.answered(now);
                            count(Counter::feed_anew);
                            return WatchEvent::Relisted(mark, event, doubt);
                        }
                        EventAction::Reconnect(why) => {
                            count(Counter::feed_gaps);
                            log::warn!(
                                "event {number} does not follow what is known: {why:?}, asking again"
                            );
                            self.hang_up(false);
                            // It has answered, and the next link asks for all: that ends this at once.
                            if why == ReconnectReason::NoList {
                                self.pause().await;
                            }
                        }
                    }
                }
                Ok(Parsed::Incomplete(more)) => {
                    // All that was on its way has come once nothing more does for a moment; what has to come at once
                    // and does not is not there.
                    let (settles, proves) = {
                        let numbering = self.numbering.borrow();
                        (
                            numbering.current_at().filter(|_| !self.told_current),
                            numbering.proof_due(),
                        )
                    };
                    let due = [settles, proves]
                        .into_iter()
                        .flatten()
                        .min()
                        .map(|at| self.clock.instant(at) + Duration::from_millis(1));
                    // Guards against a frame that comes byte by byte and never ends.
                    let silent = self.heard + SILENT;
                    let limit = due.unwrap_or(silent).duration_since(Instant::now());
                    let begins = inbound.bytes.is_empty();
                    match timeout(limit, inbound.read_more(more)).await {
                        Ok(Ok(true)) if begins => self.heard = Instant::now(),
                        Ok(Ok(true)) if Instant::now() < silent => {}
                        Err(_) if settles.is_some() && settles <= proves.or(settles) => {
                            self.told_current =
                                self.numbering.borrow().is_current(self.clock.now());
                            if self.told_current {
                                self.pace.answered(self.clock.now());
                                return WatchEvent::Heartbeat;
                            }
                        }
                        Err(_) if proves.is_some() => {
                            let next = self.numbering.borrow_mut().proof_overdue(self.clock.now());
                            log::warn!("the coordinator has nothing where it was asked: {next:?}");
                            self.hang_up(false);
                            self.pause().await;
                        }
                        ended => {
                            log::warn!("the coordinator's connection has ended");
                            self.hang_up(ended.is_err());
                            self.pause().await;
                        }
                    }
                }
                Err(why) => {
                    log::warn!("the coordinator's connection is closed: {why}");
                    self.hang_up(false);
                    self.pause().await;
                }
            }
        }
    }

    /// Notes that events come as they happen, where they come without a pause.
    fn note_live(&mut self, now: Time, event: &Event) {
        let Event::Purged { made, .. } = event else {
            return;
        };
        let live = self.live_edge.record_event(now, *made) && self.numbering.borrow().is_proven();
        self.told_current |= live;
    }

    async fn connect(&mut self) {
        count(Counter::feed_connects);
        match timeout(CONNECT, link::connect(self.address)).await {
            Ok(Ok((inbound, outbound))) => {
                let asked = self
                    .numbering
                    .borrow_mut()
                    .connection_opened(self.clock.now());
                let asked = Bytes::copy_from_slice(&asked.to_be_bytes());
                count_message(
                    [Counter::feed_messages_out, Counter::feed_bytes_out],
                    asked.len(),
                );
                outbound.send([asked], [None, None]);
                self.heard = Instant::now();
                (self.link, self.told_current) = (Some((inbound, outbound)), false);
                self.live_edge = LiveEdge::default();
            }
            Ok(Err(error)) => {
                log::debug!("no connection to the coordinator: {error}");
                self.pause().await;
            }
            Err(_) => {}
        }
    }
}
