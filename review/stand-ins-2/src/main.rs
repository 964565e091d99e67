//! Plays one case of the review: starts the project's programs, stands in for all other parties, and judges what came
//! to clients and hosts. `stand-ins-2 CASE ROOT RECORD FOLDER`; the exit code is that of `run.sh`.

mod cases;
mod client;
mod coordinator;
mod host;
mod msgpack;
mod process;
mod record;
mod world;

use std::io;
use std::path::{Path, PathBuf};
use std::process::exit;

use process::Folder;
use record::Record;

/// Exit codes.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// What a case needs.
pub struct Play {
    pub root: PathBuf,
    pub folder: Folder,
    pub record: Record,
    /// False with `TROUBLE=0`: the same without the disruption.
    pub trouble: bool,
}

/// The verdict on a rule: what broke it, if anything did.
pub struct Verdict {
    pub violations: Vec<String>,
    /// What was looked at, for the record.
    pub summary: String,
}

fn play(words: &[String]) -> io::Result<Verdict> {
    let [case, root, record, folder] = words else {
        return Err(io::Error::other(
            "usage: stand-ins-2 CASE ROOT RECORD FOLDER",
        ));
    };
    let play = Play {
        root: root.into(),
        folder: Folder::create(folder)?,
        record: Record::create(Path::new(record))?,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let record = play.record.clone();
    record.say(&format!("case {case}, trouble {}", play.trouble));
    let verdict = cases::run(case, &play);
    match &verdict {
        Ok(verdict) => {
            record.say(&verdict.summary);
            record.say(&format!("violations: {}", verdict.violations.len()));
            for violation in verdict.violations.iter().take(5) {
                record.say(violation);
            }
            for violation in verdict.violations.iter().skip(5) {
                record.note(violation);
            }
        }
        Err(error) => record.say(&format!("the case could not run: {error}")),
    }
    record.flush();
    verdict
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let code = match play(&words) {
        Ok(verdict) if verdict.violations.is_empty() => HELD,
        Ok(_) => BROKEN,
        Err(error) => {
            eprintln!("{error}");
            NOT_RUN
        }
    };
    exit(code);
}
