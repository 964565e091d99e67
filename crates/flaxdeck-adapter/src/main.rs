//! The simulator's wire on standard input and output, around any number of independent instances.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};

fn main() -> io::Result<()> {
    let mut desk = wire::Desk::default();
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
        if let Err(fault) = desk.take(&line, &mut output) {
            match fault {
                wire::Fault::Input(what) => eprintln!("flaxdeck-adapter: line {number}: {what}"),
                wire::Fault::Output(error) => return Err(error),
            }
        }
    }
}
