//! Telling other hosts what this one knows, and hearing what they know.

use {
    super::{
        config::{AcceptedConfig, ConfigOffer, ConfigPatch},
        parts::{ControlParts, MESSAGE_BYTES},
        servers::{ServerList, ServersPatch},
    },
    crate::peer::{
        self, HeldVersions, HostCard, PassedState, PeerAdmission, PeerAnswers, PeerDigest,
    },
    capnp::Error,
    faststr::FastStr,
    rand::RngExt,
    std::{
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// Of so many rounds, one goes to another zone and one to a host that is not known to be live.
const ROUNDS: u64 = 5;

/// Hosts in a zone up to which the gossip period holds as it is.
const HOSTS_AT_FULL_PACE: f64 = 40.0;

/// Hosts that are told at once of something new.
const NEWS_TARGETS: usize = 3;

/// A round that goes to live hosts of the zone.
const NEWS_ROUND: u64 = 2;

/// How long what others say of a leaving engine counts.
const HEARSAY_LIFE: Duration = Duration::from_secs(10);

/// Maximum number of connections from addresses at which no host is known.
const UNKNOWN_CONNECTIONS: usize = 128;

impl ControlParts {
    pub(super) async fn gossip(self: Rc<Self>) {
        let mut round = 0;
        loop {
            round += 1;
            let now = self.now();
            let changes = {
                let mut state = self.state.borrow_mut();
                state.members.beat(self.flags());
                state.members.tick(now)
            };
            self.note_changes(&changes);
            if let Some((address, same_zone)) = self.draw_target(round)
                && let Err(error) = self.exchange(address, same_zone).await
            {
                log::debug!("exchange with {address}: {error}");
            }
            tokio::select! {
                () = tokio::time::sleep(self.pause()) => {}
                () = self.news.notified() => self.spread_news().await,
            }
        }
    }

    // Whoever learns something new tells some at once, so that it reaches all in a few steps.
    async fn spread_news(&self) {
        let targets: Vec<SocketAddr> = (0..NEWS_TARGETS)
            .filter_map(|_| self.draw_target(NEWS_ROUND))
            .map(|(address, _)| address)
            .collect();
        let told = targets
            .into_iter()
            .map(|address| self.exchange(address, true));
        for result in futures::future::join_all(told).await {
            if let Err(error) = result {
                log::debug!("news: {error}");
            }
        }
    }

    // Longer in a large zone, where each exchange tells more. A little random, so that hosts
    // started together do not stay in step.
    fn pause(&self) -> Duration {
        let live = self.state.borrow().members.live_in_zone().count();
        let size = (live as f64 / HOSTS_AT_FULL_PACE).max(1.0);
        let factor = size * rand::rng().random_range(0.8..1.2);
        self.traffic.settings.gossip_period.mul_f64(factor)
    }

    fn draw_target(&self, round: u64) -> Option<(SocketAddr, bool)> {
        let state = self.state.borrow();
        let zone = &state.members.own().zone;
        let in_zone: Vec<SocketAddr> = state
            .members
            .live_in_zone()
            .map(|(card, _)| card.peers)
            .collect();
        let away: Vec<SocketAddr> = state
            .members
            .live()
            .filter(|(card, _)| card.zone != *zone)
            .map(|(card, _)| card.peers)
            .collect();
        let mut silent: Vec<SocketAddr> =
            state.members.suspected().map(|card| card.peers).collect();
        // Seeds and listed hosts may be of any zone, and long replaced.
        let own = state.members.own().peers;
        let listed = state
            .servers
            .entry_hosts()
            .filter_map(|host| host.spec.peers);
        let starts = self.seeds().iter().copied().chain(listed);
        silent
            .extend(starts.filter(|start| {
                *start != own && !in_zone.contains(start) && !away.contains(start)
            }));
        let turn = round % ROUNDS;
        let pick = |list: &[SocketAddr]| match list.len() {
            0 => None,
            count => Some(list[rand::rng().random_range(0..count)]),
        };
        let chosen = match turn {
            0 => pick(&away).map(|address| (address, false)),
            1 => pick(&silent).map(|address| (address, true)),
            _ => None,
        };
        chosen
            .or_else(|| pick(&in_zone).map(|address| (address, true)))
            .or_else(|| pick(&silent).map(|address| (address, true)))
    }

    async fn exchange(&self, address: SocketAddr, same_zone: bool) -> Result<(), Error> {
        let digest = self.digest(same_zone);
        let answer = self.links.exchange(address, &digest).await?;
        self.take_digest(&answer);
        self.learn_strangers(address).await?;
        self.fetch_newer(address, &answer).await
    }

    fn digest(&self, same_zone: bool) -> PeerDigest {
        let leaving = self.engines_saying_goodbye();
        let state = self.state.borrow();
        let generation = state.config.in_force().generation;
        let digest = state.members.digest(
            same_zone,
            generation,
            state.servers.version,
            leaving,
            self.now(),
        );
        PeerDigest {
            crashes: self.traffic.parts.crashes.marks(),
            ..digest
        }
    }

    fn engines_saying_goodbye(&self) -> Vec<FastStr> {
        self.traffic.desk.read(|desk| {
            desk.views()
                .filter(|view| view.says_leaving())
                .map(|view| view.info.name.clone())
                .collect()
        })
    }

    fn take_digest(&self, digest: &PeerDigest) {
        self.traffic.parts.crashes.take(&digest.crashes);
        let now = self.now();
        let is_own_zone = digest.sender.zone == self.traffic.settings.zone;
        let changes = {
            let mut state = self.state.borrow_mut();
            if !is_own_zone {
                state.sweeps.hear(&digest.silent, now);
            }
            state.members.take(digest, now)
        };
        self.note_changes(&changes);
        if !digest.leaving.is_empty() {
            self.traffic.desk.change(|desk, now| {
                for engine in &digest.leaving {
                    desk.peer_reported_leaving(engine, now + HEARSAY_LIFE);
                }
            });
        }
    }

    async fn learn_strangers(&self, address: SocketAddr) -> Result<(), Error> {
        let strangers = self.state.borrow().members.strangers();
        if strangers.is_empty() {
            return Ok(());
        }
        let cards = self.links.cards(address, &strangers).await?;
        let mut state = self.state.borrow_mut();
        for card in cards {
            state.members.take_card(card);
        }
        drop(state);
        self.publish();
        Ok(())
    }

    // A host that tells of something newer is asked for it.
    fn fetch_from_teller(self: Rc<Self>, digest: &PeerDigest) {
        if !self.is_newer(digest) {
            return;
        }
        let digest = digest.clone();
        tokio::task::spawn_local(async move {
            let address = digest.sender.peers;
            if let Err(error) = self.fetch_newer(address, &digest).await {
                log::debug!("state from {address}: {error}");
            }
        });
    }

    // What this host has of the state that hosts pass on.
    fn held(&self) -> HeldVersions {
        let state = self.state.borrow();
        let config = state.config.in_force();
        HeldVersions {
            generation: config.generation,
            source: config.source_version,
            servers: state.servers.version,
        }
    }

    fn is_newer(&self, digest: &PeerDigest) -> bool {
        let held = self.held();
        digest.generation > held.generation || digest.servers_version > held.servers
    }

    // Only what was accepted is passed on, so whatever is newer is taken.
    async fn fetch_newer(&self, address: SocketAddr, answer: &PeerDigest) -> Result<(), Error> {
        if !self.is_newer(answer) {
            return Ok(());
        }
        let held = self.held();
        let passed = self.links.state(address, held).await?;
        if self.take_state(&passed)? {
            return Ok(());
        }
        // Something was deleted, which a patch does not show: ask for the whole.
        let whole = HeldVersions {
            generation: held.generation,
            ..HeldVersions::default()
        };
        let passed = self.links.state(address, whole).await?;
        self.take_state(&passed).map(|_| ())
    }

    // Gives whether the patches led to what they should.
    fn take_state(&self, passed: &PassedState) -> Result<bool, Error> {
        let malformed = |error: serde_json::Error| Error::failed(error.to_string());
        let mut fits = true;
        if !passed.servers.is_empty() {
            let patch: ServersPatch = serde_json::from_slice(&passed.servers).map_err(malformed)?;
            fits &= self.take_servers_patch(&patch);
        }
        if !passed.config.is_empty() {
            let patch: ConfigPatch = serde_json::from_slice(&passed.config).map_err(malformed)?;
            fits &= self.take_config_patch(&patch);
        }
        Ok(fits)
    }

    fn take_servers_patch(&self, patch: &ServersPatch) -> bool {
        let patched = self.state.borrow().servers.patched(patch);
        let Some(list) = patched.or_else(|| ServerList::default().patched(patch)) else {
            return false;
        };
        if self.state.borrow_mut().servers.offer(list) {
            self.news.notify_one();
            self.publish();
        }
        true
    }

    fn take_config_patch(&self, patch: &ConfigPatch) -> bool {
        let patched = self.state.borrow().config.in_force().patched(patch);
        let Some(config) = patched.or_else(|| AcceptedConfig::default().patched(patch)) else {
            return false;
        };
        let offer = self.state.borrow_mut().config.offer(config);
        self.note_offer(&offer);
        if offer == ConfigOffer::InForce {
            self.publish();
        }
        true
    }

    pub(super) async fn serve_peers(self: Rc<Self>, listener: TcpListener) {
        let (exchange, cards, state) = (self.clone(), self.clone(), self.clone());
        let answers = PeerAnswers {
            exchange: Box::new(move |digest| {
                let same_zone = digest.sender.zone == exchange.traffic.settings.zone;
                exchange.take_digest(&digest);
                exchange.clone().fetch_from_teller(&digest);
                exchange.digest(same_zone)
            }),
            cards: Box::new(move |wanted| cards.cards(wanted)),
            state: Box::new(move |held| state.pass_state(held)),
        };
        let metrics = self.traffic.metrics.clone();
        let capability = peer::peer_capability(Rc::new(answers));
        let admission = PeerAdmission {
            is_known: Box::new(move |ip| self.has_member_at(ip)),
            unknown_limit: UNKNOWN_CONNECTIONS,
            message_bytes: MESSAGE_BYTES,
        };
        peer::serve_peers(listener, capability, metrics, admission).await;
    }

    fn has_member_at(&self, ip: IpAddr) -> bool {
        let state = self.state.borrow();
        state.members.live().any(|(card, _)| card.peers.ip() == ip)
    }

    fn cards(&self, wanted: &[u64]) -> Vec<HostCard> {
        let state = self.state.borrow();
        wanted
            .iter()
            .filter_map(|incarnation| state.members.card(*incarnation).cloned())
            .collect()
    }

    fn pass_state(&self, held: HeldVersions) -> PassedState {
        let state = self.state.borrow();
        let config = state.config.in_force();
        let mut passed = PassedState::default();
        if config.generation > held.generation {
            let patch = config.patch_since(held.source);
            passed.config = serde_json::to_vec(&patch).unwrap_or_default();
        }
        if state.servers.version > held.servers {
            let patch = state.servers.patch_since(held.servers);
            passed.servers = serde_json::to_vec(&patch).unwrap_or_default();
        }
        passed
    }
}
