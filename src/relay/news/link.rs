//! Asking other hosts for news, and answering them: `capnp-rpc` over TCP.

use {
    super::message::{self, ClusterNews, HeldNews},
    crate::{
        metric::HostMetrics,
        news_capnp::news_peer,
        peer::{self, PeerLinks},
    },
    capnp::{Error, capability::Rc as CapRc},
    futures::future::LocalBoxFuture,
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Gives the news for an asker, once there are some or its wait is over.
pub type NewsAnswer = dyn Fn(HeldNews) -> LocalBoxFuture<'static, ClusterNews>;

struct NewsServer {
    answer: Rc<NewsAnswer>,
}

impl news_peer::Server for NewsServer {
    async fn follow(
        self: CapRc<Self>,
        params: news_peer::FollowParams,
        mut results: news_peer::FollowResults,
    ) -> Result<(), Error> {
        let held = message::read_held(params.get()?.get_held()?);
        let news = (self.answer)(held).await;
        message::write_news(results.get().init_news(), &news)
    }
}

/// Answers other hosts on a listening socket, for as long as the host runs.
pub async fn serve_news(listener: TcpListener, answer: Rc<NewsAnswer>, metrics: Arc<HostMetrics>) {
    let client: news_peer::Client = capnp_rpc::new_client(NewsServer { answer });
    peer::serve_peers(listener, client.client, metrics).await;
}

/// Connections to hosts that are asked for news.
pub struct NewsLinks(PeerLinks<news_peer::Client>);

impl NewsLinks {
    /// No connections yet.
    pub fn new(metrics: Arc<HostMetrics>) -> Self {
        Self(PeerLinks::new(metrics))
    }

    /// Asks a host for what is newer than `held`; the answer is due `patience` after the wait.
    pub async fn follow(
        &self,
        address: SocketAddr,
        held: HeldNews,
        patience: Duration,
    ) -> Result<ClusterNews, Error> {
        let time = held.wait + patience;
        self.0
            .call(address, time, |client| async move {
                let mut request = client.follow_request();
                message::write_held(request.get().init_held(), &held);
                let response = request.send().promise.await?;
                message::read_news(response.get()?.get_news()?)
            })
            .await
    }
}
