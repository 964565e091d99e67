//! The listening socket.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that the kernel may hold before they are accepted: a burst while the one core is busy.
pub const BACKLOG: i32 = 512;

/// A socket that accepts connections at one address.
pub struct Listener(TcpListener);

/// An address that is bound and not listened at yet: connections to it are refused at once.
pub struct BoundAddress(Socket);

impl BoundAddress {
    /// Binds the address. A start right after a kill finds it free again.
    ///
    /// # Errors
    ///
    /// Those of the system; [`io::ErrorKind::AddrInUse`] where somebody listens there.
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

    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// Those of the system, which may have given the address to another listener meanwhile.
    pub fn listen(self) -> io::Result<Listener> {
        self.0.listen(BACKLOG)?;
        TcpListener::from_std(self.0.into()).map(Listener)
    }
}

impl Listener {
    /// Binds that address and listens there.
    ///
    /// # Errors
    ///
    /// Those of [`BoundAddress::bind`] and [`BoundAddress::listen`].
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        BoundAddress::bind(address)?.listen()
    }

    /// The address, with the port that the system chose if none was given.
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Waits for the next connection. May be dropped and called again without loss.
    ///
    /// # Errors
    ///
    /// Those of the system, as when descriptors have run out; the listener stays good.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        self.0.accept().await.map(|(stream, _)| stream)
    }
}
