//! Hundreds of hosts before rate-limited servers, as state machines on a clock of their own.
//!
//! Books, allocators and owners are the code that runs; demand, ways between hosts and troubles are this file's. Requests are
//! counted at the servers, as their operators count them.

use {
    bayplank::relay::{
        EngineKey, HostEntry, LimitBook, LimitSaying, PermitAllocator, PermitGrant, PermitOwners,
        PermitRequest, PermitState, ServerLimit,
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
};

/// Length of a step, milliseconds.
const STEP: u64 = 5;
/// Time from a send until the server's answer is read.
const ANSWER_TIME: u64 = 30;
/// Time until all hosts in reach have heard that a server is rate-limited, where they are told.
const TELL_TIME: u64 = 400;
/// Hosts that are asked for a permit one after the other, and servers that are tried.
const OWNERS_ASKED: usize = 2;
const SERVERS_TRIED: usize = 4;
/// Bounds of the operators: when the bound counts after a server first named a limit, and when a host after its first answer.
const CONTACT: u64 = 3_000;
const TOLD: u64 = 500;
const WINDOW: u64 = 4_000;

/// Which hosts callers come to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SimDemand {
    /// All alike.
    All,
    /// One alone.
    One(usize),
    /// One after the other, for a second each.
    Moving,
}

struct SimHost {
    entry: HostEntry,
    is_up: bool,
    // Hosts with another number do not reach each other.
    side: usize,
    heard: u64,
    limits: LimitBook,
    allocator: PermitAllocator,
    alone: PermitAllocator,
    owners: PermitOwners,
    // When it first passed an answer on that names a limit, by server.
    told: BTreeMap<usize, u64>,
}

struct SimServer {
    key: EngineKey,
    zone: FastStr,
    limit: Option<f64>,
    first_named: Option<u64>,
    // What came since the bound counts, from hosts that were told: when.
    counted: Vec<u64>,
    arrived: u64,
}

/// What became of the requests, and what hosts said to each other.
#[derive(Debug, Default, Clone, Copy)]
pub struct SimCounts {
    pub sent: u64,
    pub held_back: u64,
    pub asks: u64,
}

/// A fleet.
pub struct PermitSim {
    pub now: u64,
    hosts: Vec<SimHost>,
    servers: Vec<SimServer>,
    // Entries of the hosts of each zone, and its servers.
    entries: BTreeMap<FastStr, Vec<HostEntry>>,
    zone_servers: BTreeMap<FastStr, Vec<usize>>,
    pub demand: SimDemand,
    // Requests a second, of the whole fleet.
    pub rate: f64,
    // Whether hosts are told of needs that others heard.
    pub is_telling: bool,
    answers: BTreeMap<u64, Vec<(usize, usize, u64)>>,
    tellings: BTreeMap<u64, Vec<(usize, usize, LimitSaying)>>,
    due: f64,
    rng: StdRng,
    pub counts: SimCounts,
    answered: Vec<u64>,
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

impl PermitSim {
    pub fn new(hosts: usize, zones: usize, servers: usize, limit: Option<f64>, seed: u64) -> Self {
        let zone = |index: usize| FastStr::from_string(format!("z-{}", index % zones));
        let host = |index: usize| SimHost {
            entry: HostEntry {
                judged: Vec::new(),
                name: FastStr::from_string(format!("host-{index}")),
                zone: zone(index),
                peers: ([127, 0, 0, 1], index as u16).into(),
                link_mbps: 0,
            },
            is_up: true,
            side: 0,
            heard: 0,
            limits: LimitBook::new(&format!("host-{index}")),
            allocator: PermitAllocator::default(),
            alone: PermitAllocator::default(),
            owners: PermitOwners::default(),
            told: BTreeMap::new(),
        };
        let server = |index: usize| SimServer {
            key: EngineKey::of(&format!("server-{index}")),
            zone: zone(index),
            limit,
            first_named: None,
            counted: Vec::new(),
            arrived: 0,
        };
        let hosts: Vec<SimHost> = (0..hosts).map(host).collect();
        let servers: Vec<SimServer> = (0..servers).map(server).collect();
        let mut entries: BTreeMap<FastStr, Vec<HostEntry>> = BTreeMap::new();
        for host in &hosts {
            let zone = entries.entry(host.entry.zone.clone()).or_default();
            zone.push(host.entry.clone());
        }
        let mut zone_servers: BTreeMap<FastStr, Vec<usize>> = BTreeMap::new();
        for (index, server) in servers.iter().enumerate() {
            zone_servers
                .entry(server.zone.clone())
                .or_default()
                .push(index);
        }
        Self {
            now: 0,
            answered: vec![0; hosts.len()],
            hosts,
            servers,
            entries,
            zone_servers,
            demand: SimDemand::All,
            rate: 0.0,
            is_telling: true,
            answers: BTreeMap::new(),
            tellings: BTreeMap::new(),
            due: 0.0,
            rng: StdRng::seed_from_u64(seed),
            counts: SimCounts::default(),
        }
    }

    pub fn set_limit(&mut self, server: usize, limit: Option<f64>) {
        self.servers[server].limit = limit;
    }

    /// Requests that a server got so far.
    pub fn arrived(&self, server: usize) -> u64 {
        self.servers[server].arrived
    }

    /// Hosts of a zone are cut off from all others, or no more.
    pub fn cut_zone(&mut self, zone: &str, is_cut: bool) {
        for host in &mut self.hosts {
            if host.entry.zone == zone {
                host.side = usize::from(is_cut);
            }
        }
    }

    /// One host reaches no other any more, or does again.
    pub fn cut_host(&mut self, index: usize, is_cut: bool) {
        self.hosts[index].side = if is_cut { index + 2 } else { 0 };
    }

    /// Hosts are killed; their entries stay. What they knew is gone when they start again.
    pub fn kill(&mut self, killed: impl Iterator<Item = usize>) {
        for index in killed {
            let host = &mut self.hosts[index];
            host.is_up = false;
            host.limits = LimitBook::new(&host.entry.name);
            host.allocator = PermitAllocator::default();
            host.alone = PermitAllocator::default();
            host.owners = PermitOwners::default();
            host.told.clear();
        }
    }

    pub fn start(&mut self, started: impl Iterator<Item = usize>) {
        for index in started {
            self.hosts[index].is_up = true;
        }
    }

    /// The host that allocates permits at a server, as a host of its zone sees it.
    pub fn owner_of(&self, server: usize) -> usize {
        let about = &self.servers[server];
        let entries = self.entries[&about.zone].iter();
        let fresh = PermitOwners::default();
        let owner = fresh.owner(entries, &about.zone, about.key, millis(self.now));
        usize::from(owner.expect("a host").peers.port())
    }

    pub fn run(&mut self, time: u64) {
        let until = self.now + time;
        while self.now < until {
            self.step();
            self.now += STEP;
        }
    }

    fn step(&mut self) {
        let now = self.now;
        self.hear_peers();
        while let Some(entry) = self
            .answers
            .first_entry()
            .filter(|entry| *entry.key() <= now)
        {
            for (host, server, sent) in entry.remove() {
                self.read_answer(host, server, sent);
            }
        }
        while let Some(entry) = self
            .tellings
            .first_entry()
            .filter(|entry| *entry.key() <= now)
        {
            for (from, server, saying) in entry.remove() {
                self.tell(from, server, saying);
            }
        }
        self.due += self.rate * STEP as f64 / 1_000.0;
        while self.due >= 1.0 {
            self.due -= 1.0;
            let host = match self.demand {
                SimDemand::All => self.rng.random_range(0..self.hosts.len()),
                SimDemand::One(host) => host,
                SimDemand::Moving => (now / 1_000) as usize % self.hosts.len(),
            };
            if self.hosts[host].is_up {
                self.request(host);
            }
        }
    }

    // Hosts report to each other twice a second.
    fn hear_peers(&mut self) {
        if !self.now.is_multiple_of(500) {
            return;
        }
        for index in 0..self.hosts.len() {
            let hears =
                (0..self.hosts.len()).any(|other| other != index && self.reaches(index, other));
            if hears {
                self.hosts[index].heard = self.now;
            }
        }
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.hosts[one], &self.hosts[other]);
        one.is_up && other.is_up && one.side == other.side
    }

    fn read_answer(&mut self, host: usize, server: usize, sent: u64) {
        let limit = self.servers[server].limit.and_then(ServerLimit::new);
        let key = self.servers[server].key;
        let now = millis(self.now);
        if !self.hosts[host].is_up {
            return;
        }
        let saying = LimitSaying::told(limit, millis(self.now - sent), now);
        let was = self.hosts[host].limits.limit(key);
        self.hosts[host].limits.take(key, saying, now);
        self.mark_own(host, server);
        if limit.is_some() {
            self.servers[server].first_named.get_or_insert(self.now);
            self.hosts[host].told.entry(server).or_insert(self.now);
        }
        if was.is_some() == limit.is_some() {
            return;
        }
        if self.is_telling {
            let at = self.now + TELL_TIME;
            self.tellings
                .entry(at)
                .or_default()
                .push((host, server, saying));
        }
        if limit.is_none() {
            let ask = PermitRequest {
                server: key,
                saying,
                wanted: 0,
                rank: u8::MAX,
            };
            self.deal(host, server, &ask);
        }
    }

    fn tell(&mut self, from: usize, server: usize, saying: LimitSaying) {
        let key = self.servers[server].key;
        for index in 0..self.hosts.len() {
            if self.reaches(from, index) {
                self.hosts[index].limits.take(key, saying, millis(self.now));
                self.mark_own(index, server);
            }
        }
    }

    fn mark_own(&mut self, host: usize, server: usize) {
        let key = self.servers[server].key;
        // Hosts of other zones than the server's keep none there.
        let is_near = self.hosts[host].entry.zone == self.servers[server].zone;
        let is_own = is_near && self.owner_seen_by(host, server) == Some(host);
        self.hosts[host].limits.set_own(key, is_own);
    }

    // As a host does: servers one after the other until one has a permit for it.
    fn request(&mut self, host: usize) {
        let mut tried = Vec::new();
        for _ in 0..SERVERS_TRIED {
            let server = self.draw_server(host, &tried);
            let Some(server) = server else { break };
            tried.push(server);
            if self.take_permit(host, server) {
                self.send(host, server);
                return;
            }
        }
        self.counts.held_back += 1;
    }

    // Servers of the own zone first, those without a limit, then in the host's own order.
    fn draw_server(&mut self, host: usize, tried: &[usize]) -> Option<usize> {
        let zone = self.hosts[host].entry.zone.clone();
        let near = self.zone_servers.get(&zone).cloned().unwrap_or_default();
        if let Some(server) = self.best_server(host, &near, tried) {
            return Some(server);
        }
        let all: Vec<usize> = (0..self.servers.len()).collect();
        self.best_server(host, &all, tried)
    }

    fn best_server(&mut self, host: usize, among: &[usize], tried: &[usize]) -> Option<usize> {
        let now = millis(self.now);
        let limits = &self.hosts[host].limits;
        let noise = self.rng.random_range(0..self.servers.len());
        let left = among.iter().filter(|index| {
            let key = self.servers[**index].key;
            let is_empty = matches!(limits.permit(key, 1, now), PermitState::Empty(_));
            !tried.contains(index) && !is_empty
        });
        let best = left.min_by_key(|index| {
            let drawn = (**index + noise) % self.servers.len();
            (limits.order(self.servers[**index].key, now), drawn)
        });
        best.copied()
    }

    fn take_permit(&mut self, host: usize, server: usize) -> bool {
        let key = self.servers[server].key;
        let now = millis(self.now);
        match self.hosts[host].limits.permit(key, 1, now) {
            PermitState::Free => return true,
            PermitState::Held => return self.hosts[host].limits.use_permit(key, now),
            PermitState::Empty(_) => return false,
            PermitState::Ask => {}
        }
        let ask = self.hosts[host]
            .limits
            .ask(key, 1, now)
            .expect("rate-limited");
        let grant = self.deal(host, server, &ask);
        let limits = &mut self.hosts[host].limits;
        limits.take(key, grant.saying, now);
        limits.take_grant(key, 1, &grant, now);
        match limits.permit(key, 1, now) {
            PermitState::Free => true,
            _ => limits.use_permit(key, now),
        }
    }

    fn deal(&mut self, host: usize, server: usize, ask: &PermitRequest) -> PermitGrant {
        let now = millis(self.now);
        for _ in 0..OWNERS_ASKED {
            let Some(owner) = self.owner_seen_by(host, server) else {
                break;
            };
            if owner == host {
                let is_in_touch = self.now - self.hosts[host].heard < 2_000;
                if is_in_touch || self.others_left(host) == 0 {
                    return self.deal_to_all(host, ask);
                }
                break;
            }
            if !self.hosts[host].owners.may_ask(now) {
                return PermitGrant {
                    permits: 0,
                    wait: millis(500),
                    saying: ask.saying,
                };
            }
            self.counts.asks += 1;
            self.answered[owner] += 1;
            if self.reaches(host, owner) {
                let grant = self.answer(owner, server, ask);
                let name = self.hosts[owner].entry.name.clone();
                let owners = &mut self.hosts[host].owners;
                owners.note_heard(&name);
                if grant.permits == 0 && ask.wanted > 0 {
                    owners.note_denied();
                }
                return grant;
            }
            self.note_silent(host, owner);
        }
        let hosts = self.others_left(host) + 1;
        let level = self.rng.random();
        self.hosts[host]
            .alone
            .allocate_alone(ask, hosts, level, now)
    }

    fn owner_seen_by(&self, host: usize, server: usize) -> Option<usize> {
        let about = &self.servers[server];
        let entries = self.entries[&about.zone].iter();
        let owners = &self.hosts[host].owners;
        let owner = owners.owner(entries, &about.zone, about.key, millis(self.now))?;
        Some(usize::from(owner.peers.port()))
    }

    // A host that is taken for the owner passes the question on where it knows another.
    fn answer(&mut self, host: usize, server: usize, ask: &PermitRequest) -> PermitGrant {
        let other = self
            .owner_seen_by(host, server)
            .filter(|owner| *owner != host);
        let Some(owner) = other else {
            return self.deal_to_all(host, ask);
        };
        self.counts.asks += 1;
        self.answered[owner] += 1;
        let name = self.hosts[owner].entry.name.clone();
        if self.reaches(host, owner) {
            self.hosts[host].owners.note_heard(&name);
            return self.deal_to_all(owner, ask);
        }
        self.note_silent(host, owner);
        self.deal_to_all(host, ask)
    }

    fn deal_to_all(&mut self, host: usize, ask: &PermitRequest) -> PermitGrant {
        let now = millis(self.now);
        let host = &mut self.hosts[host];
        let grant = host.allocator.deal(ask, now);
        if host.limits.limit(ask.server).is_some() {
            host.limits.take(ask.server, grant.saying, now);
        }
        grant
    }

    fn others_left(&self, host: usize) -> usize {
        (self.hosts.len() - 1).saturating_sub(self.hosts[host].owners.gone())
    }

    // Nobody listens at a killed host's address; behind a cut nothing is heard.
    fn note_silent(&mut self, host: usize, owner: usize) {
        let other = &self.hosts[owner];
        let is_gone = !other.is_up && other.side == self.hosts[host].side;
        let name = other.entry.name.clone();
        let now = millis(self.now);
        self.hosts[host].owners.note_silent(&name, is_gone, now);
    }

    fn send(&mut self, host: usize, server: usize) {
        let now = self.now;
        self.counts.sent += 1;
        let told = self.hosts[host].told.get(&server).copied();
        let at = &mut self.servers[server];
        at.arrived += 1;
        let counts = at.first_named.is_some_and(|first| now >= first + CONTACT);
        if counts && told.is_some_and(|told| now >= told + TOLD) {
            at.counted.push(now);
        }
        let answers = self.answers.entry(now + ANSWER_TIME).or_default();
        answers.push((host, server, now));
    }

    /// The most that any server got in a window beyond what it takes, as a part of what it allows: over 1 breaks the bound.
    pub fn worst(&self, limit: f64) -> f64 {
        let allowed = 1.5 * limit * WINDOW as f64 / 1_000.0 + 5.0;
        let servers = self.servers.iter();
        let most = servers.map(|server| most_in_window(&server.counted));
        most.max().unwrap_or_default() as f64 / allowed
    }

    /// Forgets what was counted.
    pub fn forget_counts(&mut self) {
        self.counts = SimCounts::default();
        self.answered.fill(0);
        for server in &mut self.servers {
            server.counted.clear();
            server.arrived = 0;
        }
    }

    /// Questions that the busiest host answered.
    pub fn most_answered(&self) -> u64 {
        self.answered.iter().copied().max().unwrap_or_default()
    }
}

fn most_in_window(times: &[u64]) -> usize {
    let mut from = 0;
    let mut most = 0;
    for (until, time) in times.iter().enumerate() {
        while *time >= times[from] + WINDOW {
            from += 1;
        }
        most = most.max(until + 1 - from);
    }
    most
}
