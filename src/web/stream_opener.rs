//! How TCP connections to backend servers are opened.

use {
    futures::{FutureExt, future::LocalBoxFuture},
    std::{fmt, io, net::SocketAddr, rc::Rc},
    tokio::net::TcpStream,
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

    /// Opens a connection to an address.
    pub async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        (self.0)(address).await
    }
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
