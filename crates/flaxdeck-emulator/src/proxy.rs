//! A wire that can be cut, held, or made slow: stands between two programs and passes bytes both ways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// How the wire treats what goes over it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wire {
    Whole,
    /// Each piece comes so many milliseconds later.
    Late(u64),
    /// Open, but nothing comes through; what was written comes once it is whole again.
    Held,
    /// Connections end, new ones are refused.
    Cut,
}

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Bytes that went to the far side and came from it.
    passed: Arc<[AtomicU64; 2]>,
    wire: Arc<watch::Sender<Wire>>,
}

impl Proxy {
    pub fn set(&self, wire: Wire) {
        self.wire.send_replace(wire);
    }

    pub fn passed(&self) -> [u64; 2] {
        [0, 1].map(|way| self.passed[way].load(Ordering::Relaxed))
    }

    /// To be called within the world's runtime.
    pub fn start(to: SocketAddr) -> std::io::Result<Proxy> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (wire, watched) = watch::channel(Wire::Whole);
        let passed: Arc<[AtomicU64; 2]> = Arc::default();
        let count = passed.clone();
        tokio::spawn(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else {
                    continue;
                };
                if *watched.borrow() == Wire::Cut {
                    continue;
                }
                let (watched, count) = (watched.clone(), count.clone());
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(to).await else {
                        return;
                    };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let ((near_read, near_write), (far_read, far_write)) =
                        (near.into_split(), far.into_split());
                    tokio::select! {
                        () = pass(near_read, far_write, watched.clone(), &count[0]) => {}
                        () = pass(far_read, near_write, watched.clone(), &count[1]) => {}
                        () = cut(watched) => {}
                    }
                });
            }
        });
        Ok(Proxy {
            address,
            passed,
            wire: Arc::new(wire),
        })
    }
}

async fn cut(mut watched: watch::Receiver<Wire>) {
    let _ = watched.wait_for(|wire| *wire == Wire::Cut).await;
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut watched: watch::Receiver<Wire>,
    passed: &AtomicU64,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(count @ 1..) = from.read(&mut bytes).await else {
            return;
        };
        let wire = *watched.borrow();
        match wire {
            Wire::Late(ms) => sleep(Duration::from_millis(ms)).await,
            Wire::Held => {
                if watched.wait_for(|wire| *wire != Wire::Held).await.is_err() {
                    return;
                }
            }
            Wire::Whole | Wire::Cut => {}
        }
        passed.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
