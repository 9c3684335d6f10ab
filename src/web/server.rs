//! One way to serve HTTP: a handler function behind a listening socket.

use {
    futures::future::BoxFuture,
    std::{io, net::SocketAddr, sync::Arc},
    tokio::net::TcpListener,
    volo::net::incoming::DefaultIncoming,
    volo_http::{
        request::Request,
        response::Response,
        server::{Router, Server},
    },
};

/// Header fields that a request may have.
pub const HEADER_LIMIT: usize = 64;

/// Answers requests.
pub type WebHandler = Arc<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;

/// Waits until a server that was told to stop may do so.
pub type StopHook = Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>;

/// Opens a listening socket; port 0 takes a free one, which the address given back names.
pub async fn listen(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Serves until the process is told to stop and the hook is done.
pub async fn serve(listener: TcpListener, handler: WebHandler, hook: Option<StopHook>) {
    let router: Router = Router::new().fallback(move |request: Request| handler(request));
    let mut server = Server::new(router);
    server.http1_config().set_max_headers(HEADER_LIMIT);
    if let Some(hook) = hook {
        server = server.register_shutdown_hook(hook);
    }
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        log::error!("server ended: {error}");
    }
}
