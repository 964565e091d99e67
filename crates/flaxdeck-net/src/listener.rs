//! The listening socket.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that the kernel may hold before they are accepted: a burst while the one core is busy.
pub const BACKLOG: i32 = 512;

pub struct Listener(TcpListener);

/// An address that is taken and not listened at yet: who connects is refused at once.
pub struct Claim(Socket);

impl Claim {
    /// Takes the address, unless somebody listens there. A start right after a kill finds it free again.
    pub fn take(address: SocketAddr) -> io::Result<Claim> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        Ok(Claim(socket))
    }

    pub fn listen(self) -> io::Result<Listener> {
        self.0.listen(BACKLOG)?;
        TcpListener::from_std(self.0.into()).map(Listener)
    }
}

impl Listener {
    /// Listens on that address only.
    pub fn open(address: SocketAddr) -> io::Result<Listener> {
        Claim::take(address)?.listen()
    }
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
    pub async fn accept(&self) -> io::Result<TcpStream> {
        self.0.accept().await.map(|(stream, _)| stream)
    }
}
