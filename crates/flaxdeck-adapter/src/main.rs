//! The simulator's wire on standard input and output, around any number of independent instances.
//!
//! Each line in is one JSON object. `Mark` begins a batch and tells its time, events follow, `EofBatch` ends it; then the
//! decisions of the batch go out, a line each, and an `End`. A line that makes no sense is passed over, with its number
//! and the reason on standard error.

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
    let mut number = 0u64;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return output.flush();
        }
        number += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match adapter.handle_line(&line, &mut output) {
            Ok(()) => {}
            Err(AdapterError::Input(error)) => {
                eprintln!("flaxdeck-adapter: line {number}: {error}");
            }
            Err(AdapterError::Output(error)) => return Err(error),
        }
    }
}
