//! Measures how late the machine schedules the process and the threads of a test.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client};

use super::World;

/// How long after a client has cancelled or left an attempt may still start for it.
pub(crate) const MAX_CANCEL_DELAY: Duration = Duration::from_millis(100);

/// Measures how late the machine schedules the process and the threads of the test, so that a bound on a delay in the
/// process can leave out what the machine has caused.
pub(crate) struct Stalls {
    /// The client that sends probes: it asks whether the process is alive, right after the same thread has sent
    /// something else. On a busy machine the system may delay bytes between two processes by hundreds of milliseconds,
    /// which shows nowhere else.
    prober: Option<Client>,
    /// When the probes were sent that have no answer yet.
    probed: Vec<Instant>,
    slowest_probe: Duration,
    process: u32,
    waited_before: Duration,
    late_us: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Stalls {
    /// How long the measuring thread sleeps each time.
    const SLEEP: Duration = Duration::from_millis(1);
    /// The lateness of a wake-up that is normal and not counted.
    const NORMAL_LATENESS: Duration = Duration::from_millis(4);

    /// Starts to measure.
    pub(crate) fn start(world: &World) -> Stalls {
        let process = world.process.id();
        let stalls = Stalls {
            prober: None,
            probed: Vec::new(),
            slowest_probe: Duration::ZERO,
            process,
            waited_before: scheduling_wait(process),
            late_us: Arc::default(),
            stop: Arc::default(),
        };
        let (late_us, stop) = (stalls.late_us.clone(), stalls.stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let begun = Instant::now();
                thread::sleep(Stalls::SLEEP);
                let late = begun.elapsed() - Stalls::SLEEP;
                if late > Stalls::NORMAL_LATENESS {
                    late_us.fetch_add(late.as_micros() as u64, Ordering::Relaxed);
                }
            }
        });
        stalls
    }

    /// The same with a prober on a connection of its own.
    pub(crate) fn start_with_prober(world: &World) -> Stalls {
        let mut stalls = Stalls::start(world);
        stalls.prober = Some(world.client());
        stalls
    }

    /// Sends a probe. To be called right after something was sent to the process.
    pub(crate) fn probe(&mut self) {
        if let Some(prober) = &mut self.prober {
            prober.alive().unwrap();
            self.probed.push(Instant::now());
        }
    }

    /// Waits for the answers to all probes. To be called as soon as everything is sent.
    pub(crate) fn await_probes(&mut self) {
        for probed in self.probed.drain(..) {
            let answer = self
                .prober
                .as_mut()
                .expect("probes were sent, so there is a prober")
                .answer()
                .unwrap();
            assert!(matches!(answer, Answer::Alive { .. }), "{answer:?}");
            self.slowest_probe = self.slowest_probe.max(probed.elapsed());
        }
    }

    /// Returns the delay that the machine may have caused so far. What was measured of threads counts twice, since the
    /// system's own threads that carry bytes between processes are delayed as well, which can't be measured.
    pub(crate) fn total(&self) -> Duration {
        let here = Duration::from_micros(self.late_us.load(Ordering::Relaxed));
        (here + scheduling_wait(self.process).saturating_sub(self.waited_before)) * 2
            + self.slowest_probe
    }
}

/// Returns how long the first thread of a process was ready to run and did not run, since its start; zero where the
/// system does not report it.
fn scheduling_wait(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    let waited = text
        .split_whitespace()
        .nth(1)
        .and_then(|nanos| nanos.parse().ok());
    waited.map_or(Duration::ZERO, Duration::from_nanos)
}

impl Drop for Stalls {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
