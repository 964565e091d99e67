//! The constants of the decision engine.

use crate::Span;

// Classes of requests.

/// Size in KB from which sources of a fill are compared by bandwidth instead of latency.
pub(super) const LARGE_OBJECT_KB: f64 = 1000.0;
/// Cap on the sample count of a class's mean transfer time. The mean is trusted once the cap is reached; from then on
/// each new sample has a weight of one over the cap.
pub(super) const MAX_MEAN_SAMPLES: f64 = 100.0;
/// Samples of answers from which their mean bounds that of stated sizes: enough to be within [`MAX_UNDERSTATEMENT`] of
/// the true one where sizes vary by as much as their mean.
pub(super) const MIN_VERIFIED_SAMPLES: f64 = 25.0;
/// Factor by which the mean of stated sizes may be under that of answers: the margin that [`USABLE_OVERLOAD`] leaves.
pub(super) const MAX_UNDERSTATEMENT: f64 = 1.0 / USABLE_OVERLOAD;
/// Factor by which the mean of stated sizes may be over that of answers, which are smaller where large requests are
/// rejected first.
pub(super) const MAX_OVERSTATEMENT: f64 = 2.0;
/// How long the sizes that clients state for a class are doubted after one was found wrong.
pub(super) const SIZE_DOUBT: Span = Span::from_ms(10_000);

// Measurements of sources and hosts.

/// Weight of a new sample in a moving average.
pub(super) const SAMPLE_WEIGHT: f64 = 0.2;
/// Fraction by which the origin must beat a parent on a measure.
pub(super) const ORIGIN_MARGIN: f64 = 0.2;
/// Consecutive fills in which the origin must beat a parent before the parent leaves the neighbour set, so that a
/// single slow fill does not remove it.
pub(super) const ORIGIN_WINS_TO_LEAVE: u32 = 4;
/// Weight of a new sample in a host's slowdown. It is small because sizes that are not reported vary by as much as
/// their mean.
pub(super) const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.1;

// Reputation and trials.

/// Fraction of its reputation that a host loses by a failure.
pub(super) const FAILURE_PENALTY: f64 = 0.3;
/// Fraction of its reputation that a host loses if no connection to it came up: all of it.
pub(super) const UNREACHABLE_PENALTY: f64 = 1.0;
/// Reputation below which a host is ejected.
pub(super) const MIN_REPUTATION: f64 = 0.5;
/// Fraction of its distance to 1 that a reputation regains by a success: a third of [`FAILURE_PENALTY`], so that a host
/// that fails one request in three is ejected.
pub(super) const SUCCESS_RECOVERY: f64 = 0.1;
/// Time between trials of an ejected host.
pub(super) const TRIAL_INTERVAL: Span = Span::from_ms(5000);
/// Distinct caches that must have failed a request before the request itself counts as the cause: two caches may fail
/// at the same time.
pub(super) const MIN_CACHES_TO_REFUND: usize = 3;

// Load and admission. A load is the number of requests in flight at a host over those that it serves at full speed.

/// Load at which objects move to the next host in hash order. It is above 1 because requests that wait for a fill cause
/// no work.
pub(super) const FULL_LOAD: f64 = 2.0;
/// Smallest multiple of [`FULL_LOAD`] at which an object moves. Each object has its own multiple, so that they do not
/// all move at once.
pub(super) const MIN_MOVE_FACTOR: f64 = 0.6;
/// Largest multiple of [`FULL_LOAD`] at which an object moves.
pub(super) const MAX_MOVE_FACTOR: f64 = 1.3;
/// Multiple of the least loaded cache's load up to which a request stays with its first cache in hash order, where all
/// caches are past their thresholds.
pub(super) const MAX_IMBALANCE: f64 = 1.5;
/// Load up to which a cache takes a request that can no longer meet its latency objective: such requests get only spare
/// capacity.
pub(super) const FULL_LOAD_WHEN_LATE: f64 = 1.0;
/// Load above which a cache is sent no more requests: its queue would overflow.
pub(super) const MAX_ADMITTED_LOAD: f64 = 4.0;
/// Largest factor by which [`MAX_ADMITTED_LOAD`] grows with a request's size; the same as [`MAX_IMBALANCE`].
pub(super) const MAX_LARGE_ADMISSION_FACTOR: f64 = 1.5;
/// Lower bound of the utilization that scales a load, however idle the host reports to be.
pub(super) const MIN_UTILIZATION: f64 = 0.5;
/// Age at which a report expires.
pub(super) const REPORT_LIFETIME: Span = Span::from_ms(2000);
/// Number of other dispatchers at which a host's load report weighs as much as the estimate from this dispatcher's own
/// requests.
pub(super) const PEERS_FOR_EQUAL_WEIGHT: f64 = 8.0;
/// Lower bound of the capacity, in concurrent requests, that a load is divided by.
pub(super) const MIN_CAPACITY: f64 = 0.1;
/// Lower bound of a host's weight in rendezvous hashing.
pub(super) const MIN_HASH_WEIGHT: f64 = 0.01;

// The location's link. Its load is the number of transfers over those that it carries at full speed.

/// Link load from which only hits are requested. It is above 1 because an unhindered fill is faster than the answer
/// that it feeds.
pub(super) const FULL_LINK: f64 = 3.0;
/// Link load below which small requests may bypass the caches and use the link themselves: fills have priority.
pub(super) const IDLE_LINK: f64 = 0.7;
/// Largest factor by which [`FULL_LINK`] is raised for small requests, and lowered for large ones.
pub(super) const MAX_LINK_SIZE_BIAS: f64 = 2.0;

// Slow start of cold hosts.

/// Fraction of the overload factor that the dispatchers use. The rest is a margin for random variation and for endpoint
/// lists that arrive late.
pub(super) const USABLE_OVERLOAD: f64 = 0.8;
/// Upper bound of the multiple of its present capacity that a cold host is sent: more would only wait in its queue.
pub(super) const MAX_WARMUP_OVERLOAD: f64 = 1.6;

// Concurrency windows.

/// Initial concurrency window of a host, as a source or for requests that bypass the caches. It is wide because most
/// attempts turn out to be hits, which cost a source nothing.
pub(super) const INITIAL_WINDOW: f64 = 24.0;
/// Factor by which a slow or failed attempt narrows a window.
pub(super) const WINDOW_DECREASE: f64 = 0.8;
/// Fraction of the time to overdue after which a fill counts as slow and narrows the window of its source.
pub(super) const SLOW_FILL_FRACTION: f64 = 0.85;
/// As [`SLOW_FILL_FRACTION`], for fills from the origin; lower because all dispatchers share the origin.
pub(super) const SLOW_ORIGIN_FILL_FRACTION: f64 = 0.5;

// Overdue attempts.

/// Added to the expected time before an attempt counts as overdue, for long round trips.
pub(super) const OVERDUE_ALLOWANCE: Span = Span::from_ms(150);
/// Multiple of the expected time after which an attempt is overdue: sharing a link at most halves its speed.
pub(super) const OVERDUE_FACTOR: f64 = 2.0;
/// Fraction of an overdue attempt's elapsed time. A host that has answered anything after that point counts as slow,
/// otherwise as silent.
pub(super) const SILENCE_FRACTION: f64 = 0.5;

/// Overdue attempts that prove a host silent where a hedged attempt follows, which leaves the attempts in flight
/// running.
pub(super) const SILENCE_PROOF_IF_HEDGED: u32 = 1;
/// As [`SILENCE_PROOF_IF_HEDGED`], where the attempt has to be cancelled and what it has received is lost.
pub(super) const SILENCE_PROOF_IF_CANCELLED: u32 = 2;

// Retries and answers.

/// Base of the exponential backoff after an attempt, and the interval between attempts to find a route for a request:
/// long enough for short queues to drain.
pub(super) const INITIAL_BACKOFF: Span = Span::from_ms(60);
/// Most doublings of [`INITIAL_BACKOFF`], which bring the backoff near a second.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Retry-after that rejected clients are given: some of the transfers in flight end within it.
pub(super) const RETRY_AFTER: Span = Span::from_ms(300);
/// Ticks of the caller before its deadline at which a request is given its answer, so that one tick may be missed.
pub(super) const ANSWER_TICKS_BEFORE_DEADLINE: f64 = 3.0;

// Timers and memory.

/// Time between load polls, where caches report their load only when polled; it determines the age of the reports.
pub(super) const LOAD_POLL_INTERVAL: Span = Span::from_ms(400);
/// Range of the random factor applied to intervals, so that dispatchers do not act at the same moment.
pub(super) const JITTER: std::ops::Range<f64> = 0.9..1.1;
/// Time between cleanups. They only free memory, so once a second is enough.
pub(super) const CLEANUP_INTERVAL: Span = Span::from_ms(1000);
/// How long an object counts as requested recently after its last attempt, and how long after a latency objective it is
/// remembered for retries: several lifetimes of a copy in a cache.
pub(super) const OBJECT_MEMORY: Span = Span::from_ms(60_000);

// Events of the coordinator.

/// How long an event may take to arrive by the protocol. After that it is in force, whether or not it has arrived.
pub(super) const MAX_EVENT_DELAY: Span = Span::from_ms(7000);

// Cached copies.

/// Subtracted from an age limit, which is never less than this: ages are rounded to milliseconds on the wire.
pub(super) const AGE_ROUNDING: Span = Span::from_ms(1);
/// Rank at which caches keep an object that was requested recently.
pub(super) const SEEN_OBJECT_RANK: u8 = 2;
/// Rank at which caches keep an object that was not requested recently, so that a scan evicts only other new objects.
pub(super) const NEW_OBJECT_RANK: u8 = 1;
