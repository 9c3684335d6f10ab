//! Opens connections to backend servers, directly or through another host, and records which way works.

use {
    super::connect::{self, AskingHost, ConnectFailure},
    crate::{
        relay::{
            backend::BackendInfo,
            parts::shared::RelayParts,
            policy::{
                carrier_table::{CarrierFailure, CarrierHost, CarrierQuery},
                link_tracker::{LinkGroup, OpenOrder},
            },
        },
        web::{OpenedStream, SendFailure},
    },
    futures::{
        future::{self, Either},
        stream::{FuturesUnordered, StreamExt},
    },
    std::time::Duration,
};

/// Time after which the next host is asked while one has not answered.
const NEXT_HOST_DELAY: Duration = Duration::from_millis(60);

/// Maximum time for a connection through another host before a direct one is tried.
const CARRIED_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of hosts that have to find a server silent before no more are asked.
const SILENT_HOSTS_MAX: usize = 3;

/// Number of hosts that have to find that a server refuses connections. One of them may have lost its own links a moment
/// ago.
const REFUSED_HOSTS_MAX: usize = 2;

impl RelayParts {
    /// Opens a connection to a server, by the ways that its links allow.
    pub(crate) async fn open_link(
        &self,
        backend: &BackendInfo,
    ) -> Result<OpenedStream, SendFailure> {
        let group = LinkGroup::of(backend);
        let order = self.links.borrow().open_order(backend.key(), &group);
        let opening = async {
            match order {
                OpenOrder::DirectFirst(hedge) => self.open_direct_first(backend, hedge).await,
                OpenOrder::CarriedFirst => self.open_carried_first(backend).await,
            }
        };
        let limit = self.settings.pool.connect_time;
        tokio::time::timeout(limit, opening)
            .await
            .unwrap_or_else(|_| {
                self.record_link_failure(backend);
                Err(SendFailure::no_connection_in_time())
            })
    }

    /// Opens a direct connection to a server.
    pub(crate) async fn open_direct(
        &self,
        backend: &BackendInfo,
    ) -> Result<OpenedStream, SendFailure> {
        let opened = self.pool.open_direct(backend.address).await;
        if opened.is_err() {
            self.record_link_failure(backend);
        }
        opened
    }

    async fn open_direct_first(
        &self,
        backend: &BackendInfo,
        hedge: Duration,
    ) -> Result<OpenedStream, SendFailure> {
        let direct = self.open_direct(backend);
        tokio::pin!(direct);
        if let Ok(opened) = tokio::time::timeout(hedge, direct.as_mut()).await {
            return match opened {
                Ok(opened) => Ok(opened),
                Err(failure) => self.open_carried(backend).await.map_err(|_| failure),
            };
        }
        let carried = self.open_carried(backend);
        tokio::pin!(carried);
        match future::select(direct, carried).await {
            Either::Left((Ok(opened), _)) => Ok(opened),
            Either::Left((Err(failure), carried)) => carried.await.map_err(|_| failure),
            Either::Right((Ok(opened), _)) => {
                self.record_link_failure(backend);
                Ok(opened)
            }
            Either::Right((Err(_), direct)) => direct.await,
        }
    }

    async fn open_carried_first(&self, backend: &BackendInfo) -> Result<OpenedStream, SendFailure> {
        let carried = tokio::time::timeout(CARRIED_TIMEOUT, self.open_carried(backend)).await;
        if let Ok(Ok(opened)) = carried {
            return Ok(opened);
        }
        self.record_carried_failure(backend);
        self.open_direct(backend).await
    }

    /// Opens a connection to a server through another host. The next host is asked if one does not help, or not soon.
    pub(super) async fn open_carried(
        &self,
        backend: &BackendInfo,
    ) -> Result<OpenedStream, ConnectFailure> {
        let mut candidates = self.carrier_candidates(backend).into_iter();
        let mut asked = FuturesUnordered::new();
        let mut last_failure = ConnectFailure::Unavailable("no host is known to help".into());
        let (mut silent_hosts, mut refused_hosts) = (0, 0);
        loop {
            if silent_hosts < SILENT_HOSTS_MAX
                && let Some(host) = candidates.next()
            {
                asked.push(self.open_through(host, backend));
            }
            let next = tokio::time::timeout(NEXT_HOST_DELAY, asked.next()).await;
            match next {
                Ok(Some(Ok(opened))) => return Ok(opened),
                Ok(Some(Err(failure))) => {
                    silent_hosts += usize::from(failure == ConnectFailure::ServerSilent);
                    refused_hosts += usize::from(failure == ConnectFailure::ServerRefused);
                    if refused_hosts == REFUSED_HOSTS_MAX {
                        return Err(failure);
                    }
                    if last_failure != ConnectFailure::ServerRefused {
                        last_failure = failure;
                    }
                }
                Ok(None) => return Err(last_failure),
                Err(_) => {}
            }
        }
    }

    async fn open_through(
        &self,
        host: CarrierHost,
        backend: &BackendInfo,
    ) -> Result<OpenedStream, ConnectFailure> {
        let stream = connect::connect_through(host.address, self.asking_host(), backend).await;
        let group = LinkGroup::of(backend);
        let now = self.now();
        let mut carriers = self.carriers.borrow_mut();
        match &stream {
            // A silent server may be silent for every host.
            Ok(_) | Err(ConnectFailure::ServerRefused | ConnectFailure::ServerSilent) => {
                carriers.record_success(&host.name, &group);
            }
            Err(ConnectFailure::NoLink) => {
                carriers.record_failure(&host.name, CarrierFailure::NoLink(group), now);
            }
            Err(ConnectFailure::Unavailable(detail)) => {
                log::debug!("host {} carries no connection: {detail}", host.name);
                carriers.record_failure(&host.name, CarrierFailure::Unavailable, now);
            }
        }
        drop(carriers);
        let stream = stream?;
        let unavailable = |error: std::io::Error| ConnectFailure::Unavailable(error.to_string());
        self.pool.prepare(&stream).map_err(unavailable)?;
        self.metrics.links.opened.inc();
        Ok(OpenedStream {
            stream,
            carrier: Some((host.name, host.address)),
        })
    }

    /// This host, as it asks others.
    pub(super) fn asking_host(&self) -> AskingHost<'_> {
        AskingHost {
            name: &self.settings.name,
            address: self.settings.peers.ip(),
        }
    }

    fn carrier_candidates(&self, backend: &BackendInfo) -> Vec<CarrierHost> {
        let query = CarrierQuery {
            host: &self.settings.name,
            zone: &self.settings.zone,
            regions: &self.settings.regions,
            backend,
        };
        let cluster = self.cluster.borrow();
        let mut carriers = self.carriers.borrow_mut();
        let position = cluster.hosts_position();
        carriers.candidates(query, cluster.hosts(), position, self.now())
    }

    /// Whether a server that refuses a direct connection refuses others, too. If no other host can tell, it does unless
    /// this host is known to have lost links.
    pub(crate) async fn is_refused_elsewhere(&self, backend: &BackendInfo) -> bool {
        let asking = self.open_carried(backend);
        match tokio::time::timeout(CARRIED_TIMEOUT, asking).await {
            Ok(Ok(_) | Err(ConnectFailure::ServerSilent)) => false,
            Ok(Err(ConnectFailure::ServerRefused)) => true,
            Ok(Err(ConnectFailure::NoLink | ConnectFailure::Unavailable(_))) | Err(_) => {
                !self.has_lost_links()
            }
        }
    }
}
