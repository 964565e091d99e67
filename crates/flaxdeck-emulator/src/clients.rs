//! Clients: an open loop of requests over some connections to each dispatcher. When a request is sent was settled before
//! the first one; no answer is waited for. Every answer's bytes are checked, and a second answer is written down.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flaxdeck_invariants::{FinalAnswer, RecordedEvent};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rmpv::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until};

use crate::world::{SharedState, kb_of, made_of};

/// What is asked for, by whom and how often.
#[derive(Clone, Debug)]
pub struct Load {
    pub seed: u64,
    /// Requests a second at each dispatcher, in order; dispatchers past the list get the last.
    pub rates: Vec<f64>,
    /// Objects, drawn with a popularity that falls by this power of the rank.
    pub objects: u64,
    pub power: f64,
    /// The share of requests that are at-most-once writes.
    pub writes: f64,
    pub from_ms: f64,
    pub to_ms: f64,
    pub wait_ms: u64,
    /// The number of the first connection, where several loads run at once: requests are named after it.
    pub names_from: usize,
}

/// Connections to one dispatcher.
const CONNECTIONS: usize = 8;

/// One request with its time.
pub struct Planned {
    pub at: f64,
    pub object: String,
    pub write: bool,
}

/// What a dispatcher has answered.
pub struct Spoken {
    pub call: u32,
    pub how: FinalAnswer,
    /// Milliseconds to stay away, if it told any.
    pub after: Option<f64>,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Tally {
    /// By the time in milliseconds that an answer took.
    took: Vec<f64>,
    wrong_bytes: u64,
    broken: u64,
}

/// What clients saw beside the record.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub took: Vec<f64>,
    pub wrong_bytes: u64,
    pub broken: u64,
}

impl Told {
    /// What several groups of clients saw together.
    pub fn merged(parts: impl IntoIterator<Item = Told>) -> Told {
        let mut all = Told::default();
        for part in parts {
            all.took.extend(part.took);
            all.wrong_bytes += part.wrong_bytes;
            all.broken += part.broken;
        }
        all
    }

    /// The time in milliseconds within which that fraction of the answers came, from 0 to 1; 0 without answers.
    pub fn latency_quantile(&self, fraction: f64) -> f64 {
        let mut sorted = self.took.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * fraction) as usize;
        sorted.get(index).copied().unwrap_or(0.0)
    }
}

pub struct Clients {
    tally: Arc<Mutex<Tally>>,
    open: Arc<AtomicU64>,
}

/// The object of that popularity, counted from 0.
pub fn object_of_rank(rank: u64) -> u64 {
    (rank + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The requests at one dispatcher, all settled before the first is sent.
pub fn draw(load: &Load, dispatcher: usize) -> Vec<Planned> {
    let mut chance = Pcg64Mcg::seed_from_u64(load.seed ^ (dispatcher as u64) << 32);
    let rate = load
        .rates
        .get(dispatcher)
        .or(load.rates.last())
        .copied()
        .unwrap_or(0.0);
    let mut weights = Vec::with_capacity(load.objects as usize);
    let mut sum = 0.0;
    for rank in 1..=load.objects {
        sum += (rank as f64).powf(-load.power);
        weights.push(sum);
    }
    let (mut at, mut planned) = (load.from_ms, Vec::new());
    if rate <= 0.0 {
        return planned;
    }
    loop {
        at += -(1.0 - chance.random::<f64>()).ln() * 1000.0 / rate;
        if at >= load.to_ms {
            return planned;
        }
        let rank = weights.partition_point(|weight| *weight < chance.random::<f64>() * sum) as u64;
        let write = chance.random_bool(load.writes);
        let object = format!("{:016x}", object_of_rank(rank));
        planned.push(Planned { at, object, write });
    }
}

impl Clients {
    /// Starts clients of these dispatchers; to be called within the world's runtime.
    pub fn start(world: &Arc<SharedState>, dispatchers: &[SocketAddr], load: &Load) -> Clients {
        let clients = Clients {
            tally: Arc::default(),
            open: Arc::default(),
        };
        for (at, address) in dispatchers.iter().enumerate() {
            let mut connections: Vec<Vec<Planned>> = (0..CONNECTIONS).map(|_| Vec::new()).collect();
            for (n, planned) in draw(load, at).into_iter().enumerate() {
                connections[n % CONNECTIONS].push(planned);
            }
            for (connection, planned) in connections.into_iter().enumerate() {
                clients.open.fetch_add(1, Ordering::SeqCst);
                let (world, tally, open) =
                    (world.clone(), clients.tally.clone(), clients.open.clone());
                let (address, wait) = (*address, load.wait_ms);
                let name = load.names_from + at * CONNECTIONS + connection;
                tokio::spawn(async move {
                    run(&world, address, name, planned, wait, &tally).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        }
        clients
    }

    pub fn done(&self) -> bool {
        self.open.load(Ordering::SeqCst) == 0
    }

    pub fn told(&self) -> Told {
        let tally = self.tally.lock().expect("no holder panics");
        Told {
            took: tally.took.clone(),
            wrong_bytes: tally.wrong_bytes,
            broken: tally.broken,
        }
    }
}

struct Open {
    object: String,
    sent: f64,
    write: bool,
}

/// One connection's requests; a connection that breaks is opened again, and what was open on it has left.
async fn run(
    world: &Arc<SharedState>,
    address: SocketAddr,
    name: usize,
    planned: Vec<Planned>,
    wait: u64,
    tally: &Arc<Mutex<Tally>>,
) {
    let (mut call, mut planned) = (0u32, planned.into_iter().peekable());
    while planned.peek().is_some() {
        let Ok(stream) = TcpStream::connect(address).await else {
            // Who finds no dispatcher has not asked: what was due meanwhile is lost to this one.
            sleep(Duration::from_millis(50)).await;
            while planned
                .next_if(|planned| planned.at < world.now())
                .is_some()
            {}
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let open: Arc<Mutex<HashMap<u32, Open>>> = Arc::default();
        let (over, mut ended) = mpsc::channel::<()>(1);
        let hears = tokio::spawn(hear(
            world.clone(),
            read,
            name,
            open.clone(),
            tally.clone(),
            over,
        ));
        while let Some(next) = planned.peek() {
            tokio::select! {
                () = sleep_until(world.instant(next.at)) => {}
                _ = ended.recv() => break,
            }
            let Planned {
                object,
                write: writes,
                ..
            } = planned.next().expect("just seen");
            call += 1;
            let (now, request) = (world.now(), format!("{name:08x}{call:08x}"));
            world.record(RecordedEvent::RequestSent {
                request: request.clone(),
                deadline_ms: now + wait as f64,
            });
            open.lock().expect("no holder panics").insert(
                call,
                Open {
                    object: object.clone(),
                    sent: now,
                    write: writes,
                },
            );
            if write
                .write_all(&message(call, &request, &object, writes, wait, false))
                .await
                .is_err()
            {
                break;
            }
        }
        // The last answers, or the end of a connection that broke.
        let limit = world.now() + wait as f64 + 500.0;
        while !open.lock().expect("no holder panics").is_empty()
            && world.now() < limit
            && !hears.is_finished()
        {
            sleep(Duration::from_millis(5)).await;
        }
        let broke = hears.is_finished();
        hears.abort();
        let left: BTreeMap<u32, Open> = open.lock().expect("no holder panics").drain().collect();
        if broke {
            tally.lock().expect("no holder panics").broken += 1;
            // Only who lost his connection has left; one that waits in vain on a whole one is a breach.
            left.into_keys().for_each(|call| {
                world.record(RecordedEvent::ClientLeft {
                    request: format!("{name:08x}{call:08x}"),
                })
            });
        }
    }
}

pub fn message(
    call: u32,
    request: &str,
    object: &str,
    writes: bool,
    wait: u64,
    again: bool,
) -> Vec<u8> {
    let text = |text: &str| Value::from(text);
    let kb = kb_of(object).to_string();
    let fields = [
        ("id", request),
        ("wait", &*wait.to_string()),
        ("key", object),
        ("slice", "0"),
        ("set", "7"),
        ("kb", &*kb),
        ("retry", "1"),
    ]
    .map(|(name, value)| (text(name), text(value)));
    let fields = &fields[..fields.len() - usize::from(!again)];
    let class = if writes { "submit" } else { "page" };
    let body = if writes {
        b"a form".to_vec()
    } else {
        Vec::new()
    };
    let arguments = Value::Array(vec![Value::Map(fields.to_vec()), Value::Binary(body)]);
    let whole = Value::Array(vec![
        Value::from(0),
        Value::from(call),
        text(class),
        arguments,
    ]);
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &whole).expect("a vector grows");
    bytes
}

async fn hear(
    world: Arc<SharedState>,
    mut from: OwnedReadHalf,
    name: usize,
    open: Arc<Mutex<HashMap<u32, Open>>>,
    tally: Arc<Mutex<Tally>>,
    _over: mpsc::Sender<()>,
) {
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
    while let Ok(count @ 1..) = from.read(&mut piece).await {
        bytes.extend_from_slice(&piece[..count]);
        while let Some(spoken) = read(&mut bytes) {
            let Ok(spoken) = spoken else { return };
            answered(&world, name, &open, &tally, spoken);
        }
    }
}

/// Takes one whole answer out of the head of the buffer; none while there is none.
pub fn read(bytes: &mut Vec<u8>) -> Option<io::Result<Spoken>> {
    let mut rest = &bytes[..];
    let value = rmpv::decode::read_value(&mut rest).ok()?;
    let used = bytes.len() - rest.len();
    bytes.drain(..used);
    Some(spoken(&value).ok_or_else(|| io::ErrorKind::InvalidData.into()))
}

fn spoken(value: &Value) -> Option<Spoken> {
    let parts = value.as_array().filter(|parts| parts.len() == 4)?;
    let call = parts[1].as_u64()? as u32;
    if parts[2].is_nil() {
        let body = parts[3]
            .as_array()
            .and_then(|result| result.first())
            .and_then(Value::as_slice);
        let body = body.unwrap_or(&[]).to_vec();
        return Some(Spoken {
            call,
            how: FinalAnswer::Served,
            after: None,
            body,
        });
    }
    let error = parts[2].as_array()?;
    let how = match error.first().and_then(Value::as_str)? {
        "Backoff" => FinalAnswer::Rejected,
        "Lost" => FinalAnswer::Failed,
        _ => return None,
    };
    let told = error.get(1).and_then(Value::as_map).into_iter().flatten();
    let after = told
        .filter(|(name, _)| name.as_str() == Some("after"))
        .find_map(|(_, value)| value.as_str());
    Some(Spoken {
        call,
        how,
        after: after.and_then(|after| after.parse().ok()),
        body: Vec::new(),
    })
}

fn answered(
    world: &SharedState,
    name: usize,
    open: &Mutex<HashMap<u32, Open>>,
    tally: &Mutex<Tally>,
    spoken: Spoken,
) {
    let now = world.now();
    let asked = open.lock().expect("no holder panics").remove(&spoken.call);
    if let Some(asked) = asked.filter(|_| spoken.how == FinalAnswer::Served) {
        match made_of(&asked.object, &spoken.body) {
            Some(_) if asked.write => {}
            Some(made) => world.record(RecordedEvent::CopyServed {
                object: asked.object.clone(),
                sent_ms: asked.sent,
                made_ms: made,
            }),
            None => tally.lock().expect("no holder panics").wrong_bytes += 1,
        }
        tally
            .lock()
            .expect("no holder panics")
            .took
            .push(now - asked.sent);
    }
    world.record(RecordedEvent::Answered {
        request: format!("{name:08x}{:08x}", spoken.call),
        answer: spoken.how,
    });
}
