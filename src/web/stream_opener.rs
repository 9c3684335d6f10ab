//! How TCP connections to backend servers are opened.

use {
    futures::{FutureExt, future::LocalBoxFuture},
    std::{
        fmt, io,
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
    tokio::net::{TcpSocket, TcpStream},
};

type OpenStream = dyn Fn(SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;

/// Opens connections; by default over the system's network.
#[derive(Clone)]
pub struct StreamOpener(Rc<OpenStream>);

impl StreamOpener {
    /// Opens connections by a function, such as one that imitates a network with faults.
    pub fn new(
        open: impl Fn(SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> + 'static,
    ) -> Self {
        Self(Rc::new(open))
    }

    /// Opens connections that come from an address of this host, by which servers and other hosts know it.
    pub fn bound_to(own: IpAddr) -> Self {
        Self::new(move |address| connect_from(own, address).boxed_local())
    }

    /// Opens a connection to an address.
    pub async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        (self.0)(address).await
    }
}

/// Opens a connection from an address of this host.
pub async fn connect_from(own: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(own, 0))?;
    socket.connect(address).await
}

impl Default for StreamOpener {
    fn default() -> Self {
        Self::new(|address| TcpStream::connect(address).boxed_local())
    }
}

impl fmt::Debug for StreamOpener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StreamOpener")
    }
}
