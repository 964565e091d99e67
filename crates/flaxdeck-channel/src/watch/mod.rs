//! The coordinator's connection: a [`Watch`] opens it, reads it and opens it again when it ends, as [`protocol`] says.

mod expedited_reconnect;
pub mod protocol;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxdeck::Span;
use flaxdeck_net::clock::Clock;
use flaxdeck_net::link::{Inbound, Outbound};
use flaxdeck_net::metrics::{Counter, count, count_message};
use flaxdeck_net::{clock, link};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::Numbering;
use flaxdeck_terms::Names;
use flaxdeck_terms::fields::Fields;
pub use flaxdeck_wire::frames::{Event, NumberedEvents};
use flaxdeck_wire::frames::{KnownEvents, KnownEventsError};
use flaxdeck_wire::{Parsed, frames};
use tokio::time::{Instant, sleep, timeout};

pub use expedited_reconnect::ExpeditedReconnect;
pub use protocol::WatchEvent;
use protocol::{Action, Disconnect, WatchProtocol};

/// How long a connection to the coordinator may take to come up: as long as the longest pause between two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// The two halves of a connection that is up.
struct Link {
    inbound: Inbound,
    /// Held so that the connection stays open.
    _outbound: Outbound,
}

/// Follows the coordinator. It owns the connection; the numbering is shared with whoever brings events beside it.
pub struct Watch {
    address: SocketAddr,
    names: Rc<Names>,
    clock: Clock,
    protocol: WatchProtocol,
    link: Option<Link>,
    expedited_reconnect: Rc<ExpeditedReconnect>,
    /// Others may bring the same sooner: the first connection waits.
    waits_at_first: bool,
    /// Others bring all of it: no connection is held, none is opened.
    is_paused: bool,
}

impl Watch {
    /// The watch after the events of a configuration, and these. One that trusts keeps to the platform's page, by which
    /// a number always means the same event; the other has it proven. The seed spreads its connections.
    ///
    /// # Errors
    ///
    /// If `known` does not hold the events of a configuration.
    pub fn start(
        address: SocketAddr,
        known: &Fields,
        names: Rc<Names>,
        trusts: bool,
        seed: u64,
    ) -> Result<(Watch, NumberedEvents), KnownEventsError> {
        let KnownEvents {
            last: number,
            events,
        } = frames::known_events(known, &names)?;
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
        let clock = Clock::start();
        let watch = Watch {
            address,
            names,
            clock,
            protocol: WatchProtocol::new(numbering, seed, clock.now()),
            link: None,
            expedited_reconnect: Rc::default(),
            waits_at_first: false,
            is_paused: false,
        };
        Ok((watch, events))
    }

    /// What is known of the numbering, to be moved on when others bring events.
    pub fn numbering(&self) -> Rc<RefCell<Numbering>> {
        self.protocol.numbering()
    }

    /// What tells it how urgent its next connection is. Beside planners, who may bring the same sooner, the first one
    /// waits a little.
    pub fn expedited_reconnect(&mut self, beside_planners: bool) -> Rc<ExpeditedReconnect> {
        self.waits_at_first = beside_planners;
        self.expedited_reconnect.clone()
    }

    /// Ends the connection while others bring all that the coordinator would, or has it opened again. What they bring
    /// may be late, so a numbering that is found to be another afterwards counts as not heard to its end.
    pub fn pause_while(&mut self, others_bring_all: bool) {
        if others_bring_all && !self.is_paused {
            self.hang_up(true);
        }
        self.is_paused = others_bring_all;
    }

    /// The names by which frames are read.
    pub fn names(&self) -> Rc<Names> {
        self.names.clone()
    }

    /// Whether all has come that the coordinator had when the connection came up.
    pub fn is_current(&self) -> bool {
        self.protocol.is_current()
    }

    /// Goes on with the same numbering at the coordinator of a later configuration; gives those of its events
    /// that are new here. Asks again even at the same address.
    pub fn go_on_at(&mut self, later: Watch, known: NumberedEvents) -> Vec<Event> {
        self.address = later.address;
        self.hang_up(false);
        let numbering = self.numbering();
        let mut numbering = numbering.borrow_mut();
        let is_new = |(number, event): &(u64, Event)| {
            numbering.accept_configured(EventPosition {
                number: *number,
                hash: event.hash(),
            })
        };
        known
            .into_iter()
            .filter(is_new)
            .map(|(_, event)| event)
            .collect()
    }

    fn hang_up(&mut self, by_silence: bool) {
        self.link = None;
        self.protocol.disconnected(by_silence);
    }

    /// The coordinator's next event; connections that end are opened again. May be dropped and called again without
    /// loss.
    pub async fn next(&mut self) -> WatchEvent {
        loop {
            if self.is_paused {
                std::future::pending::<()>().await;
            }
            if self.waits_at_first {
                let first = self.protocol.first_pause();
                self.wait(first).await;
                self.waits_at_first = false;
            }
            if self.link.is_none() {
                self.connect().await;
                continue;
            }
            match self.step().await {
                Action::Continue => {}
                Action::Emit(event) => {
                    count_event(&event);
                    return event;
                }
                Action::Reconnect(reason) => self.reconnect(reason).await,
            }
        }
    }

    /// Takes a frame from what was read, or reads more.
    async fn step(&mut self) -> Action {
        let Some(Link { inbound, .. }) = &mut self.link else {
            return Action::Continue;
        };
        match frames::parse(&mut inbound.bytes, &self.names) {
            Ok(Parsed::Complete(frame)) => {
                count_message(
                    [Counter::feed_messages_in, Counter::feed_bytes_in],
                    frame.bytes.len(),
                );
                self.protocol.frame(self.clock.now(), frame)
            }
            Ok(Parsed::Incomplete(missing)) => self.read(missing).await,
            Err(malformed) => self.protocol.disconnect(Disconnect::Malformed(malformed)),
        }
    }

    /// Reads until so many bytes more have come, or some of them.
    async fn read(&mut self, missing: usize) -> Action {
        let Some(Link { inbound, .. }) = &mut self.link else {
            return Action::Continue;
        };
        let begins_frame = inbound.bytes.is_empty();
        let limit = self.protocol.read_limit();
        let wait = self
            .clock
            .instant(limit.until)
            .duration_since(Instant::now());
        let read = timeout(wait, inbound.read_more(missing)).await;
        let now = self.clock.now();
        match read {
            Ok(Ok(true)) => self.protocol.bytes_read(now, begins_frame),
            Ok(Ok(false) | Err(_)) => self.protocol.disconnect(Disconnect::Ended),
            Err(_) => self.protocol.timed_out(now, limit.timeout),
        }
    }

    async fn reconnect(&mut self, reason: Disconnect) {
        self.link = None;
        if matches!(reason, Disconnect::DoesNotFollow { .. }) {
            count(Counter::feed_gaps);
        }
        log::warn!("{reason}");
        if reason.pauses() {
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let calm = self.expedited_reconnect.is_calm();
        let pause = self.protocol.next_pause(self.clock.now(), calm);
        self.wait(pause).await;
    }

    async fn wait(&mut self, pause: Span) {
        let is_expedited = tokio::select! {
            () = sleep(clock::to_duration(pause)) => false,
            () = self.expedited_reconnect.expedited() => true,
        };
        if is_expedited {
            let pause = self.protocol.expedite(self.clock.now());
            sleep(clock::to_duration(pause)).await;
        }
    }

    async fn connect(&mut self) {
        count(Counter::feed_connects);
        match timeout(CONNECT_TIMEOUT, link::connect(self.address)).await {
            Ok(Ok((inbound, outbound))) => {
                let asked = self.protocol.connected(self.clock.now());
                let asked = Bytes::copy_from_slice(&asked.to_be_bytes());
                count_message(
                    [Counter::feed_messages_out, Counter::feed_bytes_out],
                    asked.len(),
                );
                outbound.send([asked], [None, None]);
                self.link = Some(Link {
                    inbound,
                    _outbound: outbound,
                });
            }
            Ok(Err(error)) => {
                log::debug!("no connection to the coordinator: {error}");
                self.pause().await;
            }
            // It has taken as long as the longest pause.
            Err(_) => {}
        }
    }
}

fn count_event(event: &WatchEvent) {
    match event {
        WatchEvent::Heartbeat => {}
        WatchEvent::Event { .. } => count(Counter::feed_events),
        WatchEvent::Relisted { .. } => count(Counter::feed_anew),
    }
}
