//! A play of plain requests of many hosts to a few servers, on a given clock. Hosts use the product's decisions; servers,
//! callers and the way between them are a few lines.

use {
    bayplank::relay::{
        CONTENDED_TTL, ContendedServers, EngineKey, IsolatedPlaces, MAX_PLACE_WAIT, PlaceAllocator,
        PlaceAnswer, PlaceChoice, PlaceEnd, PlaceOutcome, PlaceRequest, PlaceReturn,
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::Duration,
    },
};

pub const SLOTS: usize = 6;
pub const QUEUE: usize = 24;
pub const SERVICE: u64 = 30_000;
const ROUTE: FastStr = FastStr::from_static_str("look");

/// One way between machines, and the time after which places are given back; all times in microseconds.
const LINK: u64 = 1_000;
const GIVE_BACK: u64 = 4_000;
const FINDINGS: u64 = 15_000;
/// How often owners tell all hosts with the findings which servers are still contended.
const RENEWAL: u64 = 3_000_000;
const OWNER_TIMEOUT: u64 = 80_000;
/// Probability that a lossy link loses a message, and the shortest time after which it is sent again, which doubles.
const LOSS: f64 = 0.3;
const RESEND: u64 = 200_000;
/// As hosts eject servers: requests without an answer in a row, the first time for which no other is sent, and the longest.
const FAILURES_TO_EJECT: u32 = 2;
const EJECT_FIRST: u64 = 500_000;
const EJECT_MAX: u64 = 4_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Ask(usize, usize, bool, usize),
    Told(usize, usize, Option<u64>, u64, u64, usize),
    Unanswered(usize, usize),
    Send(usize, usize),
    Ran(usize, usize),
    Answered(usize, usize, u64),
    Declined(usize, usize),
    Lost(usize, usize),
    GiveBack(usize, usize, u64, Option<u64>),
    Advance(usize, usize),
    Learned(usize),
    Renew,
}

/// A caller's request.
#[derive(Debug, Clone, Default)]
pub struct Call {
    pub arrived: u64,
    pub came_back: Option<u64>,
    pub target: u64,
    pub budget: u64,
    pub priority: u8,
    pub host: usize,
    pub answered: Option<u64>,
    pub refused: Option<(u64, u64)>,
    pub runs: u32,
    tried: Vec<usize>,
    asked: u32,
    asked_at: u64,
    sent: u64,
    shortest: u64,
    held: Option<(usize, usize, u64)>,
    held_since: u64,
}

#[derive(Debug, Default)]
pub struct Server {
    pub is_gone: bool,
    running: usize,
    queued: Vec<usize>,
    pub most: usize,
    pub sends: u64,
    pub declines: u64,
}

// An owner that the hosts from this one on do not reach.
#[derive(Debug, Clone, Copy)]
struct LostOwner {
    first_host: usize,
    // Connections to it are refused.
    is_killed: bool,
}

/// Which owner each host asks: the index into the allocators; `None` if it reaches none.
type Owner = Option<usize>;

pub struct Play {
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    rng: StdRng,
    pub servers: Vec<Server>,
    hosts: Vec<(ContendedServers, IsolatedPlaces, Vec<usize>)>,
    owners: Vec<PlaceAllocator>,
    pub owner_of: Vec<Owner>,
    // Owners that some hosts do not reach.
    lost: BTreeMap<usize, LostOwner>,
    /// Longest time after which a request was sent or refused.
    pub longest_stall: u64,
    pub calls: Vec<Call>,
    pub messages: u64,
    pub uses_places: bool,
    /// Whether requests differ in their work, of which the mean is the same.
    pub has_uneven_work: bool,
    /// Hosts whose links to the servers lose packets: those before this one.
    pub lossy_hosts: usize,
    /// Hosts whose requests are lost on the way to the servers: those before this one.
    pub cut_hosts: usize,
    // Lost requests of a host at a server in a row, and until when it sends no other.
    ejections: BTreeMap<(usize, usize), (u32, u64)>,
    tickets: BTreeMap<(usize, u64), (usize, usize)>,
    // The next time at which an owner decides again about a server.
    planned: BTreeMap<(usize, usize), u64>,
}

fn time(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

fn key(server: usize) -> EngineKey {
    EngineKey(server as u32 + 1)
}

impl Play {
    pub fn new(hosts: usize, servers: usize, seed: u64) -> Self {
        Self {
            now: 0,
            events: BinaryHeap::from([Reverse((RENEWAL, 0, Event::Renew))]),
            count: 0,
            rng: StdRng::seed_from_u64(seed),
            servers: (0..servers).map(|_| Server::default()).collect(),
            hosts: (0..hosts)
                .map(|_| (Default::default(), Default::default(), vec![0; servers]))
                .collect(),
            owners: (0..2)
                .map(|index| PlaceAllocator::new(index << 60 | seed))
                .collect(),
            owner_of: vec![Some(0); hosts],
            lost: BTreeMap::new(),
            longest_stall: 0,
            calls: Vec::new(),
            messages: 0,
            uses_places: true,
            has_uneven_work: false,
            lossy_hosts: 0,
            cut_hosts: 0,
            ejections: BTreeMap::new(),
            tickets: BTreeMap::new(),
            planned: BTreeMap::new(),
        }
    }

    /// Adds requests at a rate per second between two times, at hosts with uneven shares.
    pub fn demand(&mut self, per_second: f64, from: u64, to: u64) {
        let hosts = self.hosts.len() as f64;
        let mut at = from as f64;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() * 1e6 / per_second;
            if at >= to as f64 {
                return;
            }
            let repeatable = self.rng.random_bool(0.4);
            let host = (self.rng.random::<f64>().powi(2) * hosts) as usize;
            let call = Call {
                arrived: at as u64,
                target: if repeatable { 150_000 } else { 200_000 },
                budget: if repeatable { 1_000_000 } else { 1_200_000 },
                priority: if self.rng.random_bool(0.2) { 0 } else { 2 },
                host,
                ..Call::default()
            };
            self.calls.push(call);
            self.at(at as u64, Event::Arrive(self.calls.len() - 1));
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                return;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.place(call),
            Event::Ask(call, server, may_wait, owner) => self.ask(call, server, may_wait, owner),
            Event::Told(call, server, lease, wait, contended, owner) => {
                self.told(call, server, lease, wait, contended, owner)
            }
            Event::Unanswered(call, server) => self.unanswered(call, server),
            Event::Send(call, server) => self.receive(call, server),
            Event::Ran(call, server) => self.ran(call, server),
            Event::Answered(call, server, took) => self.answered(call, server, took),
            Event::Declined(call, server) => self.declined(call, server),
            Event::Lost(call, server) => self.lose(call, server),
            Event::GiveBack(owner, server, lease, took) => {
                self.messages += 1;
                let end = took.map_or(PlaceEnd::Unused, |took| PlaceEnd::Answered(time(took)));
                let returned = PlaceReturn {
                    server: key(server),
                    lease,
                    end,
                };
                self.owners[owner].give_back(&returned, time(self.now));
                self.advance(owner, server);
            }
            Event::Advance(owner, server) => self.advance(owner, server),
            Event::Renew => self.renew(),
            Event::Learned(server) => {
                let now = time(self.now);
                for (contended, ..) in &mut self.hosts {
                    contended.note_contended(key(server), CONTENDED_TTL, now);
                }
            }
        }
    }

    fn renew(&mut self) {
        let owners = self.owners.iter();
        let contended = owners.flat_map(|owner| owner.contended(time(self.now)));
        let servers: Vec<usize> = contended.map(|(key, _)| key.0 as usize - 1).collect();
        for server in servers {
            self.at(self.now + FINDINGS, Event::Learned(server));
        }
        self.at(self.now + RENEWAL, Event::Renew);
    }

    fn ranked(&self, call: &Call) -> Vec<usize> {
        let (.., in_flight) = &self.hosts[call.host];
        let servers = 0..self.servers.len();
        let usable = servers.filter(|id| !self.servers[*id].is_gone && !call.tried.contains(id));
        let usable = usable.filter(|id| !self.is_ejected(call.host, *id));
        let mut ranked: Vec<usize> = usable.collect();
        ranked.sort_by_key(|id| (in_flight[*id], (id + call.host) % self.servers.len()));
        ranked
    }

    fn place(&mut self, id: usize) {
        let call = &self.calls[id];
        let (host, ranked) = (call.host, self.ranked(call));
        let keys: Vec<EngineKey> = ranked.iter().map(|id| key(*id)).collect();
        let choice = match self.uses_places {
            true => self.hosts[host].0.choose(&keys, time(self.now)),
            false => (!ranked.is_empty()).then_some(PlaceChoice::Send(0)),
        };
        match choice {
            None => self.refuse(id),
            Some(PlaceChoice::Send(index)) => self.send(id, ranked[index]),
            Some(PlaceChoice::Request { .. }) if call.asked == 2 => self.refuse(id),
            Some(PlaceChoice::Request { index, may_wait }) => {
                self.calls[id].asked += 1;
                self.request(id, ranked[index], may_wait);
            }
        }
    }

    fn request(&mut self, id: usize, server: usize, may_wait: bool) {
        let Some(owner) = self.owner_of[self.calls[id].host] else {
            return self.use_share(id, server);
        };
        self.messages += 1;
        self.calls[id].asked_at = self.now;
        match self.lost_owner(owner, self.calls[id].host) {
            None => self.at(self.now + LINK, Event::Ask(id, server, may_wait, owner)),
            Some(lost) => self.time_out(id, server, may_wait, lost),
        }
    }

    fn lost_owner(&self, owner: usize, host: usize) -> Option<LostOwner> {
        let lost = self.lost.get(&owner).copied();
        lost.filter(|lost| host >= lost.first_host)
    }

    fn time_out(&mut self, id: usize, server: usize, may_wait: bool, lost: LostOwner) {
        let wait = match may_wait {
            true => MAX_PLACE_WAIT.as_micros() as u64,
            false => 0,
        };
        let at = match lost.is_killed {
            true => self.now + 2 * LINK,
            false => self.calls[id].asked_at + wait + OWNER_TIMEOUT,
        };
        self.at(at, Event::Unanswered(id, server));
    }

    /// Kills an owner, or cuts it off from the hosts from this one on.
    pub fn lose_owner(&mut self, owner: usize, first_host: usize, is_killed: bool) {
        let lost = LostOwner {
            first_host,
            is_killed,
        };
        self.lost.insert(owner, lost);
        let tickets = self.tickets.clone();
        for ((waited, ticket), (id, server)) in tickets {
            if waited == owner && self.calls[id].host >= first_host {
                self.tickets.remove(&(waited, ticket));
                self.time_out(id, server, true, lost);
            }
        }
    }

    // The host takes the next owner, and the one after that for lost too.
    fn unanswered(&mut self, id: usize, server: usize) {
        let host = self.calls[id].host;
        if self.owner_of[host] == Some(0) {
            self.owner_of[host] = Some(1);
        }
        self.request(id, server, false);
    }

    fn place_request(&self, id: usize, server: usize, may_wait: bool) -> PlaceRequest {
        let call = &self.calls[id];
        let age = self.now - call.came_back.unwrap_or(call.arrived);
        PlaceRequest {
            server: key(server),
            slots: SLOTS as u32,
            priority: call.priority,
            in_time: time(call.target.saturating_sub(age)),
            time_left: time(call.budget.saturating_sub(self.now - call.arrived)),
            service_time: self.hosts[call.host].0.service_time(key(server), &ROUTE),
            may_wait,
        }
    }

    fn use_share(&mut self, id: usize, server: usize) {
        let request = self.place_request(id, server, false);
        let (level, hosts) = (self.rng.random(), self.hosts.len());
        let isolated = &mut self.hosts[self.calls[id].host].1;
        let taken = isolated.take(&request, hosts, level, time(self.now));
        let wait = taken.err().unwrap_or_default();
        let host = &mut self.hosts[self.calls[id].host].0;
        host.note_answer(key(server), CONTENDED_TTL, wait, time(self.now));
        match taken {
            Ok(()) => self.send(id, server),
            Err(wait) => {
                self.calls[id].shortest = wait.as_micros() as u64;
                self.calls[id].tried.push(server);
                self.place(id);
            }
        }
    }

    fn ask(&mut self, id: usize, server: usize, may_wait: bool, owner: usize) {
        if let Some(lost) = self.lost_owner(owner, self.calls[id].host) {
            return self.time_out(id, server, may_wait, lost);
        }
        let request = self.place_request(id, server, may_wait);
        match self.owners[owner].request(&request, time(self.now)) {
            PlaceOutcome::Answered(answer) => self.tell(id, server, answer, owner),
            PlaceOutcome::Waiting(ticket) => {
                self.tickets.insert((owner, ticket), (id, server));
            }
        }
        self.advance(owner, server);
    }

    fn tell(&mut self, id: usize, server: usize, answer: PlaceAnswer, owner: usize) {
        let wait = answer.wait.as_micros() as u64;
        let contended = answer.contended.as_micros() as u64;
        let told = Event::Told(id, server, answer.lease, wait, contended, owner);
        self.at(self.now + LINK, told);
    }

    fn advance(&mut self, owner: usize, server: usize) {
        for (ticket, answer) in self.owners[owner].advance(key(server), time(self.now)) {
            if let Some((id, server)) = self.tickets.remove(&(owner, ticket)) {
                self.tell(id, server, answer, owner);
            }
        }
        let is_waited_for = self.tickets.values().any(|(_, waited)| *waited == server);
        if let Some(next) = self.owners[owner].next_change(key(server), time(self.now))
            && is_waited_for
        {
            let next = (next.as_micros() as u64 + 1).max(self.now + 100);
            let planned = self.planned.get(&(owner, server));
            if planned.is_none_or(|planned| *planned <= self.now || *planned > next) {
                self.planned.insert((owner, server), next);
                self.at(next, Event::Advance(owner, server));
            }
        }
    }

    fn told(
        &mut self,
        id: usize,
        server: usize,
        lease: Option<u64>,
        wait: u64,
        contended: u64,
        owner: usize,
    ) {
        let host = &mut self.hosts[self.calls[id].host].0;
        host.note_answer(key(server), time(contended), time(wait), time(self.now));
        if let Some(lease) = lease {
            self.calls[id].held = Some((owner, server, lease));
            self.calls[id].held_since = self.now;
            host.note_taken(key(server), time(self.now));
            return self.send(id, server);
        }
        self.calls[id].shortest = match self.calls[id].shortest {
            0 => wait,
            before => before.min(wait),
        };
        self.calls[id].tried.push(server);
        self.place(id);
    }

    fn note_stall(&mut self, id: usize) {
        let call = &self.calls[id];
        let stall = self.now - call.came_back.unwrap_or(call.arrived);
        if call.runs == 0 && call.sent == 0 {
            self.longest_stall = self.longest_stall.max(stall);
        }
    }

    fn refuse(&mut self, id: usize) {
        self.note_stall(id);
        let now = self.now;
        let call = &mut self.calls[id];
        let wait = call.shortest.max(1_000);
        let can_return = now + wait < call.arrived + call.budget && call.came_back.is_none();
        call.refused = Some((now, wait));
        if can_return {
            call.came_back = Some(now + wait);
            (call.tried, call.asked, call.shortest) = (Vec::new(), 0, 0);
            self.at(now + wait, Event::Arrive(id));
        }
    }

    fn send(&mut self, id: usize, server: usize) {
        self.note_stall(id);
        self.calls[id].sent = self.now;
        self.calls[id].refused = None;
        self.hosts[self.calls[id].host].2[server] += 1;
        match self.calls[id].host < self.cut_hosts {
            true => self.at(
                self.calls[id].arrived + self.calls[id].budget,
                Event::Lost(id, server),
            ),
            false => {
                let way = self.way_time(id);
                self.at(self.now + way, Event::Send(id, server));
            }
        }
    }

    fn lose(&mut self, id: usize, server: usize) {
        self.give_back(id, None);
        let ejection = self.ejections.entry((self.calls[id].host, server));
        let (failures, until) = ejection.or_default();
        *failures += 1;
        if *failures >= FAILURES_TO_EJECT {
            let time = EJECT_FIRST << (*failures - FAILURES_TO_EJECT).min(3);
            *until = self.now + time.min(EJECT_MAX);
        }
    }

    fn is_ejected(&self, host: usize, server: usize) -> bool {
        let ejection = self.ejections.get(&(host, server));
        ejection.is_some_and(|(_, until)| self.now < *until)
    }

    // Time that a message between a call's host and a server takes.
    fn way_time(&mut self, id: usize) -> u64 {
        let (mut way, mut resend) = (LINK, RESEND);
        while self.calls[id].host < self.lossy_hosts && self.rng.random_bool(LOSS) {
            way += resend;
            resend *= 2;
        }
        way
    }

    fn work_time(&mut self) -> u64 {
        match self.has_uneven_work {
            true => self.rng.random_range(SERVICE / 10..=SERVICE * 19 / 10),
            false => SERVICE,
        }
    }

    fn receive(&mut self, id: usize, server: usize) {
        let work_time = self.work_time();
        let place = &mut self.servers[server];
        place.sends += 1;
        let held = place.running + place.queued.len();
        if place.is_gone || held >= SLOTS + QUEUE {
            place.declines += 1;
            return self.at(self.now + LINK, Event::Declined(id, server));
        }
        place.most = place.most.max(held + 1);
        if place.running < SLOTS {
            place.running += 1;
            self.at(self.now + work_time, Event::Ran(id, server));
        } else {
            place.queued.push(id);
        }
    }

    fn ran(&mut self, id: usize, server: usize) {
        self.calls[id].runs += 1;
        let way = self.way_time(id);
        let took = self.now + way - self.calls[id].sent;
        let work_time = self.work_time();
        self.at(self.now + way, Event::Answered(id, server, took));
        let place = &mut self.servers[server];
        match place.queued.is_empty() {
            true => place.running -= 1,
            false => {
                let next = place.queued.remove(0);
                self.at(self.now + work_time, Event::Ran(next, server));
            }
        }
    }

    fn answered(&mut self, id: usize, server: usize, took: u64) {
        let call = &mut self.calls[id];
        call.answered = Some(self.now);
        let (target, host) = (time(call.target), call.host);
        self.hosts[host].2[server] -= 1;
        let contended = &mut self.hosts[host].0;
        let usual =
            contended.note_response(key(server), &ROUTE, time(took), target, time(self.now));
        if usual.is_some() {
            self.note_contended(host, server);
        }
        self.give_back(id, Some(took));
    }

    fn give_back(&mut self, id: usize, took: Option<u64>) {
        let Some((owner, server, lease)) = self.calls[id].held.take() else {
            return;
        };
        let (host, since) = (self.calls[id].host, self.calls[id].held_since);
        self.hosts[host].0.note_released(key(server), time(since));
        if self.lost_owner(owner, host).is_none() {
            let event = Event::GiveBack(owner, server, lease, took);
            self.at(self.now + LINK + GIVE_BACK, event);
        }
    }

    fn note_contended(&mut self, host: usize, server: usize) {
        let now = time(self.now);
        let contended = &mut self.hosts[host].0;
        if contended.note_contended(key(server), CONTENDED_TTL, now) {
            self.at(self.now + FINDINGS, Event::Learned(server));
        }
    }

    /// Lets all hosts know that a server is contended.
    pub fn contend(&mut self, server: usize) {
        self.note_contended(0, server);
    }

    fn declined(&mut self, id: usize, server: usize) {
        let host = self.calls[id].host;
        self.hosts[host].2[server] -= 1;
        if self.uses_places && !self.servers[server].is_gone {
            self.note_contended(host, server);
        }
        self.give_back(id, None);
        if !self.uses_places || self.servers[server].is_gone {
            self.calls[id].tried.push(server);
        }
        self.place(id);
    }

    /// Messages for each request that a host received; a caller that comes back sends another one.
    pub fn messages_per_request(&self) -> f64 {
        let returned = self.calls.iter().filter(|call| call.came_back.is_some());
        self.messages as f64 / (self.calls.len() + returned.count()) as f64
    }

    /// Requests that were answered between two times, in time or late.
    pub fn answered_between(&self, from: u64, to: u64) -> usize {
        let answers = self.calls.iter().filter_map(|call| call.answered);
        answers.filter(|at| (from..to).contains(at)).count()
    }

    /// Of the requests that arrived between two times at hosts from this one on, the share that was answered in time.
    pub fn share_in_time(&self, first_host: usize, from: u64, to: u64) -> f64 {
        let calls = self.calls.iter();
        let calls: Vec<&Call> = calls
            .filter(|call| call.host >= first_host && (from..to).contains(&call.arrived))
            .collect();
        let is_in_time = |call: &&&Call| {
            let answered = call.answered;
            answered.is_some_and(|at| at - call.arrived <= call.target)
        };
        calls.iter().filter(is_in_time).count() as f64 / calls.len() as f64
    }

    /// Requests that were answered within their target, of those that arrived between two times.
    pub fn in_time(&self, from: u64, to: u64) -> usize {
        let arrived = self
            .calls
            .iter()
            .filter(|call| (from..to).contains(&call.arrived));
        let in_time = |call: &&Call| {
            call.answered
                .is_some_and(|at| at - call.arrived <= call.target)
        };
        arrived.filter(in_time).count()
    }
}
