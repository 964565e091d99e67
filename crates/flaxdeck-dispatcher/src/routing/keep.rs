//! What a forwarder keeps over its end, and takes up again: events, what was seen of hosts, and up to when it has
//! lent. A thread of its own writes it, so no request waits for a disk; whatever is wrong with the store, the forwarder
//! serves as one that has none. What of it is believed is decided in `flaxdeck_recovery::restored_state`.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck::{
    CellId, Endpoint, GroupId, Health, HostId, ListKind, ObjectId, Observation, PeerHint, Role,
    SourceMeasurements, Span, Time, ZoneId,
};
use flaxdeck_channel::watch::Event;
use flaxdeck_net::clock::{Clock, since_boot};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::restored_state::{self, CurrentFacts, RestoredState};
use flaxdeck_recovery::stored_state::{
    self, StateChange, StoredEndpoint, StoredPurge, StoredRating, StoredState, Uptime,
};
use flaxdeck_store::{Folder, Store, inspect};
use flaxdeck_wire::frames::AddressedEndpoint;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Things that may wait for the disk; past that a whole snapshot takes their place.
const WAITING: usize = 1_024;
/// Between snapshots: what was seen of hosts in the last of it is lost by a kill.
const EVERY: Span = Span::from_ms(2_000);
/// How long the end waits for the last snapshot.
const LAST: Duration = Duration::from_millis(200);

/// Where a forwarder keeps its state, and under which name.
#[derive(Clone, Debug)]
pub struct Keeps {
    pub folder: PathBuf,
    pub name: String,
}

enum Job {
    Snapshot(Vec<u8>),
    Record(Vec<u8>),
    /// A record, to be answered once it is on the disk.
    Leave(Vec<u8>, Time),
    Last(Vec<u8>, SyncSender<()>),
}

/// What the writer tells.
pub enum Wrote {
    Begun(u64),
    Leave(Time),
    Failed(String),
}

pub struct Keeper {
    clock: Clock,
    kept: RefCell<StoredState>,
    /// The time that a purge takes to settle at all hosts.
    settles: Span,
    jobs: SyncSender<Job>,
    wrote: RefCell<Option<UnboundedReceiver<Wrote>>>,
    /// The queue was full: what it missed comes with the next snapshot.
    behind: Cell<bool>,
    next: Cell<Time>,
    /// Leave that was asked for and not answered.
    asked: Cell<Option<Time>>,
}

fn uptime() -> Uptime {
    let (boot, ms) = since_boot();
    Uptime { boot, ms }
}

fn line(endpoint: &AddressedEndpoint) -> StoredEndpoint {
    let Endpoint {
        host,
        weight,
        zone,
        cell,
        role,
        health,
        started,
    } = endpoint.listed.clone();
    StoredEndpoint {
        host: host.0.to_string(),
        address: endpoint.address,
        weight,
        zone: zone.map(|zone| zone.0 as u32),
        cell: cell.0,
        role: match role {
            Role::Cache => 0,
            Role::Parent => 1,
            Role::Origin => 2,
        },
        health: match health {
            Health::InService => 0,
            Health::Draining => 1,
            Health::Removed => 2,
        },
        started: started.map_or(0, |at| at.ms() as u64),
    }
}

fn endpoint(line: &StoredEndpoint) -> AddressedEndpoint {
    let listed = Endpoint {
        host: HostId(line.host.as_str().into()),
        weight: line.weight,
        zone: line.zone.map(|zone| ZoneId(zone as usize)),
        cell: CellId(line.cell),
        role: [Role::Cache, Role::Parent, Role::Origin][usize::from(line.role.min(2))],
        health: [Health::InService, Health::Draining, Health::Removed]
            [usize::from(line.health.min(2))],
        started: Some(line.started)
            .filter(|ms| *ms > 0)
            .map(|ms| Time::at_ms(ms as f64)),
    };
    AddressedEndpoint {
        listed,
        address: line.address,
    }
}

/// What an earlier run left, as far as it is to be believed, in the form of events and of what was seen.
pub struct Recalled {
    pub event: Option<EventPosition>,
    pub events: Vec<Event>,
    pub hints: Vec<PeerHint>,
    pub waits: Option<Span>,
}

/// Reads the store and judges it; a store that can't be read is told of and passed over.
pub fn recall(keeps: &Keeps, clock: Clock, file: EventPosition, waits: Span) -> Recalled {
    let begun = Instant::now();
    let mut recalled = Recalled {
        event: None,
        events: Vec::new(),
        hints: Vec::new(),
        waits: None,
    };
    let mut folder = match Folder::open(&keeps.folder) {
        Ok(folder) => folder,
        Err(error) => {
            log::error!(
                "the state's folder {} can't be opened: {error}",
                keeps.folder.display()
            );
            return recalled;
        }
    };
    let found = inspect(&mut folder);
    if let Some(damage) = &found.damage {
        count(Counter::state_damaged);
        log::warn!("the state is read up to its damage, {damage}");
    }
    let Some(snapshot) = &found.snapshot else {
        log::info!("no state is kept in {}", keeps.folder.display());
        return recalled;
    };
    if found.instance != keeps.name {
        count(Counter::state_damaged);
        log::error!(
            "the state in {} is of {}, not of {}: none is used",
            keeps.folder.display(),
            found.instance,
            keeps.name
        );
        return recalled;
    }
    let Ok(kept) = StoredState::read(snapshot, &found.records) else {
        count(Counter::state_damaged);
        log::error!(
            "the state in {} is of another version: none is used",
            keeps.folder.display()
        );
        return recalled;
    };
    let RestoredState {
        last_event: event,
        endpoints: lines,
        purges,
        ratings,
        startup_wait: waits,
        verdicts,
    } = restored_state::validate(
        kept,
        CurrentFacts {
            uptime: uptime(),
            configured_event: file,
            startup_wait: waits,
        },
    );
    for verdict in verdicts {
        let word = if verdict.is_valid {
            "believed"
        } else {
            "not believed"
        };
        log::info!("kept {}: {word}: {}", verdict.item, verdict.reason);
    }
    if event.is_some() {
        recalled.events.push(Event::Hosts(
            ListKind::Full,
            lines.iter().map(endpoint).collect(),
        ));
    }
    recalled.events.extend(purges.into_iter().map(
        |StoredPurge {
             object,
             group,
             made,
         }| Event::Purged {
            object: object.map(ObjectId),
            group: GroupId(group),
            made: Time::at_ms(made as f64),
        },
    ));
    let now = clock.now();
    let ago = |ago: Option<u64>| ago.map(|ms| now - Span::from_ms(ms));
    recalled.hints = ratings
        .into_iter()
        .map(
            |StoredRating {
                 host,
                 measurements,
                 measured_ago_ms: measured_ago,
                 last_success_ago_ms: good_ago,
                 last_failure_ago_ms: bad_ago,
                 ..
             }| PeerHint {
                host: HostId(host.as_str().into()),
                quota: None,
                measurements: SourceMeasurements::from(measurements),
                measured_at: ago(measured_ago),
                down_at: ago(bad_ago),
                last_success: ago(good_ago),
                window: None,
                others_in_flight: None,
            },
        )
        .collect();
    (recalled.event, recalled.waits) = (event, waits);
    let took = begun.elapsed().as_secs_f64() * 1000.0;
    log::info!(
        "state of generation {} read in {took:.1} ms",
        found.generation
    );
    recalled
}

impl Keeper {
    /// Begins to keep, from what is known now.
    pub fn begin(
        keeps: &Keeps,
        clock: Clock,
        settles: Span,
        events: &[Event],
        event: EventPosition,
    ) -> Rc<Keeper> {
        let mut kept = StoredState {
            written: uptime(),
            last_event: event,
            ..StoredState::default()
        };
        for told in events {
            kept.apply(later(event, told));
        }
        kept.forget_settled(clock.now(), settles);
        let (jobs, work) = sync_channel(WAITING);
        let (tells, wrote) = unbounded_channel();
        let (folder, name, first) = (
            keeps.folder.clone(),
            keeps.name.clone(),
            stored_state::encode(&kept),
        );
        thread::spawn(move || write(&folder, &name, &first, work, &tells));
        Rc::new(Keeper {
            clock,
            kept: RefCell::new(kept),
            settles,
            jobs,
            wrote: RefCell::new(Some(wrote)),
            behind: Cell::new(false),
            next: Cell::new(clock.now() + EVERY),
            asked: Cell::new(None),
        })
    }

    /// What the writer tells, for one listener.
    pub fn wrote(&self) -> Option<UnboundedReceiver<Wrote>> {
        self.wrote.borrow_mut().take()
    }

    fn give(&self, job: Job) {
        if let Err(TrySendError::Full(_)) = self.jobs.try_send(job) {
            count(Counter::state_behind);
            self.behind.set(true);
        }
    }

    /// An event was applied.
    pub fn event(&self, mark: EventPosition, event: &Event) {
        let later = later(mark, event);
        self.give(Job::Record(stored_state::encode(&later)));
        self.kept.borrow_mut().apply(later);
    }

    /// Has leave to lend kept, unless some is on its way.
    pub fn leave(&self, until: Time) {
        let now = self.clock.now();
        if self.asked.get().is_some_and(|asked| asked > now) {
            return;
        }
        self.asked.set(Some(until));
        let up = uptime();
        let until_up = Uptime {
            ms: up.ms + until.since(now).ms().ceil() as u64 + 10,
            ..up
        };
        let later = StateChange::LendingPermit(until_up);
        self.give(Job::Leave(stored_state::encode(&later), until));
        self.kept.borrow_mut().apply(later);
    }

    pub fn answered(&self) {
        self.asked.set(None);
    }

    fn whole(&self, observations: &[Observation]) -> Vec<u8> {
        let now = self.clock.now();
        let ago = |at: Option<Time>| at.map(|at| now.since(at).ms() as u64);
        let seen = observations.iter().filter(|observation| {
            [
                observation.measured_at,
                observation.last_success,
                observation.last_failure,
            ]
            .iter()
            .any(Option::is_some)
        });
        let rating = |observation: &Observation| StoredRating {
            host: observation.host.0.to_string(),
            started: observation.started.map_or(0, |at| at.ms() as u64),
            measurements: observation.measurements.into(),
            measured_ago_ms: ago(observation.measured_at),
            last_success_ago_ms: ago(observation.last_success),
            last_failure_ago_ms: ago(observation.last_failure),
        };
        let mut kept = self.kept.borrow_mut();
        kept.forget_settled(now, self.settles);
        (kept.written, kept.ratings) = (uptime(), seen.map(rating).collect());
        stored_state::encode(&*kept)
    }

    /// Keeps a whole state if it is time.
    pub fn tick(&self, observations: &[Observation]) {
        let now = self.clock.now();
        if now >= self.next.get() || self.behind.replace(false) {
            self.next.set(now + EVERY);
            self.give(Job::Snapshot(self.whole(observations)));
        }
    }

    /// Keeps a last whole state, and waits for the disk a little.
    pub fn last(&self, observations: &[Observation]) {
        let (done, written) = sync_channel(1);
        self.give(Job::Last(self.whole(observations), done));
        let _ = written.recv_timeout(LAST); // what it does not take by then is as after a kill
    }
}

fn later(mark: EventPosition, event: &Event) -> StateChange {
    match event {
        Event::Hosts(ListKind::Full, endpoints) => {
            StateChange::FullList(mark, endpoints.iter().map(line).collect())
        }
        Event::Hosts(ListKind::Delta, endpoints) => {
            StateChange::Endpoints(mark, endpoints.iter().map(line).collect())
        }
        Event::Purged {
            object,
            group,
            made,
        } => {
            let object = object.map(|object| object.0);
            StateChange::Purged(
                mark,
                StoredPurge {
                    object,
                    group: group.0,
                    made: made.ms() as u64,
                },
            )
        }
    }
}

fn write(
    folder: &Path,
    name: &str,
    first: &[u8],
    work: Receiver<Job>,
    tells: &UnboundedSender<Wrote>,
) {
    let disk = Folder::open(folder).map_err(flaxdeck_store::StoreError::folder);
    let mut store = match disk.and_then(|disk| Store::begin(disk, name, first)) {
        Ok(store) => store,
        Err(broken) => return drop(tells.send(Wrote::Failed(broken.to_string()))),
    };
    let _ = tells.send(Wrote::Begun(store.generation()));
    for job in work {
        let told = match job {
            Job::Snapshot(bytes) => store.snapshot(&bytes),
            Job::Record(bytes) => store.record(&bytes),
            Job::Leave(bytes, until) => store
                .record(&bytes)
                .map(|()| drop(tells.send(Wrote::Leave(until)))),
            Job::Last(bytes, done) => {
                let told = store.snapshot(&bytes);
                let _ = done.try_send(()); // whoever waited has gone on
                told
            }
        };
        if let Err(broken) = told {
            let _ = tells.send(Wrote::Failed(broken.to_string()));
            return;
        }
    }
}
