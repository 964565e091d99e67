//! The run itself: every event, from a client's first try to the record of its end.

use std::collections::{BTreeMap, HashMap, HashSet};

use flaxdeck::brain::Brain;
use flaxdeck::words::*;
use flaxdeck_guidance::forwarder::{Guide, Stance};
use flaxdeck_guidance::membership::PlannerId;
use flaxdeck_guidance::messages::{Epoch, Guidance, Relayed, Report, SeatId};
use flaxdeck_guidance::planner::Planner;
use flaxdeck_guidance::{Parts, Pledges};
use flaxdeck_recovery::Mark;
use flaxdeck_rules::{Answer, Ramp, Seen, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::faults::{Fault, Trouble};
use crate::hosts::{Host, Job, Kind, Manner};
use crate::links::Link;
use crate::queue::Queue;
use crate::traffic::{Law, Traffic};

/// One fleet, its traffic and its day.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    pub zones: usize,
    pub forwarders: usize,
    pub planners: usize,
    pub caches: usize,
    pub parents: usize,
    /// Places of each cache, parent and the origin.
    pub places: [f64; 3],
    /// KB that each cache and parent keeps.
    pub keeps_kb: [f64; 2],
    /// KB a millisecond that a place sends, and that a location's link carries.
    pub place_pace: f64,
    pub link_pace: f64,
    /// Milliseconds from a forwarder to a cache of its location, and from there to parents and the origin.
    pub near_ms: f64,
    pub far_ms: f64,
    /// The origin's own milliseconds before its first byte.
    pub origin_ms: f64,
    pub cold_from: f64,
    pub warm_within_ms: f64,
    pub window_ms: f64,
    pub factor: f64,
    /// Until the register's word reaches anybody.
    pub register_ms: f64,
    pub law: Law,
    pub day_ms: f64,
    /// Tries of one client for one want, and how long it waits for each.
    pub tries: u32,
    pub wait_ms: f64,
    pub faults: Vec<Fault>,
    /// The rules are judged as well, from a record of all that was seen.
    pub judged: bool,
}

/// The register of the model never loses its numbering: a number is its event.
fn mark(number: u64) -> Mark {
    Mark { number, hash: number }
}

impl Default for Shape {
    fn default() -> Shape {
        let law =
            Law { rate: 150.0, objects: 3_000, power: 0.8, median_kb: 120.0, spread: 0.8, writes: 0.01 };
        Shape {
            zones: 2,
            forwarders: 2,
            planners: 0,
            caches: 4,
            parents: 3,
            places: [4.0, 8.0, 8.0],
            keeps_kb: [60_000.0, 300_000.0],
            place_pace: 11.0,
            link_pace: 60.0,
            near_ms: 0.5,
            far_ms: 6.0,
            origin_ms: 15.0,
            cold_from: 0.2,
            warm_within_ms: 12_000.0,
            window_ms: 2_000.0,
            factor: 2.0,
            register_ms: 300.0,
            law,
            day_ms: 30_000.0,
            tries: 3,
            wait_ms: 2_500.0,
            faults: Vec::new(),
            judged: false,
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Wants of clients, each tried some times.
    pub wants: u64,
    /// Finished within the promised time of the first try, and later.
    pub in_time: u64,
    pub late: u64,
    /// Given up after all tries.
    pub lost: u64,
    pub pulls: u64,
    pub finished: u64,
    pub bounced: u64,
    pub forfeited: u64,
    pub hand_offs: u64,
    pub hits: u64,
    pub parent_fills: u64,
    pub origin_fills: u64,
    pub fell_over: u64,
    pub events: u64,
    /// The part of all reads that was served, of the tenth with the largest objects, and of the fifth below that.
    pub served_by_size: [f64; 3],
    /// If it was judged.
    pub verdict: Option<Verdict>,
    /// Of all that happened, in order: the same for the same shape and seed.
    pub digest: u64,
}

impl Outcome {
    /// One for a want in time, a half for a late one, of all wants.
    pub fn gain(&self) -> f64 {
        (self.in_time as f64 + 0.5 * self.late as f64) / self.wants.max(1) as f64
    }
}

enum Event {
    Next(usize),
    Scan,
    Try(u64),
    Stop(u64, u32),
    Wake(usize, u32),
    AtHost(u64),
    TimeUp(u64),
    FillAt(u64, usize, bool),
    Served(usize, u32, Job),
    Link(usize, u64),
    Ended(u64),
    Told(usize, u64),
    PlannerTold(usize, u64),
    Report(usize, u32),
    Reported(usize, usize, Box<Report>),
    Guided(usize, usize, u32, Box<Guidance>),
    Samples,
    Settles(f64),
    Begin(usize),
    End(usize),
    Restart(usize),
    Tidy(usize),
}

struct Forwarder {
    brain: Brain,
    guide: Option<Guide>,
    run: u32,
    last_event: u64,
    /// Open pulls with their wants, and hand-offs so far.
    open: BTreeMap<PullId, (u64, u32)>,
}

struct Want {
    zone: usize,
    object: u64,
    kb: f64,
    write: bool,
    first: f64,
    promised: f64,
    tries: u32,
    /// Its hand-offs, over all tries.
    attempts: Vec<u64>,
    /// The try that is out: its forwarder, run and pull.
    out: Option<(usize, u32, PullId)>,
    over: bool,
    served: bool,
}

struct Attempt {
    forwarder: usize,
    run: u32,
    pull: PullId,
    leg: u32,
    want: u64,
    host: usize,
    source: usize,
    allow: f64,
    oldest: f64,
    keep: u8,
    only_held: bool,
    sent: f64,
    fill_begun: f64,
    waited: Option<f64>,
    told: Told,
    ending: Option<Ending>,
    made: f64,
    /// The parent that asks the origin for it.
    through: Option<usize>,
}

/// What the register has said, by its number from 1.
enum Said {
    Line(Listed),
    PurgeAll(f64),
}

/// Until hosts have dropped by themselves what was purged; forwarders ask by age until then.
const SETTLES_MS: f64 = 5_000.0;
const REPORT_MS: f64 = 200.0;
const SAMPLE_MS: f64 = 200.0;
const GROUPS: u64 = 16;

struct Model<'a> {
    shape: &'a Shape,
    now: f64,
    queue: Queue<Event>,
    chance: Pcg64Mcg,
    traffic: Traffic,
    hosts: Vec<Host>,
    names: HashMap<String, usize>,
    forwarders: Vec<Forwarder>,
    planners: Vec<Planner>,
    links: Vec<Link>,
    link_told: Vec<f64>,
    /// Transfers by location and number: what each brings.
    transfers: HashMap<(usize, u64), u64>,
    link_turns: Vec<u64>,
    wants: Vec<Want>,
    attempts: HashMap<u64, Attempt>,
    /// The want of each pull.
    pulls: HashMap<u64, u64>,
    next: u64,
    said: Vec<Said>,
    scans: f64,
    scanned: u64,
    hot: f64,
    load: f64,
    register_ms: f64,
    origin_times: f64,
    silent: bool,
    split: bool,
    touched: Vec<Vec<usize>>,
    out: Outcome,
    record: Vec<(f64, Seen)>,
}

fn time(ms: f64) -> Time {
    Time::at_ms(1_000_000.0 + ms)
}

fn ms(time: Time) -> f64 {
    time.ms() - 1_000_000.0
}

/// Plays a shape's day.
pub fn run(shape: &Shape, seed: u64) -> Outcome {
    let mut model = Model::new(shape, seed);
    while let Some((at, event)) = model.queue.take() {
        model.now = at as f64 / 1000.0;
        if model.now > shape.day_ms + shape.wait_ms * f64::from(shape.tries) * 2.0 {
            break;
        }
        model.out.events += 1;
        model.happen(event);
    }
    model.out.served_by_size = model.served_by_size();
    if shape.judged {
        let ramps = model.hosts.iter().filter(|host| host.kind != Kind::Origin);
        let ramp = |host: &Host| Ramp {
            places: host.places,
            from: shape.cold_from,
            within: shape.warm_within_ms,
            factor: shape.factor,
        };
        let ramps: BTreeMap<String, Ramp> = ramps.map(|host| (host.id.clone(), ramp(host))).collect();
        // The register's own lateness is no dispatcher's fault.
        let grace = 1_000.0 + shape.register_ms;
        let terms = flaxdeck_rules::Terms {
            grace,
            purge_grace: 500.0 + shape.register_ms,
            slack: 5.0,
            window: shape.window_ms,
            ramps,
        };
        model.out.verdict = Some(flaxdeck_rules::judge(&terms, &model.record));
    }
    model.out
}

impl Model<'_> {
    fn new(shape: &Shape, seed: u64) -> Model<'_> {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let traffic = Traffic::new(shape.law.clone(), &mut chance);
        let mut hosts = Vec::new();
        for zone in 0..shape.zones {
            for n in 0..shape.caches {
                let id = format!("s-{:08x}", 0xca00 + zone * 256 + n);
                hosts.push(Host::new(id, Kind::Cache, zone, shape.places[0], shape.keeps_kb[0]));
            }
        }
        for n in 0..shape.parents {
            let id = format!("s-{:08x}", 0x9a0000 + n);
            hosts.push(Host::new(id, Kind::Parent, usize::MAX, shape.places[1], shape.keeps_kb[1]));
        }
        hosts.push(Host::new("s-00000001".into(), Kind::Origin, usize::MAX, shape.places[2], 0.0));
        let names = hosts.iter().enumerate().map(|(at, host)| (host.id.clone(), at)).collect();
        let mut model = Model {
            shape,
            now: 0.0,
            queue: Queue::default(),
            traffic,
            hosts,
            names,
            forwarders: Vec::new(),
            planners: Vec::new(),
            links: (0..shape.zones).map(|_| Link::new(shape.link_pace)).collect(),
            link_told: vec![0.0; shape.zones],
            transfers: HashMap::new(),
            link_turns: vec![0; shape.zones],
            wants: Vec::new(),
            attempts: HashMap::new(),
            pulls: HashMap::new(),
            next: 0,
            said: Vec::new(),
            scans: 0.0,
            scanned: 0,
            hot: 0.0,
            load: 1.0,
            register_ms: shape.register_ms,
            origin_times: 1.0,
            silent: false,
            split: false,
            touched: vec![Vec::new(); shape.faults.len()],
            out: Outcome::default(),
            record: Vec::new(),
            chance,
        };
        for n in 0..shape.planners {
            let planner = Planner::start(time(0.0), Epoch(n as u64 + 1), model.pledges(), Parts::NONE);
            model.planners.push(planner);
        }
        for at in 0..model.hosts.len() {
            let host = model.hosts[at].id.clone();
            model.planners.iter_mut().for_each(|planner| planner.listed(time(0.0), &host, Some(0)));
        }
        for n in 0..shape.zones * shape.forwarders {
            let forwarder = model.forwarder(n, 0);
            model.forwarders.push(forwarder);
            model.listen(n);
        }
        (0..shape.zones).for_each(|zone| model.after(0.0, Event::Next(zone)));
        model.after(SAMPLE_MS, Event::Samples);
        for (at, fault) in shape.faults.iter().enumerate() {
            model.after(fault.at_ms, Event::Begin(at));
            model.after(fault.at_ms + fault.lasts_ms, Event::End(at));
        }
        model
    }

    fn pledges(&self) -> Pledges {
        Pledges::of(Span::of_ms(self.shape.window_ms), Span::from_ms(1_200), 10)
    }

    fn after(&mut self, ms: f64, event: Event) {
        self.queue.put(((self.now + ms.max(0.0)) * 1000.0).round() as u64, event);
    }

    fn see(&mut self, seen: Seen) {
        if self.shape.judged {
            self.record.push((self.now, seen));
        }
    }

    fn note(&mut self, words: [u64; 3]) {
        for word in words {
            self.out.digest = (self.out.digest ^ word).wrapping_mul(0x100000001b3).rotate_left(17);
        }
    }

    fn terms(&self, zone: usize) -> Terms {
        let shape = self.shape;
        let workload = |repeats, goes_through| Workload {
            promised: Span::from_ms(400),
            stretch: 2.0,
            repeats,
            goes_through,
            parted: false,
            fresh: None,
            older: Span::ZERO,
        };
        Terms {
            workloads: vec![workload(Repeats::Reissuable, false), workload(Repeats::AtMostOnce, true)],
            zone: ZoneId(zone),
            zone_dispatchers: vec![shape.forwarders as u32; shape.zones],
            dispatchers: (shape.forwarders * shape.zones) as u32,
            tick: Span::from_ms(2),
            may_cancel: true,
            may_duplicate: true,
            may_name_return: true,
            longest_return: Span::from_ms(2_000),
            most_hand_offs: 6,
            cold_from: shape.cold_from,
            warm_within: Span::of_ms(shape.warm_within_ms),
            overload_factor: shape.factor,
            fall_window: Span::of_ms(shape.window_ms),
            parent_cold_from: shape.cold_from,
            parent_warm_within: Span::of_ms(shape.warm_within_ms),
            parent_overload_factor: shape.factor,
            direct: true,
            joins: false,
            client_kb_per_s: shape.place_pace * 1000.0,
            purge_settles: Span::from_ms(6_000),
            tells_link: true,
            may_look: false,
        }
    }

    fn forwarder(&mut self, n: usize, run: u32) -> Forwarder {
        let (zone, now, seed) = (n / self.shape.forwarders, time(self.now), self.chance.random());
        let (brain, _) = Brain::start(now, seed, self.terms(zone));
        let epoch = Epoch((u64::from(run) + 1) << 20 | n as u64);
        let pledges = self.pledges();
        let stance =
            Stance { pledges, reserve: 0.0, seated: true, seat: SeatId(n as u64 + 1), blind_after: None };
        let planners = self.shape.planners as u32;
        let guide = (planners > 0).then(|| Guide::start(now, epoch, stance, planners));
        let last_event = self.said.len() as u64;
        Forwarder { brain, guide, run, last_event, open: BTreeMap::new() }
    }

    /// A forwarder that has just started is told all that is known.
    fn listen(&mut self, n: usize) {
        let lines = (0..self.hosts.len()).map(|at| self.line(at)).collect();
        if let Some(guide) = &mut self.forwarders[n].guide {
            let guided = guide.hints(time(self.now));
            let decisions = self.forwarders[n].brain.guided(time(self.now), guided);
            self.decide(n, decisions);
            let spread = REPORT_MS * self.chance.random::<f64>();
            let run = self.forwarders[n].run;
            self.after(spread, Event::Report(n, run));
        }
        let decisions = self.forwarders[n].brain.list(time(self.now), Coverage::Whole, lines);
        self.decide(n, decisions);
    }

    fn line(&self, at: usize) -> Listed {
        let host = &self.hosts[at];
        let role = match host.kind {
            Kind::Cache => Role::Cache,
            Kind::Parent => Role::Parent,
            Kind::Origin => Role::Origin,
        };
        Listed {
            host: HostId(host.id.as_str().into()),
            weight: host.places,
            zone: (host.kind == Kind::Cache).then_some(ZoneId(host.zone)),
            cell: CellId(0),
            role,
            standing: if host.up { Standing::InService } else { Standing::Gone },
            started: host.started.map(|at| Time::at_ms(time(at).ms().floor())),
        }
    }

    /// The register says something: it reaches everybody after its delay.
    fn say(&mut self, said: Said) {
        self.said.push(said);
        let (number, late) = (self.said.len() as u64, self.register_ms);
        for n in 0..self.forwarders.len() {
            let jitter = self.chance.random_range(0.0..20.0);
            self.after(late + jitter, Event::Told(n, number));
        }
        for n in 0..self.planners.len() {
            self.after(late, Event::PlannerTold(n, number));
        }
    }

    fn withdraw(&mut self, at: usize) {
        let line = Listed { standing: Standing::Draining, ..self.line(at) };
        self.see(Seen::Withdrawn { host: self.hosts[at].id.clone() });
        self.say(Said::Line(line));
    }

    fn kill(&mut self, at: usize) {
        let jobs = self.hosts[at].die();
        for job in jobs {
            match job {
                Job::Answer(id) => self.end(id, Ending::Broken, Told::Nothing),
                Job::Fill(id) | Job::Behind(id) => self.fill_failed(id, Told::SourceUnreached),
            }
        }
        let line = Listed { standing: Standing::Gone, ..self.line(at) };
        self.say(Said::Line(line));
    }

    fn restart(&mut self, at: usize) {
        if self.hosts[at].up {
            self.kill(at);
        }
        let host = &mut self.hosts[at];
        (host.up, host.started, host.manner) = (true, Some(self.now), Manner::Serve);
        let id = host.id.clone();
        self.see(Seen::Started { host: id.clone() });
        self.see(Seen::Announced { host: id });
        let line = self.line(at);
        self.say(Said::Line(line));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Next(zone) => {
                if self.now < self.shape.day_ms {
                    let gap = self.traffic.gap(self.load, &mut self.chance);
                    self.after(gap, Event::Next(zone));
                    let hot = self.hot > 0.0 && self.chance.random_bool(self.hot);
                    let object = if hot { 0 } else { self.traffic.object(&mut self.chance) };
                    let write = self.traffic.writes(&mut self.chance);
                    self.want(zone, object, write);
                }
            }
            Event::Scan => {
                if self.scans > 0.0 {
                    let gap = 1_000.0 / self.scans;
                    self.after(gap, Event::Scan);
                    self.scanned += 1;
                    let zone = self.chance.random_range(0..self.shape.zones);
                    self.want(zone, 1_000_000_000 + self.scanned, false);
                }
            }
            Event::Try(want) => self.attempt_of(want),
            Event::Stop(want, tries) => self.client_stops(want, tries),
            Event::Wake(n, run) => {
                if self.forwarders[n].run == run {
                    let decisions = self.forwarders[n].brain.wake(time(self.now));
                    self.decide(n, decisions);
                }
            }
            Event::AtHost(id) => self.at_host(id),
            Event::TimeUp(id) => {
                if self.attempts.get(&id).is_some_and(|attempt| attempt.ending.is_none()) {
                    self.end(id, Ending::TimedOut, Told::Nothing);
                }
            }
            Event::FillAt(id, source, behind) => {
                let job = if behind { Job::Behind(id) } else { Job::Fill(id) };
                self.fill_at(id, source, job);
            }
            Event::Served(at, run, job) => {
                if self.hosts[at].run == run {
                    self.served(at, job);
                }
            }
            Event::Link(zone, turn) => {
                if self.link_turns[zone] == turn {
                    let ended = self.links[zone].ended(self.now);
                    for number in ended {
                        if let Some(id) = self.transfers.remove(&(zone, number)) {
                            self.filled(id);
                        }
                    }
                    self.turn(zone);
                }
            }
            Event::Ended(id) => self.ended(id),
            Event::Told(n, number) => self.told(n, number),
            Event::PlannerTold(n, number) => self.planner_told(n, number),
            Event::Report(n, run) => self.report(n, run),
            Event::Reported(planner, n, report) => {
                if !self.silent
                    && let Ok(guidance) = self.planners[planner].report(time(self.now), &report)
                {
                    let run = self.forwarders[n].run;
                    self.after(self.shape.far_ms, Event::Guided(n, planner, run, Box::new(guidance)));
                }
            }
            Event::Guided(n, planner, run, guidance) => self.guided(n, planner, run, *guidance),
            Event::Samples => {
                for host in &mut self.hosts {
                    host.told = (host.busy + host.waiting.len()) as f64 * self.chance.random_range(0.9..1.1);
                }
                for zone in 0..self.shape.zones {
                    let fits = (self.shape.link_pace / self.shape.place_pace).max(1.0);
                    self.link_told[zone] = self.links[zone].transfers() as f64 / fits;
                }
                if self.now < self.shape.day_ms + 10_000.0 {
                    self.after(SAMPLE_MS, Event::Samples);
                }
            }
            Event::Settles(purge) => {
                self.hosts.iter_mut().for_each(|host| host.copies.purge(purge));
            }
            Event::Begin(at) => self.begin(at),
            Event::End(at) => self.end_of(at),
            Event::Restart(at) => self.restart(at),
            Event::Tidy(at) => {
                self.withdraw(at);
                self.after(1_500.0, Event::Restart(at));
            }
        }
    }

    fn want(&mut self, zone: usize, object: u64, write: bool) {
        let kb = if write { 5.0 } else { self.traffic.kb(object) };
        let promised = self.now + 400.0 + 2.0 * kb / self.shape.place_pace;
        let (first, tries, out, over, attempts) = (self.now, 0, None, false, Vec::new());
        self.wants.push(Want {
            zone,
            object,
            kb,
            write,
            first,
            promised,
            tries,
            attempts,
            out,
            over,
            served: false,
        });
        self.out.wants += 1;
        self.attempt_of(self.wants.len() as u64 - 1);
    }

    fn attempt_of(&mut self, id: u64) {
        let forwarders = self.shape.forwarders;
        let place = self.chance.random_range(0..forwarders);
        let want = &mut self.wants[id as usize];
        if want.over {
            return;
        }
        want.tries += 1;
        let n = want.zone * forwarders + place;
        let pull = PullId(self.next);
        self.next += 1;
        want.out = Some((n, self.forwarders[n].run, pull));
        let told = Pull {
            id: pull,
            workload: WorkloadId(usize::from(want.write)),
            object: ObjectId(want.object),
            part: 0,
            group: GroupId(want.object % GROUPS),
            size_kb: Some(want.kb),
            hard_stop: time(self.now + self.shape.wait_ms),
            again: want.tries > 1,
        };
        let tries = want.tries;
        self.out.pulls += 1;
        let by = self.now + self.shape.wait_ms;
        self.see(Seen::Asked { pull: pull.0.to_string(), by });
        self.after(self.shape.wait_ms, Event::Stop(id, tries));
        self.forwarders[n].open.insert(pull, (id, 0));
        self.pulls.insert(pull.0, id);
        let decisions = self.forwarders[n].brain.pull(time(self.now), told);
        self.decide(n, decisions);
    }

    fn client_stops(&mut self, id: u64, tries: u32) {
        let want = &mut self.wants[id as usize];
        if want.over || want.tries != tries {
            return;
        }
        // This try had its answer, and the next one waits for its time.
        let Some((n, run, pull)) = want.out.take() else { return };
        // Unanswered on a whole connection: the record shows it.
        if self.forwarders[n].run == run && self.forwarders[n].open.remove(&pull).is_some() {
            let decisions = self.forwarders[n].brain.client_left(time(self.now), pull);
            self.decide(n, decisions);
        }
        self.again(id, 100.0);
    }

    /// The client asks again after a while, or gives up; a write that may have run is not asked again.
    fn again(&mut self, id: u64, after: f64) {
        let most = self.shape.tries;
        let want = &mut self.wants[id as usize];
        want.out = None;
        if want.tries >= most {
            want.over = true;
            self.out.lost += 1;
        } else {
            let jitter = self.chance.random_range(0.8..1.2);
            self.after(after * jitter, Event::Try(id));
        }
    }

    fn answered(&mut self, n: usize, pull: PullId, how: Answer, come_back: Option<Span>) {
        let Some((id, _)) = self.forwarders[n].open.remove(&pull) else { return };
        self.see(Seen::Answered { pull: pull.0.to_string(), how });
        self.note([pull.0, how as u64, (self.now * 1000.0) as u64]);
        let now = self.now;
        match how {
            Answer::Finished => {
                self.out.finished += 1;
                let want = &mut self.wants[id as usize];
                (want.over, want.served) = (true, true);
                *if now <= want.promised { &mut self.out.in_time } else { &mut self.out.late } += 1;
            }
            Answer::Bounced => {
                self.out.bounced += 1;
                self.again(id, come_back.map_or(200.0, Span::ms));
            }
            Answer::Forfeited => {
                self.out.forfeited += 1;
                if self.wants[id as usize].write {
                    self.wants[id as usize].over = true;
                    self.out.lost += 1;
                } else {
                    self.again(id, 200.0);
                }
            }
        }
    }

    fn decide(&mut self, n: usize, decisions: Decisions) {
        let (now, run) = (self.now, self.forwarders[n].run);
        for cancel in decisions.cancels {
            let want = self.pulls.get(&cancel.pull.0).map(|want| &self.wants[*want as usize]);
            for id in want.into_iter().flat_map(|want| &want.attempts) {
                let out = |attempt: &&mut Attempt| (attempt.pull, attempt.leg) == (cancel.pull, cancel.leg.0);
                if let Some(attempt) = self.attempts.get_mut(id).filter(out) {
                    attempt.ending = Some(Ending::Cancelled);
                }
            }
        }
        for off in decisions.hand_offs {
            let Some((want, legs)) = self.forwarders[n].open.get_mut(&off.pull) else { continue };
            let (want, leg) = (*want, *legs);
            *legs += 1;
            let (host, source) = (self.names[&*off.host.0], self.names[&*off.source.0]);
            let id = self.next;
            self.next += 1;
            let attempt = Attempt {
                forwarder: n,
                run,
                pull: off.pull,
                leg,
                want,
                host,
                source,
                allow: off.allow.ms(),
                oldest: off.oldest.map_or(f64::NEG_INFINITY, |age| now - age.ms()),
                keep: off.keep,
                only_held: off.only_held,
                sent: now,
                fill_begun: now,
                waited: None,
                told: Told::Nothing,
                ending: None,
                made: now,
                through: None,
            };
            self.out.hand_offs += 1;
            let (near, allow) = (self.distance(&attempt), attempt.allow);
            self.attempts.insert(id, attempt);
            self.wants[want as usize].attempts.push(id);
            self.after(near, Event::AtHost(id));
            self.after(allow, Event::TimeUp(id));
        }
        for last in decisions.finals {
            match last {
                Final::Bounced { pull, come_back } => self.answered(n, pull, Answer::Bounced, come_back),
                Final::Forfeited { pull } => self.answered(n, pull, Answer::Forfeited, None),
            }
        }
        // Every wish stands beside the earlier ones.
        if let Some(wake) = decisions.wake {
            self.after((ms(wake) - now).max(0.001), Event::Wake(n, run));
        }
    }

    fn distance(&self, attempt: &Attempt) -> f64 {
        if self.hosts[attempt.host].kind == Kind::Cache { self.shape.near_ms } else { self.shape.far_ms }
    }

    /// The time of a place for so many KB.
    fn work(&self, at: usize, kb: f64) -> f64 {
        let times = match self.hosts[at].manner {
            Manner::Slow(times) => times,
            _ if self.hosts[at].kind == Kind::Origin => self.origin_times,
            _ => 1.0,
        };
        (kb / self.shape.place_pace + 0.5) * times
    }

    fn capacity(&self, at: usize) -> usize {
        let host = &self.hosts[at];
        let part = host.part(self.now, self.shape.cold_from, self.shape.warm_within_ms);
        ((host.places * part).round() as usize).max(1)
    }

    /// A host takes in work; what it says to it at once, if it does not take it.
    fn admit(&mut self, at: usize, job: Job, kb: f64) -> Option<Ending> {
        if !self.hosts[at].up {
            return Some(Ending::NotConnected);
        }
        self.see(Seen::Arrived { host: self.hosts[at].id.clone() });
        match self.hosts[at].manner {
            Manner::Silent => return Some(Ending::TimedOut),
            Manner::Fail => return Some(Ending::Errored),
            _ => {}
        }
        let room = self.capacity(at) * 4;
        if self.hosts[at].waiting.len() >= room.max(4) {
            return Some(Ending::TurnedAway);
        }
        let cost = kb / self.shape.place_pace + 0.5;
        let (from, within, window) = (self.shape.cold_from, self.shape.warm_within_ms, self.shape.window_ms);
        let asked = self.hosts[at].book(self.now, cost, window);
        self.see(Seen::Work { host: self.hosts[at].id.clone(), cost });
        let host = &self.hosts[at];
        let part = host.part(self.now, from, within);
        if part < 1.0 && host.kind != Kind::Origin && asked > self.shape.factor * part * host.places * window
        {
            self.out.fell_over += 1;
            self.kill(at);
            self.after(5_000.0, Event::Restart(at));
            return Some(Ending::Broken);
        }
        self.hosts[at].waiting.push_back(job);
        self.start(at);
        None
    }

    fn at_host(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).filter(|attempt| attempt.ending.is_none()) else { return };
        let (at, want) = (attempt.host, attempt.want);
        let kb = self.wants[want as usize].kb;
        match self.admit(at, Job::Answer(id), kb) {
            None | Some(Ending::TimedOut) => {}
            Some(ending) => self.end(id, ending, Told::Nothing),
        }
    }

    fn fill_at(&mut self, id: u64, source: usize, job: Job) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let kb = self.wants[attempt.want as usize].kb;
        if self.hosts[source].kind == Kind::Origin && source != attempt.source {
            self.out.origin_fills += 1;
        }
        match self.admit(source, job, kb) {
            None => {}
            Some(Ending::TimedOut) => self.after(1_500.0, Event::Served(usize::MAX - 1, 0, job)),
            Some(Ending::NotConnected | Ending::Broken) => self.fill_failed(id, Told::SourceUnreached),
            Some(_) => self.fill_failed(id, Told::SourceRefused),
        }
    }

    /// Gives free places to what waits.
    fn start(&mut self, at: usize) {
        while self.hosts[at].up && self.hosts[at].busy < self.capacity(at) {
            let Some(job) = self.hosts[at].waiting.pop_front() else { return };
            let (Job::Answer(id) | Job::Fill(id) | Job::Behind(id)) = job;
            let Some(attempt) = self.attempts.get(&id) else { continue };
            if attempt.ending.is_some() && matches!(job, Job::Answer(_)) {
                self.forget(id);
                continue;
            }
            self.hosts[at].busy += 1;
            self.hosts[at].served.push(job);
            let (want, oldest, source) = (attempt.want, attempt.oldest, attempt.source);
            let (object, kb, write) = {
                let want = &self.wants[want as usize];
                (want.object, want.kb, want.write)
            };
            let (run, kind) = (self.hosts[at].run, self.hosts[at].kind);
            let mut wait = self.work(at, kb);
            let held = match kind {
                Kind::Origin => {
                    wait += self.shape.origin_ms * self.origin_times;
                    Some(self.now)
                }
                _ => self.hosts[at].copies.look(object, oldest),
            };
            let attempt = self.attempts.get_mut(&id).expect("just seen");
            match (held, job) {
                (Some(made), Job::Answer(_)) => {
                    attempt.made = made;
                    attempt.told = if kind == Kind::Origin { Told::Filled } else { Told::Held };
                    if write {
                        let effect = format!("{}", attempt.pull.0);
                        self.see(Seen::Ran { effect });
                    }
                    self.after(wait, Event::Served(at, run, job));
                }
                (Some(made), _) => {
                    attempt.made = made;
                    self.after(wait, Event::Served(at, run, job));
                }
                // A cache that lacks it has its place wait for the fill.
                (None, Job::Answer(_)) if source != at && kind == Kind::Cache => {
                    attempt.fill_begun = self.now;
                    attempt.told = Told::Filled;
                    match self.hosts[source].kind {
                        Kind::Origin => self.out.origin_fills += 1,
                        _ => self.out.parent_fills += 1,
                    }
                    self.after(self.shape.far_ms, Event::FillAt(id, source, false));
                }
                // A parent asked straight, past the caches, fetches it behind.
                (None, Job::Answer(_)) if kind == Kind::Parent && !attempt.only_held => {
                    attempt.through = Some(at);
                    attempt.told = Told::FilledThroughOrigin;
                    let origin = self.hosts.len() - 1;
                    self.after(self.shape.far_ms, Event::FillAt(id, origin, true));
                }
                (None, Job::Answer(_)) => {
                    self.leave(at, job);
                    self.end(id, Ending::NoCopy, Told::Nothing);
                }
                (None, Job::Fill(_)) if !attempt.only_held => {
                    attempt.through = Some(at);
                    attempt.told = Told::FilledThroughOrigin;
                    let origin = self.hosts.len() - 1;
                    self.after(self.shape.far_ms, Event::FillAt(id, origin, true));
                }
                (None, _) => {
                    self.leave(at, job);
                    self.fill_failed(id, Told::SourceLacks);
                }
            }
        }
    }

    fn leave(&mut self, at: usize, job: Job) {
        let host = &mut self.hosts[at];
        if let Some(place) = host.served.iter().position(|other| *other == job) {
            host.served.swap_remove(place);
            host.busy = host.busy.saturating_sub(1);
        }
    }

    fn served(&mut self, at: usize, job: Job) {
        if at >= self.hosts.len() {
            // A source that said nothing.
            let (Job::Answer(id) | Job::Fill(id) | Job::Behind(id)) = job;
            return self.fill_failed(id, Told::SourceUnreached);
        }
        self.leave(at, job);
        match job {
            Job::Answer(id) => self.end(id, Ending::Answered, Told::Nothing),
            Job::Behind(id) => {
                // The origin has answered a parent, which keeps it and goes on.
                let found = self.attempts.get(&id).and_then(|attempt| Some((attempt.through?, attempt.want)));
                if let Some((parent, want)) = found {
                    let (object, kb) = (self.wants[want as usize].object, self.wants[want as usize].kb);
                    let (made, run) = (self.now, self.hosts[parent].run);
                    if self.hosts[parent].up {
                        self.hosts[parent].copies.keep(object, 1, made, kb);
                    }
                    let straight = self.attempts.get(&id).is_some_and(|attempt| attempt.host == parent);
                    if let Some(attempt) = self.attempts.get_mut(&id) {
                        attempt.made = made;
                    }
                    let job = if straight { Job::Answer(id) } else { Job::Fill(id) };
                    let wait = self.work(parent, kb);
                    self.after(self.shape.far_ms + wait, Event::Served(parent, run, job));
                }
            }
            Job::Fill(id) => {
                // First byte and the rest: over the link of the cache's location.
                let now = self.now;
                let Some(attempt) = self.attempts.get_mut(&id) else { return self.start(at) };
                attempt.waited = Some(now - attempt.fill_begun);
                let (zone, kb) = (self.hosts[attempt.host].zone, self.wants[attempt.want as usize].kb);
                let number = self.links[zone].begin(now, kb);
                self.transfers.insert((zone, number), id);
                self.turn(zone);
            }
        }
        self.start(at);
    }

    /// When the next transfer of a link ends has changed.
    fn turn(&mut self, zone: usize) {
        self.link_turns[zone] += 1;
        if let Some(end) = self.links[zone].next_end() {
            let turn = self.link_turns[zone];
            // Rounded up to the queue's grain, so that it has ended then.
            self.after(end - self.now + 0.002, Event::Link(zone, turn));
        }
    }

    fn filled(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (at, keep, made) = (attempt.host, attempt.keep, attempt.made);
        let (object, kb) = {
            let want = &self.wants[attempt.want as usize];
            (want.object, want.kb)
        };
        if self.hosts[at].served.contains(&Job::Answer(id)) {
            self.hosts[at].copies.keep(object, keep, made, kb);
            let (wait, run) = (self.work(at, kb), self.hosts[at].run);
            self.after(wait, Event::Served(at, run, Job::Answer(id)));
        } else {
            self.forget(id);
        }
    }

    fn fill_failed(&mut self, id: u64, told: Told) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let (at, parent) = (attempt.host, attempt.through.take());
        let now = self.now;
        attempt.waited = Some(now - attempt.fill_begun);
        // A parent that the origin failed has its own place back, and says whose fault it is.
        let told = if let Some(parent) = parent.filter(|parent| *parent != at) {
            self.leave(parent, Job::Fill(id));
            self.start(parent);
            Told::OriginFailed
        } else if parent.is_some() {
            Told::OriginFailed
        } else {
            told
        };
        self.leave(at, Job::Answer(id));
        let ending = if told == Told::OriginFailed { Ending::Errored } else { Ending::TurnedAway };
        self.end(id, ending, told);
        self.start(at);
    }

    /// An attempt has ended where it was; word of it goes back.
    fn end(&mut self, id: u64, ending: Ending, told: Told) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.ending.is_some() {
            return self.forget(id);
        }
        attempt.ending = Some(ending);
        if told != Told::Nothing || ending != Ending::Answered {
            attempt.told = told;
        }
        let near = if ending == Ending::TimedOut { 0.0 } else { self.distance(&self.attempts[&id]) };
        self.after(near, Event::Ended(id));
    }

    /// Nobody waits for it any more, unless a place still works on it.
    fn forget(&mut self, id: u64) {
        self.attempts.remove(&id);
    }

    fn ended(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(ending) = attempt.ending else { return };
        let (n, run, pull, leg, want) =
            (attempt.forwarder, attempt.run, attempt.pull, attempt.leg, attempt.want);
        let (at, source, sent, made) = (attempt.host, attempt.source, attempt.sent, attempt.made);
        let (told, waited) = (attempt.told, attempt.waited);
        // A cancelled or timed out one may still be worked on where it is.
        if !matches!(ending, Ending::TimedOut) {
            self.forget(id);
        }
        if self.forwarders[n].run != run {
            return;
        }
        let (object, write, first) = {
            let want = &self.wants[want as usize];
            (want.object, want.write, want.out.map(|_| want.first))
        };
        let answered = ending == Ending::Answered;
        if answered {
            self.out.hits += u64::from(told == Told::Held);
            if !write && first.is_some() {
                self.see(Seen::Copy { object: object.to_string(), sent, made });
            }
            self.answered(n, pull, Answer::Finished, None);
        }
        let host = &self.hosts[at];
        let cached = host.kind == Kind::Cache;
        let ended = Ended {
            pull,
            leg: Leg(leg),
            host: HostId(host.id.as_str().into()),
            ending,
            took: Span::of_ms(self.now - sent),
            closed: answered,
            told,
            waited: waited.filter(|_| source != at).map(Span::of_ms),
            report: LoadReport {
                link: (cached && answered).then(|| self.link_told[host.zone]),
                in_hand: answered.then_some(host.told),
                busy: None,
            },
        };
        let decisions = self.forwarders[n].brain.hand_off_ended(time(self.now), ended);
        self.decide(n, decisions);
    }

    /// The register's word of that number reaches a forwarder, unless it knows it or lacks one before it.
    fn told(&mut self, n: usize, number: u64) {
        let last = self.forwarders[n].last_event;
        if number <= last {
            return;
        }
        for number in last + 1..=number {
            self.apply(n, number);
        }
        let now = time(self.now);
        self.forwarders[n].guide.iter_mut().for_each(|guide| guide.coordinator_heard(now));
    }

    fn apply(&mut self, n: usize, number: u64) {
        let now = time(self.now);
        self.forwarders[n].last_event = number;
        let lists = match &self.said[number as usize - 1] {
            Said::Line(line) => Ok(line.clone()),
            Said::PurgeAll(at) => Err(time(*at)),
        };
        match lists {
            Ok(line) => {
                let decisions = self.forwarders[n].brain.list(now, Coverage::Changes, vec![line]);
                self.decide(n, decisions);
            }
            Err(made) => {
                for group in 0..GROUPS {
                    let decisions = self.forwarders[n].brain.purge(now, None, GroupId(group), made);
                    self.decide(n, decisions);
                }
            }
        }
    }

    fn planner_told(&mut self, at: usize, number: u64) {
        let now = time(self.now);
        if let Said::Line(line) = &self.said[number as usize - 1] {
            let started = line.started.map_or(0, |at| at.ms() as u64);
            let started = (line.standing != Standing::Gone).then_some(started);
            self.planners[at].listed(now, &line.host.0, started);
        }
        let frame = number.to_be_bytes().to_vec();
        self.planners[at].coordinator(now, Some(Relayed { mark: mark(number), frame }), true);
    }

    fn report(&mut self, n: usize, run: u32) {
        if self.forwarders[n].run != run || self.now > self.shape.day_ms + 5_000.0 {
            return;
        }
        self.after(REPORT_MS, Event::Report(n, run));
        let now = time(self.now);
        let forwarder = &mut self.forwarders[n];
        let Some(guide) = &mut forwarder.guide else { return };
        let sights = forwarder.brain.sights(now);
        guide.stand(now, &sights);
        guide.link(ZoneId(n / self.shape.forwarders), forwarder.brain.link);
        let mut reports = Vec::new();
        for at in 0..self.planners.len() {
            if self.split && at % 2 != n % 2 {
                continue;
            }
            reports.push((at, guide.report(now, PlannerId(at as u32), &sights, mark(forwarder.last_event))));
        }
        let guided = guide.hints(now);
        let decisions = forwarder.brain.guided(now, guided);
        self.decide(n, decisions);
        for (at, report) in reports {
            self.after(self.shape.far_ms, Event::Reported(at, n, Box::new(report)));
        }
    }

    fn guided(&mut self, n: usize, planner: usize, run: u32, guidance: Guidance) {
        if self.forwarders[n].run != run || (self.split && planner % 2 != n % 2) {
            return;
        }
        let now = time(self.now);
        let last = self.forwarders[n].last_event;
        let Some(guide) = &mut self.forwarders[n].guide else { return };
        let Ok(events) = guide.guided(now, PlannerId(planner as u32), guidance, mark(last)) else { return };
        events.iter().for_each(|event| self.apply(n, event.mark.number));
        let Some(guide) = &mut self.forwarders[n].guide else { return };
        let guided = guide.hints(now);
        let decisions = self.forwarders[n].brain.guided(now, guided);
        self.decide(n, decisions);
    }

    /// So large a part of the hosts that the choice allows, drawn.
    fn some(&mut self, part: f64, choice: impl Fn(&Host) -> bool) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.hosts.len()).filter(|at| choice(&self.hosts[*at])).collect();
        let count = ((all.len() as f64 * part).ceil() as usize).min(all.len());
        for at in 0..count {
            let with = self.chance.random_range(at..all.len());
            all.swap(at, with);
        }
        all.truncate(count);
        all
    }

    fn begin(&mut self, at: usize) {
        let cache = |host: &Host| host.kind == Kind::Cache;
        let trouble = self.shape.faults[at].trouble.clone();
        let chosen = match trouble {
            Trouble::Die { part } => self.some(part, |host| host.kind != Kind::Origin),
            Trouble::LostZone { zone } => self.some(1.0, |host| cache(host) && host.zone == zone),
            Trouble::LostHub => {
                let mut parents = self.some(1.0, |host| host.kind == Kind::Parent);
                parents.pop();
                parents
            }
            Trouble::Hang { part } | Trouble::Fail { part } | Trouble::Slow { part, .. } => {
                self.some(part, cache)
            }
            _ => Vec::new(),
        };
        match trouble {
            Trouble::Die { .. } | Trouble::LostZone { .. } | Trouble::LostHub => {
                chosen.iter().for_each(|host| self.kill(*host));
            }
            Trouble::Hang { .. } => chosen.iter().for_each(|host| self.hosts[*host].manner = Manner::Silent),
            Trouble::Fail { .. } => chosen.iter().for_each(|host| self.hosts[*host].manner = Manner::Fail),
            Trouble::Slow { times, .. } => {
                chosen.iter().for_each(|host| self.hosts[*host].manner = Manner::Slow(times));
            }
            Trouble::Deploy { at_once } => {
                let caches = self.some(1.0, cache);
                for (turn, group) in caches.chunks(at_once.max(1)).enumerate() {
                    group.iter().for_each(|host| self.after(turn as f64 * 2_500.0, Event::Tidy(*host)));
                }
            }
            Trouble::LateRegister { ms } => self.register_ms += ms,
            Trouble::SlowOrigin { times } => self.origin_times = times,
            Trouble::OriginRefuses => {
                let origin = self.hosts.len() - 1;
                self.hosts[origin].manner = Manner::Fail;
            }
            Trouble::PurgeAll => {
                let names: HashSet<u64> = self.wants.iter().map(|want| want.object).collect();
                if self.shape.judged {
                    let mut names: Vec<u64> = names.into_iter().collect();
                    names.sort_unstable();
                    names
                        .into_iter()
                        .for_each(|object| self.see(Seen::Purged { object: object.to_string() }));
                }
                self.say(Said::PurgeAll(self.now));
                self.after(SETTLES_MS, Event::Settles(self.now));
            }
            Trouble::Scan { rate } => {
                self.scans = rate;
                self.after(0.0, Event::Scan);
            }
            Trouble::Hot { part } => self.hot = part,
            Trouble::Overload { times } => self.load = times,
            Trouble::KillForwarders { part } => self.kill_forwarders(part),
            Trouble::SilentPlanners => self.silent = true,
            Trouble::SplitPlanners => self.split = true,
        }
        self.touched[at] = chosen;
    }

    fn served_by_size(&self) -> [f64; 3] {
        let mut reads: Vec<&Want> = self.wants.iter().filter(|want| !want.write).collect();
        reads.sort_by(|a, b| b.kb.total_cmp(&a.kb));
        let (tenth, next) = (reads.len() / 10, reads.len() * 3 / 10);
        let part =
            |of: &[&Want]| of.iter().filter(|want| want.served).count() as f64 / of.len().max(1) as f64;
        [part(&reads), part(&reads[..tenth]), part(&reads[tenth..next])]
    }

    fn kill_forwarders(&mut self, part: f64) {
        let count = (self.forwarders.len() as f64 * part).floor() as usize;
        for n in 0..count {
            let open: Vec<(PullId, u64)> =
                self.forwarders[n].open.iter().map(|(pull, (want, _))| (*pull, *want)).collect();
            let mut open = open;
            open.sort_unstable();
            for (pull, want) in open {
                self.see(Seen::Left { pull: pull.0.to_string() });
                if self.wants[want as usize].write {
                    self.wants[want as usize].over = true;
                    self.out.lost += 1;
                } else {
                    self.again(want, 300.0);
                }
            }
            let run = self.forwarders[n].run + 1;
            self.forwarders[n] = self.forwarder(n, run);
            self.listen(n);
        }
    }

    fn end_of(&mut self, at: usize) {
        let chosen = std::mem::take(&mut self.touched[at]);
        match &self.shape.faults[at].trouble {
            Trouble::Die { .. } | Trouble::LostZone { .. } | Trouble::LostHub => {
                chosen.into_iter().for_each(|host| self.restart(host));
            }
            Trouble::Hang { .. } | Trouble::Fail { .. } | Trouble::Slow { .. } => {
                chosen.into_iter().for_each(|host| self.hosts[host].manner = Manner::Serve);
            }
            Trouble::LateRegister { ms } => {
                self.register_ms = (self.register_ms - ms).max(self.shape.register_ms)
            }
            Trouble::SlowOrigin { .. } => self.origin_times = 1.0,
            Trouble::OriginRefuses => {
                let origin = self.hosts.len() - 1;
                self.hosts[origin].manner = Manner::Serve;
            }
            Trouble::Scan { .. } => self.scans = 0.0,
            Trouble::Hot { .. } => self.hot = 0.0,
            Trouble::Overload { .. } => self.load = 1.0,
            Trouble::SilentPlanners => self.silent = false,
            Trouble::SplitPlanners => self.split = false,
            Trouble::Deploy { .. } | Trouble::PurgeAll | Trouble::KillForwarders { .. } => {}
        }
    }
}
