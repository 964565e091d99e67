//! Connects the simulator to any number of independent decision engines, over standard input and output.
//!
//! Each input line is one JSON object. `Mark` begins a batch and sets its time, events follow, and `EofBatch` ends it;
//! then the decisions of the batch are written, one a line, followed by `End`. An invalid line is reported on standard
//! error, with its number and the reason, and has no effect, except that a `Mark` inside a batch still sets the time
//! and an `EofBatch` without a `Mark` is still answered.

mod adapter;
mod error;
mod instance;
mod reply;

use std::io::{self, BufRead, BufWriter, Write};

use adapter::Adapter;
use error::AdapterError;

fn main() -> io::Result<()> {
    let mut adapter = Adapter::default();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut input = io::stdin().lock();
    let mut line = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return output.flush();
        }
        line_number += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match adapter.handle_line(&line, &mut output) {
            Ok(()) => {}
            Err(AdapterError::Input(error)) => {
                eprintln!("flaxdeck-adapter: line {line_number}: {error}");
            }
            Err(AdapterError::Output(error)) => return Err(error),
        }
    }
}
