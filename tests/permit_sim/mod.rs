//! Simulates hundreds of hosts in front of rate-limited servers, on a virtual clock.
//!
//! Limits, permit allocation and owner selection use the production code; demand, network and faults are simulated
//! here. Requests are counted at the servers, in the same way as operators count them.

mod cold;

use {
    bayplank::relay::{
        ColdLimit, EngineKey, HostEntry, LimitTracker, PermitAllocator, PermitGrant, PermitOwners,
        PermitRequest, PermitState, ReportedLimit, ServerLimit,
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Length of a step in milliseconds. All times are in milliseconds.
const STEP: u64 = 5;
/// Time from sending a request until the server's response is read.
const RESPONSE_TIME: u64 = 30;
/// Time until an update about a rate-limited server reaches all reachable hosts.
const UPDATE_TIME: u64 = 400;
/// Maximum number of owners asked for a permit, and of servers tried per request.
const OWNERS_ASKED: usize = 2;
const SERVERS_TRIED: usize = 4;
/// Operators' rules: how long after a server first stated a limit it must be kept, how long after a host's first
/// response with a limit its requests count, and the window in which requests are counted.
const SERVER_GRACE: u64 = 3_000;
const HOST_GRACE: u64 = 500;
const WINDOW: u64 = 4_000;

/// How requests are distributed between hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SimDemand {
    /// Evenly to all hosts.
    All,
    /// All to one host.
    One(usize),
    /// All to one host at a time, the next one each second.
    Moving,
}

struct SimHost {
    entry: HostEntry,
    is_up: bool,
    // Only hosts with the same number reach each other.
    partition: usize,
    last_heard: u64,
    limits: LimitTracker,
    allocator: PermitAllocator,
    isolated: PermitAllocator,
    owners: PermitOwners,
    // When the host first read a response with a limit, by server.
    first_response: BTreeMap<usize, u64>,
}

struct SimServer {
    key: EngineKey,
    zone: FastStr,
    limit: Option<f64>,
    first_limited: Option<u64>,
    // The rate while it is cold, and when that ends.
    cold: Option<(f64, u64)>,
    // The times of the requests that arrived while it was cold, from hosts that knew it.
    cold_arrivals: Vec<u64>,
    // The times of the requests that count against the limit.
    counted: Vec<u64>,
    arrived: u64,
}

/// Counts of requests by outcome, and of permit requests between hosts.
#[derive(Debug, Default, Clone, Copy)]
pub struct SimCounts {
    pub sent: u64,
    pub rejected: u64,
    pub permit_requests: u64,
}

/// A simulated fleet.
pub struct PermitSim {
    pub now: u64,
    hosts: Vec<SimHost>,
    servers: Vec<SimServer>,
    // The host entries and the servers of each zone.
    entries: BTreeMap<FastStr, Vec<HostEntry>>,
    zone_servers: BTreeMap<FastStr, Vec<usize>>,
    pub demand: SimDemand,
    // Requests a second to the whole fleet.
    pub rate: f64,
    // Whether hosts send each other updates about rate-limited servers.
    pub sends_updates: bool,
    // Whether requests at a cold server count even if their host did not know that it was cold.
    pub counts_unknown: bool,
    responses: BTreeMap<u64, Vec<(usize, usize, u64)>>,
    updates: BTreeMap<u64, Vec<(usize, usize, ReportedLimit)>>,
    // When hosts' lists of servers change, and the pairs of hosts and servers that a host's list lacks.
    lists: BTreeMap<u64, Vec<(usize, usize)>>,
    unlisted: BTreeSet<(usize, usize)>,
    due: f64,
    rng: StdRng,
    pub counts: SimCounts,
    handled: Vec<u64>,
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
                software: Vec::new(),
                name: FastStr::from_string(format!("host-{index}")),
                zone: zone(index),
                peers: ([127, 0, 0, 1], index as u16).into(),
                link_mbps: 0,
                carrier_port: 0,
            },
            is_up: true,
            partition: 0,
            last_heard: 0,
            limits: LimitTracker::new(&format!("host-{index}")),
            allocator: PermitAllocator::default(),
            isolated: PermitAllocator::default(),
            owners: PermitOwners::default(),
            first_response: BTreeMap::new(),
        };
        let server = |index: usize| SimServer {
            key: EngineKey::of(&format!("server-{index}")),
            zone: zone(index),
            limit,
            first_limited: None,
            cold: None,
            cold_arrivals: Vec::new(),
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
            handled: vec![0; hosts.len()],
            hosts,
            servers,
            entries,
            zone_servers,
            demand: SimDemand::All,
            rate: 0.0,
            sends_updates: true,
            counts_unknown: true,
            responses: BTreeMap::new(),
            updates: BTreeMap::new(),
            lists: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            due: 0.0,
            rng: StdRng::seed_from_u64(seed),
            counts: SimCounts::default(),
        }
    }

    pub fn set_limit(&mut self, server: usize, limit: Option<f64>) {
        self.servers[server].limit = limit;
    }

    /// The number of requests that a server got so far.
    pub fn arrived(&self, server: usize) -> u64 {
        self.servers[server].arrived
    }

    /// Partitions the hosts of a zone from all others, or reconnects them.
    pub fn partition_zone(&mut self, zone: &str, is_partitioned: bool) {
        for host in &mut self.hosts {
            if host.entry.zone == zone {
                host.partition = usize::from(is_partitioned);
            }
        }
    }

    /// Partitions one host from all others, or reconnects it.
    pub fn partition_host(&mut self, index: usize, is_partitioned: bool) {
        self.hosts[index].partition = if is_partitioned { index + 2 } else { 0 };
    }

    /// Kills hosts. Their entries stay listed, and their state is lost.
    pub fn kill(&mut self, killed: impl Iterator<Item = usize>) {
        for index in killed {
            let host = &mut self.hosts[index];
            host.is_up = false;
            host.limits = LimitTracker::new(&host.entry.name);
            host.allocator = PermitAllocator::default();
            host.isolated = PermitAllocator::default();
            host.owners = PermitOwners::default();
            host.first_response.clear();
        }
    }

    /// Starts hosts. They read the list at once.
    pub fn start(&mut self, started: impl Iterator<Item = usize>) {
        for index in started {
            self.hosts[index].is_up = true;
            for server in 0..self.servers.len() {
                self.list_server(index, server);
            }
        }
    }

    /// The owner of a server's permits from the view of a new host in its zone.
    pub fn owner_of(&self, server: usize) -> usize {
        let target = &self.servers[server];
        let entries = self.entries[&target.zone].iter();
        let owners = PermitOwners::default();
        let owner = owners.owner(entries, &target.zone, target.key, millis(self.now));
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
        self.receive_reports();
        while let Some(entry) = self
            .responses
            .first_entry()
            .filter(|entry| *entry.key() <= now)
        {
            for (host, server, sent) in entry.remove() {
                self.read_response(host, server, sent);
            }
        }
        while let Some(entry) = self
            .updates
            .first_entry()
            .filter(|entry| *entry.key() <= now)
        {
            for (from, server, reported) in entry.remove() {
                self.deliver_update(from, server, reported);
            }
        }
        while let Some(entry) = self.lists.first_entry().filter(|entry| *entry.key() <= now) {
            for (host, server) in entry.remove() {
                self.list_server(host, server);
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

    // Hosts report to each other every 500 ms.
    fn receive_reports(&mut self) {
        if !self.now.is_multiple_of(500) {
            return;
        }
        for index in 0..self.hosts.len() {
            let is_reached =
                (0..self.hosts.len()).any(|other| other != index && self.reaches(index, other));
            if is_reached {
                let host = &mut self.hosts[index];
                if self.now - host.last_heard >= 2_000 {
                    host.allocator.contact_restored(millis(self.now));
                }
                self.hosts[index].last_heard = self.now;
            }
        }
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.hosts[one], &self.hosts[other]);
        one.is_up && other.is_up && one.partition == other.partition
    }

    fn read_response(&mut self, host: usize, server: usize, sent: u64) {
        let limit = self.servers[server].limit.and_then(ServerLimit::new);
        let key = self.servers[server].key;
        let now = millis(self.now);
        if !self.hosts[host].is_up {
            return;
        }
        let reported = ReportedLimit::from_age(limit, millis(self.now - sent), now);
        let was = self.hosts[host].limits.limit(key);
        self.hosts[host].limits.update(key, reported, now);
        self.mark_own(host, server);
        if limit.is_some() {
            self.servers[server].first_limited.get_or_insert(self.now);
            self.hosts[host]
                .first_response
                .entry(server)
                .or_insert(self.now);
        }
        if was.is_some() == limit.is_some() {
            return;
        }
        if self.sends_updates {
            let at = self.now + UPDATE_TIME;
            self.updates
                .entry(at)
                .or_default()
                .push((host, server, reported));
        }
        if limit.is_none() {
            let request = PermitRequest {
                server: key,
                reported,
                cold: self.hosts[host].limits.cold(key, now),
                wanted: 0,
                rank: u8::MAX,
            };
            self.request_permits(host, server, &request);
        }
    }

    fn deliver_update(&mut self, from: usize, server: usize, reported: ReportedLimit) {
        let key = self.servers[server].key;
        for index in 0..self.hosts.len() {
            if self.reaches(from, index) {
                self.hosts[index]
                    .limits
                    .update(key, reported, millis(self.now));
                self.mark_own(index, server);
            }
        }
    }

    fn mark_own(&mut self, host: usize, server: usize) {
        let key = self.servers[server].key;
        // Only hosts of the server's zone can be the owner.
        let is_near = self.hosts[host].entry.zone == self.servers[server].zone;
        let is_own = is_near && self.owner_seen_by(host, server) == Some(host);
        self.hosts[host].limits.set_own(key, is_own);
    }

    // Like a host, tries servers one after the other until one has a permit for the request.
    fn request(&mut self, host: usize) {
        let mut tried = Vec::new();
        for _ in 0..SERVERS_TRIED {
            let server = self.select_server(host, &tried);
            let Some(server) = server else { break };
            tried.push(server);
            if self.take_permit(host, server) {
                self.send(host, server);
                return;
            }
        }
        self.counts.rejected += 1;
    }

    // Prefers servers of the host's own zone. Within a zone, servers without a limit come first, then the others in the
    // host's own order.
    fn select_server(&mut self, host: usize, tried: &[usize]) -> Option<usize> {
        let zone = self.hosts[host].entry.zone.clone();
        let near = self.zone_servers.get(&zone).cloned().unwrap_or_default();
        if let Some(server) = self.best_server(host, &near, tried, false) {
            return Some(server);
        }
        let all: Vec<usize> = (0..self.servers.len()).collect();
        let warm = self.best_server(host, &all, tried, false);
        warm.or_else(|| self.best_server(host, &near, tried, true))
            .or_else(|| self.best_server(host, &all, tried, true))
    }

    // Chooses among the warm or the cold servers.
    fn best_server(
        &mut self,
        host: usize,
        among: &[usize],
        tried: &[usize],
        is_cold: bool,
    ) -> Option<usize> {
        let now = millis(self.now);
        let limits = &self.hosts[host].limits;
        let offset = self.rng.random_range(0..self.servers.len());
        let candidates = among.iter().filter(|index| {
            let key = self.servers[**index].key;
            let is_empty = matches!(limits.permit(key, 1, now), PermitState::Denied(_));
            let is_listed = !self.unlisted.contains(&(host, **index));
            let is_sought = limits.is_cold(key, now) == is_cold;
            is_listed && is_sought && !tried.contains(index) && !is_empty
        });
        let best = candidates.min_by_key(|index| {
            let tie_break = (**index + offset) % self.servers.len();
            (limits.order(self.servers[**index].key, now), tie_break)
        });
        best.copied()
    }

    fn take_permit(&mut self, host: usize, server: usize) -> bool {
        let key = self.servers[server].key;
        let now = millis(self.now);
        match self.hosts[host].limits.permit(key, 1, now) {
            PermitState::Unlimited => return true,
            PermitState::Held => return self.hosts[host].limits.use_permit(key, now),
            PermitState::Denied(_) => return false,
            PermitState::MustRequest => {}
        }
        let request = self.hosts[host]
            .limits
            .permit_request(key, 1, now)
            .expect("rate-limited");
        let grant = self.request_permits(host, server, &request);
        let limits = &mut self.hosts[host].limits;
        limits.update(key, grant.reported, now);
        if let Some(cold) = grant.cold {
            limits.learn_cold(key, cold, now);
        }
        limits.apply_grant(key, 1, &grant, now);
        match limits.permit(key, 1, now) {
            PermitState::Unlimited => true,
            _ => limits.use_permit(key, now),
        }
    }

    fn request_permits(
        &mut self,
        host: usize,
        server: usize,
        request: &PermitRequest,
    ) -> PermitGrant {
        let now = millis(self.now);
        for _ in 0..OWNERS_ASKED {
            let Some(owner) = self.owner_seen_by(host, server) else {
                break;
            };
            if owner == host {
                let is_in_touch = self.now - self.hosts[host].last_heard < 2_000;
                if is_in_touch || self.peers_not_gone(host) == 0 {
                    return self.allocate_as_owner(host, request);
                }
                break;
            }
            if !self.hosts[host].owners.may_request(now) {
                return PermitGrant {
                    permits: 0,
                    wait: millis(500),
                    reported: request.reported,
                    cold: request.cold,
                };
            }
            self.counts.permit_requests += 1;
            self.handled[owner] += 1;
            if self.reaches(host, owner) {
                let grant = self.handle_permit_request(owner, server, request);
                let name = self.hosts[owner].entry.name.clone();
                let owners = &mut self.hosts[host].owners;
                owners.record_response(&name);
                if grant.permits == 0 && request.wanted > 0 {
                    owners.record_denial();
                }
                return grant;
            }
            self.note_silent(host, owner);
        }
        let hosts = self.peers_not_gone(host) + 1;
        let level = self.rng.random();
        self.hosts[host]
            .isolated
            .allocate_isolated(request, hosts, level, now)
    }

    fn owner_seen_by(&self, host: usize, server: usize) -> Option<usize> {
        let target = &self.servers[server];
        let entries = self.entries[&target.zone].iter();
        let owners = &self.hosts[host].owners;
        let owner = owners.owner(entries, &target.zone, target.key, millis(self.now))?;
        Some(usize::from(owner.peers.port()))
    }

    // A host that is asked for permits forwards the request if it considers another host to be the owner.
    fn handle_permit_request(
        &mut self,
        host: usize,
        server: usize,
        request: &PermitRequest,
    ) -> PermitGrant {
        let other = self
            .owner_seen_by(host, server)
            .filter(|owner| *owner != host);
        let Some(owner) = other else {
            return self.allocate_as_owner(host, request);
        };
        self.counts.permit_requests += 1;
        self.handled[owner] += 1;
        let name = self.hosts[owner].entry.name.clone();
        if self.reaches(host, owner) {
            self.hosts[host].owners.record_response(&name);
            return self.allocate_as_owner(owner, request);
        }
        self.note_silent(host, owner);
        self.allocate_as_owner(host, request)
    }

    fn allocate_as_owner(&mut self, host: usize, request: &PermitRequest) -> PermitGrant {
        let now = millis(self.now);
        let host = &mut self.hosts[host];
        if let Some(cold) = request.cold {
            host.limits.learn_cold(request.server, cold, now);
        }
        let known = host.limits.cold(request.server, now);
        let request = &PermitRequest {
            cold: ColdLimit::later(known, request.cold),
            ..*request
        };
        let grant = host.allocator.allocate(request, now);
        if host.limits.limit(request.server).is_some() {
            host.limits.update(request.server, grant.reported, now);
        }
        grant
    }

    fn peers_not_gone(&self, host: usize) -> usize {
        (self.hosts.len() - 1).saturating_sub(self.hosts[host].owners.down_count())
    }

    // A killed host refuses the connection; across a partition, requests time out.
    fn note_silent(&mut self, host: usize, owner: usize) {
        let other = &self.hosts[owner];
        let is_gone = !other.is_up && other.partition == self.hosts[host].partition;
        let name = other.entry.name.clone();
        let now = millis(self.now);
        self.hosts[host]
            .owners
            .record_no_response(&name, is_gone, now);
    }

    fn send(&mut self, host: usize, server: usize) {
        let now = self.now;
        self.counts.sent += 1;
        let first_response = self.hosts[host].first_response.get(&server).copied();
        let key = self.servers[server].key;
        let knows_cold = self.hosts[host].limits.is_cold(key, millis(now));
        let at = &mut self.servers[server];
        at.arrived += 1;
        let is_cold = at.cold.is_some_and(|(_, until)| now < until);
        if is_cold && (knows_cold || self.counts_unknown) {
            at.cold_arrivals.push(now);
        }
        let counts = at
            .first_limited
            .is_some_and(|first| now >= first + SERVER_GRACE);
        if counts && first_response.is_some_and(|first| now >= first + HOST_GRACE) {
            at.counted.push(now);
        }
        let responses = self.responses.entry(now + RESPONSE_TIME).or_default();
        responses.push((host, server, now));
    }

    /// The highest number of requests that any server got in a window, relative to the number allowed. A value above 1
    /// violates the limit.
    pub fn worst_ratio(&self, limit: f64) -> f64 {
        let allowed = 1.5 * limit * WINDOW as f64 / 1_000.0 + 5.0;
        let servers = self.servers.iter();
        let most = servers.map(|server| most_in_window(&server.counted, WINDOW));
        most.max().unwrap_or_default() as f64 / allowed
    }

    /// Resets all counts.
    pub fn forget_counts(&mut self) {
        self.counts = SimCounts::default();
        self.handled.fill(0);
        for server in &mut self.servers {
            server.counted.clear();
            server.cold_arrivals.clear();
            server.arrived = 0;
        }
    }

    /// The number of permit requests handled by the busiest host.
    pub fn most_handled(&self) -> u64 {
        self.handled.iter().copied().max().unwrap_or_default()
    }
}

fn most_in_window(times: &[u64], window: u64) -> usize {
    let mut from = 0;
    let mut most = 0;
    for (until, time) in times.iter().enumerate() {
        while *time >= times[from] + window {
            from += 1;
        }
        most = most.max(until + 1 - from);
    }
    most
}
