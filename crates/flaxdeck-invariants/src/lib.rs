//! The five rules, judged from outside: clients, hosts and the coordinator write down what they saw, and [`check`]
//! goes through it. It knows nothing of how anything was decided. All times are milliseconds of one clock.

use std::collections::{BTreeMap, VecDeque};

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    Served,
    Rejected,
    Failed,
}

/// One thing that somebody saw.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedEvent {
    /// A client asked, and waits until `by`.
    Asked {
        request: String,
        by: f64,
    },
    Answered {
        request: String,
        how: Answer,
    },
    /// The client gave up or lost its connection, and says so.
    Left {
        request: String,
    },
    /// New work arrived at a host, for itself or as the source of a fill.
    Arrived {
        host: String,
    },
    /// An effect that must not happen twice was carried out.
    Ran {
        effect: String,
    },
    /// The coordinator announced that a host drains or is gone.
    Withdrawn {
        host: String,
    },
    /// The coordinator announced that it is in service, and when it started if it is cold.
    Announced {
        host: String,
    },
    /// A host started.
    Started {
        host: String,
    },
    /// A host was asked for so many milliseconds of work at full pace.
    Work {
        host: String,
        cost: f64,
    },
    Purged {
        object: String,
    },
    /// A copy was handed to a client's request that was sent at `sent`; the copy was made at `made`.
    Copy {
        object: String,
        sent: f64,
        made: f64,
    },
}

/// What a host that has just started bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Its places at full pace.
    pub places: f64,
    /// The part of its capacity at its start, rising to all of it within so many milliseconds.
    pub from: f64,
    pub within: f64,
    /// Times its present capacity within the window at which it falls over.
    pub factor: f64,
}

impl Ramp {
    /// The part of its capacity that it has so long after its start.
    pub fn part(&self, age: f64) -> f64 {
        (self.from + (1.0 - self.from) * age / self.within.max(1.0)).clamp(0.0, 1.0)
    }
}

/// What the rules are judged by.
#[derive(Clone, Debug, Default)]
pub struct InvariantTerms {
    /// After an announcement until nothing new may arrive.
    pub grace: f64,
    /// After a purge until no older copy may be given.
    pub purge_grace: f64,
    /// By how much an answer may come after its client stopped waiting: timers and the record itself.
    pub slack: f64,
    /// The time within which work at a cold host counts together.
    pub window: f64,
    pub ramps: BTreeMap<String, Ramp>,
}

/// One breach.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: u8,
    pub at: f64,
    pub what: String,
}

/// What came of it all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub breaches: Vec<Violation>,
    pub asked: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub left: u64,
    /// The latest arrival at a withdrawn host after its announcement.
    pub latest_arrival: f64,
    /// The most of what a cold host bears that was asked of it within a window, of 1.
    pub most_of_bound: f64,
}

impl Verdict {
    /// Every request has its end: the account is even.
    pub fn all_accounted_for(&self) -> bool {
        self.asked == self.served + self.rejected + self.failed + self.left
    }
}

#[derive(Default)]
struct Host {
    withdrawn: Option<f64>,
    started: Option<f64>,
    recent: VecDeque<(f64, f64)>,
    sum: f64,
}

/// Goes through a record in the order of its times.
pub fn check(terms: &InvariantTerms, record: &[(f64, RecordedEvent)]) -> Verdict {
    let mut record: Vec<&(f64, RecordedEvent)> = record.iter().collect();
    record.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut verdict = Verdict::default();
    let mut open: BTreeMap<&str, f64> = BTreeMap::new();
    let mut over: BTreeMap<&str, f64> = BTreeMap::new();
    let mut hosts: BTreeMap<&str, Host> = BTreeMap::new();
    let mut ran: BTreeMap<&str, u32> = BTreeMap::new();
    let mut purged: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (at, seen) in record {
        let at = *at;
        let mut breach = |rule, what: String| verdict.breaches.push(Violation { rule, at, what });
        match seen {
            RecordedEvent::Asked { request, by } => {
                verdict.asked += 1;
                if open.insert(request, *by).is_some() || over.contains_key(&**request) {
                    breach(1, format!("{request} was asked twice under one name"));
                }
            }
            RecordedEvent::Answered { request, how } => {
                match open.remove(&**request) {
                    None => breach(
                        1,
                        format!("{request} was answered again, or never asked: {how:?}"),
                    ),
                    Some(by) => {
                        if at > by + terms.slack {
                            breach(
                                1,
                                format!("{request} was answered {:.0} ms too late", at - by),
                            );
                        }
                        over.insert(request, at);
                        *match how {
                            Answer::Served => &mut verdict.served,
                            Answer::Rejected => &mut verdict.rejected,
                            Answer::Failed => &mut verdict.failed,
                        } += 1;
                    }
                };
            }
            RecordedEvent::Left { request } => {
                if open.remove(&**request).is_some() {
                    over.insert(request, at);
                    verdict.left += 1;
                }
            }
            RecordedEvent::Arrived { host } => {
                if let Some(since) = hosts.entry(host).or_default().withdrawn {
                    verdict.latest_arrival = verdict.latest_arrival.max(at - since);
                    if at > since + terms.grace {
                        breach(
                            3,
                            format!(
                                "{host} got new work {:.0} ms after it was withdrawn",
                                at - since
                            ),
                        );
                    }
                }
            }
            RecordedEvent::Ran { effect } => {
                let times = ran.entry(effect).or_default();
                *times += 1;
                if *times > 1 {
                    breach(2, format!("{effect} happened {times} times"));
                }
            }
            RecordedEvent::Withdrawn { host } => {
                hosts.entry(host).or_default().withdrawn.get_or_insert(at);
            }
            RecordedEvent::Announced { host } => hosts.entry(host).or_default().withdrawn = None,
            RecordedEvent::Started { host } => {
                let host = hosts.entry(host).or_default();
                (host.started, host.sum) = (Some(at), 0.0);
                host.recent.clear();
            }
            RecordedEvent::Work { host: name, cost } => {
                let host = hosts.entry(name).or_default();
                host.recent.push_back((at, *cost));
                host.sum += cost;
                while let Some((old, cost)) = host
                    .recent
                    .front()
                    .copied()
                    .filter(|(old, _)| *old <= at - terms.window)
                {
                    debug_assert!(old <= at);
                    host.sum -= cost;
                    host.recent.pop_front();
                }
                let (Some(ramp), Some(started)) = (terms.ramps.get(name), host.started) else {
                    continue;
                };
                let part = ramp.part(at - started);
                if part < 1.0 {
                    let of_bound = host.sum / (ramp.factor * part * ramp.places * terms.window);
                    verdict.most_of_bound = verdict.most_of_bound.max(of_bound);
                    if of_bound > 1.0 {
                        breach(
                            4,
                            format!(
                                "{name} was asked for {of_bound:.2} of what it bears while cold"
                            ),
                        );
                    }
                }
            }
            RecordedEvent::Purged { object } => purged.entry(object).or_default().push(at),
            RecordedEvent::Copy { object, sent, made } => {
                let times = purged.get(&**object).into_iter().flatten();
                let old =
                    times.filter(|purge| *made < **purge && *sent >= **purge + terms.purge_grace);
                if let Some(purge) = old.max_by(|a, b| a.total_cmp(b)) {
                    let (late, age) = (sent - purge, purge - made);
                    breach(
                        5,
                        format!(
                            "{object}: a copy {age:.0} ms older than its purge, {late:.0} ms after it"
                        ),
                    );
                }
            }
        }
    }
    for (request, by) in open {
        verdict.breaches.push(Violation {
            rule: 1,
            at: by,
            what: format!("{request} was never answered"),
        });
    }
    verdict
}

/// The mean part of what a cold host could be asked for that was asked of it, over a time after its start: the
/// window's sum beside the bound, looked at every `step` milliseconds.
pub fn use_while_cold(
    terms: &InvariantTerms,
    record: &[(f64, RecordedEvent)],
    name: &str,
    from: f64,
    to: f64,
    step: f64,
) -> f64 {
    let mut work: Vec<(f64, f64)> = Vec::new();
    let mut started = None;
    for (at, seen) in record {
        match seen {
            RecordedEvent::Started { host } if host == name && *at <= to => started = Some(*at),
            RecordedEvent::Work { host, cost } if host == name => work.push((*at, *cost)),
            _ => {}
        }
    }
    let (Some(started), Some(ramp)) = (started, terms.ramps.get(name)) else {
        return 0.0;
    };
    let (mut sum, mut looks, mut at) = (0.0, 0u32, started + from);
    while at <= to {
        let recent = work
            .iter()
            .filter(|(when, _)| *when > at - terms.window && *when <= at);
        let spent: f64 = recent.map(|(_, cost)| cost).sum();
        sum += spent
            / (ramp.factor * ramp.part(at - started - terms.window) * ramp.places * terms.window);
        (looks, at) = (looks + 1, at + step);
    }
    sum / f64::from(looks.max(1))
}
