//! The client ids of requests that may have run and must not run a second time.
//!
//! Clients give every request a new id, so an id that comes again is a repeat of the request that had it first. An id
//! is remembered for [`MAX_AGE`]. While the history is half full, ids older than [`MIN_AGE`] are dropped. No younger one
//! is, so that other ids can't displace one that has run; instead new requests of such classes are not accepted: from
//! half of the capacity on those of clients that have used up their share, from all of it on any.

use std::collections::{HashMap, VecDeque};

use crate::{ClassId, ClientRequestId, DeploymentTerms, PossibleRun, Repeats, Span, Time};

/// How long an id is remembered.
pub const MAX_AGE: Span = Span::from_ms(600_000);
/// How long an id is remembered at least: several times the longest deadline, within which clients repeat requests.
pub const MIN_AGE: Span = Span::from_ms(30_000);

/// The part of the capacity that one client may use within [`MIN_AGE`] while the history is half full.
const CLIENT_SHARE: f64 = 1.0 / 16.0;

/// How many requests that must not run a second time one client has sent lately.
#[derive(Default)]
pub struct ClientUse {
    interval_start: Option<Time>,
    requests: usize,
}

impl ClientUse {
    /// Returns the requests in the current interval of [`MIN_AGE`].
    fn requests(&mut self, now: Time) -> usize {
        if self
            .interval_start
            .is_none_or(|start| now.since(start) >= MIN_AGE)
        {
            self.interval_start = Some(now);
            self.requests = 0;
        }
        self.requests
    }
}

/// Remembers which requests may have run, by the ids that clients gave them.
pub struct RunHistory {
    /// By class, whether its requests must not run a second time.
    is_remembered: Vec<bool>,
    runs: HashMap<ClientRequestId, PossibleRun>,
    /// The ids in `runs`, in the order in which they were recorded.
    oldest_first: VecDeque<ClientRequestId>,
    capacity: usize,
}

impl RunHistory {
    /// Creates a history that remembers up to `capacity` ids.
    pub fn new(terms: &DeploymentTerms, capacity: usize) -> RunHistory {
        let is_remembered = |class: &crate::RequestClass| class.repeats != Repeats::Idempotent;
        RunHistory {
            is_remembered: terms.classes.iter().map(is_remembered).collect(),
            runs: HashMap::new(),
            oldest_first: VecDeque::new(),
            capacity,
        }
    }

    /// Sets how many ids are remembered.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of ids that are remembered.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Decides whether a client's new request of that class may be sent: it could be remembered afterwards, or need not
    /// be. Counts it as one of the client's requests if so.
    ///
    /// Guards against one client that floods the history, so that requests of others are rejected.
    pub fn admit(&mut self, now: Time, class: ClassId, client: &mut ClientUse) -> bool {
        if !self.remembers(class) {
            return true;
        }
        self.drop_oldest(now);
        let is_within_share = (client.requests(now) as f64) < self.capacity as f64 * CLIENT_SHARE;
        let limit = if is_within_share {
            self.capacity
        } else {
            self.half_capacity()
        };
        let is_admitted = self.runs.len() < limit;
        client.requests += usize::from(is_admitted);
        is_admitted
    }

    /// Records that a request may have run. The first run of an id stays the recorded one.
    pub fn record(&mut self, class: ClassId, id: ClientRequestId, run: PossibleRun) {
        if self.remembers(class) && !self.runs.contains_key(&id) {
            self.runs.insert(id, run);
            self.oldest_first.push_back(id);
        }
    }

    /// Returns the run of an earlier request with the id of a request of that class, if there may have been one that
    /// must not be repeated.
    pub fn earlier_run(
        &self,
        now: Time,
        class: ClassId,
        id: ClientRequestId,
    ) -> Option<PossibleRun> {
        let run = self.runs.get(&id).filter(|_| self.remembers(class))?;
        (now.since(run.sent) < MAX_AGE).then(|| run.clone())
    }

    fn remembers(&self, class: ClassId) -> bool {
        self.is_remembered[class.0]
    }

    fn half_capacity(&self) -> usize {
        self.capacity.div_ceil(2)
    }

    /// Drops the oldest ids that are remembered for too long, or for long enough while the history is half full.
    fn drop_oldest(&mut self, now: Time) {
        while let Some(id) = self.oldest_first.front() {
            let max_age = if self.runs.len() < self.half_capacity() {
                MAX_AGE
            } else {
                MIN_AGE
            };
            let sent = self.runs.get(id).map(|run| run.sent);
            if sent.is_some_and(|sent| now.since(sent) < max_age) {
                return;
            }
            self.runs.remove(id);
            self.oldest_first.pop_front();
        }
    }
}
