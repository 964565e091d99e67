//! How late the machine itself runs the process and the threads of a test.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client};

use super::World;

/// How long after its end a client has gone: nothing begins for it any more.
pub(crate) const MAX_CANCEL_DELAY: Duration = Duration::from_millis(100);

/// Watches how late the machine itself runs the process and the threads here, so that a bound on a delay in the process
/// can leave out what the process could not have helped.
pub(crate) struct Stalls {
    /// Asks the process whether it is up, behind what the same thread has just sent: on a busy machine the system may
    /// hold up bytes between two processes for hundreds of milliseconds, and tells nobody.
    witness: Option<Client>,
    asked: Vec<Instant>,
    slowest: Duration,
    process: u32,
    waited_before: Duration,
    late_us: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
}

impl Stalls {
    const STEP: Duration = Duration::from_millis(1);
    /// A thread that wakes up this much late is as punctual as any.
    const USUAL: Duration = Duration::from_millis(4);

    pub(crate) fn watch(world: &World) -> Stalls {
        let process = world.process.id();
        let stalls = Stalls {
            witness: None,
            asked: Vec::new(),
            slowest: Duration::ZERO,
            process,
            waited_before: waited_to_run(process),
            late_us: Arc::default(),
            over: Arc::default(),
        };
        let (late_us, over) = (stalls.late_us.clone(), stalls.over.clone());
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let begun = Instant::now();
                thread::sleep(Stalls::STEP);
                let late = begun.elapsed() - Stalls::STEP;
                if late > Stalls::USUAL {
                    late_us.fetch_add(late.as_micros() as u64, Ordering::Relaxed);
                }
            }
        });
        stalls
    }

    /// The same with a witness on a connection of its own.
    pub(crate) fn witnessed(world: &World) -> Stalls {
        let mut stalls = Stalls::watch(world);
        stalls.witness = Some(world.client());
        stalls
    }

    /// To be called right after what is sent to the process.
    pub(crate) fn sent(&mut self) {
        if let Some(witness) = &mut self.witness {
            witness.alive().unwrap();
            self.asked.push(Instant::now());
        }
    }

    /// Takes the answers to the witness; to be called as soon as all is sent.
    pub(crate) fn await_witness(&mut self) {
        for asked in self.asked.drain(..) {
            let answer = self
                .witness
                .as_mut()
                .expect("it has asked")
                .answer()
                .unwrap();
            assert!(matches!(answer, Answer::Alive { .. }), "{answer:?}");
            self.slowest = self.slowest.max(asked.elapsed());
        }
    }

    /// By how much the machine was late, all in all; twice what was seen, since the system's own threads that carry bytes
    /// between the two wait as well and tell nobody.
    pub(crate) fn so_far(&self) -> Duration {
        let here = Duration::from_micros(self.late_us.load(Ordering::Relaxed));
        (here + waited_to_run(self.process).saturating_sub(self.waited_before)) * 2 + self.slowest
    }
}

/// How long a process's first thread has been ready to run and was not let, since its start; none where the system does
/// not tell.
fn waited_to_run(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    let waited = text
        .split_whitespace()
        .nth(1)
        .and_then(|nanos| nanos.parse().ok());
    waited.map_or(Duration::ZERO, Duration::from_nanos)
}

impl Drop for Stalls {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}
