//! The places of one contended server, on the host that owns them.

use {
    super::{
        place_request::{MAX_PLACE_WAIT, PlaceAnswer, PlaceEnd, PlaceRequest},
        retry_schedule::RetrySchedule,
        service_times::ServiceTimes,
    },
    crate::relay::admission::{
        decision::{self, AdmissionDecision, RoomNeed},
        room::ServerRoom,
        wait_queue::QueueKey,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Requests in the server's own queue for each that it processes, so that it is not idle while a place is given back and
/// granted again. What waits beyond that waits here, where it is in order.
const QUEUED_SHARE: f64 = 0.5;

/// Time of a response that a host receives for the way from the owner to the host and back.
const LINK_TIME: Duration = Duration::from_millis(5);

/// How long a server counts as contended after the last request that waited long, was refused or was declined.
const CALM_TIME: Duration = Duration::from_secs(3);

/// How long a server counts as contended after a host became its owner, unless requests wait there. Longer, a request now and
/// then would keep an idle server contended.
const NEW_OWNER_TIME: Duration = Duration::from_millis(500);

/// Part of the time that a request can wait from which its wait is long. Shorter ones are due to a few requests that arrive
/// at once, for which the server's own queue suffices.
const LONG_WAIT_SHARE: f64 = 0.5;

/// Responses for each place after which a reduced capacity is raised by one.
const RAISE_RESPONSES: u32 = 10;

/// Places that become free for each caller that is told to come back; new requests get the others.
const RETURN_INTERVALS: u32 = 2;

/// Factor of the service time within which the requests that were sent before this host became the owner have ended.
const TAKEOVER_SERVICE_TIMES: u32 = 2;

/// Time, as a multiple of the limit for a request's work, after which a place is free although the server answers nobody.
const SILENCE_FACTOR: u32 = 2;

/// Addition to a request's deadline after which its place counts as free if it was not given back.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

// A place that is leased.
#[derive(Debug, Clone, Copy)]
struct PlaceLease {
    granted_at: Duration,
    // When the server has answered its request, if it answers others.
    work_end: Duration,
    // When it is taken for lost even if the server answers nobody.
    silence_end: Duration,
    expiry: Duration,
}

impl PlaceLease {
    // Whether its request is at the server no more although the place was not given back: the server has answered another
    // one since, so this one's answer, or the request itself, is held up on the way. A server that answers nobody for a
    // while is given some requests, as all that were sent may have been lost on the way.
    fn is_overdue(&self, answered_at: Duration, now: Duration) -> bool {
        let answers_others = answered_at > self.granted_at;
        now >= self.silence_end || (answers_others && now >= self.work_end)
    }
}

#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    request: PlaceRequest,
    // From when it could not be answered in time any more.
    until: Duration,
    // Its deadline.
    deadline: Duration,
}

/// The decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlaceDecision {
    Answered(PlaceAnswer),
    Waiting,
}

/// Capacity, leases and waiting requests of one server.
#[derive(Debug)]
pub(super) struct ServerPlaces {
    slots: u32,
    capacity: u32,
    capacity_max: u32,
    // When the capacity was last reduced, and the responses since it was changed.
    reduced_at: Duration,
    responses: u32,
    times: ServiceTimes,
    longest_in_time: Duration,
    leases: BTreeMap<u64, PlaceLease>,
    // When the server was last known to have answered a request.
    answered_at: Duration,
    waiting: BTreeMap<QueueKey, WaitingRequest>,
    retries: RetrySchedule,
    // When a request last waited long or was refused, or the server declined one.
    short_at: Duration,
    last_request: Duration,
}

impl ServerPlaces {
    /// The places of a server that other hosts may have requests at. As many as it can hold count as used, and become
    /// free one after the other. `lease` returns a new number.
    pub(super) fn new(
        request: &PlaceRequest,
        mut lease: impl FnMut() -> u64,
        now: Duration,
    ) -> Self {
        let times = ServiceTimes::new(request.service_time, LINK_TIME);
        let slots = request.slots.max(1);
        let capacity = slots + busy_places(&times, slots, request.in_time);
        let takeover_time = times.mean() * TAKEOVER_SERVICE_TIMES;
        let assumed_lease = |index: u32| PlaceLease {
            granted_at: now,
            work_end: now + takeover_time * (index + 1) / capacity,
            silence_end: now + takeover_time * (index + 1) / capacity,
            expiry: now + takeover_time * (index + 1) / capacity,
        };
        Self {
            slots,
            capacity,
            capacity_max: capacity,
            reduced_at: Duration::ZERO,
            responses: 0,
            times,
            longest_in_time: request.in_time,
            leases: (0..capacity)
                .map(|index| (lease(), assumed_lease(index)))
                .collect(),
            answered_at: Duration::ZERO,
            waiting: BTreeMap::new(),
            retries: RetrySchedule::default(),
            short_at: now.saturating_sub(CALM_TIME - NEW_OWNER_TIME),
            last_request: now,
        }
    }

    pub(super) fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Number of places whose requests are at the server.
    pub(super) fn leased(&self, now: Duration) -> usize {
        let leases = self.leases.values();
        leases
            .filter(|lease| !lease.is_overdue(self.answered_at, now))
            .count()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How much longer the server counts as contended.
    pub(super) fn contended_time(&self, now: Duration) -> Duration {
        (self.short_at + CALM_TIME).saturating_sub(now)
    }

    /// Whether nobody uses the server's places any more.
    pub(super) fn is_unused(&mut self, now: Duration) -> bool {
        self.remove_expired(now);
        let last_use = self.last_request.max(self.short_at);
        self.leases.is_empty() && self.waiting.is_empty() && now >= last_use + CALM_TIME
    }

    /// When waiting requests have to be decided again if nothing happens before.
    pub(super) fn next_change(&self, now: Duration) -> Option<Duration> {
        let untils = self.waiting.values().map(|waiting| waiting.until);
        let leases = self.leases.values();
        let ends = leases.flat_map(|lease| [lease.work_end, lease.silence_end, lease.expiry]);
        untils.chain(ends.filter(|end| *end > now)).min()
    }

    /// Decides about a request. `ticket` is its number if it waits, and that of the lease if it is granted.
    pub(super) fn request(
        &mut self,
        request: &PlaceRequest,
        ticket: u64,
        now: Duration,
    ) -> PlaceDecision {
        self.last_request = now;
        self.remove_expired(now);
        self.update_capacity_max(request);
        let due = now + request.in_time.saturating_sub(LINK_TIME);
        let key = QueueKey {
            late: false,
            priority: request.priority,
            rank: due,
            ticket,
        };
        let need = RoomNeed {
            units: 1,
            ahead: self.waiting.range(..key).count() as u64,
            service_time: self.times.expected(),
            due,
        };
        match decision::decide_admission(&self.room(now), &need, now) {
            AdmissionDecision::Admit => PlaceDecision::Answered(self.grant(ticket, request, now)),
            AdmissionDecision::Wait { until } if request.may_wait => {
                self.note_wait(&need, until, now);
                let waiting = WaitingRequest {
                    request: *request,
                    until: until.min(now + MAX_PLACE_WAIT.min(request.time_left)),
                    deadline: now + request.time_left,
                };
                self.waiting.insert(key, waiting);
                PlaceDecision::Waiting
            }
            AdmissionDecision::Wait { until } => {
                self.note_wait(&need, until, now);
                PlaceDecision::Answered(self.decline(need.ahead, now))
            }
            AdmissionDecision::Refuse { .. } => {
                self.short_at = now;
                PlaceDecision::Answered(self.refuse(request.priority, now))
            }
        }
    }

    fn note_wait(&mut self, need: &RoomNeed, until: Duration, now: Duration) {
        let wait = self.room(now).wait_for(need.ahead, need.units);
        let long_wait = until.saturating_sub(now).mul_f64(LONG_WAIT_SHARE);
        if wait.is_none_or(|wait| wait >= long_wait) {
            self.short_at = now;
        }
    }

    /// Records that a place was given back. One that is not leased has expired or is from another owner.
    pub(super) fn give_back(&mut self, lease: u64, end: PlaceEnd, now: Duration) {
        let Some(lease) = self.leases.remove(&lease) else {
            return;
        };
        match end {
            PlaceEnd::Unused => {}
            PlaceEnd::Answered(time) => {
                self.answered_at = now;
                let leased_time = now.saturating_sub(lease.granted_at);
                self.record_answer(time, leased_time.saturating_sub(time), now);
            }
            PlaceEnd::Declined => {
                self.short_at = now;
                self.reduce(1, now);
            }
        }
    }

    /// Removes a request that waits no longer.
    pub(super) fn withdraw(&mut self, ticket: u64) {
        self.waiting.retain(|key, _| key.ticket != ticket);
    }

    /// Grants free places in order, and refuses requests that cannot be answered in time any more.
    pub(super) fn advance(&mut self, now: Duration) -> Vec<(u64, PlaceAnswer)> {
        self.remove_expired(now);
        let mut decided = Vec::new();
        let is_hopeless = |waiting: &WaitingRequest| waiting.until <= now;
        let hopeless: Vec<QueueKey> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_hopeless(waiting))
            .map(|(key, _)| *key)
            .collect();
        hopeless
            .iter()
            .for_each(|key| self.refuse_waiting(key, &mut decided, now));
        while self.room(now).free() > 0
            && let Some((key, waiting)) = self.waiting.pop_first()
        {
            let request = PlaceRequest {
                time_left: waiting.deadline.saturating_sub(now),
                ..waiting.request
            };
            let answer = self.grant(key.ticket, &request, now);
            decided.push((key.ticket, answer));
        }
        self.refuse_displaced(&mut decided, now);
        decided
    }

    fn remove_expired(&mut self, now: Duration) {
        self.leases.retain(|_, lease| now < lease.expiry);
    }

    // Refuses requests at the end of the queue that more urgent ones have pushed back too far.
    fn refuse_displaced(&mut self, decided: &mut Vec<(u64, PlaceAnswer)>, now: Duration) {
        while let Some((key, waiting)) = self.waiting.last_key_value() {
            let ahead = self.waiting.len() as u64 - 1;
            let wait = self.room(now).wait_for(ahead, 1);
            if wait.is_some_and(|wait| now + wait <= waiting.until) {
                return;
            }
            let key = *key;
            self.refuse_waiting(&key, decided, now);
        }
    }

    fn refuse_waiting(
        &mut self,
        key: &QueueKey,
        decided: &mut Vec<(u64, PlaceAnswer)>,
        now: Duration,
    ) {
        self.waiting.remove(key);
        self.short_at = now;
        decided.push((key.ticket, self.refuse(key.priority, now)));
    }

    fn room(&self, now: Duration) -> ServerRoom {
        ServerRoom {
            capacity: u64::from(self.capacity),
            promised: self.leased(now) as u64,
            freed_per_second: f64::from(self.capacity) / self.times.lease_time().as_secs_f64(),
        }
    }

    fn grant(&mut self, lease: u64, request: &PlaceRequest, now: Duration) -> PlaceAnswer {
        let place_lease = PlaceLease {
            granted_at: now,
            work_end: now + self.times.work_limit() + LINK_TIME,
            silence_end: now + self.times.work_limit() * SILENCE_FACTOR,
            expiry: now + request.time_left + LEASE_MARGIN,
        };
        self.leases.insert(lease, place_lease);
        assert!(
            self.leased(now) <= self.capacity as usize,
            "no more places are leased than the server has"
        );
        PlaceAnswer {
            lease: Some(lease),
            ..self.decline(self.waiting.len() as u64, now)
        }
    }

    // No place, and the expected wait for one behind `ahead` others.
    fn decline(&self, ahead: u64, now: Duration) -> PlaceAnswer {
        let wait = self.room(now).wait_for(ahead, 1);
        PlaceAnswer {
            lease: None,
            wait: wait.unwrap_or(CALM_TIME),
            contended: self.contended_time(now),
        }
    }

    fn refuse(&mut self, priority: u8, now: Duration) -> PlaceAnswer {
        let answer = self.decline(self.waiting.len() as u64, now);
        let interval = self.times.lease_time() / self.capacity * RETURN_INTERVALS;
        let wait = self.retries.assign(priority, answer.wait, interval, now);
        PlaceAnswer { wait, ..answer }
    }

    fn record_answer(&mut self, time: Duration, overhead: Duration, now: Duration) {
        if self.times.record(time, overhead) {
            self.reduce(self.slots, now);
        }
        self.responses += 1;
        if self.responses >= RAISE_RESPONSES * self.capacity {
            self.responses = 0;
            self.capacity = (self.capacity + 1).min(self.capacity_max);
        }
    }

    // Others use the server too, so it has one place fewer, at most once in a service time.
    fn reduce(&mut self, lower_bound: u32, now: Duration) {
        self.responses = 0;
        if self.capacity > lower_bound && now >= self.reduced_at + self.times.mean() {
            self.capacity -= 1;
            self.reduced_at = now;
        }
    }

    fn update_capacity_max(&mut self, request: &PlaceRequest) {
        self.slots = request.slots.max(1);
        self.longest_in_time = self.longest_in_time.max(request.in_time);
        let busy = busy_places(&self.times, self.slots, self.longest_in_time);
        let is_reduced = self.capacity < self.capacity_max;
        self.capacity_max = self.slots + busy;
        self.capacity = match is_reduced {
            true => self.capacity.min(self.capacity_max),
            false => self.capacity_max,
        };
    }
}

// Places beyond those that the server processes, so that it is never idle while there are requests.
fn busy_places(times: &ServiceTimes, slots: u32, in_time: Duration) -> u32 {
    let wanted = (f64::from(slots) * QUEUED_SHARE).ceil() as u32;
    times.queued_places(slots, wanted, in_time) + times.moving_places(slots)
}
