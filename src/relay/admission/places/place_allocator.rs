//! Leases the places of contended servers to all hosts, on the host that owns them.
//!
//! A state machine without I/O. Its size grows with the number of contended servers that the host owns, and with what
//! they can hold and serve in time.

use {
    super::{
        place_request::{PlaceAnswer, PlaceRequest, PlaceReturn},
        server_places::{PlaceDecision, ServerPlaces},
    },
    crate::relay::policy::loads::EngineKey,
    std::{collections::BTreeMap, time::Duration},
};

/// What became of a request for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceOutcome {
    /// It is answered.
    Answered(PlaceAnswer),
    /// It waits under this number. [`PlaceAllocator::advance`] returns its answer.
    Waiting(u64),
}

/// A contended server as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerPlacesView {
    /// The server.
    pub server: EngineKey,
    /// Requests that it gets at once at most.
    pub capacity: u32,
    /// Places that are leased.
    pub leased: usize,
    /// Requests that wait for one.
    pub waiting: usize,
}

/// The places of all contended servers that a host owns.
#[derive(Debug)]
pub struct PlaceAllocator {
    servers: BTreeMap<EngineKey, ServerPlaces>,
    next_number: u64,
}

impl PlaceAllocator {
    /// No places yet. `first_number` is random, so that the numbers of leases differ from those of other owners.
    pub fn new(first_number: u64) -> Self {
        Self {
            servers: BTreeMap::new(),
            next_number: first_number,
        }
    }

    /// Decides about a request of any host. Others may have been decided with it: see [`Self::advance`].
    pub fn request(&mut self, request: &PlaceRequest, now: Duration) -> PlaceOutcome {
        let next_number = &mut self.next_number;
        let mut new_number = || {
            // 0 stands for no lease in messages.
            *next_number = next_number.wrapping_add(1).max(1);
            *next_number
        };
        let ticket = new_number();
        let server = self
            .servers
            .entry(request.server)
            .or_insert_with(|| ServerPlaces::new(request, new_number, now));
        match server.request(request, ticket, now) {
            PlaceDecision::Answered(answer) => PlaceOutcome::Answered(answer),
            PlaceDecision::Waiting => PlaceOutcome::Waiting(ticket),
        }
    }

    /// Records that a place was given back.
    pub fn give_back(&mut self, returned: &PlaceReturn, now: Duration) {
        if let Some(server) = self.servers.get_mut(&returned.server) {
            server.give_back(returned.lease, returned.end, now);
        }
    }

    /// Removes a request that waits no longer.
    pub fn withdraw(&mut self, server: EngineKey, ticket: u64) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.withdraw(ticket);
        }
    }

    /// Returns the answers of waiting requests that are decided now, by their numbers.
    pub fn advance(&mut self, server: EngineKey, now: Duration) -> Vec<(u64, PlaceAnswer)> {
        let server = self.servers.get_mut(&server);
        server.map_or_else(Vec::new, |server| server.advance(now))
    }

    /// When waiting requests of a server have to be decided again if nothing happens before.
    pub fn next_change(&self, server: EngineKey, now: Duration) -> Option<Duration> {
        self.servers.get(&server)?.next_change(now)
    }

    /// The contended servers and how much longer they count as contended.
    pub fn contended(&self, now: Duration) -> impl Iterator<Item = (EngineKey, Duration)> {
        let servers = self.servers.iter();
        let times = servers.map(move |(key, server)| (*key, server.contended_time(now)));
        times.filter(|(_, time)| !time.is_zero())
    }

    /// Removes servers whose places are not used any more, and returns them.
    pub fn remove_unused(&mut self, now: Duration) -> Vec<EngineKey> {
        self.servers
            .extract_if(.., |_, server| server.is_unused(now))
            .map(|(key, _)| key)
            .collect()
    }

    /// All servers whose places this host leases.
    pub fn views(&self, now: Duration) -> impl Iterator<Item = ServerPlacesView> {
        self.servers
            .iter()
            .map(move |(key, server)| ServerPlacesView {
                server: *key,
                capacity: server.capacity(),
                leased: server.leased(now),
                waiting: server.waiting(),
            })
    }
}
