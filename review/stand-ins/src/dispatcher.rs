//! Starts a dispatcher by the `run` line of the deploy file, and ends it.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::client::{Connection, Outcome};
use crate::msgpack;
use crate::record::Shared;

pub struct Dispatcher {
    child: Child,
    pub address: SocketAddr,
}

/// An address on which nothing listens.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn run_line(root: &Path) -> Option<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))?;
    Some(line.split('"').next()?.to_owned())
}

impl Dispatcher {
    /// Starts a dispatcher and waits until it answers `alive` with true; none if it does not within 10 s.
    pub fn start(
        record: &Shared,
        folder: &Path,
        name: &str,
        address: SocketAddr,
        config: &str,
    ) -> Option<Dispatcher> {
        let command = run_line(&std::env::current_dir().ok()?)?;
        let path: PathBuf = folder.join(format!("{name}.json"));
        fs::write(&path, config).ok()?;
        let log = File::create(folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .env("GW_NAME", name)
            .env("GW_LISTEN", address.to_string())
            .env("GW_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        let dispatcher = Dispatcher { child, address };
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        writeln!(pids.ok()?, "{}", dispatcher.child.id()).ok()?;
        record.line(format_args!("{name}: started by: {command}"));
        for _ in 0..500 {
            if is_alive(record, address) {
                record.line(format_args!("{name}: ready at {address}"));
                return Some(dispatcher);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_alive(record: &Shared, address: SocketAddr) -> bool {
    let Some(connection) = Connection::open(record, address) else {
        return false;
    };
    connection.send(&msgpack::alive(1));
    for _ in 0..50 {
        if let Some((_, outcome)) = connection.answers_to(1).first() {
            return *outcome == Outcome::Alive(true);
        }
        thread::sleep(Duration::from_millis(2));
    }
    false
}
