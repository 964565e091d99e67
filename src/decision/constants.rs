//! The constants of the decisions, each with its unit and the reason for its value.

use crate::Span;

// Classes of requests.

/// Size in KB from which on sources of a fill are compared by bandwidth, not latency; the design page's start value.
pub(super) const LARGE_OBJECT_KB: f64 = 1000.0;
/// Samples after which a class's mean is trusted; from then on each new one counts as one of so many.
pub(super) const MAX_MEAN_SAMPLES: f64 = 100.0;

// Measurements of sources and hosts.

/// Share of a new sample in a moving average; the design page's start value.
pub(super) const SAMPLE_WEIGHT: f64 = 0.2;
/// Share by which the origin must beat a parent on a measure; the design page's start value.
pub(super) const ORIGIN_MARGIN: f64 = 0.2;
/// Fills in a row in which the origin beats a parent before it leaves the neighbour set: one slow fill decides nothing.
pub(super) const ORIGIN_WINS_TO_LEAVE: u32 = 4;
/// Share of a new sample in a host's slowdown: sizes that are not told vary by as much as their mean.
pub(super) const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.1;

// Reputation and trials.

/// Share of its reputation that a host loses by a failure; the design page's start value.
pub(super) const FAILURE_PENALTY: f64 = 0.3;
/// The penalty of a host that could not be reached at all: its whole reputation.
pub(super) const UNREACHABLE_PENALTY: f64 = 1.0;
/// Reputation below which a host is ejected; the design page's start value.
pub(super) const MIN_REPUTATION: f64 = 0.5;
/// Share of the way back to 1 by a success: a third of a penalty, so that one failure in three ejects.
pub(super) const SUCCESS_RECOVERY: f64 = 0.1;
/// Time between trials of an ejected host; the design page's start value.
pub(super) const TRIAL_INTERVAL: Span = Span::from_ms(5000);
/// Caches that must have failed a request before the request is taken for the cause: two may fail together.
pub(super) const MIN_CACHES_TO_REFUND: usize = 3;

// Load and admission. Loads are requests in flight per place at full pace.

/// Load at which objects move down the hash order: above 1, as requests that wait for a fill are no work.
pub(super) const FULL_LOAD: f64 = 2.0;
/// Least multiple of [`FULL_LOAD`] at which an object moves; each has its own, so that not all move at once.
pub(super) const MIN_MOVE_FACTOR: f64 = 0.6;
/// Largest multiple of [`FULL_LOAD`] at which an object moves.
pub(super) const MAX_MOVE_FACTOR: f64 = 1.3;
/// Times the least load up to which the hash order is kept where all caches are past their thresholds.
pub(super) const MAX_IMBALANCE: f64 = 1.5;
/// Load up to which a cache takes a request that is already late: it gets only capacity that others leave.
pub(super) const FULL_LOAD_WHEN_LATE: f64 = 1.0;
/// Load at which nothing more is sent to a cache: its queue would overflow.
pub(super) const MAX_ADMITTED_LOAD: f64 = 4.0;
/// Largest factor by which [`MAX_ADMITTED_LOAD`] grows with a request's size: as far as [`MAX_IMBALANCE`] goes.
pub(super) const MAX_LARGE_ADMISSION_FACTOR: f64 = 1.5;
/// Least utilization that scales a load, however idle the host reports to be.
pub(super) const MIN_UTILIZATION: f64 = 0.5;
/// Age at which a report no longer counts.
pub(super) const REPORT_LIFETIME: Span = Span::from_ms(2000);
/// Number of peers at which a host's report and the estimate from own requests weigh the same.
pub(super) const PEERS_FOR_EQUAL_WEIGHT: f64 = 8.0;
/// Least weight of a host, in places, that divides a load.
pub(super) const MIN_CAPACITY: f64 = 0.1;
/// Least weight of a host in the hash order.
pub(super) const MIN_HASH_WEIGHT: f64 = 0.01;

// The location's link. Its load is transfers over those that fit at full pace.

/// Link load from which on only hits are asked for: a fill outruns the answer that it feeds.
pub(super) const FULL_LINK: f64 = 3.0;
/// Link load up to which requests without a cache may use the link: fills come first.
pub(super) const IDLE_LINK: f64 = 0.7;
/// Largest factor by which small requests may use the link for longer, and large ones must stop sooner.
pub(super) const MAX_LINK_SIZE_BIAS: f64 = 2.0;

// Slow start of cold hosts.

/// Share of the overload multiple that may be used; the rest is left for chance and for lists that come late.
pub(super) const USABLE_OVERLOAD: f64 = 0.8;
/// Most times its present capacity that a cold host is asked for: more would only wait in its queue.
pub(super) const MAX_WARMUP_OVERLOAD: f64 = 1.6;

// Concurrency windows.

/// Attempts in flight at a source, or past the caches, at first: most attempts end as hits.
pub(super) const INITIAL_WINDOW: f64 = 24.0;
/// Factor by which a slow or failed attempt narrows a window.
pub(super) const WINDOW_DECREASE: f64 = 0.8;
/// Fraction of the time to overdue past which a fill counts as slow and narrows its source's window.
pub(super) const SLOW_FILL_FRACTION: f64 = 0.85;
/// The same for a fill of the origin, which all dispatchers share.
pub(super) const SLOW_ORIGIN_FILL_FRACTION: f64 = 0.5;

// Overdue attempts.

/// Added to an expected time before it counts as overdue, for long round trips.
pub(super) const OVERDUE_ALLOWANCE: Span = Span::from_ms(150);
/// Multiple of the expected time at which an attempt is overdue: sharing a link halves the pace at most.
pub(super) const OVERDUE_FACTOR: f64 = 2.0;
/// Fraction of an overdue attempt's time after which its host must have answered something to be only slow.
pub(super) const SILENCE_FRACTION: f64 = 0.5;

/// Overdue attempts that prove a host's silence where a hedged attempt costs nothing that is under way.
pub(super) const SILENCE_PROOF_IF_HEDGED: u32 = 1;
/// The same where the attempt has to be cancelled, and loses what it has received.
pub(super) const SILENCE_PROOF_IF_CANCELLED: u32 = 2;

// Retries and answers.

/// Backoff before the first retry, and between attempts to place a request: lets short queues drain.
pub(super) const INITIAL_BACKOFF: Span = Span::from_ms(60);
/// Most doublings of [`INITIAL_BACKOFF`], which bring it near a second.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Time named to rejected clients: a few of the transfers in flight end within it.
pub(super) const RETRY_AFTER: Span = Span::from_ms(300);
/// Ticks of the caller before the deadline at which a request gets its answer: one tick may be lost.
pub(super) const ANSWER_TICKS_BEFORE_DEADLINE: f64 = 3.0;

// Timers and memory.

/// Time between load polls of caches that tell their load only when polled: the age of a report.
pub(super) const LOAD_POLL_INTERVAL: Span = Span::from_ms(400);
/// Bounds of the random factor of intervals, so that dispatchers don't act at the same moment.
pub(super) const JITTER: std::ops::Range<f64> = 0.9..1.1;
/// The periodic timer: it frees memory only, so a second will do.
pub(super) const CLEANUP_INTERVAL: Span = Span::from_ms(1000);
/// How long an object counts as seen: several lifetimes of a copy in a cache.
pub(super) const OBJECT_MEMORY: Span = Span::from_ms(60_000);

// Copies.

/// Taken off an age limit, and the least one: the wire rounds to milliseconds.
pub(super) const AGE_ROUNDING: Span = Span::from_ms(1);
/// Rank at which caches keep an object that was seen lately.
pub(super) const SEEN_OBJECT_RANK: u8 = 2;
/// Rank at which caches keep an object that is new, so that a scan pushes out only what was new as well.
pub(super) const NEW_OBJECT_RANK: u8 = 1;
