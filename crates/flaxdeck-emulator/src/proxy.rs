//! A link between two programs that can be cut, stalled, or made slow: passes bytes both ways.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// How the link treats what goes over it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkState {
    /// Passes everything on at once.
    Up,
    /// Each piece comes so many milliseconds later.
    Delayed(u64),
    /// Open, but nothing comes through; what was written comes once the link is up again.
    Stalled,
    /// Connections end, new ones are refused.
    Cut,
}

/// Bytes that a link has passed on.
#[derive(Default)]
struct PassedBytes {
    to_far: AtomicU64,
    to_near: AtomicU64,
}

/// A link to one address.
#[derive(Clone)]
pub struct Proxy {
    /// Where the near side connects.
    pub address: SocketAddr,
    passed: Arc<PassedBytes>,
    state: Arc<watch::Sender<LinkState>>,
}

impl Proxy {
    /// Starts a link to an address; to be called within a runtime.
    ///
    /// # Errors
    ///
    /// If it can't listen.
    pub fn start(to: SocketAddr) -> io::Result<Proxy> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (state, watched) = watch::channel(LinkState::Up);
        let passed: Arc<PassedBytes> = Arc::default();
        tokio::spawn(accept(listener, to, watched, passed.clone()));
        Ok(Proxy {
            address,
            passed,
            state: Arc::new(state),
        })
    }

    /// Changes how the link treats what goes over it.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Bytes that went to the far side.
    pub fn bytes_to_far(&self) -> u64 {
        self.passed.to_far.load(Ordering::Relaxed)
    }

    /// Bytes that came from the far side.
    pub fn bytes_to_near(&self) -> u64 {
        self.passed.to_near.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    passed: Arc<PassedBytes>,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        if *state.borrow() == LinkState::Cut {
            continue;
        }
        tokio::spawn(connect(near, to, state.clone(), passed.clone()));
    }
}

/// Carries one connection until either side ends it or the link is cut.
async fn connect(
    near: TcpStream,
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    passed: Arc<PassedBytes>,
) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // Delays matter only to measurements.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pass(near_read, far_write, state.clone(), &passed.to_far) => {}
        () = pass(far_read, near_write, state.clone(), &passed.to_near) => {}
        () = until_cut(state) => {}
    }
}

async fn until_cut(mut state: watch::Receiver<LinkState>) {
    // An error means that the proxy is gone, which cuts the link as well.
    let _ = state.wait_for(|state| *state == LinkState::Cut).await;
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    passed: &AtomicU64,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut bytes).await else {
            return;
        };
        let now = *state.borrow();
        match now {
            LinkState::Delayed(ms) => sleep(Duration::from_millis(ms)).await,
            LinkState::Stalled => {
                let resumed = state.wait_for(|state| *state != LinkState::Stalled).await;
                if resumed.is_err() {
                    return;
                }
            }
            LinkState::Up | LinkState::Cut => {}
        }
        passed.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
