//! The connection to the coordinator. A [`Watch`] opens it, reads events from it and reopens it when it ends; what to
//! do when is decided in [`protocol`].

mod expedited_reconnect;
mod last_heard;
pub mod protocol;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxdeck::{Span, Time};
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
pub use last_heard::LastHeard;
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
    last_heard: Rc<LastHeard>,
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
            last_heard: Rc::new(LastHeard::now()),
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

    /// Returns the shared time at which all events of the coordinator were last known.
    pub fn last_heard(&self) -> Rc<LastHeard> {
        self.last_heard.clone()
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

    /// Returns whether all events have been received that the coordinator had when the connection was opened.
    pub fn is_current(&self) -> bool {
        self.protocol.is_current()
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
                        self.note_current();
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
        let wait = self
            .clock
            .instant(limit.until)
            .duration_since(Instant::now());
        let read = timeout(wait, inbound.read_more(missing)).await;
        let now = self.clock.now();
        match read {
            Ok(Ok(true)) => self.protocol.bytes_read(now, begins_frame),
            Ok(Ok(false)) => {
                if begins_frame {
                    self.note_orderly_end(now);
                }
                self.protocol.disconnect(Disconnect::Ended)
            }
            Ok(Err(_)) => self.protocol.disconnect(Disconnect::Ended),
            Err(_) => self.protocol.timed_out(now, limit.timeout),
        }
    }

    /// Notes that all events are known that the coordinator had when it sent its last frame. A connection on which it
    /// has sent none confirms nothing: the system also accepts connections for a process that hangs.
    fn note_current(&self) {
        if let Some(at) = self.protocol.last_frame_at() {
            self.last_heard.heard_at(self.clock.instant(at));
        }
    }

    /// Notes what the end of a connection at the boundary of a frame confirms: all events so far if they came as they
    /// happened, else those that the coordinator had when it sent its last frame.
    fn note_orderly_end(&self, now: Time) {
        if self.protocol.is_live(now) {
            self.last_heard.heard_at(self.clock.instant(now));
        } else {
            self.note_current();
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
        WatchEvent::Heartbeat => {}
        WatchEvent::Event { .. } => count(Counter::feed_events),
        WatchEvent::FullList { .. } => count(Counter::feed_anew),
    }
}
