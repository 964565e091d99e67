//! Plays one case of the review: `review-stand-ins CASE FOLDER TEMPORARY-FOLDER`. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run.

mod client;
mod cold_parent;
mod coordinator;
mod dispatcher;
mod hosts;
mod msgpack;
mod outage;
mod record;
mod site;
mod slow_writer;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Shared;

/// What a case gets.
pub struct Play {
    pub record: Shared,
    /// The temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// How a case ended: the breaches of the rule; none if it could not run.
pub type Verdict = Option<Vec<String>>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = &arguments[..] else {
        eprintln!("usage: review-stand-ins CASE FOLDER TEMPORARY-FOLDER");
        exit(2);
    };
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format_args!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let play = Play {
        record: record.clone(),
        folder: PathBuf::from(temporary),
        has_trouble,
    };
    let case = case.clone();
    let played = thread::spawn(move || match case.as_str() {
        "slow-writer" => slow_writer::play(&play),
        "outage" => outage::play(&play),
        "cold-parent" => cold_parent::play(&play),
        _ => None,
    });
    // The script ends what is left of the processes if this one has to stop here.
    for _ in 0..1100 {
        if played.is_finished() {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let verdict = if played.is_finished() {
        played.join().unwrap_or(None)
    } else {
        None
    };
    let code = match &verdict {
        None => 2,
        Some(breaches) if breaches.is_empty() => 0,
        Some(_) => 1,
    };
    for breach in verdict.iter().flatten() {
        record.line(format_args!("BROKEN: {breach}"));
        println!("BROKEN: {breach}");
    }
    record.line(format_args!("exit {code}"));
    println!("exit {code}");
    exit(code);
}
