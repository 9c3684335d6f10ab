//! Calls between entry hosts: `capnp-rpc` over TCP, on the control thread.

use {
    super::{
        counting::CountingStream,
        membership::{HostCard, PeerDigest},
        wire,
    },
    crate::{metric::HostMetrics, peer_capnp::peer},
    capnp::{Error, capability::Rc as CapRc},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    std::{
        cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::AbortHandle,
    },
    tokio_util::compat::TokioAsyncReadCompatExt,
};

/// Longest wait for another host.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a host has of the state that hosts pass on; 0 for what it needs whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldVersions {
    /// Generation of its configuration.
    pub generation: u64,
    /// Version of the store that its configuration was read at.
    pub source: u64,
    /// Version of its list of servers.
    pub servers: u64,
}

/// State that hosts pass on as JSON; empty where the asker has it already.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PassedState {
    /// The accepted configuration.
    pub config: Vec<u8>,
    /// The list of servers.
    pub servers: Vec<u8>,
}

type AnswerCards = dyn Fn(&[u64]) -> Vec<HostCard>;

/// What a host answers to others.
pub struct PeerAnswers {
    /// Takes a digest and gives one.
    pub exchange: Box<dyn Fn(PeerDigest) -> PeerDigest>,
    /// Tells who hosts are.
    pub cards: Box<AnswerCards>,
    /// Passes on what is newer than what the asker has.
    pub state: Box<dyn Fn(HeldVersions) -> PassedState>,
}

struct PeerServer {
    answers: Rc<PeerAnswers>,
}

impl peer::Server for PeerServer {
    async fn exchange(
        self: CapRc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let digest = wire::read_digest(params.get()?.get_digest()?)?;
        let answer = (self.answers.exchange)(digest);
        wire::write_digest(results.get().init_digest(), &answer);
        Ok(())
    }

    async fn cards(
        self: CapRc<Self>,
        params: peer::CardsParams,
        mut results: peer::CardsResults,
    ) -> Result<(), Error> {
        let wanted: Vec<u64> = params.get()?.get_incarnations()?.iter().collect();
        let cards = (self.answers.cards)(&wanted);
        let mut list = results.get().init_cards(cards.len() as u32);
        for (index, card) in cards.iter().enumerate() {
            wire::write_card(list.reborrow().get(index as u32), card);
        }
        Ok(())
    }

    async fn state(
        self: CapRc<Self>,
        params: peer::StateParams,
        mut results: peer::StateResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let state = (self.answers.state)(HeldVersions {
            generation: params.get_generation(),
            source: params.get_source_version(),
            servers: params.get_servers_version(),
        });
        let mut passed = results.get().init_state();
        passed.set_config(&state.config);
        passed.set_servers(&state.servers);
        Ok(())
    }
}

fn network(
    stream: TcpStream,
    side: Side,
    metrics: &HostMetrics,
) -> VatNetwork<impl futures::AsyncRead + use<>> {
    let _ = stream.set_nodelay(true);
    let sent = metrics.peer_sent.clone();
    let received = metrics.peer_received.clone();
    let (reader, writer) = tokio::io::split(CountingStream::new(stream, sent, received));
    let writer = tokio_util::compat::TokioAsyncWriteCompatExt::compat_write(writer);
    VatNetwork::new(reader.compat(), writer, side, Default::default())
}

/// Answers other hosts on a listening socket, for as long as the host runs.
pub async fn serve_peers(
    listener: TcpListener,
    answers: Rc<PeerAnswers>,
    metrics: Arc<HostMetrics>,
) {
    let client: peer::Client = capnp_rpc::new_client(PeerServer { answers });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let network = network(stream, Side::Server, &metrics);
        let system = RpcSystem::new(Box::new(network), Some(client.clone().client));
        tokio::task::spawn_local(system);
    }
}

struct Connection {
    client: peer::Client,
    system: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// Connections to other hosts, kept while they work.
pub struct PeerLinks {
    connections: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
    metrics: Arc<HostMetrics>,
}

impl PeerLinks {
    /// No connections yet.
    pub fn new(metrics: Arc<HostMetrics>) -> Self {
        Self {
            connections: RefCell::default(),
            metrics,
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Rc<Connection>, Error> {
        let known = self.connections.borrow().get(&address).cloned();
        if let Some(known) = known {
            return Ok(known);
        }
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| Error::disconnected(error.to_string()))?;
        let network = network(stream, Side::Client, &self.metrics);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let system = tokio::task::spawn_local(system).abort_handle();
        let connection = Rc::new(Connection { client, system });
        let mut connections = self.connections.borrow_mut();
        connections.insert(address, connection.clone());
        Ok(connection)
    }

    // A connection on which a call failed is not used again.
    async fn call<T, F>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(Rc<Connection>) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let sent = async {
            let connection = self.connection(address).await?;
            call(connection).await
        };
        let result = match tokio::time::timeout(PEER_TIMEOUT, sent).await {
            Ok(result) => result,
            Err(_) => Err(Error::overloaded("no answer in time".into())),
        };
        if result.is_err() {
            self.connections.borrow_mut().remove(&address);
        }
        result
    }

    /// Tells a host and hears what it tells.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        digest: &PeerDigest,
    ) -> Result<PeerDigest, Error> {
        self.call(address, |connection| async move {
            let mut request = connection.client.exchange_request();
            wire::write_digest(request.get().init_digest(), digest);
            let response = request.send().promise.await?;
            wire::read_digest(response.get()?.get_digest()?)
        })
        .await
    }

    /// Asks who hosts are.
    pub async fn cards(
        &self,
        address: SocketAddr,
        incarnations: &[u64],
    ) -> Result<Vec<HostCard>, Error> {
        self.call(address, |connection| async move {
            let mut request = connection.client.cards_request();
            let mut list = request.get().init_incarnations(incarnations.len() as u32);
            for (index, incarnation) in incarnations.iter().enumerate() {
                list.set(index as u32, *incarnation);
            }
            let response = request.send().promise.await?;
            let cards = response.get()?.get_cards()?;
            cards.iter().map(wire::read_card).collect()
        })
        .await
    }

    /// Asks for what is newer than what this host has.
    pub async fn state(
        &self,
        address: SocketAddr,
        held: HeldVersions,
    ) -> Result<PassedState, Error> {
        self.call(address, |connection| async move {
            let mut request = connection.client.state_request();
            request.get().set_generation(held.generation);
            request.get().set_source_version(held.source);
            request.get().set_servers_version(held.servers);
            let response = request.send().promise.await?;
            let state = response.get()?.get_state()?;
            Ok(PassedState {
                config: state.get_config()?.to_vec(),
                servers: state.get_servers()?.to_vec(),
            })
        })
        .await
    }
}
