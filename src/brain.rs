//! Every decision of one dispatcher. A caller makes a [`Brain`] with `start` and tells it each fact by a
//! call: `list`, `pull`, `hand_off_ended`, `purge`, `wake`, `client_left`. Each call returns [`Decisions`],
//! applied in the order of its fields: cancels, hand-offs, final answers, next wake. An answered hand-off
//! is its pull's final answer. The interface is `words.rs`; the reasons are in `docs/design.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::words::*;

// Ratings (the design page's open values).
const LARGE_KB: f64 = 1000.0; // KB; from here bandwidth decides: the page's start
const NEW_WEIGHT: f64 = 0.2; // share of a new sample in a measure: the page's start
const MARGIN: f64 = 0.2; // share by which the origin must beat a parent: the page's start
const SEVERAL: u32 = 4; // fills in a row: long enough that one slow fill decides nothing
const PENALTY: f64 = 0.3; // share of reputation lost by a failed fill: the page's start
const FLOOR: f64 = 0.5; // reputation below which a host is out of use: the page's start
const STEP: f64 = 0.1; // share of the way back to 1 by a success: a third of a penalty, so 1 in 3 ejects
const TRIAL: Span = Span::from_ms(5000); // between trials of a source out of use: the page's start
// Load.
const FULL: f64 = 2.0; // pulls in hand per full-pace place at which the hash moves down: waiting for a fill is no load
const ADMIT: f64 = 4.0; // the same at which no more is handed off: beyond, all are late together
const LINK_FULL: f64 = 1.2; // transfers on the location's link over those that fit; more only slows all
const LINK_BIAS: f64 = 2.0; // most by which a small pull may go on longer, and a large one must stop sooner
const LINK_NEW: f64 = 0.25; // fills between two reports, a full-pace place: what may come unseen
const LINK_OLD: Span = Span::from_ms(2000); // age at which a report of the link says nothing more
const COLD_USE: f64 = 0.6; // share of the fall multiple that may be used: chance and late news take the rest
const COLD_MOST: f64 = 1.2; // times its present capacity that a cold host is asked for: more is only queued
// Time.
const SLACK: Span = Span::from_ms(150); // added to an expected time before it counts as overdue: two far trips
const OVERDUE: f64 = 2.0; // times the expected time: a fair share of a link halves the pace at most
const AGAIN: Span = Span::from_ms(60); // pause before a hand-off after a refusal: lets short queues drain
const MOST_DOUBLED: u32 = 4; // doublings of that pause: then it is near a second
const COME_BACK: Span = Span::from_ms(300); // named to bounced clients: a few of the transfers in hand
const TIDY: Span = Span::from_ms(1000); // the periodic timer: memory only, so a second will do
const REMEMBER: Span = Span::from_ms(60_000); // how long an object counts as seen: several cache lifetimes
const SETTLED: f64 = 100.0; // samples after which a mean size is trusted and follows slowly
const TICKS_EARLY: f64 = 3.0; // ticks before the hard stop at which a pull gets its answer: one may slip

/// A cold host's ramp and this dispatcher's part of what it can be asked for.
struct Ramp {
    from: f64,
    within: Span,
    window: Span,
    use_of: f64,
}

impl Ramp {
    fn new(from: f64, within: Span, window: Span, factor: f64, share: f64) -> Ramp {
        Ramp { from, within, window, use_of: (factor * COLD_USE).min(COLD_MOST) * share }
    }
    /// The least part of its capacity that a host started then has now.
    fn part(&self, started: Option<Time>, now: Time) -> f64 {
        let Some(started) = started else { return 1.0 };
        let risen = now.since(started).ms() / self.within.ms().max(1.0);
        (self.from + (1.0 - self.from) * risen).min(1.0)
    }
    fn cold(&self, started: Option<Time>, now: Time) -> bool {
        started.is_some_and(|started| now < started + self.within + self.window)
    }
}

/// What is known of a workload: the figures that decisions use, and the mean sending time seen.
struct Kind {
    promised: Span,
    stretch: f64,
    repeats: Repeats,
    goes_through: bool,
    parted: bool,
    fresh: Option<Span>,
    mean_work: f64,
    samples: f64,
}

/// A host with its ratings and what this dispatcher has at it.
struct Host {
    line: Listed,
    hash: u64,
    reputation: f64,
    next_trial: Time,
    heard: Time,
    latency: Option<f64>,
    bandwidth: Option<f64>,
    /// Fills in a row in which the origin beat it, by latency and by bandwidth.
    beaten: [u32; 2],
    in_hand: f64,
    spent: VecDeque<(Time, PullId, Leg, f64)>,
}

struct Out {
    leg: Leg,
    host: HostId,
    source: HostId,
    sent: Time,
    overdue: Time,
    noted: bool,
    silent: bool,
    trial: bool,
}

struct Held {
    pull: Pull,
    work: f64,
    promised: Time,
    out: Vec<Out>,
    legs: u32,
    /// The first hand-off that may have run, with its host.
    ran: Option<(Time, HostId)>,
    not_before: Time,
    /// Known to be held by no cache that may be asked.
    missed: bool,
    pauses: u32,
    tried: Vec<HostId>,
    done: bool,
}

struct Purge {
    object: Option<ObjectId>,
    group: GroupId,
    made: Time,
}

pub struct Brain {
    now: Time,
    born: Time,
    chance: Pcg64Mcg,
    kinds: Vec<Kind>,
    zone: ZoneId,
    zone_mates: f64,
    /// The location's link by the last report, when that came, and fills sent since.
    link: (f64, Time, f64),
    link_place: Option<usize>,
    cache_ramp: Ramp,
    parent_ramp: Ramp,
    early: Span,
    settles: Span,
    come_back: Option<Span>,
    most_hand_offs: u32,
    duplicates: bool,
    cancels: bool,
    joins: bool,
    direct: bool,
    kb_per_ms: f64,
    hosts: BTreeMap<HostId, Host>,
    pulls: BTreeMap<PullId, Held>,
    purges: Vec<Purge>,
    seen: BTreeMap<ObjectId, Time>,
    due: BTreeSet<(Time, PullId)>,
    agenda: BTreeSet<PullId>,
    next_tidy: Time,
    wake_at: Option<Time>,
    out: Decisions,
}

/// The rules for a pull, in order; each tells whether it fired.
const RULES: [fn(&mut Brain, PullId) -> bool; 6] = [
    Brain::drop_what_is_done,
    Brain::answer_before_the_hard_stop,
    Brain::give_up_when_nothing_may_follow,
    Brain::hand_off_what_waits,
    Brain::note_what_is_overdue,
    Brain::hand_off_beside_the_overdue,
];

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d049bb133111eb);
    x ^ (x >> 31)
}

fn follow(measure: &mut Option<f64>, sample: f64) {
    *measure = Some(measure.map_or(sample, |old| old + NEW_WEIGHT * (sample - old)));
}

impl Brain {
    /// A new instance; the seed is its only source of chance.
    pub fn start(now: Time, seed: u64, terms: Terms) -> (Brain, Decisions) {
        let mates = terms.zone_dispatchers.get(terms.zone.0).copied().unwrap_or(1).max(1) as f64;
        let all = terms.dispatchers.max(1) as f64;
        let window = terms.fall_window;
        let kind = |w: &Workload| Kind {
            promised: w.promised,
            stretch: w.stretch,
            repeats: w.repeats,
            goes_through: w.goes_through,
            parted: w.parted,
            fresh: Some(w.fresh).filter(|fresh| *fresh > Span::ZERO),
            mean_work: w.promised.ms() / (1.0 + w.stretch),
            samples: 0.0,
        };
        let mut brain = Brain {
            now,
            born: now,
            chance: Pcg64Mcg::seed_from_u64(seed),
            kinds: terms.workloads.iter().map(kind).collect(),
            zone: terms.zone,
            zone_mates: mates,
            link: (0.0, now, 0.0),
            link_place: terms.load_link,
            cache_ramp: Ramp::new(
                terms.cold_from,
                terms.warm_within,
                window,
                terms.overload_factor,
                1.0 / mates,
            ),
            parent_ramp: Ramp::new(
                terms.parent_cold_from,
                terms.parent_warm_within,
                window,
                terms.parent_overload_factor,
                1.0 / all,
            ),
            early: terms.tick * TICKS_EARLY,
            settles: terms.purge_settles,
            come_back: terms.may_name_return.then(|| COME_BACK.min(terms.longest_return)),
            most_hand_offs: terms.most_hand_offs.max(1),
            duplicates: terms.may_duplicate,
            cancels: terms.may_cancel,
            joins: terms.joins,
            direct: terms.direct,
            kb_per_ms: terms.client_kb_per_s / 1000.0,
            hosts: BTreeMap::new(),
            pulls: BTreeMap::new(),
            purges: Vec::new(),
            seen: BTreeMap::new(),
            due: BTreeSet::new(),
            agenda: BTreeSet::new(),
            next_tidy: now + TIDY,
            wake_at: None,
            out: Decisions::default(),
        };
        let decisions = brain.settle();
        (brain, decisions)
    }

    /// Lines of the list of hosts; with the whole list, what it leaves out is gone.
    pub fn list(&mut self, now: Time, coverage: Coverage, lines: Vec<Listed>) -> Decisions {
        self.now = now;
        if coverage == Coverage::Whole {
            let named: BTreeSet<&HostId> = lines.iter().map(|line| &line.host).collect();
            for (id, host) in &mut self.hosts {
                if !named.contains(id) {
                    host.line.standing = Standing::Gone;
                }
            }
        }
        for line in lines {
            let hash = line.host.0.bytes().fold(0xcbf29ce484222325, |hash: u64, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3)
            });
            let fresh = || Host {
                line: line.clone(),
                hash: mix(hash),
                reputation: 1.0,
                next_trial: now + TRIAL,
                heard: now,
                latency: None,
                bandwidth: None,
                beaten: [0; 2],
                in_hand: 0.0,
                spent: VecDeque::new(),
            };
            let known = self.hosts.entry(line.host.clone()).or_insert_with(fresh);
            if known.line.started != line.started {
                // A new process: nothing held, nothing known of it but its name.
                let in_hand = known.in_hand;
                *known = Host { in_hand, ..fresh() };
            }
            known.line = line;
            // Guards against a restarted dispatcher giving a cold host its share a second time.
            let ramp = if known.line.role == Role::Cache { &self.cache_ramp } else { &self.parent_ramp };
            if now.since(self.born) < ramp.window && known.spent.is_empty() {
                known.spent.push_back((self.born, PullId(u64::MAX), Leg(0), f64::INFINITY));
            }
        }
        self.agenda.extend(self.pulls.keys().copied());
        self.settle()
    }

    /// A client's pull, to be given exactly one final answer.
    pub fn pull(&mut self, now: Time, pull: Pull) -> Decisions {
        self.now = now;
        let kind = &mut self.kinds[pull.workload.0];
        let told = pull.size_kb.filter(|_| self.kb_per_ms > 0.0).map(|kb| kb / self.kb_per_ms);
        if let Some(work) = told {
            kind.samples = (kind.samples + 1.0).min(SETTLED);
            kind.mean_work += (work - kind.mean_work) / kind.samples;
        }
        let work = told.unwrap_or(kind.mean_work);
        let promised = now + kind.promised + Span::of_ms(work * kind.stretch);
        let id = pull.id;
        let held = Held {
            pull,
            work,
            promised,
            out: Vec::new(),
            legs: 0,
            ran: None,
            not_before: now,
            missed: false,
            pauses: 0,
            tried: Vec::new(),
            done: false,
        };
        self.due.insert((held.pull.hard_stop - self.early, id));
        self.pulls.insert(id, held);
        self.agenda.insert(id);
        self.settle()
    }

    /// A purge of one object, or of a whole group, made at the given time.
    pub fn purge(&mut self, now: Time, object: Option<ObjectId>, group: GroupId, made: Time) -> Decisions {
        self.now = now;
        self.purges.push(Purge { object, group, made });
        self.settle()
    }

    /// The client has left; no answer is owed any more.
    pub fn client_left(&mut self, now: Time, id: PullId) -> Decisions {
        self.now = now;
        self.close(id);
        self.settle()
    }

    /// The time asked for in an earlier `Decisions::wake` has come.
    pub fn wake(&mut self, now: Time) -> Decisions {
        self.now = now;
        self.settle()
    }

    /// A hand-off has ended.
    pub fn hand_off_ended(&mut self, now: Time, ended: Ended) -> Decisions {
        self.now = now;
        let Some(held) = self.pulls.get_mut(&ended.pull) else { return self.settle() };
        let Some(at) = held.out.iter().position(|out| out.leg == ended.leg) else { return self.settle() };
        let out = held.out.remove(at);
        let size = held.pull.size_kb;
        let large = self.kinds[held.pull.workload.0].parted || size.is_some_and(|kb| kb >= LARGE_KB);
        if ended.ending == Ending::Answered || ended.closed {
            held.done = true;
        } else if !ended.ending.never_ran() && held.ran.is_none() {
            held.ran = Some((out.sent, out.host.clone()));
        }
        use Told::*;
        // Guards against a full link being filled again elsewhere: what failed is moved past, nothing else.
        match ended.told {
            SourceRefused | SourceUnreached | SourceLacks | OriginFailed => {
                held.tried.push(out.source.clone())
            }
            NoPlace | Nothing if ended.ending == Ending::NoCopy || ended.told == NoPlace => {}
            _ => held.tried.push(out.host.clone()),
        }
        if ended.ending == Ending::NoCopy || ended.told == NoPlace {
            held.missed = true;
        }
        if ended.ending == Ending::NoCopy || (ended.ending == Ending::TurnedAway && ended.told != Nothing) {
            held.pauses += 1;
            held.not_before = now + AGAIN * f64::from(1 << held.pauses.min(MOST_DOUBLED));
            self.due.insert((held.not_before, ended.pull));
        }
        self.agenda.insert(ended.pull);
        self.release(&out, &ended);
        self.note_load(&out.host, &ended.load);
        self.rate(&out, &ended, size.filter(|_| large));
        self.settle()
    }

    fn note_load(&mut self, id: &HostId, load: &[f64]) {
        if self.hosts.get(id).is_none_or(|host| host.line.role != Role::Cache) {
            return;
        }
        if let Some(link) = self.link_place.and_then(|place| load.get(place)) {
            self.link = (*link, self.now, 0.0);
        }
    }

    // Guards against a full link, on which fills outlive their pulls and every miss comes late: while it is
    // full only hits are asked for, and known misses wait for room, the small ones first.
    fn link_open(&self, work: f64, mean: f64) -> bool {
        let (full, at, sent) = self.link;
        let places: f64 = self.hosts.values().filter(|h| self.mine(h)).map(|h| h.line.weight).sum();
        let bias = (mean / work.max(1.0)).clamp(1.0 / LINK_BIAS, LINK_BIAS);
        let known = self.link_place.is_some() && self.now.since(at) < LINK_OLD;
        !known || (full < LINK_FULL * bias && sent < 1.0 + places * LINK_NEW / self.zone_mates)
    }

    fn mine(&self, host: &Host) -> bool {
        host.line.role == Role::Cache && host.line.zone == Some(self.zone)
    }

    // What the ended hand-off gives back: places, and a cold source's budget that a hit left alone.
    fn release(&mut self, out: &Out, ended: &Ended) {
        let spared = matches!(ended.told, Told::Held | Told::Aged | Told::Joined);
        for id in [&out.host, &out.source] {
            if let Some(host) = self.hosts.get_mut(id) {
                host.in_hand = (host.in_hand - 1.0).max(0.0);
                if id != &out.host && spared {
                    host.spent.retain(|(_, pull, leg, _)| (*pull, *leg) != (ended.pull, ended.leg));
                    if out.trial {
                        host.next_trial = self.now; // a hit tried nothing
                    }
                }
            }
            if out.host == out.source {
                break;
            }
        }
    }

    // The measures of the paper's tables: latency and bandwidth of each source, reputation of all.
    fn rate(&mut self, out: &Out, ended: &Ended, large: Option<f64>) {
        use Ending::*;
        let filled = matches!(ended.told, Told::Filled | Told::FilledThroughOrigin);
        let source_failed = matches!(ended.told, Told::SourceRefused | Told::SourceUnreached);
        match ended.ending {
            Answered => {
                self.praise(&out.host);
                if filled && out.source != out.host {
                    self.praise(&out.source);
                    self.measure(out, ended, large);
                }
            }
            // A parent that the origin fails is no worse for it: the origin's reputation pays.
            _ if ended.told == Told::OriginFailed => {
                let origin = self.hosts.values().find(|host| host.line.role == Role::Origin);
                if let Some(id) = origin.map(|host| host.line.host.clone()) {
                    self.blame(&id);
                }
            }
            _ if source_failed && out.source != out.host => {
                if let Some(host) = self.hosts.get_mut(&out.host) {
                    host.heard = self.now;
                }
                self.blame(&out.source);
            }
            Errored | NotConnected | Broken => self.blame(&out.host),
            _ => {}
        }
    }

    fn praise(&mut self, id: &HostId) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.heard = self.now;
            host.reputation += STEP * (1.0 - host.reputation);
        }
    }

    fn blame(&mut self, id: &HostId) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.reputation *= 1.0 - PENALTY;
            host.next_trial = self.now + TRIAL * self.chance.random_range(0.9..1.1);
        }
    }

    fn measure(&mut self, out: &Out, ended: &Ended, large: Option<f64>) {
        let Some(waited) = ended.waited else { return };
        let origin = self.hosts.values().find(|host| host.line.role == Role::Origin);
        let (best_latency, best_bandwidth) =
            origin.map_or((None, None), |host| (host.latency, host.bandwidth));
        let Some(source) = self.hosts.get_mut(&out.source) else { return };
        if source.line.role == Role::Origin || ended.told == Told::Filled {
            follow(&mut source.latency, waited.ms());
            let clearly = |(own, origin): (f64, f64)| origin < own * (1.0 - MARGIN);
            let beaten = source.latency.zip(best_latency).is_some_and(clearly);
            source.beaten[0] = if beaten { (source.beaten[0] + 1).min(SEVERAL) } else { 0 };
        }
        if let Some(kb) = large {
            follow(&mut source.bandwidth, kb / ended.took.less(waited).ms().max(1.0));
            let clearly = |(own, origin): (f64, f64)| origin > own * (1.0 + MARGIN);
            let beaten = source.bandwidth.zip(best_bandwidth).is_some_and(clearly);
            source.beaten[1] = if beaten { (source.beaten[1] + 1).min(SEVERAL) } else { 0 };
        }
    }

    fn settle(&mut self) -> Decisions {
        if self.now >= self.next_tidy {
            self.tidy();
        }
        while let Some(&(at, id)) = self.due.first().filter(|(at, _)| *at <= self.now) {
            self.due.remove(&(at, id));
            self.agenda.insert(id);
        }
        while let Some(&id) = self.agenda.first() {
            while RULES.iter().any(|rule| rule(self, id)) {}
            self.agenda.remove(&id);
        }
        let next = self.due.first().map_or(self.next_tidy, |(at, _)| self.next_tidy.min(*at));
        if self.wake_at.is_none_or(|at| at <= self.now || next < at) {
            self.wake_at = Some(next);
            self.out.wake = Some(next);
        }
        std::mem::take(&mut self.out)
    }

    fn tidy(&mut self) {
        let now = self.now;
        self.next_tidy = now + TIDY;
        self.seen.retain(|_, at| now.since(*at) < REMEMBER);
        let settles = self.settles + TIDY;
        self.purges.retain(|purge| now.since(purge.made) < settles);
        self.hosts.retain(|_, host| host.line.standing != Standing::Gone || host.in_hand > 0.0);
    }

    fn close(&mut self, id: PullId) {
        if let Some(held) = self.pulls.get_mut(&id) {
            held.done = true;
            self.agenda.insert(id);
        }
    }

    fn drop_what_is_done(&mut self, id: PullId) -> bool {
        let Some(held) = self.pulls.get(&id) else { return false };
        if !held.done {
            return false;
        }
        let held = self.pulls.remove(&id).expect("just seen");
        self.due.remove(&(held.pull.hard_stop - self.early, id));
        for out in &held.out {
            if self.cancels {
                self.out.cancels.push(Cancel { pull: id, leg: out.leg });
            }
            for host in BTreeSet::from([&out.host, &out.source]) {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.in_hand = (host.in_hand - 1.0).max(0.0);
                }
            }
        }
        true
    }

    // Guards against a lost pull: whatever else goes on, the client gets its answer while it listens.
    fn answer_before_the_hard_stop(&mut self, id: PullId) -> bool {
        let Some(held) = self.pulls.get(&id) else { return false };
        if self.now + self.early < held.pull.hard_stop {
            return false;
        }
        self.give_up(id);
        true
    }

    fn give_up_when_nothing_may_follow(&mut self, id: PullId) -> bool {
        let Some(held) = self.pulls.get(&id) else { return false };
        let left = held.pull.hard_stop.since(self.now).ms();
        if !held.out.is_empty() || (self.may_follow(held) && held.work < left) {
            return false;
        }
        self.give_up(id);
        true
    }

    // A bounce promises that a retry is harmless; where that can't be known it is a forfeit.
    fn give_up(&mut self, id: PullId) {
        let held = &self.pulls[&id];
        let harmless = match self.kinds[held.pull.workload.0].repeats {
            Repeats::Reissuable | Repeats::Numbered { scope: Scope::All, .. } => true,
            _ => held.ran.is_none() && held.out.is_empty(),
        };
        self.out.finals.push(if harmless {
            Final::Bounced { pull: id, come_back: self.come_back }
        } else {
            Final::Forfeited { pull: id }
        });
        self.close(id);
    }

    // Guards against an effect that happens twice.
    fn may_follow(&self, held: &Held) -> bool {
        if held.legs >= self.most_hand_offs {
            return false;
        }
        let open = held.out.first().map(|out| (out.sent, &out.host));
        let ran = held.ran.as_ref().map(|(sent, host)| (*sent, host)).or(open);
        match (self.kinds[held.pull.workload.0].repeats, ran) {
            (Repeats::Reissuable, _) | (_, None) => true,
            (Repeats::AtMostOnce, Some(_)) => false,
            (Repeats::Numbered { remembered, .. }, Some((sent, _))) => {
                self.now + self.early < sent + remembered
            }
        }
    }

    fn hand_off_what_waits(&mut self, id: PullId) -> bool {
        let Some(held) = self.pulls.get(&id) else { return false };
        if !held.out.is_empty() || self.now < held.not_before {
            return false;
        }
        if !self.hand_off(id) {
            // Guards against overload in which all come late: what can't come in time makes room at once.
            let held = self.pulls.get_mut(&id).expect("just seen");
            held.not_before = self.now + AGAIN;
            held.tried.clear();
            if held.promised.since(self.now).ms() < held.work {
                self.give_up(id);
            } else {
                self.due.insert((held.not_before, id));
            }
        }
        true
    }

    // Guards against hosts that take pulls and answer none: one that has answered nothing since the overdue
    // hand-off went out is blamed; a slow but living one has answered others meanwhile.
    fn note_what_is_overdue(&mut self, id: PullId) -> bool {
        let now = self.now;
        let Some(held) = self.pulls.get_mut(&id) else { return false };
        let Some(out) = held.out.iter_mut().find(|out| !out.noted && out.overdue <= now) else {
            return false;
        };
        out.noted = true;
        let leg = out.leg;
        let (host, source, sent) = (out.host.clone(), out.source.clone(), out.sent);
        let silent = |id: &HostId| self.hosts.get(id).is_some_and(|host| host.heard < sent);
        let culprit = [host, source].into_iter().find(silent);
        if let Some(culprit) = culprit {
            self.blame(&culprit);
            let held = self.pulls.get_mut(&id).expect("just seen");
            held.out.iter_mut().filter(|out| out.leg == leg).for_each(|out| out.silent = true);
            held.tried.push(culprit);
        }
        true
    }

    fn hand_off_beside_the_overdue(&mut self, id: PullId) -> bool {
        let Some(held) = self.pulls.get(&id) else { return false };
        let reissuable = self.kinds[held.pull.workload.0].repeats == Repeats::Reissuable;
        let overdue = held.out.iter().all(|out| out.silent);
        if !(self.duplicates && reissuable && overdue && self.may_follow(held)) {
            return false;
        }
        let left = held.pull.hard_stop.since(self.now).ms();
        left > held.work + SLACK.ms() && self.hand_off(id)
    }

    fn usable(&self, host: &Host) -> bool {
        host.line.standing == Standing::InService && host.reputation >= FLOOR
    }

    fn ramp(&self, host: &Host) -> &Ramp {
        if host.line.role == Role::Cache { &self.cache_ramp } else { &self.parent_ramp }
    }

    // Guards against a cold host being pushed over by all dispatchers together: each keeps to its share of
    // what the worst ramp bears within any window.
    fn cold_room(&self, host: &Host, cost: f64) -> bool {
        let ramp = self.ramp(host);
        if !ramp.cold(host.line.started, self.now) || host.line.role == Role::Origin {
            return true;
        }
        let since = self.now - ramp.window;
        let spent: f64 = host.spent.iter().filter(|(at, ..)| *at > since).map(|(.., cost)| cost).sum();
        let part = ramp.part(host.line.started, since);
        spent + cost <= ramp.use_of * part * host.line.weight * ramp.window.ms()
    }

    /// Transfers at the host over those that fit at full pace, as far as this dispatcher can know.
    fn load(&self, host: &Host) -> f64 {
        let part = self.ramp(host).part(host.line.started, self.now);
        (host.in_hand * self.zone_mates + 1.0) / (host.line.weight * part).max(0.1)
    }

    /// Hosts of a role in the order of the shared hash (weighted rendezvous).
    fn in_hash_order(&self, role: Role, object: ObjectId) -> Vec<&Host> {
        let mine = |host: &&Host| {
            let near = role != Role::Cache || host.line.zone == Some(self.zone);
            host.line.role == role && near && host.line.standing == Standing::InService
        };
        let mut scored: Vec<(f64, &Host)> = Vec::new();
        for host in self.hosts.values().filter(mine) {
            let draw = (mix(mix(object.0) ^ host.hash) >> 11) as f64 + 1.0;
            let even = draw / (1u64 << 53) as f64;
            scored.push((-even.ln() / host.line.weight.max(0.01), host));
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        scored.into_iter().map(|(_, host)| host).collect()
    }

    fn pick_cache(&self, held: &Held) -> Option<HostId> {
        let kind = &self.kinds[held.pull.workload.0];
        let cost = if kind.samples < SETTLED { kind.mean_work.max(held.work) } else { kind.mean_work };
        let trials = kind.repeats == Repeats::Reissuable && held.legs == 0;
        let allowed = |host: &&Host| {
            let scope = match (kind.repeats, &held.ran) {
                (Repeats::Numbered { scope, .. }, Some((_, first))) => {
                    let first = self.hosts.get(first).map(|first| &first.line);
                    match scope {
                        Scope::All => true,
                        Scope::Zone => first.is_some_and(|first| first.zone == host.line.zone),
                        Scope::Cell => first.is_some_and(|first| {
                            (first.zone, first.cell) == (host.line.zone, host.line.cell)
                        }),
                    }
                }
                _ => true,
            };
            let up = host.reputation >= FLOOR || (trials && host.next_trial <= self.now);
            scope && up && self.cold_room(host, cost) && !held.tried.contains(&host.line.host)
        };
        let order: Vec<&Host> =
            self.in_hash_order(Role::Cache, held.pull.object).into_iter().filter(allowed).collect();
        let least = order.iter().min_by(|a, b| self.load(a).total_cmp(&self.load(b)))?;
        let bound = FULL.max(self.load(least));
        let left = held.promised.since(self.now).ms();
        let in_time = |host: &&&Host| {
            let load = self.load(host);
            load <= bound.min(ADMIT) && (load <= FULL || load * held.work < left)
        };
        order.iter().find(in_time).map(|host| host.line.host.clone())
    }

    // The adaptive set: parents stay unless the origin clearly beats them on the measure that the size picks
    // or their reputation has sunk; the shared hash picks within it, moving down on failure.
    fn pick_source(&self, held: &Held) -> Option<HostId> {
        let kind = &self.kinds[held.pull.workload.0];
        let large = kind.parted || held.pull.size_kb.is_some_and(|kb| kb >= LARGE_KB);
        let origin = self.in_hash_order(Role::Origin, held.pull.object).into_iter().next();
        let fresh = |host: &&Host| !held.tried.contains(&host.line.host) && self.cold_room(host, held.work);
        let parents: Vec<&Host> =
            self.in_hash_order(Role::Parent, held.pull.object).into_iter().filter(fresh).collect();
        let set = |host: &&&Host| self.usable(host) && host.beaten[usize::from(large)] < SEVERAL;
        let trial = |host: &&&Host| held.legs == 0 && host.next_trial <= self.now;
        let chosen = if kind.goes_through {
            origin.or(parents.iter().find(|host| self.usable(host)).copied())
        } else if let Some(out) = parents.first().filter(|host| !set(host) && trial(host)) {
            Some(*out)
        } else if let Some(origin) = origin.as_ref().filter(|host| trial(host)) {
            Some(*origin)
        } else {
            let clear = origin.filter(|host| self.usable(host) && fresh(host));
            parents.iter().find(set).copied().or(clear).or(parents.first().copied()).or(origin)
        };
        chosen.map(|host| host.line.host.clone())
    }

    fn cache_up(&self) -> bool {
        self.hosts.values().any(|host| self.mine(host) && self.usable(host))
    }

    /// Sends a pull to the next cache in its order, or past the caches where there is none.
    fn hand_off(&mut self, id: PullId) -> bool {
        let held = &self.pulls[&id];
        let kind = &self.kinds[held.pull.workload.0];
        let source = self.pick_source(held);
        let open = kind.goes_through || self.link_open(held.work, kind.mean_work);
        if held.missed && !open {
            return false;
        }
        let trial = source.as_ref().is_some_and(|id| self.hosts[id].next_trial <= self.now);
        let cache = if kind.goes_through && self.direct { None } else { self.pick_cache(held) };
        let (host, source) = match (cache, source) {
            (Some(cache), Some(source)) if open => (cache, source),
            (Some(cache), _) => (cache.clone(), cache),
            (None, Some(source)) if self.direct && (kind.goes_through || !self.cache_up()) => {
                (source.clone(), source)
            }
            _ => return false,
        };
        let oldest = self.oldest(&held.pull, kind.fresh);
        let renew = kind.fresh.is_some() && oldest.is_none();
        let keep = if self.seen.contains_key(&held.pull.object) { 2 } else { 1 };
        let (work, object) = (held.work, held.pull.object);
        let cost = if kind.samples < SETTLED { kind.mean_work.max(work) } else { kind.mean_work };
        let slow = self.hosts.get(&host).map_or(1.0, |host| self.load(host).max(1.0));
        let wait = self.hosts.get(&source).and_then(|source| source.latency).unwrap_or(SLACK.ms());
        let expected = Span::of_ms(work * slow + wait);
        let patience = expected * OVERDUE + SLACK;
        let role = |id: &HostId| self.hosts[id].line.role;
        // Guards against a stopped origin being asked on by every parent, and against fills that hold their
        // places until they time out behind it.
        let origin_out = self
            .hosts
            .values()
            .any(|h| h.line.role == Role::Origin && !self.usable(h) && h.next_trial > self.now);
        let only_held = origin_out && role(&source) == Role::Parent && !kind.goes_through;
        let missed = held.missed;
        let repeatable = kind.repeats == Repeats::Reissuable;
        let left = held.pull.hard_stop.since(self.now);
        let allow = if repeatable && !self.duplicates { patience.min(left) } else { left };
        let leg = Leg(held.legs);
        for (host, cost) in BTreeMap::from([(&host, cost), (&source, work)]) {
            let now = self.now;
            let Some(host) = self.hosts.get_mut(host) else { continue };
            host.in_hand += 1.0;
            host.next_trial = now + TRIAL;
            host.spent.push_back((now, id, leg, cost));
            while host.spent.front().is_some_and(|(at, ..)| now.since(*at) > self.cache_ramp.window) {
                host.spent.pop_front();
            }
        }
        self.seen.insert(object, self.now);
        self.link.2 += if missed { 1.0 } else { 0.0 };
        self.due.insert((self.now + patience, id));
        self.out.hand_offs.push(HandOff {
            pull: id,
            host: host.clone(),
            source: source.clone(),
            allow,
            join: self.joins,
            renew,
            only_held,
            unkept_at_parent: false,
            oldest,
            keep,
        });
        let held = self.pulls.get_mut(&id).expect("just seen");
        held.legs += 1;
        let (sent, overdue) = (self.now, self.now + patience);
        held.out.push(Out { leg, host, source, sent, overdue, noted: false, silent: false, trial });
        true
    }

    // Guards against purged copies, wherever they lie: no copy from before the youngest purge will do.
    fn oldest(&self, pull: &Pull, fresh: Option<Span>) -> Option<Span> {
        let hit = |purge: &&Purge| purge.group == pull.group && purge.object.is_none_or(|o| o == pull.object);
        let made = self.purges.iter().filter(hit).map(|purge| purge.made).max()?;
        let age = self.now.since(made).less(Span::from_ms(1)).max(Span::from_ms(1));
        (fresh.is_none_or(|fresh| age < fresh)).then_some(age)
    }
}
