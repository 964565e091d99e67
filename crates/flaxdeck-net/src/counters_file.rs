//! Counters of this process written to a file as they grow, for whoever measures it from outside: one JSON object a
//! line, with the microseconds since the writing began under `elapsed_us` and every counter under its name.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::tally;

/// Between lines.
const EVERY: Duration = Duration::from_millis(250);

/// Writes a line now and then for ever, by a task of this thread, which is the one that counts.
pub fn spawn(path: PathBuf) {
    spawn_local(async move {
        if let Err(error) = write(&path).await {
            log::error!("counters are not written to {}: {error}", path.display());
        }
    });
}

async fn write(path: &Path) -> io::Result<()> {
    let mut file = File::create(path)?;
    let begun = Instant::now();
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        file.write_all(line(begun.elapsed()).as_bytes())?;
    }
}

fn line(elapsed: Duration) -> String {
    let counters = tally::snapshot().into_iter().map(|(name, value)| format!(",\"{name}\":{value}"));
    format!("{{\"elapsed_us\":{}{}}}\n", elapsed.as_micros(), counters.collect::<String>())
}
