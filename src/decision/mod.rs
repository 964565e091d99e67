//! Every decision of one dispatcher. A caller makes a [`DecisionEngine`] with `start` and tells it each fact by a
//! call: `list`, `request`, `attempt_ended`, `purge`, `guided`, `wake`, `client_left`, `ends_at`. Each call
//! returns [`Decisions`], applied in the order of its fields: cancels, attempts, final answers, next wake.
//! An answered attempt is its request's final answer. Reasons: `docs/design.md`.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::hash::{mix, of_name};
use crate::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Cancel, CellId, ClassId, Clearance,
    Decisions, DeploymentTerms, Endpoint, FillOutcome, Final, GroupId, Health, HostId, ListKind,
    LoadReport, ObjectId, Observation, PeerHints, Repeats, Request, RequestClass, RequestId, Role,
    Sampled, Scope, SourceMeasurements, Span, Time, WarmupUsage,
};

mod state;

use state::{Held, Host, Out};

// Ratings (the design page's open values).
const LARGE_KB: f64 = 1000.0; // KB; from here bandwidth decides: the page's start
const NEW_WEIGHT: f64 = 0.2; // share of a new sample in a measure: the page's start
const MARGIN: f64 = 0.2; // share by which the origin must beat a parent: the page's start
const PACE_WEIGHT: f64 = 0.1; // of a hit in a cache's pace: untold sizes vary by as much as their mean
const SEVERAL: u32 = 4; // fills in a row: long enough that one slow fill decides nothing
const PENALTY: f64 = 0.3; // share of reputation lost by a failed fill: the page's start
const FLOOR: f64 = 0.5; // reputation below which a host is out of use: the page's start
const STEP: f64 = 0.1; // share of the way back to 1 by a success: a third of a penalty, so 1 in 3 ejects
const TRIAL: Span = Span::from_ms(5000); // between trials of a source out of use: the page's start
// Load.
const FULL: f64 = 2.0; // requests in hand per full-pace place at which the hash moves down: fills wait
const STAYS: [f64; 2] = [0.6, 1.3]; // times FULL at which objects move, by their draw: not all at once
const BOUND: f64 = 1.5; // times the least load up to which the hash is kept to where all are over that
const LATE_FULL: f64 = 1.0; // the same for a request that can't come in time: what the others leave
const ADMIT: f64 = 4.0; // the same at which no more is handed off: beyond, queues overflow
const ADMIT_LARGE: f64 = 1.5; // most by which that grows with the size: as far as BOUND lets a load differ
const LINK_FULL: f64 = 3.0; // transfers on the location's link over those that fit; a fill outruns an answer
const LINK_IDLE: f64 = 0.7; // the same up to which requests without a cache may use it: fills come first
const LINK_BIAS: f64 = 2.0; // most by which a small request may go on longer, a large one must stop sooner
const IDLE: f64 = 0.5; // least part of a load that counts, however idle its host reports to be
const OLD: Span = Span::from_ms(2000); // age at which a report says nothing more
const COLD_USE: f64 = 0.8; // share of the fall multiple that may be used: chance and late news take the rest
const MAX_COLD: f64 = 1.6; // times its present capacity that a cold host is asked for: more is only queued
const DOUBT: f64 = 8.0; // others from which on a report counts more than the own guess
const WINDOW: f64 = 24.0; // attempts out at a source, or past the caches, at first: most end as hits
const NARROWED: f64 = 0.8; // left of that after a slow or failed one
const SLOW: [f64; 2] = [0.85, 0.5]; // of overdue, past which a fill narrows a window; second, the origin's
const SETTLED: f64 = 100.0; // samples after which a mean size is trusted and follows slowly
// Time.
const SLACK: Span = Span::from_ms(150); // added to an expected time before it counts as overdue: far trips
const OVERDUE: f64 = 2.0; // times the expected time: a fair share of a link halves the pace at most
const LATELY: f64 = 0.5; // of the time since an overdue attempt: a host quiet for the rest is silent
const AGAIN: Span = Span::from_ms(60); // first pause after a refusal: lets short queues drain
const MOST_DOUBLED: u32 = 4; // doublings of that pause: then it is near a second
const RETRY_AFTER: Span = Span::from_ms(300); // named to rejected clients: a few of the transfers in hand
const LOOK: Span = Span::from_ms(400); // between looks at hosts that tell their load only so: a report's age
const TIDY: Span = Span::from_ms(1000); // the periodic timer: memory only, so a second will do
const REMEMBER: Span = Span::from_ms(60_000); // how long an object counts as seen: several cache lifetimes
const TICKS_EARLY: f64 = 3.0; // ticks before the deadline at which a request gets its answer: one may slip
const HAIR: Span = Span::from_ms(1); // taken off an age limit, and its least: the wire rounds

/// The rules for a request, in order; each tells whether it fired.
const RULES: [fn(&mut DecisionEngine, RequestId) -> bool; 6] = [
    DecisionEngine::drop_what_is_done,
    DecisionEngine::answer_before_the_deadline,
    DecisionEngine::give_up_when_nothing_may_follow,
    DecisionEngine::attempt_what_waits,
    DecisionEngine::note_what_is_overdue,
    DecisionEngine::attempt_beside_the_silent,
];

/// A cold host's least rise, what such a host can be asked for, and this dispatcher's equal part of it.
struct Ramp {
    from: f64,
    within: Span,
    window: Span,
    whole: f64,
    share: f64,
}

impl Ramp {
    /// The least part of its capacity that a host started then has at a time.
    fn part(&self, started: Option<Time>, at: Time) -> f64 {
        let risen = |started| at.since(started).ms() / self.within.ms().max(1.0);
        started.map_or(1.0, |started| {
            (self.from + (1.0 - self.from) * risen(started)).min(1.0)
        })
    }
}

/// The figures of a class that decisions use, with the mean sending time seen.
struct Kind {
    of: RequestClass,
    mean_work: f64,
    samples: f64,
}

impl Kind {
    fn new(of: RequestClass) -> Kind {
        Kind {
            mean_work: of.objective.ms() / (1.0 + of.stretch),
            samples: 0.0,
            of,
        }
    }
    fn learn(&mut self, work: f64) {
        self.samples = (self.samples + 1.0).min(SETTLED);
        self.mean_work += (work - self.mean_work) / self.samples;
    }
    /// What a request weighs against a cold cache: the mean, or more until that is known.
    fn cost(&self, work: f64) -> f64 {
        if self.samples < SETTLED {
            self.mean_work.max(work)
        } else {
            self.mean_work
        }
    }
    fn large(&self, request: &Request) -> bool {
        request
            .size_kb
            .is_some_and(|kb| self.of.parted || kb >= LARGE_KB)
    }
}

impl Host {
    fn new(line: Endpoint, now: Time) -> Host {
        let hash = mix(of_name(&line.host.0, 0));
        let (reputation, next_trial, window, slow) = (1.0, now + TRIAL, WINDOW, (1.0, now));
        Host {
            line,
            hash,
            reputation,
            next_trial,
            window,
            reach: 1.0,
            slow,
            heard: now,
            ..Host::default()
        }
    }
    fn is(&self, role: Role) -> bool {
        self.line.role == role
    }
    fn usable(&self) -> bool {
        self.line.health == Health::InService && self.reputation >= FLOOR
    }
    fn praise(&mut self, now: Time, out: &Out) {
        (self.heard, self.mute, self.good) = (now, 0, Some(now));
        self.widen(
            now < out.sent + out.overdue.since(out.sent) * SLOW[usize::from(self.is(Role::Origin))],
        );
        self.reputation += STEP * (1.0 - self.reputation) + f64::EPSILON; // rounds no trial below the floor
    }
    // Guards against a source that all dispatchers lean on when others fail: it slows, then stops.
    fn widen(&mut self, well: bool) {
        self.window = if well {
            self.window + 1.0
        } else {
            (self.window * NARROWED).max(1.0)
        };
    }
    // Guards against what parents pass on to a slow origin: nobody sees the sum, each sees the wait.
    fn reach(&mut self, prompt: bool) {
        let step = 1.0 / WINDOW; // as its window goes
        self.reach = if prompt {
            (self.reach + step).min(1.0)
        } else {
            (self.reach * NARROWED).max(step)
        };
    }
    // How much longer its hits take; what is left alone for that gets better by and by, to be tried again.
    fn pace(&self, now: Time) -> f64 {
        1.0 + (self.slow.0 - 1.0) * 0.5f64.powf(now.since(self.slow.1).less(OLD).ms() / OLD.ms())
    }
    fn time(&mut self, now: Time, ratio: f64) {
        let pace = self.pace(now);
        self.slow = (pace + PACE_WEIGHT * (ratio.clamp(1.0, ADMIT) - pace), now);
    }
    fn report(&mut self, now: Time, told: LoadReport) {
        self.others = told
            .in_hand
            .map(|requests| ((requests - self.in_hand).max(0.0), now))
            .or(self.others);
        self.busy = told.busy.map(|busy| (busy, now)).or(self.busy);
    }
    fn has_room(&self) -> bool {
        self.in_hand < self.window
    }
}

pub struct DecisionEngine {
    now: Time,
    born: Time,
    chance: Pcg64Mcg,
    kinds: Vec<Kind>,
    zone_mates: f64,
    pub link: Option<Sampled<f64>>, // the location's by the last report, and when that came
    ramps: [Ramp; 2],               // of caches and of parents
    early: Span,
    ends: Time,
    pub retry_after: Option<Span>, // also for clients that the caller has no room for
    terms: DeploymentTerms,
    list_trusted: bool,  // the list of hosts can be trusted
    unhinted_share: f64, // the part of the equal share that holds where none was told
    mean_work: f64,      // of all requests
    next_look: Time,
    hosts: BTreeMap<HostId, Host>,
    requests: BTreeMap<RequestId, Held>,
    purges: Vec<(Option<ObjectId>, GroupId, Time)>,
    seen: BTreeMap<ObjectId, Time>,
    owed: BTreeMap<(ObjectId, u64), Time>, // when requests given up were promised, for clients that ask again
    due: BTreeSet<(Time, RequestId)>,
    agenda: BTreeSet<RequestId>,
    next_tidy: Time,
    wake_at: Option<Time>,
    out: Decisions,
}

/// What the shared hash draws for an object's part at a host, 0 to 1; the higher, the more it belongs there.
// Guards against one cache being leant on for all parts of an object that is much asked for.
fn draw(host: &Host, request: &Request) -> f64 {
    ((mix(mix(request.object.0 ^ mix(request.part)) ^ host.hash) >> 11) as f64 + 1.0)
        / (1u64 << 53) as f64
}

/// How much of the load at which objects move a host may have until this one does.
fn stays(host: &Host, request: &Request) -> f64 {
    STAYS[0] + (STAYS[1] - STAYS[0]) * draw(host, request)
}

impl DecisionEngine {
    /// A new instance; the seed is its only source of chance.
    pub fn start(now: Time, seed: u64, mut terms: DeploymentTerms) -> (DecisionEngine, Decisions) {
        let mates = terms
            .zone_dispatchers
            .get(terms.zone.0)
            .map_or(1.0, |count| f64::from(*count).max(1.0));
        let ramp = |from, within, factor: f64, dispatchers: f64| {
            let whole = (factor * COLD_USE).min(MAX_COLD);
            Ramp {
                from,
                within,
                window: terms.fall_window,
                whole,
                share: whole / dispatchers.max(1.0),
            }
        };
        let (all, factor) = (f64::from(terms.dispatchers), terms.parent_overload_factor);
        let caches = ramp(
            terms.cold_from,
            terms.warm_within,
            terms.overload_factor,
            mates,
        );
        let ramps = [
            caches,
            ramp(
                terms.parent_cold_from,
                terms.parent_warm_within,
                factor,
                all,
            ),
        ];
        let kinds = std::mem::take(&mut terms.classes)
            .into_iter()
            .map(Kind::new)
            .collect();
        let retry_after = terms
            .may_name_return
            .then(|| RETRY_AFTER.min(terms.longest_return));
        let (early, chance, ends) = (
            terms.tick * TICKS_EARLY,
            Pcg64Mcg::seed_from_u64(seed),
            Time::NEVER,
        );
        let next_look = if terms.may_look {
            now + LOOK
        } else {
            Time::NEVER
        };
        let (link, list_trusted, unhinted_share, mean_work) = (None, true, 1.0, 0.0);
        let (hosts, requests, purges, seen) = (
            BTreeMap::new(),
            BTreeMap::new(),
            Vec::new(),
            BTreeMap::new(),
        );
        let (owed, due, agenda, wake_at) =
            (BTreeMap::new(), BTreeSet::new(), BTreeSet::new(), None);
        #[rustfmt::skip]
        let mut engine = DecisionEngine {
            now, born: now, chance, kinds, zone_mates: mates, link, ramps, early, ends, retry_after, terms,
            list_trusted, unhinted_share, mean_work, next_look, hosts, requests, purges, seen, owed, due, agenda,
            next_tidy: now + TIDY, wake_at, out: Decisions::default(),
        };
        let decisions = engine.wake(now);
        (engine, decisions)
    }

    /// Lines of the list of hosts; with the whole list, what it leaves out is gone.
    pub fn list(&mut self, now: Time, list_kind: ListKind, lines: Vec<Endpoint>) -> Decisions {
        let left_out = self
            .hosts
            .values_mut()
            .filter(|_| list_kind == ListKind::Full);
        left_out.for_each(|host| host.line.health = Health::Removed); // unless a line says otherwise
        for line in lines {
            let known = self
                .hosts
                .entry(line.host.clone())
                .or_insert_with(|| Host::new(line.clone(), now));
            if known.line.started != line.started {
                *known = Host {
                    in_hand: known.in_hand,
                    ..Host::new(line.clone(), now)
                }; // a new process
            }
            known.line = line;
            // Guards against a restarted dispatcher giving a cold host its share a second time.
            if now.since(self.born) < self.ramps[0].window && known.spent.is_empty() {
                known.spent.push((
                    self.born,
                    RequestId(u64::MAX),
                    AttemptIndex(0),
                    f64::INFINITY,
                ));
            }
        }
        self.agenda.extend(self.requests.keys().copied());
        self.wake(now)
    }

    /// A client's request, to be given exactly one final answer.
    pub fn request(&mut self, now: Time, mut request: Request) -> Decisions {
        request.deadline = request.deadline.min(self.ends);
        let kind = &mut self.kinds[request.class.0];
        let pace = self.terms.client_kb_per_s / 1000.0;
        let told = request.size_kb.filter(|_| pace > 0.0).map(|kb| kb / pace);
        told.into_iter().for_each(|work| kind.learn(work));
        let work = told.unwrap_or(kind.mean_work);
        self.mean_work += (work - self.mean_work) / kind.samples.max(1.0);
        // A client that asks again waits since its first try, so an old promise holds for its new request.
        let owed = self
            .owed
            .remove(&(request.object, request.part))
            .filter(|_| request.again);
        let objective =
            owed.unwrap_or(now + kind.of.objective + Span::of_ms(work * kind.of.stretch));
        let (id, stop) = (request.id, request.deadline - self.early);
        let (out, tried, failed_by, attempts, pauses, ran) =
            (Vec::new(), Vec::new(), Vec::new(), 0, 0, None);
        let (not_before, missed, done) = (now, false, false);
        #[rustfmt::skip]
        let held = Held {
            request, work, objective, out, attempts, ran, not_before, pauses, missed, tried, failed_by, done,
        };
        self.requests.insert(id, held);
        self.due.insert((stop, id));
        self.agenda.insert(id);
        self.wake(now)
    }

    /// A purge of one object, or of a whole group, made at the given time.
    pub fn purge(
        &mut self,
        now: Time,
        object: Option<ObjectId>,
        group: GroupId,
        made: Time,
    ) -> Decisions {
        self.purges.push((object, group, made));
        self.wake(now)
    }

    /// The client has left; no answer is owed any more.
    pub fn client_left(&mut self, now: Time, id: RequestId) -> Decisions {
        self.requests
            .get_mut(&id)
            .into_iter()
            .for_each(|held| held.done = true);
        self.agenda.insert(id);
        self.wake(now)
    }

    /// The process ends at that time: no request outlasts it.
    pub fn ends_at(&mut self, now: Time, ends: Time) -> Decisions {
        self.ends = ends;
        for (id, held) in &mut self.requests {
            held.request.deadline = held.request.deadline.min(ends);
            self.due.insert((held.request.deadline - self.early, *id));
        }
        self.wake(now)
    }

    /// What other dispatchers tell, each time all of it that holds. Own samples outweigh theirs of that age.
    pub fn guided(&mut self, now: Time, peer_hints: PeerHints) -> Decisions {
        self.now = now;
        self.list_trusted = peer_hints.list_trusted;
        self.unhinted_share = peer_hints.unhinted_share.clamp(0.0, 1.0);
        self.link = [self.link, peer_hints.link]
            .into_iter()
            .flatten()
            .max_by_key(|link| link.at);
        self.hosts.values_mut().for_each(|host| host.share = None);
        for hint in peer_hints.hints {
            let Some(host) = self.hosts.get_mut(&hint.host) else {
                continue;
            };
            if let Some(quota) = hint
                .quota
                .filter(|quota| quota.started == host.line.started)
            {
                host.share = Some(quota.fraction.clamp(0.0, 1.0));
            }
            host.others_in_flight = hint.others_in_flight.or(host.others_in_flight);
            host.window = hint
                .window
                .map_or(host.window, |most| host.window.min(most.max(1.0)));
            let (newer, out) = (
                hint.measured_at > host.measured[0].max(host.measured[1]),
                !host.usable(),
            );
            let down = hint.down_at > hint.last_success && hint.down_at > host.good.max(host.bad);
            // What others reach again is tried at once, and trusted by what comes of it.
            host.next_trial = if out && hint.last_success > host.bad {
                now
            } else {
                host.next_trial
            };
            if newer {
                host.measured[1] = hint.measured_at;
                self.weigh(&hint.host, 0, hint.measurements.latency);
                self.weigh(&hint.host, 1, hint.measurements.bandwidth);
            }
            (down && !out).then(|| self.cut(&hint.host, 1.0));
        }
        self.agenda.extend(self.requests.keys().copied());
        self.wake(now)
    }

    /// What was seen of each host here, for others to hear.
    pub fn observations(&self, now: Time) -> Vec<Observation> {
        let observation = |host: &Host| {
            let ramp = self.ramp(host);
            let (part, spent) = self.asked(host, now);
            let whole = (ramp.whole * part * host.line.weight * ramp.window.ms()).max(1.0);
            let (right, wished) = (ramp.share / ramp.whole, host.wished.take() / whole);
            let spent = spent / whole;
            let cold = (part < 1.0 && !host.is(Role::Origin)).then_some(WarmupUsage {
                equal_share: right,
                used: spent,
                unmet: wished,
            });
            let (id, started) = (host.line.host.clone(), host.line.started);
            let [latency, bandwidth] = host.sampled;
            Observation {
                host: id,
                started,
                measurements: SourceMeasurements { latency, bandwidth },
                measured_at: host.measured[0],
                last_success: host.good,
                last_failure: host.bad,
                in_flight: host.in_hand,
                warmup: cold,
            }
        };
        self.hosts.values().map(observation).collect()
    }

    /// Whether an attempt may still be sent now that its connection is up, and what it may ask for by now.
    // Guards against a connect that outlasts a grace, a window or the request: the rules bind what is sent.
    pub fn clear(&mut self, now: Time, id: RequestId, index: AttemptIndex) -> Option<Clearance> {
        self.now = now;
        let held = self
            .requests
            .get(&id)
            .filter(|held| !held.done && self.list_trusted)?;
        let out = held.out.iter().find(|out| out.index == index)?;
        let (kind, ids) = (
            &self.kinds[held.request.class.0],
            BTreeSet::from([&out.host, &out.source]),
        );
        let older = if out.source == out.host {
            kind.of.older
        } else {
            Span::ZERO
        };
        let oldest = self.oldest(&held.request, kind.of.fresh, older);
        let window = match (kind.of.repeats, &held.ran) {
            (Repeats::Deduplicated { remembered, .. }, Some((sent, _))) => *sent + remembered,
            _ => Time::NEVER,
        };
        let sent_by = window.min(held.request.deadline) - self.early;
        for id_of in ids {
            let host = self
                .hosts
                .get_mut(id_of)
                .filter(|host| host.line.health == Health::InService)?;
            let spent = host
                .spent
                .iter_mut()
                .find(|(_, request, index_of, _)| (*request, *index_of) == (id, index));
            let counts = spent.map(|spent| spent.0 = now).is_some(); // not with a process started since
            let (host, warm) = (
                &self.hosts[id_of],
                self.asked(&self.hosts[id_of], now).0 >= 1.0,
            );
            (warm || host.is(Role::Origin) || (counts && self.cold_room(host, 0.0)))
                .then_some(())?;
        }
        (now < sent_by).then_some(Clearance { oldest, sent_by })
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Time, ended: AttemptEnded) -> Decisions {
        self.now = now;
        let well = |origin: &Host| origin.usable() && origin.window >= WINDOW;
        let origin_well =
            ended.fill == FillOutcome::SourceRefused && self.origin().is_some_and(well);
        let Some(held) = self.requests.get_mut(&ended.request) else {
            return self.wake(now);
        };
        let at = held.out.iter().position(|out| out.index == ended.index);
        let Some(at) = at else { return self.wake(now) };
        let out = held.out.remove(at);
        let lacking = ended.outcome == AttemptOutcome::NoCopy || ended.fill == FillOutcome::NoSlot;
        held.done |= ended.outcome == AttemptOutcome::Answered || ended.closed;
        held.missed |= lacking;
        let ran = (!ended.outcome.never_ran()).then(|| (out.sent, out.host.clone()));
        held.ran = held.ran.take().or(ran);
        // Guards against full parents scattering their objects: one that refuses has not failed. Its request
        // goes on to the origin only while that is well; another parent would fetch the object there anew.
        let parent = self
            .hosts
            .get(&out.source)
            .is_some_and(|host| host.is(Role::Parent));
        let full = parent && ended.fill == FillOutcome::SourceRefused;
        // Guards against a full link being filled again elsewhere: what failed is moved past, nothing else.
        if matches!(
            ended.fill,
            FillOutcome::SourceRefused
                | FillOutcome::SourceUnreached
                | FillOutcome::SourceLacks
                | FillOutcome::OriginFailed
        ) && (!full || origin_well)
        {
            held.tried.push(out.source.clone());
        } else if !lacking
            && !full
            && !matches!(
                ended.outcome,
                AttemptOutcome::Stale | AttemptOutcome::Superseded
            )
        {
            held.tried.push(out.host.clone());
        }
        let cached = self
            .hosts
            .get(&out.host)
            .is_none_or(|host| host.is(Role::Cache));
        let failed = ended.outcome == AttemptOutcome::Errored && ended.fill == FillOutcome::Nothing;
        held.failed_by.extend(failed.then(|| out.host.clone()));
        if lacking
            || !cached
            || matches!(
                ended.fill,
                FillOutcome::SourceRefused | FillOutcome::OriginFailed
            )
        {
            held.pauses += 1;
            held.not_before = now + AGAIN * f64::from(1 << held.pauses.min(MOST_DOUBLED));
            self.due.insert((held.not_before, ended.request));
        }
        let kind = &self.kinds[held.request.class.0];
        let large = held.request.size_kb.filter(|_| kind.large(&held.request));
        let prompt = ended
            .waited
            .is_none_or(|waited| waited <= kind.of.objective);
        self.agenda.insert(ended.request);
        if cached && ended.outcome == AttemptOutcome::Answered {
            let (work, class, sized) = (
                held.work,
                held.request.class,
                held.request.size_kb.is_some(),
            );
            self.time(&out, &ended, work.max(1.0), (!sized).then_some(class));
        }
        self.release(&out, &ended, cached);
        self.hosts
            .get_mut(&out.source)
            .filter(|_| full)
            .into_iter()
            .for_each(|parent| parent.widen(false));
        if parent && ended.fill == FillOutcome::FilledThroughOrigin {
            let origin = self.hosts.values_mut().find(|host| host.is(Role::Origin));
            origin.into_iter().for_each(|origin| origin.reach(prompt));
        }
        (!full).then(|| self.rate(&out, &ended, large, cached));
        self.wake(now)
    }

    // How much longer than its sending time an answer of a cache took, and what that tells of whom.
    fn time(&mut self, out: &Out, ended: &AttemptEnded, work: f64, untold: Option<ClassId>) {
        let (now, through) = (
            self.now,
            self.origin()
                .filter(|_| ended.fill == FillOutcome::FilledThroughOrigin),
        );
        let filled = Some(&out.source).filter(|_| ended.fill == FillOutcome::Filled);
        let source = through.map(|origin| &origin.line.host).or(filled).cloned();
        let Some(cache) = self.hosts.get_mut(&out.host) else {
            return;
        };
        let pace = cache.pace(now);
        if ended.fill == FillOutcome::Hit {
            cache.time(now, ended.took.ms() / work);
            let learnt = untold.filter(|_| cache.in_hand <= cache.line.weight);
            learnt
                .into_iter()
                .for_each(|class| self.kinds[class.0].learn(ended.took.ms()));
        }
        let slow = ended
            .waited
            .map(|waited| ended.took.less(waited).ms() / work / pace);
        if let (Some(source), Some(slow)) = (source.and_then(|id| self.hosts.get_mut(&id)), slow) {
            source.time(now, slow);
            untold.is_none().then(|| self.guess_link(slow));
        }
    }

    // What the ended attempt gives back: places, and a cold source's budget that a hit left alone.
    fn release(&mut self, out: &Out, ended: &AttemptEnded, cached: bool) {
        let alive = !matches!(
            ended.outcome,
            AttemptOutcome::TimedOut
                | AttemptOutcome::NotConnected
                | AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
                | AttemptOutcome::Superseded
        );
        self.hear_link(ended.report.link.filter(|_| cached));
        for id in BTreeSet::from([&out.host, &out.source]) {
            let Some(host) = self.hosts.get_mut(id) else {
                continue;
            };
            (id == &out.host).then(|| host.report(self.now, ended.report));
            host.in_hand = (host.in_hand - 1.0).max(0.0);
            // Any answer, a failed fill too, shows that a host is not silent.
            (host.heard, host.mute) = if id == &out.host && alive {
                (self.now, 0)
            } else {
                (host.heard, host.mute)
            };
            if id != &out.host
                && matches!(
                    ended.fill,
                    FillOutcome::Hit | FillOutcome::Stale | FillOutcome::Joined
                )
            {
                host.spent
                    .retain(|(_, of, index, _)| (*of, *index) != (ended.request, ended.index));
                host.next_trial = if out.trial { self.now } else { host.next_trial };
            }
        }
    }

    // The measures of the paper's tables: latency and bandwidth of each source, reputation of all.
    fn rate(&mut self, out: &Out, ended: &AttemptEnded, large: Option<f64>, cached: bool) {
        let filled = matches!(
            ended.fill,
            FillOutcome::Filled | FillOutcome::FilledThroughOrigin
        );
        let (own, errored) = (
            out.source == out.host,
            ended.outcome == AttemptOutcome::Errored,
        );
        let (behind, excused) = (cached && !own, errored && own && !cached); // a write: its client's fault?
        if ended.outcome == AttemptOutcome::Answered {
            let source = Some(&out.source).filter(|_| filled && behind);
            for id in [&out.host].into_iter().chain(source) {
                self.hosts
                    .get_mut(id)
                    .into_iter()
                    .for_each(|host| host.praise(self.now, out));
            }
            source
                .into_iter()
                .for_each(|_| self.measure(out, ended, large));
        }
        let culprit = match (ended.outcome, ended.fill) {
            (AttemptOutcome::Answered, _) => None,
            // A parent that the origin fails is no worse for it: the origin's reputation pays.
            (_, FillOutcome::OriginFailed) => self.origin().map(|origin| origin.line.host.clone()),
            (_, FillOutcome::SourceRefused | FillOutcome::SourceUnreached) if behind => {
                Some(out.source.clone())
            }
            (
                AttemptOutcome::Errored | AttemptOutcome::NotConnected | AttemptOutcome::Broken,
                _,
            ) if !excused => Some(out.host.clone()),
            _ => None,
        };
        // Guards against all dispatchers losing requests to each dead host: one not reached is out at once.
        let dead = matches!(
            (ended.outcome, ended.fill),
            (AttemptOutcome::NotConnected, _)
                | (AttemptOutcome::Rejected, FillOutcome::SourceUnreached)
        );
        culprit
            .into_iter()
            .for_each(|id| self.blame(&id, if dead { 1.0 } else { PENALTY }));
    }

    fn blame(&mut self, id: &HostId, penalty: f64) {
        self.hosts
            .get_mut(id)
            .into_iter()
            .for_each(|host| host.bad = Some(self.now));
        self.cut(id, penalty);
    }

    fn cut(&mut self, id: &HostId, penalty: f64) {
        let next_trial = self.now + TRIAL * self.chance.random_range(0.9..1.1);
        if let Some(host) = self.hosts.get_mut(id) {
            // Guards against a source that stays out long after its trouble: one good trial is enough.
            host.reputation =
                (host.reputation * (1.0 - penalty)).max((FLOOR - STEP) / (1.0 - STEP));
            host.widen(false);
            host.next_trial = next_trial;
        }
    }

    fn measure(&mut self, out: &Out, ended: &AttemptEnded, large: Option<f64>) {
        let Some(waited) = ended.waited else { return };
        let Some(source) = self.hosts.get_mut(&out.source) else {
            return;
        };
        let latency = Some(waited.ms())
            .filter(|_| source.is(Role::Origin) || ended.fill == FillOutcome::Filled);
        let bandwidth = large.map(|kb| kb / ended.took.less(waited).ms().max(1.0));
        (source.sampled, source.measured[0]) = ([latency, bandwidth], Some(self.now));
        self.weigh(&out.source, 0, latency);
        self.weigh(&out.source, 1, bandwidth);
    }

    fn weigh(&mut self, id: &HostId, at: usize, sample: Option<f64>) {
        let best = self.origin().and_then(|origin| origin.measures[at]);
        let (Some(source), Some(sample)) = (self.hosts.get_mut(id), sample) else {
            return;
        };
        let own = source.measures[at].map_or(sample, |old| old + NEW_WEIGHT * (sample - old));
        source.measures[at] = Some(own);
        let wins = |best| {
            if at == 0 {
                best < own * (1.0 - MARGIN)
            } else {
                best > own * (1.0 + MARGIN)
            }
        };
        source.beaten[at] = if best.is_some_and(wins) {
            (source.beaten[at] + 1).min(SEVERAL)
        } else {
            0
        };
    }

    /// The time asked for in an earlier `Decisions::wake` has come, or a fact that calls for decisions.
    pub fn wake(&mut self, now: Time) -> Decisions {
        self.now = now;
        if now >= self.next_tidy {
            self.next_tidy = now + TIDY;
            self.seen.retain(|_, at| now.since(*at) < REMEMBER);
            self.owed
                .retain(|_, objective| now.since(*objective) < REMEMBER);
            self.purges
                .retain(|(.., made)| now.since(*made) < self.terms.purge_settles + TIDY);
            self.hosts
                .retain(|_, host| host.line.health != Health::Removed || host.in_hand > 0.0);
        }
        (now >= self.next_look).then(|| self.look());
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            self.agenda.extend(self.due.pop_first().map(|(_, id)| id));
        }
        while let Some(id) = self.agenda.pop_first() {
            while RULES.iter().any(|rule| rule(self, id)) {}
        }
        let timer = self.next_tidy.min(self.next_look);
        let next = self.due.first().map_or(timer, |(at, _)| timer.min(*at));
        if self.wake_at.is_none_or(|at| at <= now || next < at) {
            (self.out.wake, self.wake_at) = (Some(next), Some(next));
        }
        std::mem::take(&mut self.out)
    }

    // Asks the cache of this location that was looked at longest ago for its load.
    fn look(&mut self) {
        self.next_look = self.now + LOOK * self.chance.random_range(0.9..1.1);
        let mine = self
            .hosts
            .values()
            .filter(|h| self.mine(h) && h.line.health == Health::InService);
        let next = mine
            .min_by_key(|host| (host.looked, host.hash))
            .map(|host| host.line.host.clone());
        if let Some(host) = next.as_ref().and_then(|id| self.hosts.get_mut(id)) {
            host.looked = Some(self.now);
        }
        self.out.looks.extend(next);
    }

    /// A host that was looked at has told its load, or nothing.
    pub fn seen(&mut self, now: Time, host: &HostId, told: LoadReport) -> Decisions {
        self.now = now;
        self.hear_link(told.link);
        self.hosts
            .get_mut(host)
            .into_iter()
            .for_each(|host| host.report(now, told));
        self.wake(now)
    }

    fn hear_link(&mut self, link: Option<f64>) {
        let heard = link.map(|value| Sampled {
            value,
            at: self.now,
        });
        self.link = heard.or(self.link);
    }

    // Guards against a full link that no report tells of: a fill outruns its answer unless that holds it up.
    fn guess_link(&mut self, slow: f64) {
        let fresh = self
            .link
            .filter(|link| self.now.since(link.at) < OLD)
            .map(|link| link.value);
        let full = LINK_FULL * (slow - 1.0).max(0.0);
        let guess = fresh.map_or(full, |old| old + NEW_WEIGHT * (full - old));
        self.link = if self.terms.tells_link {
            self.link
        } else {
            Some(Sampled {
                value: guess,
                at: self.now,
            })
        };
    }

    fn drop_what_is_done(&mut self, id: RequestId) -> bool {
        let Some(_) = self.requests.get(&id).filter(|held| held.done) else {
            return false;
        };
        let held = self.requests.remove(&id).expect("just seen");
        self.due.remove(&(held.request.deadline - self.early, id));
        let cancelled = held.out.iter().filter(|_| self.terms.may_cancel);
        let cancels = cancelled.map(|out| Cancel {
            request: id,
            index: out.index,
        });
        self.out.cancels.extend(cancels);
        for host in held
            .out
            .iter()
            .flat_map(|out| BTreeSet::from([&out.host, &out.source]))
        {
            self.hosts
                .get_mut(host)
                .into_iter()
                .for_each(|host| host.in_hand = (host.in_hand - 1.0).max(0.0));
        }
        true
    }

    // Guards against a lost request: whatever else goes on, the client gets its answer while it listens.
    fn answer_before_the_deadline(&mut self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|held| self.now + self.early >= held.request.deadline)
            && self.give_up(id)
    }

    fn give_up_when_nothing_may_follow(&mut self, id: RequestId) -> bool {
        let Some(held) = self.requests.get(&id) else {
            return false;
        };
        let in_time = held.work < held.request.deadline.since(self.now).ms();
        held.out.is_empty() && !(in_time && self.may_follow(held)) && self.give_up(id)
    }

    // Guards against bad clients that put caches out of use: what several have failed, each of which has
    // answered others lately, and nobody answered, is the request's own fault. Two may have failed together.
    fn pardon(&mut self, id: RequestId) {
        let (held, lately) = (&self.requests[&id], Some(self.now - OLD));
        let cached = |id: &&HostId| self.hosts.get(*id).is_some_and(|host| host.is(Role::Cache));
        let caches: Vec<HostId> = held.failed_by.iter().filter(cached).cloned().collect();
        let several = caches.iter().collect::<BTreeSet<_>>().len() > 2;
        let well = caches.iter().all(|id| self.hosts[id].good > lately);
        if several && well && held.failed_by.len() == held.attempts as usize {
            for id in &caches {
                let host = self.hosts.get_mut(id).expect("just seen");
                host.reputation = (host.reputation / (1.0 - PENALTY)).min(1.0);
            }
        }
    }

    // A rejection promises that a retry is harmless; where that can't be known it is a failure.
    fn give_up(&mut self, id: RequestId) -> bool {
        self.pardon(id);
        let held = &self.requests[&id];
        let harmless = match self.kinds[held.request.class.0].of.repeats {
            Repeats::Idempotent
            | Repeats::Deduplicated {
                scope: Scope::All, ..
            } => true,
            _ => held.ran.is_none() && held.out.is_empty(),
        };
        self.owed
            .insert((held.request.object, held.request.part), held.objective);
        let rejected = Final::Rejected {
            request: id,
            retry_after: self.retry_after,
        };
        self.out.finals.push(if harmless {
            rejected
        } else {
            Final::Failed { request: id }
        });
        self.requests
            .get_mut(&id)
            .into_iter()
            .for_each(|held| held.done = true);
        self.agenda.insert(id);
        true
    }

    // Guards against an effect that happens twice.
    fn may_follow(&self, held: &Held) -> bool {
        let ran = held
            .ran
            .as_ref()
            .map(|(sent, _)| *sent)
            .or(held.out.first().map(|out| out.sent));
        let allowed = match (self.kinds[held.request.class.0].of.repeats, ran) {
            (Repeats::Idempotent, _) | (_, None) => true,
            (Repeats::AtMostOnce, Some(_)) => false,
            (Repeats::Deduplicated { remembered, .. }, Some(at)) => {
                self.now + self.early < at + remembered
            }
        };
        self.list_trusted && held.attempts < self.terms.most_attempts.max(1) && allowed
    }

    fn attempt_what_waits(&mut self, id: RequestId) -> bool {
        let waits = |held: &&Held| held.out.is_empty() && self.now >= held.not_before;
        let Some(_) = self.requests.get(&id).filter(waits) else {
            return false;
        };
        if !self.attempt(id) {
            // Guards against overload in which all come late: what can't come in time makes room at once. So
            // does a known miss that may not be filled: those held would go on together when a link clears.
            let held = self.requests.get_mut(&id).expect("just seen");
            held.not_before = self.now + AGAIN;
            held.tried.clear();
            if held.missed || held.objective.since(self.now).ms() < held.work * FULL {
                return self.give_up(id);
            }
            self.due.insert((held.not_before, id));
        }
        true
    }

    // Guards against hosts that take requests and answer none: one that answered nothing since the overdue
    // attempt went out is blamed; a slow one has answered others. No source pays for a cache cut off midway.
    fn note_what_is_overdue(&mut self, id: RequestId) -> bool {
        let Some(held) = self.requests.get_mut(&id) else {
            return false;
        };
        let fresh = |out: &&mut Out| out.silent.is_none() && out.overdue <= self.now;
        let Some(out) = held.out.iter_mut().find(fresh) else {
            return false;
        };
        let ratio = self.now.since(out.sent).ms() / held.work.max(1.0);
        if let Some(host) = self.hosts.get_mut(&out.host) {
            host.widen(false);
            (out.source == out.host).then(|| host.time(self.now, ratio));
        }
        let lately = out.sent + self.now.since(out.sent) * LATELY;
        let enough = if self.terms.may_duplicate { 1 } else { 2 }; // one taken back loses what it has
        let mut muted = Vec::new();
        for (id, since) in BTreeMap::from([(&out.source, out.sent), (&out.host, lately)]) {
            let Some(host) = self.hosts.get_mut(id).filter(|host| host.heard <= since) else {
                continue;
            };
            host.mute = (host.mute + 1).min(enough);
            muted.push((host.mute, id == &out.host, id.clone()));
        }
        // Guards against blaming a host for one request that is large, or for what waits behind another.
        if muted.iter().all(|(mute, ..)| *mute < enough) && !muted.is_empty() {
            out.overdue = self.now + out.overdue.since(out.sent);
            self.due.insert((out.overdue, id));
            return true;
        }
        let culprit = muted.into_iter().max().map(|(.., id)| id);
        out.silent = Some(culprit.is_some());
        let again = self.kinds[held.request.class.0].of.repeats == Repeats::Idempotent
            && self.terms.may_cancel;
        let taken_back = culprit
            .iter()
            .filter(|_| again && !self.terms.may_duplicate);
        self.out.cancels.extend(taken_back.map(|_| Cancel {
            request: id,
            index: out.index,
        }));
        held.tried.extend(culprit.clone());
        culprit
            .iter()
            .for_each(|culprit| self.blame(culprit, PENALTY));
        true
    }

    fn attempt_beside_the_silent(&mut self, id: RequestId) -> bool {
        let Some(held) = self.requests.get(&id) else {
            return false;
        };
        let idempotent = self.kinds[held.request.class.0].of.repeats == Repeats::Idempotent;
        let silent = !held.out.is_empty() && held.out.iter().all(|out| out.silent == Some(true));
        let allowed = self.terms.may_duplicate && idempotent && silent && self.may_follow(held);
        allowed
            && held.request.deadline.since(self.now).ms() > held.work + SLACK.ms()
            && self.attempt(id)
    }

    fn ramp(&self, host: &Host) -> &Ramp {
        &self.ramps[usize::from(!host.is(Role::Cache))]
    }

    // Guards against a cold host being pushed over by all dispatchers together: each keeps to its share of
    // what the worst ramp bears within any window. An attempt without a fill weighs the mean as well.
    fn cold_room(&self, host: &Host, cost: f64) -> bool {
        let (ramp, (part, spent)) = (self.ramp(host), self.asked(host, self.now));
        let share = host
            .share
            .map_or(ramp.share * self.unhinted_share, |share| share * ramp.whole);
        let bears = share * part * host.line.weight * ramp.window.ms();
        part >= 1.0 || host.is(Role::Origin) || spent + cost <= bears
    }

    // What belongs at a cold host that has no room for it, for others to hear.
    fn wish(&self, first: Option<&&Host>, cost: f64) {
        let cold = first.filter(|host| !self.cold_room(host, cost));
        cold.into_iter()
            .for_each(|host| host.wished.set(host.wished.get() + cost));
    }

    /// The least part of its capacity that a host has had for a window, and what was asked of it within that.
    fn asked(&self, host: &Host, now: Time) -> (f64, f64) {
        let since = now - self.ramp(host).window;
        let spent = host
            .spent
            .iter()
            .filter(|(at, ..)| *at > since)
            .map(|(.., cost)| cost)
            .sum::<f64>();
        (self.ramp(host).part(host.line.started, since), spent)
    }

    // Requests in hand over the places at full pace. Guards against many dispatchers each taking one of their
    // own for one of every other's: the more they are, the more the host's last report counts.
    fn load(&self, host: &Host) -> f64 {
        let part = self.ramp(host).part(host.line.started, self.now);
        let (mates, told) = (
            self.zone_mates - 1.0,
            host.others.filter(|(_, at)| self.now.since(*at) < OLD),
        );
        let guess = host.in_hand * mates;
        let known = host
            .others_in_flight
            .filter(|others| self.now.since(others.at) < OLD)
            .map(|others| others.value);
        let mixed = told.map_or(guess, |(told, _)| {
            (guess * DOUBT + told * mates) / (DOUBT + mates)
        });
        let load =
            (host.in_hand + known.unwrap_or(mixed) + 1.0) / (host.line.weight * part).max(0.1);
        // Guards against requests that wait for a slow fill being taken for work that the cache does.
        let busy = host
            .busy
            .filter(|(_, at)| self.now.since(*at) < OLD)
            .map_or(1.0, |(busy, _)| busy);
        (load * busy.clamp(IDLE, 1.0)).max(host.pace(self.now)) // guards against what no load tells
    }

    fn origin(&self) -> Option<&Host> {
        self.hosts
            .values()
            .find(|h| h.is(Role::Origin) && h.line.health == Health::InService)
    }

    fn mine(&self, host: &Host) -> bool {
        host.is(Role::Cache) && host.line.zone == Some(self.terms.zone)
    }

    // Guards against a full link, where fills outlive their requests and every miss comes late: while it is
    // full only hits are asked for, and known misses are rejected, large ones first.
    fn link_open(&self, held: &Held, mean: f64) -> bool {
        let late = held.objective.since(self.now).ms() < held.work;
        // Of what tells no size most bytes are in few large ones, so it stops sooner, by its class's mean.
        let mean = if held.request.size_kb.is_some() {
            mean
        } else {
            self.mean_work / LINK_BIAS
        };
        let bias =
            if late { 0.0 } else { mean / held.work.max(1.0) }.clamp(1.0 / LINK_BIAS, LINK_BIAS);
        self.link
            .is_none_or(|link| link.value < LINK_FULL * bias || self.now.since(link.at) >= OLD)
    }

    /// Hosts of a role in the order of the shared hash (weighted rendezvous).
    fn in_hash_order(&self, role: Role, request: &Request) -> Vec<&Host> {
        let near = |host: &Host| role != Role::Cache || self.mine(host);
        let mine = |h: &&Host| h.is(role) && near(h) && h.line.health == Health::InService;
        let score = |host: &Host| -draw(host, request).ln() / host.line.weight.max(0.01);
        let mut order: Vec<&Host> = self.hosts.values().filter(mine).collect();
        order.sort_by(|a, b| score(a).total_cmp(&score(b)));
        order
    }

    // A deduplicated request that may have run stays among the hosts that drop its repeats.
    fn in_scope(&self, held: &Held, host: &Host) -> bool {
        let repeats = self.kinds[held.request.class.0].of.repeats;
        let Repeats::Deduplicated { scope, .. } = repeats else {
            return true;
        };
        let Some((_, first)) = &held.ran else {
            return true;
        };
        let cell = |line: &Endpoint| {
            (
                line.zone,
                if scope == Scope::Cell {
                    line.cell
                } else {
                    CellId(0)
                },
            )
        };
        let same = |first: &Host| cell(&first.line) == cell(&host.line);
        scope == Scope::All || self.hosts.get(first).is_some_and(same)
    }

    fn pick_cache(&self, held: &Held, open: bool) -> Option<HostId> {
        let kind = &self.kinds[held.request.class.0];
        let trials = kind.of.repeats == Repeats::Idempotent && held.attempts == 0;
        let fits =
            |host: &Host| self.in_scope(held, host) && self.cold_room(host, kind.cost(held.work));
        let up = |host: &Host| host.reputation >= FLOOR || (trials && host.next_trial <= self.now);
        let mut order = self.in_hash_order(Role::Cache, &held.request);
        self.wish(order.first(), kind.cost(held.work));
        order.retain(|host| up(host) && !held.tried.contains(&host.line.host) && fits(host));
        let least = order
            .iter()
            .map(|host| self.load(host))
            .min_by(f64::total_cmp)?;
        // Guards against the hash being lost where all caches are loaded alike: then no object moves. On a
        // full link only the cache that may hold it helps, so the hash is kept to for longer.
        // Guards against small requests taking each place that comes free before a large one looks: the
        // larger it is within its class, the higher the load at which it is taken, if it comes in time.
        let admit = ADMIT * (held.work / kind.mean_work.max(1.0)).clamp(1.0, ADMIT_LARGE);
        let most = if open {
            (least * BOUND).min(admit)
        } else {
            admit
        };
        let left = held.objective.since(self.now).ms();
        // Guards against a loaded cache losing all its objects at once, and with them its hits: they go one
        // after another by what the hash draws, the same ones at every dispatcher.
        let in_time = |host: &&&Host| {
            let load = self.load(host);
            load <= (if held.work < left {
                FULL * stays(host, &held.request)
            } else {
                LATE_FULL
            }) || (load <= most && load * held.work < left)
        };
        order
            .iter()
            .find(in_time)
            .map(|host| host.line.host.clone())
    }

    // The adaptive set: parents stay unless the origin clearly beats them on the measure that the size picks
    // or their reputation has sunk; the shared hash picks within it, moving down on failure.
    fn pick_source(&self, held: &Held) -> Option<HostId> {
        let kind = &self.kinds[held.request.class.0];
        let measure = usize::from(kind.large(&held.request));
        let new =
            |host: &&Host| !held.tried.contains(&host.line.host) && self.cold_room(host, held.work);
        let trial = |host: &&&Host| held.attempts == 0 && host.next_trial <= self.now;
        let origin = self.origin();
        let mut parents = self.in_hash_order(Role::Parent, &held.request);
        self.wish(parents.first(), held.work);
        let paces = parents
            .iter()
            .filter(|host| host.usable())
            .map(|host| host.pace(self.now));
        let quick = paces.fold(ADMIT, f64::min);
        // Guards against parents that grow slow: as from a loaded cache, objects leave one by one.
        let keeps = |host: &Host| host.pace(self.now) <= quick * FULL * stays(host, &held.request);
        let set = |host: &&&Host| host.usable() && host.beaten[measure] < SEVERAL && keeps(host);
        parents.retain(new);
        let first = parents.first().copied();
        let chosen = if kind.of.goes_through {
            origin.or(parents.iter().find(|host| host.usable()).copied())
        } else {
            let out = first.filter(|host| !set(&host) && trial(&host));
            let clear = origin.filter(|host| host.usable() && host.has_room() && new(host));
            let usual = parents.iter().find(set).copied();
            let usual = usual
                .filter(|host| host.has_room())
                .or(clear)
                .or(usual)
                .or(first);
            // Guards against a few parents left with the fills of all: they refuse, the next would too.
            let failed = held
                .tried
                .iter()
                .filter_map(|id| self.hosts.get(id))
                .any(|h| h.is(Role::Parent));
            out.or(origin.filter(|host| trial(&host)))
                .or(clear.filter(|_| failed))
                .or(usual)
        };
        chosen.map(|host| host.line.host.clone())
    }

    /// Sends a request to the next cache in its order, or past the caches where none is up.
    fn attempt(&mut self, id: RequestId) -> bool {
        let (now, held) = (self.now, &self.requests[&id]);
        let kind = &self.kinds[held.request.class.0];
        let (through, work) = (kind.of.goes_through, held.work);
        let open = through || self.link_open(held, kind.mean_work);
        // With no cache up, or none with room while the link has some, a request goes past the caches.
        let idle = self.link.is_some_and(|link| link.value < LINK_IDLE) && work < kind.mean_work;
        let lost = !self.hosts.values().any(|h| self.mine(h) && h.usable());
        let straight = self.terms.direct && (through || lost || (open && idle));
        let cache = if through && self.terms.direct {
            None
        } else {
            self.pick_cache(held, open)
        };
        let origin = self.origin();
        let up = origin
            .filter(|origin| origin.usable())
            .map(|origin| &origin.line.host);
        // Guards against slow sources whose fills take up the caches, and a stopped origin being asked on by
        // parents, or every parent asked in turn for what the first one lacks. Behind a slow origin parents
        // fetch what the hash draws, the same at every dispatcher, so that what is fetched serves all.
        let narrow = |origin: &Host| draw(origin, &held.request) > origin.reach;
        let shut = |origin: &Host| !origin.usable() && origin.next_trial > now;
        let stopped = origin.is_some_and(|origin| shut(origin) || narrow(origin));
        let room =
            |id: &HostId| through || (self.hosts[id].has_room() && !(stopped && held.missed));
        let fits = |id: &HostId| room(id) && (through || self.in_scope(held, &self.hosts[id]));
        let (host, source) = match (cache, self.pick_source(held)) {
            (Some(cache), Some(source)) if open && room(&source) => (cache, source),
            (Some(_), _) if held.missed => return false,
            (Some(cache), _) => (cache.clone(), cache),
            (None, Some(to)) if straight && fits(&to) => (to.clone(), up.cloned().unwrap_or(to)),
            _ => return false,
        };
        let behind = &self.hosts[&source];
        let (past, trial) = (!self.hosts[&host].is(Role::Cache), behind.next_trial <= now);
        let only_held = stopped && behind.is(Role::Parent) && !through;
        // Where only a hit will do, a copy past its fresh time is worth more than none.
        let older = if source == host {
            kind.of.older
        } else {
            Span::ZERO
        };
        let oldest = self.oldest(&held.request, kind.of.fresh, older);
        let slow = self.load(&self.hosts[&host]).max(1.0);
        let patience =
            Span::of_ms(work * slow + behind.measures[0].unwrap_or(SLACK.ms())) * OVERDUE + SLACK;
        let left = held.request.deadline.since(now);
        let cut = kind.of.repeats == Repeats::Idempotent
            && !self.terms.may_duplicate
            && !self.terms.may_cancel;
        self.out.attempts.push(Attempt {
            request: id,
            host: host.clone(),
            source: source.clone(),
            allow: if cut { patience.min(left) } else { left },
            join: self.terms.joins,
            renew: kind.of.fresh.is_some() && oldest.is_none(),
            only_held,
            oldest,
            fresh: kind.of.repeats != Repeats::Idempotent, // a reset there could not be made good
            keep: if self.seen.contains_key(&held.request.object) {
                2
            } else {
                1
            },
        });
        let (index, cost) = (
            AttemptIndex(held.attempts),
            if past { work } else { kind.cost(work) },
        );
        for (id_of, cost) in BTreeMap::from([(&source, work), (&host, cost)]) {
            let Some(host) = self.hosts.get_mut(id_of) else {
                continue;
            };
            host.in_hand += 1.0;
            host.next_trial = if through {
                host.next_trial
            } else {
                now + TRIAL
            };
            host.spent.push((now, id, index, cost));
            host.spent
                .retain(|(at, ..)| now.since(*at) <= self.ramps[0].window);
        }
        self.due.insert((now + patience, id));
        let held = self.requests.get_mut(&id).expect("just seen");
        self.seen.insert(held.request.object, now);
        held.attempts += 1;
        held.out.push(Out {
            index,
            host,
            source,
            sent: now,
            overdue: now + patience,
            silent: None,
            trial,
        });
        true
    }

    // Guards against purged copies, wherever they lie: no copy from before the youngest purge will do.
    fn oldest(&self, request: &Request, fresh: Option<Span>, older: Span) -> Option<Span> {
        let group_hit = |group| group == GroupId::ALL || group == request.group;
        let hit =
            |object: Option<_>, group| object.map_or(group_hit(group), |it| it == request.object);
        let hits = self
            .purges
            .iter()
            .filter(|(object, group, _)| hit(*object, *group));
        let age = hits
            .map(|(.., made)| self.now.since(*made).less(HAIR).max(HAIR))
            .min();
        age.into_iter()
            .chain(fresh.map(|fresh| fresh + older))
            .min()
            .filter(|age| Some(*age) != fresh)
    }
}
