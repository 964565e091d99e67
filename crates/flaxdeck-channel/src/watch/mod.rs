//! The connection to the coordinator. A [`Watch`] opens it, reads events from it and reopens it when it ends; what to
//! do when is decided in [`protocol`].

pub mod arrival;
mod completeness;
mod expedited_reconnect;
pub mod protocol;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxdeck::{CoordinatorKnowledge, Span};
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

use arrival::ReadBytes;
pub use completeness::Completeness;
pub use expedited_reconnect::ExpeditedReconnect;
pub use protocol::WatchEvent;
use protocol::{Action, Disconnect, WatchProtocol};

/// Time limit for connecting to the coordinator: the same as the longest pause between two attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// The two halves of an open connection.
struct Link {
    inbound: Inbound,
    /// Owned so that the connection stays open.
    _outbound: Outbound,
}

/// Follows the coordinator's events. Owns the connection; shares the numbering with the client of the planners, which
/// advances it when planners relay events.
pub struct Watch {
    address: SocketAddr,
    names: Rc<Names>,
    clock: Clock,
    protocol: WatchProtocol,
    link: Option<Link>,
    expedited_reconnect: Rc<ExpeditedReconnect>,
    completeness: Rc<Completeness>,
    /// The first connection is delayed, as planners may relay the same events sooner.
    delays_first_connection: bool,
    /// Planners relay all events: no connection is open, and none is opened.
    is_paused: bool,
}

impl Watch {
    /// Creates a watch that continues after the events of a configuration, and returns those events too. With
    /// `trusts_numbers` a number always identifies the same event, as the platform's documentation says; without, each
    /// connection has to prove the numbering. `seed` randomizes the pauses between connections.
    ///
    /// # Errors
    ///
    /// If the events of the configuration can't be read from `known`.
    pub fn start(
        address: SocketAddr,
        known: &Fields,
        names: Rc<Names>,
        trusts_numbers: bool,
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
        let numbering = if trusts_numbers {
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
            completeness: Rc::new(Completeness::of_configuration()),
            delays_first_connection: false,
            is_paused: false,
        };
        Ok((watch, events))
    }

    /// Returns the shared state of the numbering. Events that planners relay advance it too.
    pub fn numbering(&self) -> Rc<RefCell<Numbering>> {
        self.protocol.numbering()
    }

    /// Returns the shared urgency of the next connection. With planners, which may relay the same events sooner, the
    /// first connection is delayed.
    pub fn expedited_reconnect(&mut self, has_planners: bool) -> Rc<ExpeditedReconnect> {
        self.delays_first_connection = has_planners;
        self.expedited_reconnect.clone()
    }

    /// Returns the shared time as of which all events of the coordinator are known.
    pub fn completeness(&self) -> Rc<Completeness> {
        self.completeness.clone()
    }

    /// Closes the connection while planners relay all events, or lets it be opened again. Planners may lag behind, so
    /// if the coordinator turns out to use another numbering afterwards, events of the previous one may have been
    /// missed.
    pub fn set_paused(&mut self, is_paused: bool) {
        if is_paused && !self.is_paused {
            self.close_connection(true);
        }
        self.is_paused = is_paused;
    }

    /// Returns the platform's names that frames are parsed with.
    pub fn names(&self) -> Rc<Names> {
        self.names.clone()
    }

    /// Returns whether a heartbeat on this connection has shown that all events were known, so that later ones arrive
    /// as they happen.
    pub fn is_live(&self) -> bool {
        self.protocol.is_live()
    }

    /// Returns what is known of the coordinator's events, with times by another clock of this process.
    pub fn knowledge(&self, clock: &Clock) -> CoordinatorKnowledge {
        CoordinatorKnowledge {
            is_caught_up: self.protocol.is_caught_up(),
            complete_as_of: self.completeness.by_heartbeat(clock),
        }
    }

    /// Switches to the coordinator of a reloaded configuration, with the same numbering. Returns those events of the
    /// configuration that are new to this instance. Reconnects even if the address is the same.
    pub fn switch_coordinator(&mut self, reloaded: Watch, known: NumberedEvents) -> Vec<Event> {
        self.address = reloaded.address;
        self.close_connection(false);
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

    fn close_connection(&mut self, is_incomplete: bool) {
        self.link = None;
        self.protocol.disconnected(is_incomplete);
    }

    /// Returns the coordinator's next event. Reopens connections that end. Cancel-safe: dropping the future loses no
    /// events.
    pub async fn next(&mut self) -> WatchEvent {
        loop {
            if self.is_paused {
                std::future::pending::<()>().await;
            }
            if self.delays_first_connection {
                let delay = self.protocol.initial_delay();
                self.wait(delay).await;
                self.delays_first_connection = false;
            }
            if self.link.is_none() {
                self.connect().await;
                continue;
            }
            match self.step().await {
                Action::Continue => {}
                Action::Emit(event) => {
                    count_event(&event);
                    if matches!(event, WatchEvent::Heartbeat) {
                        self.note_complete();
                    }
                    return event;
                }
                Action::Reconnect(reason) => self.reconnect(reason).await,
            }
        }
    }

    /// Handles the next frame of the read buffer, or reads more bytes if it is incomplete.
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

    /// Reads some more bytes, up to the time limit of the protocol. `missing` is how many the frame lacks at least.
    async fn read(&mut self, missing: usize) -> Action {
        let Some(Link { inbound, .. }) = &mut self.link else {
            return Action::Continue;
        };
        let begins_frame = inbound.bytes.is_empty();
        let limit = self.protocol.read_limit();
        let idle_check = self.protocol.next_idle_check();
        let wait = self
            .clock
            .instant(limit.until.min(idle_check))
            .duration_since(Instant::now());
        let read = timeout(wait, inbound.read_more(missing)).await;
        let now = self.clock.now();
        match read {
            Ok(Ok(true)) => {
                let read = ReadBytes {
                    begins_frame,
                    // A read that leaves free space in the buffer has taken everything.
                    emptied_socket: inbound.bytes.len() < inbound.bytes.capacity(),
                };
                self.protocol.bytes_read(now, read)
            }
            Ok(Ok(false) | Err(_)) => self.protocol.disconnect(Disconnect::Ended),
            Err(_) if now >= limit.until => self.protocol.timed_out(now, limit.timeout),
            Err(_) => {
                // The timer may have fired late. Nothing had arrived when it was due.
                self.protocol.idle_checked(idle_check);
                Action::Continue
            }
        }
    }

    /// Notes as of when the coordinator's heartbeats have shown that all events are known.
    fn note_complete(&self) {
        if let Some(as_of) = self.protocol.complete_as_of() {
            self.completeness
                .note_heartbeat(self.clock.instant(as_of.time()));
        }
    }

    async fn reconnect(&mut self, reason: Disconnect) {
        self.link = None;
        if matches!(reason, Disconnect::DoesNotFollow { .. }) {
            count(Counter::feed_gaps);
        }
        log::warn!(
            "reconnecting to the coordinator at {}: {reason}",
            self.address
        );
        if reason.pauses() {
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let is_relaxed = self.expedited_reconnect.is_relaxed();
        let pause = self.protocol.next_pause(self.clock.now(), is_relaxed);
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
                let requested_after = self.protocol.connected(self.clock.now());
                let request = Bytes::copy_from_slice(&requested_after.to_be_bytes());
                count_message(
                    [Counter::feed_messages_out, Counter::feed_bytes_out],
                    request.len(),
                );
                outbound.send([request], [None, None]);
                self.link = Some(Link {
                    inbound,
                    _outbound: outbound,
                });
            }
            Ok(Err(error)) => {
                log::debug!("no connection to the coordinator: {error}");
                self.pause().await;
            }
            // Retries without a pause: the attempt has already taken as long as the longest one.
            Err(_) => {}
        }
    }
}

fn count_event(event: &WatchEvent) {
    match event {
        WatchEvent::Heartbeat | WatchEvent::CaughtUp => {}
        WatchEvent::Event { .. } => count(Counter::feed_events),
        WatchEvent::FullList { .. } => count(Counter::feed_anew),
    }
}
