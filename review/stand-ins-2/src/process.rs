//! The project's programs as processes of their own.

use std::fs;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a program may take to be ready, by the pages.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// The temporary folder of a run, removed at its end. It holds the ids of the processes, for `run.sh`.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(path: &str) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder(path.into()))
    }

    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.0.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }
}

/// A process that is killed when it is dropped.
pub struct Process(Child);

impl Process {
    /// Starts a command of the deploy file by a shell, from the root of the project.
    pub fn start(
        root: &Path,
        folder: &Folder,
        command: &str,
        variables: &[(&str, &str)],
        log: &str,
    ) -> io::Result<Process> {
        let out = fs::File::create(folder.0.join(log))?;
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(root)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        let mut pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.0.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Process(child))
    }

    /// Sends it a signal by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {}", self.0.id())])
            .status()?;
        if sent.success() {
            Ok(())
        } else {
            Err(io::Error::other("no signal could be sent"))
        }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        // An error means that it has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The command of the deploy file that starts a dispatcher.
pub fn run_command(root: &Path) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    text.lines()
        .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
}

/// An address with a free port.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Waits until somebody listens at the address.
pub fn wait_until_ready(address: SocketAddr) -> io::Result<()> {
    let started = Instant::now();
    while TcpStream::connect(address).is_err() {
        if started.elapsed() > READY_WITHIN {
            return Err(io::Error::other("the program is not ready after 30 s"));
        }
        sleep(Duration::from_millis(5));
    }
    Ok(())
}
