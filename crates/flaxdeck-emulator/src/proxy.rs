//! A TCP proxy on the link between two programs, which can delay, stall or cut it. The program that connects to the
//! proxy is the downstream side, the one that the proxy connects to the upstream side.

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

/// The size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// How the link treats the traffic over it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkState {
    /// Forwards bytes without delay.
    Up,
    /// Forwards each chunk after a delay in milliseconds.
    Delayed(u64),
    /// Keeps connections open but forwards nothing; data received meanwhile is forwarded once the link is no longer
    /// stalled.
    Stalled,
    /// Closes all connections, and new ones as they arrive.
    Cut,
}

/// Bytes that a link has forwarded.
#[derive(Default)]
struct ForwardedBytes {
    to_upstream: AtomicU64,
    to_downstream: AtomicU64,
}

/// A proxied link to one address.
#[derive(Clone)]
pub struct Proxy {
    /// The address to which the downstream side connects.
    pub address: SocketAddr,
    forwarded: Arc<ForwardedBytes>,
    state: Arc<watch::Sender<LinkState>>,
}

impl Proxy {
    /// Starts a link to an address. Must be called within a runtime.
    ///
    /// # Errors
    ///
    /// If it can't listen on loopback.
    pub fn start(to: SocketAddr) -> io::Result<Proxy> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (state, state_receiver) = watch::channel(LinkState::Up);
        let forwarded: Arc<ForwardedBytes> = Arc::default();
        tokio::spawn(accept(listener, to, state_receiver, forwarded.clone()));
        Ok(Proxy {
            address,
            forwarded,
            state: Arc::new(state),
        })
    }

    /// Sets how the link treats the traffic over it.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Returns the bytes forwarded to the upstream side.
    pub fn bytes_to_upstream(&self) -> u64 {
        self.forwarded.to_upstream.load(Ordering::Relaxed)
    }

    /// Returns the bytes forwarded to the downstream side.
    pub fn bytes_to_downstream(&self) -> u64 {
        self.forwarded.to_downstream.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    forwarded: Arc<ForwardedBytes>,
) {
    loop {
        let Ok((downstream, _)) = listener.accept().await else {
            continue;
        };
        if *state.borrow() == LinkState::Cut {
            continue;
        }
        tokio::spawn(connect(downstream, to, state.clone(), forwarded.clone()));
    }
}

/// Forwards the bytes of one connection in both directions until either side ends it or the link is cut.
async fn connect(
    downstream: TcpStream,
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    forwarded: Arc<ForwardedBytes>,
) {
    let Ok(upstream) = TcpStream::connect(to).await else {
        return;
    };
    // Errors are ignored: without TCP_NODELAY only latencies are higher.
    let _ = downstream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::select! {
        () = forward(downstream_read, upstream_write, state.clone(), &forwarded.to_upstream) => {}
        () = forward(upstream_read, downstream_write, state.clone(), &forwarded.to_downstream) => {}
        () = until_cut(state) => {}
    }
}

async fn until_cut(mut state: watch::Receiver<LinkState>) {
    // An error means that the proxy was dropped, which cuts the link as well.
    let _ = state.wait_for(|state| *state == LinkState::Cut).await;
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    forwarded: &AtomicU64,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut bytes).await else {
            return;
        };
        let current = *state.borrow();
        match current {
            LinkState::Delayed(ms) => sleep(Duration::from_millis(ms)).await,
            LinkState::Stalled => {
                let resumed = state.wait_for(|state| *state != LinkState::Stalled).await;
                if resumed.is_err() {
                    return;
                }
            }
            LinkState::Up | LinkState::Cut => {}
        }
        forwarded.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
