//! What of stored state may be believed, item by item. Facts decide: the host's start, the coordinator's numbering, the
//! instance's own name. Age decides only where a clock can vouch for it, which is the machine's count since it booted
//! and no wall clock: that may have been set either way in between.

use std::collections::BTreeMap;

use flaxdeck::{GroupId, Span, Time};
use serde::{Deserialize, Serialize};

use crate::numbering::EventPosition;

/// Measures of a source older than this are not taken over: its own trials know better by then.
const MEASURES_LAST: Span = Span::from_ms(60_000);
/// Who failed or answered longer ago than this may be otherwise by now.
const CONTACTS_LAST: Span = Span::from_ms(10_000);

/// A moment by the machine's own count since it booted; the same boot has the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Uptime {
    pub boot: u64,
    pub ms: u64,
}

impl Uptime {
    /// How long ago that was; none if nothing can vouch for it.
    pub fn since(self, earlier: Uptime) -> Option<Span> {
        (self.boot != 0 && self.boot == earlier.boot && self.ms >= earlier.ms)
            .then(|| Span::from_ms(self.ms - earlier.ms))
    }
}

/// A host's line as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEndpoint {
    pub host: String,
    pub address: std::net::SocketAddr,
    pub weight: f64,
    pub zone: Option<u32>,
    pub cell: u64,
    pub role: u8,
    pub health: u8,
    /// Milliseconds of Unix time; zero for long past.
    pub started: u64,
}

/// What was seen of a host here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRating {
    pub host: String,
    pub started: u64,
    pub measures: [Option<f64>; 2],
    /// How long before it was written each was true, in milliseconds.
    pub measured_ago: Option<u64>,
    pub good_ago: Option<u64>,
    pub bad_ago: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPurge {
    pub object: Option<u64>,
    pub group: u64,
    /// Milliseconds of Unix time, by the coordinator.
    pub made: u64,
}

/// All that an instance keeps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredState {
    pub written: Uptime,
    pub event: EventPosition,
    pub lines: Vec<StoredEndpoint>,
    pub purges: Vec<StoredPurge>,
    pub ratings: Vec<StoredRating>,
    /// Nothing that was lent is out after that; none if nothing ever was.
    pub lent_until: Option<Uptime>,
}

/// One thing more, after a whole state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StateChange {
    Lines(EventPosition, Vec<StoredEndpoint>),
    /// In place of all lines before.
    Whole(EventPosition, Vec<StoredEndpoint>),
    Purged(EventPosition, StoredPurge),
    /// Leave to lend until then.
    LendsUntil(Uptime),
}

/// Purges kept at most: ten times what comes in within a usual time to settle. Beyond it the oldest are folded into one
/// purge of all copies from before them.
pub const MAX_PURGES: usize = 32_768;
/// How many are folded at once.
const FOLDED: usize = MAX_PURGES / 16;
/// Beyond the time to settle purges are kept for so long: for clocks of hosts that run apart.
const SETTLE_MARGIN: Span = Span::from_ms(500);

/// Bytes that are no state of this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

fn whole<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Unreadable> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|_| Unreadable)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(Unreadable)
    }
}

/// The bytes of a whole state, or of one thing more.
pub fn bytes(state: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(state).unwrap_or_default() // into memory: never fails
}

impl StoredState {
    /// A whole state and what came after it, as a store gives them back.
    pub fn read(snapshot: &[u8], records: &[Vec<u8>]) -> Result<StoredState, Unreadable> {
        let mut kept: StoredState = whole(snapshot)?;
        for record in records {
            kept.add(whole(record)?);
        }
        Ok(kept)
    }

    pub fn add(&mut self, later: StateChange) {
        match later {
            StateChange::Lines(mark, lines) => {
                self.event = mark;
                let mut all: BTreeMap<String, StoredEndpoint> = std::mem::take(&mut self.lines)
                    .into_iter()
                    .map(|line| (line.host.clone(), line))
                    .collect();
                all.extend(lines.into_iter().map(|line| (line.host.clone(), line)));
                self.lines = all.into_values().collect();
            }
            StateChange::Whole(mark, lines) => (self.event, self.lines) = (mark, lines),
            StateChange::Purged(mark, purge) => {
                self.event = mark;
                self.purges.push(purge);
                if self.purges.len() > MAX_PURGES {
                    self.fold_oldest_purges();
                }
            }
            StateChange::LendsUntil(until) => self.lent_until = Some(until),
        }
    }

    /// Forgets purges that have settled: hosts have dropped what they concern. `now` is this machine's wall clock; the time
    /// counts from the earlier of that and the latest purge, as either clock may be ahead.
    pub fn forget_settled(&mut self, now: Time, settles: Span) {
        let latest = self
            .purges
            .iter()
            .map(|purge| purge.made)
            .max()
            .unwrap_or(0);
        let from = latest.min(now.ms() as u64);
        let kept_for = (settles + SETTLE_MARGIN).ms().ceil() as u64;
        self.purges
            .retain(|purge| purge.made.saturating_add(kept_for) >= from);
    }

    /// The oldest purges become one of all copies from before the latest of them, which asks for no less.
    fn fold_oldest_purges(&mut self) {
        self.purges.sort_by_key(|purge| purge.made);
        let oldest = self.purges.drain(..=FOLDED);
        let Some(made) = oldest.map(|purge| purge.made).max() else {
            return;
        };
        self.purges.insert(
            0,
            StoredPurge {
                object: None,
                group: GroupId::ALL.0,
                made,
            },
        );
    }
}

/// What is believed of one item, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub item: &'static str,
    pub believed: bool,
    pub why: String,
}

/// What an instance may count on from the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// To be proven by the next link to the coordinator.
    pub event: Option<EventPosition>,
    pub lines: Vec<StoredEndpoint>,
    pub purges: Vec<StoredPurge>,
    /// Ratings with ages as of now.
    pub ratings: Vec<StoredRating>,
    /// How long the own shares of cold hosts are left alone, if that is known.
    pub waits: Option<Span>,
    pub verdicts: Vec<Verdict>,
}

/// The facts that stored state is held against.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub uptime: Uptime,
    /// The last event of the configuration that the instance starts with.
    pub file: EventPosition,
    /// How long its own shares would be left alone if nothing was known.
    pub waits: Span,
}

/// Goes through what was kept, in the order in which one thing rests on the other.
pub fn judge(kept: StoredState, now: Now) -> RestoredState {
    let mut believed = RestoredState::default();
    let age = now.uptime.since(kept.written);
    let told = |span: Span| format!("{:.1} s", span.ms() / 1000.0);
    let mut say = |item, yes: bool, why: String| {
        believed.verdicts.push(Verdict {
            item,
            believed: yes,
            why,
        })
    };
    match age {
        Some(age) => say(
            "age",
            true,
            format!("written {} ago by the machine's own count", told(age)),
        ),
        None => say(
            "age",
            false,
            "the machine has booted since, and a wall clock vouches for nothing".into(),
        ),
    }
    // A number is only a claim: the coordinator has to prove it, so a wrong one costs a whole list and no more.
    let newer = kept.event.number >= now.file.number && kept.event != EventPosition::NONE;
    let event = kept.event.number;
    if newer {
        say(
            "event",
            true,
            format!("{event}, to be proven by the coordinator's next word"),
        );
        say(
            "hosts",
            true,
            format!(
                "{} lines as of that event, not vouched for until then",
                kept.lines.len()
            ),
        );
        (believed.event, believed.lines) = (Some(kept.event), kept.lines);
    } else {
        say(
            "event",
            false,
            format!("{event}, and the configuration has {}", now.file.number),
        );
        say(
            "hosts",
            false,
            "the configuration's list is of a later event".into(),
        );
    }
    // One believed in vain costs a fill; one forgotten hands out what was purged.
    say(
        "purges",
        true,
        format!("{}: they only limit the age of copies", kept.purges.len()),
    );
    believed.purges = kept.purges;
    let starts: BTreeMap<&str, u64> = believed
        .lines
        .iter()
        .map(|line| (&*line.host, line.started))
        .collect();
    let rating = |rating: StoredRating| {
        let passed = age?.ms() as u64;
        let within = |ago: Option<u64>, most: Span| {
            ago.map(|ago| ago + passed)
                .filter(|ago| Span::from_ms(*ago) <= most)
        };
        let same = starts.get(&*rating.host) == Some(&rating.started);
        let measured_ago = within(rating.measured_ago, MEASURES_LAST);
        let (good_ago, bad_ago) = (
            within(rating.good_ago, CONTACTS_LAST),
            within(rating.bad_ago, CONTACTS_LAST),
        );
        let measures = if measured_ago.is_some() {
            rating.measures
        } else {
            [None; 2]
        };
        let some = measured_ago.is_some() || good_ago.is_some() || bad_ago.is_some();
        (same && some).then_some(StoredRating {
            measures,
            measured_ago,
            good_ago,
            bad_ago,
            ..rating
        })
    };
    let count = kept.ratings.len();
    let ratings: Vec<StoredRating> = kept.ratings.into_iter().filter_map(rating).collect();
    let why = "of the same start and young enough; a first failed contact outweighs them";
    say(
        "ratings",
        !ratings.is_empty(),
        format!("{} of {count} are {why}", ratings.len()),
    );
    believed.ratings = ratings;
    // What was lent is told to be so before it is, so nothing can be out that is not kept.
    let left = kept.lent_until.map_or(Some(Span::ZERO), |until| {
        (until.boot == now.uptime.boot)
            .then(|| Span::from_ms(until.ms.saturating_sub(now.uptime.ms)))
    });
    let waits = left
        .filter(|_| age.is_some())
        .map(|left| if left < now.waits { left } else { now.waits });
    match waits {
        Some(waits) => say(
            "shares",
            true,
            format!("nothing that was lent is out after {}", told(waits)),
        ),
        None => say(
            "shares",
            false,
            format!(
                "left alone for {}, as if all had been lent",
                told(now.waits)
            ),
        ),
    }
    believed.waits = waits;
    believed
}
