//! Calls between entry hosts: `capnp-rpc` over TCP, on the control thread.

use {
    super::{
        counting::CountingStream,
        membership::{HostCard, PeerDigest},
        wire,
    },
    crate::{metric::HostMetrics, peer_capnp::peer, web::StreamOpener},
    capnp::{
        Error,
        capability::{Client, FromClientHook, Rc as CapRc},
        message::ReaderOptions,
    },
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    socket2::SockRef,
    std::{
        cell::RefCell,
        collections::{HashMap, VecDeque},
        net::{IpAddr, SocketAddr},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::AbortHandle,
    },
    tokio_util::compat::TokioAsyncReadCompatExt,
};

/// Longest wait for another host.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that bytes sent to another host may stay unacknowledged: the socket of a host that lost
/// its power is closed then.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Maximum size of a message from an address at which no host is known, in words of eight bytes.
const UNKNOWN_MESSAGE_WORDS: usize = 16 << 10;

/// Size of a word of a message, in bytes.
const WORD_BYTES: usize = 8;

/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    options: ReaderOptions,
) -> VatNetwork<impl futures::AsyncRead + use<>> {
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE_LIMIT)));
    if let Err(error) = prepared {
        log::debug!("a connection between hosts keeps the system's defaults: {error}");
    }
    let sent = metrics.peer_sent.clone();
    let received = metrics.peer_received.clone();
    let (reader, writer) = tokio::io::split(CountingStream::new(stream, sent, received));
    let writer = tokio_util::compat::TokioAsyncWriteCompatExt::compat_write(writer);
    VatNetwork::new(reader.compat(), writer, side, options)
}

/// What a host answers to others, as a capability.
pub fn peer_capability(answers: Rc<PeerAnswers>) -> Client {
    let client: peer::Client = capnp_rpc::new_client(PeerServer { answers });
    client.client
}

/// Whom a host serves as another host.
pub struct PeerAdmission {
    /// Whether a known host has this address.
    pub is_known: Box<dyn Fn(IpAddr) -> bool>,
    /// Maximum number of connections from other addresses. Each further one ends the oldest of them.
    pub unknown_limit: usize,
    /// Maximum size of a message of a known host, in bytes.
    pub message_bytes: usize,
}

/// Connections from addresses at which no host is known, oldest first.
struct UnknownPeers {
    admission: PeerAdmission,
    open: VecDeque<(IpAddr, AbortHandle)>,
}

impl UnknownPeers {
    fn add(&mut self, ip: IpAddr, connection: AbortHandle) {
        self.open.push_back((ip, connection));
        while self.open.len() > self.admission.unknown_limit {
            let Some((ip, oldest)) = self.open.pop_front() else {
                return;
            };
            // Its host may be known by now.
            if !oldest.is_finished() && !(self.admission.is_known)(ip) {
                log::debug!("a connection of {ip} ends, since no host is known there");
                oldest.abort();
            }
        }
    }
}

/// Serves a capability to other hosts on a listening socket, for as long as the host runs.
pub async fn serve_peers(
    listener: TcpListener,
    capability: Client,
    metrics: Arc<HostMetrics>,
    admission: PeerAdmission,
) {
    let mut unknown = UnknownPeers {
        admission,
        open: VecDeque::new(),
    };
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("another host's connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let is_known = (unknown.admission.is_known)(from.ip());
        let words = match is_known {
            true => unknown.admission.message_bytes / WORD_BYTES,
            false => UNKNOWN_MESSAGE_WORDS,
        };
        let mut options = ReaderOptions::default();
        options.traversal_limit_in_words(Some(words));
        let network = network(stream, Side::Server, &metrics, options);
        let system = RpcSystem::new(Box::new(network), Some(capability.clone()));
        let connection = tokio::task::spawn_local(system).abort_handle();
        if !is_known {
            unknown.add(from.ip(), connection);
        }
    }
}

struct Connection<C> {
    client: C,
    system: AbortHandle,
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// Connections to other hosts that serve a `C`, kept while they work.
pub struct PeerLinks<C = peer::Client> {
    connections: RefCell<HashMap<SocketAddr, Rc<Connection<C>>>>,
    metrics: Arc<HostMetrics>,
    opener: StreamOpener,
    message_bytes: usize,
}

impl<C: FromClientHook + Clone> PeerLinks<C> {
    /// No connections yet; they will be opened by `opener`, and end at a message of more than `message_bytes`.
    pub fn new(metrics: Arc<HostMetrics>, opener: StreamOpener, message_bytes: usize) -> Self {
        Self {
            connections: RefCell::default(),
            metrics,
            opener,
            message_bytes,
        }
    }

    /// Number of bytes received from all hosts.
    pub fn received_bytes(&self) -> u64 {
        self.metrics.peer_received.get()
    }

    async fn connection(&self, address: SocketAddr) -> Result<Rc<Connection<C>>, Error> {
        let known = self.connections.borrow().get(&address).cloned();
        if let Some(known) = known {
            return Ok(known);
        }
        let opening = self.opener.open(address).await;
        let stream = opening.map_err(|error| Error::disconnected(error.to_string()))?;
        let mut options = ReaderOptions::default();
        options.traversal_limit_in_words(Some(self.message_bytes / WORD_BYTES));
        let network = network(stream, Side::Client, &self.metrics, options);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: C = system.bootstrap(Side::Server);
        let system = tokio::task::spawn_local(system).abort_handle();
        let connection = Rc::new(Connection { client, system });
        let mut connections = self.connections.borrow_mut();
        connections.insert(address, connection.clone());
        Ok(connection)
    }

    /// Calls a host; the answer is due within `time`. A connection on which a call failed is not used
    /// again.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        time: Duration,
        call: impl FnOnce(C) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let sent = async {
            let connection = self.connection(address).await?;
            call(connection.client.clone()).await
        };
        let result = match tokio::time::timeout(time, sent).await {
            Ok(result) => result,
            Err(_) => Err(Error::overloaded("no answer in time".into())),
        };
        if result.is_err() {
            self.connections.borrow_mut().remove(&address);
        }
        result
    }
}

impl PeerLinks {
    /// Tells a host and hears what it tells.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        digest: &PeerDigest,
    ) -> Result<PeerDigest, Error> {
        self.call(address, PEER_TIMEOUT, |client| async move {
            let mut request = client.exchange_request();
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
        self.call(address, PEER_TIMEOUT, |client| async move {
            let mut request = client.cards_request();
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
        self.call(address, PEER_TIMEOUT, |client| async move {
            let mut request = client.state_request();
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
