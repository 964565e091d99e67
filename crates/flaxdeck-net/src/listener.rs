//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that the kernel queues before they are accepted: enough for a burst while the process, which runs on one
/// core, is busy.
pub const BACKLOG: i32 = 512;

/// A socket that accepts connections on one address.
pub struct Listener(TcpListener);

/// A bound socket that does not listen yet; connections to its address are refused at once.
pub struct BoundAddress(Socket);

impl BoundAddress {
    /// Binds the address with `SO_REUSEADDR`, so that a process restarted right after a kill can bind it again.
    ///
    /// # Errors
    ///
    /// Returns the system's error; [`io::ErrorKind::AddrInUse`] if another socket listens on the address.
    pub fn bind(address: SocketAddr) -> io::Result<BoundAddress> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        Ok(BoundAddress(socket))
    }

    /// Starts listening.
    ///
    /// # Errors
    ///
    /// Returns the system's error, for example if another socket has started listening on the address in the meantime.
    pub fn listen(self) -> io::Result<Listener> {
        self.0.listen(BACKLOG)?;
        TcpListener::from_std(self.0.into()).map(Listener)
    }
}

impl Listener {
    /// Binds the address and listens on it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`BoundAddress::bind`] and [`BoundAddress::listen`].
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        BoundAddress::bind(address)?.listen()
    }

    /// Returns the local address, with the port that the system chose if port 0 was bound.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Waits for the next connection. Cancel safe: dropping the future loses no connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error, for example when no descriptor is free; the listener remains usable.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        self.0.accept().await.map(|(stream, _)| stream)
    }
}
