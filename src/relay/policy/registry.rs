//! Health and load of each backend server as this host's own requests show them, and the choice of a server.
//!
//! A state machine without I/O: observations and the current time go in, a ranked list of servers comes out.

use {
    super::{
        availability::AvailabilityTracker,
        limit_tracker::{LimitTracker, PermitState, PermitWait},
        loads::EngineKey,
        regions::RequestOrigin,
        server_index::{ServerIndex, ServerPool},
        view::{BackendFailure, BackendView, EJECT_FIRST, FAILURES_TO_EJECT},
    },
    crate::relay::backend::BackendInfo,
    faststr::FastStr,
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    xxhash_rust::xxh3,
};

/// Upper bound of an ejection: a server restart takes a few seconds.
const EJECT_MAX: Duration = Duration::from_secs(4);

/// Weight of the newest response in the moving average of the error rate.
const ERROR_WEIGHT: f64 = 0.15;

/// After an engine refuses a request for lack of memory, how long requests of that size or larger skip it.
const REFUSED_TIME: Duration = Duration::from_millis(60);

/// Assumed prefill throughput, in prompt tokens per second, until one has been measured.
const PREFILL_RATE: f64 = 20_000.0;

/// How long an engine that declined a request is skipped: a role change takes a few seconds, and each attempt
/// meanwhile costs a retry.
const DECLINE_TIME: Duration = Duration::from_millis(1_500);

/// Score penalty, in requests in flight, of a server whose backoff has just ended: its load ramps up gradually.
const RETURN_PENALTY: f64 = 6.0;

/// Number of other hosts that must have ejected a backend server before this host avoids it too: a single one may
/// just have lost its connection to the server.
pub(super) const PEER_EJECTIONS_TO_AVOID: u32 = 2;

/// Properties of an attempt that constrain the choice of its server.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendConstraints {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Only servers without a rate limit are eligible. Set for a hedged attempt, which would take a permit from
    /// another request, and for a request that several servers refused for lack of a permit.
    pub unlimited_only: bool,
}

/// Where to send the next attempt of a plain request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlainChoice {
    /// Send to this server.
    Send(BackendInfo),
    /// Every untried server is failing, and requests in flight already probe them.
    Unreachable,
    /// Every untried server is rate-limited; no permit is expected before this wait is over.
    NoPermit(PermitWait),
    /// Every server was tried, or none is listed.
    NoneLeft,
}

/// State of every backend server that this host may send to.
#[derive(Debug)]
pub struct BackendRegistry {
    pub(super) views: BTreeMap<FastStr, BackendView>,
    pub(super) index: ServerIndex,
    // Hash of this host's name, which differs between hosts; none if it is not known.
    seed: Option<u64>,
    // The engines that this host prefers; `None` until they are known, when it prefers all.
    pub(super) preferred: Option<BTreeSet<FastStr>>,
    // Servers that may have something to report: requests of this host, or an ejection.
    pub(super) reportable: BTreeSet<FastStr>,
    // Servers for which other hosts reported something.
    pub(super) peer_reported: Vec<FastStr>,
    // Availability zones to whose servers nothing is sent.
    pub(super) evacuated: BTreeSet<FastStr>,
    visited: Cell<u64>,
    draws: Cell<u64>,
    next_call: u64,
    // When the loads of other hosts were last received.
    pub(super) peer_loads_at: Option<Duration>,
    // Best observed prefill throughput, in prompt tokens per second.
    pub(super) prefill_rate: f64,
    /// Rate limits that servers announce.
    pub limits: LimitTracker,
    /// Servers that are draining or asked this host to back off.
    pub availability: AvailabilityTracker,
}

impl Default for BackendRegistry {
    fn default() -> Self {
        Self {
            seed: None,
            views: BTreeMap::new(),
            index: ServerIndex::default(),
            preferred: None,
            reportable: BTreeSet::new(),
            peer_reported: Vec::new(),
            evacuated: BTreeSet::new(),
            visited: Cell::new(0),
            draws: Cell::new(0),
            next_call: 0,
            peer_loads_at: None,
            prefill_rate: PREFILL_RATE,
            limits: LimitTracker::default(),
            availability: AvailabilityTracker::default(),
        }
    }
}

impl BackendRegistry {
    /// The state of a host that knows no servers yet.
    pub fn new(host: &str) -> Self {
        Self {
            seed: Some(xxh3::xxh3_64(host.as_bytes())),
            limits: LimitTracker::new(host),
            ..Self::default()
        }
    }

    /// Number of listed backend servers.
    pub fn count(&self) -> usize {
        self.views.len()
    }

    /// Number of servers that decisions, reports and updates have looked at so far, a measure of their cost.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    pub(super) fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// Sets the engines that this host prefers over all others (see `subset`).
    pub fn set_preferred(&mut self, preferred: BTreeSet<FastStr>) {
        self.preferred = Some(preferred);
    }

    pub(super) fn is_preferred(&self, view: &BackendView) -> bool {
        let preferred = self.preferred.as_ref();
        preferred.is_none_or(|preferred| preferred.contains(&view.info.id))
    }

    /// Keys of the preferred engines, as used in load reports.
    pub fn preferred_keys(&self) -> Vec<EngineKey> {
        let preferred = self.preferred.iter().flatten();
        let views = preferred.filter_map(|id| self.views.get(id));
        views.map(|view| view.key).collect()
    }

    /// The state of one server.
    pub fn view(&self, id: &str) -> Option<&BackendView> {
        self.views.get(id)
    }

    /// Whether this run of a server is the one listed now. Results of an earlier run say nothing about the current one.
    pub fn is_current(&self, backend: &BackendInfo) -> bool {
        self.view(&backend.id)
            .is_some_and(|view| view.info.born == backend.born)
    }

    /// Whether the server has restarted since this run: a later one is listed under the same id.
    pub fn has_restarted(&self, backend: &BackendInfo) -> bool {
        self.view(&backend.id)
            .is_some_and(|view| view.info.born > backend.born)
    }

    /// The state of every server.
    pub fn views(&self) -> impl Iterator<Item = &BackendView> {
        self.views.values()
    }

    /// Marks a server as draining: it announced that it takes no new work, or stopped responding.
    pub fn set_leaving(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.info.leaving = true;
        }
    }

    /// The untried backend servers of a plain service, best first.
    pub fn rank_plain<'a>(
        &self,
        service: &str,
        origin: impl Into<RequestOrigin<'a>>,
        tried: &[FastStr],
        now: Duration,
    ) -> Vec<BackendInfo> {
        let origin = origin.into();
        let pools = self.index.pools(service);
        let pools = pools.filter(|pool| origin.allows(&pool.zone, &pool.software));
        let ids = pools.flat_map(|pool| pool.sample(self.seed.unwrap_or_default()));
        let views = ids.filter_map(|id| self.views.get(id));
        let views = views
            .inspect(|_| self.visit())
            .filter(|view| self.in_rotation(view, now))
            .filter(|view| !tried.contains(&view.info.id));
        let views: Vec<&BackendView> = views.collect();
        let has_cold = views.iter().any(|view| self.limits.is_cold(view.key, now));
        sorted(views.into_iter(), |view| {
            let returning = self.availability.ramp_up_remaining(&view.run, now) * RETURN_PENALTY;
            (
                self.is_avoided(view, now),
                self.room_order(view, has_cold, now),
                order(view.plain_score(origin.zone, now) + returning),
                self.limits.order(view.key, now),
                self.own_order(view.key),
            )
        })
    }

    // Of a service with cold servers: 0 for a warm server with room, 1 for a cold one, 2 for a warm one without room.
    fn room_order(&self, view: &BackendView, has_cold: bool, now: Duration) -> u8 {
        match has_cold {
            true if self.limits.is_cold(view.key, now) => 1,
            true if view.is_full(now) => 2,
            _ => 0,
        }
    }

    // The order of servers that are otherwise equal: the same each time, so that connections are reused, and another one
    // at each host, so that hosts with few requests each do not all choose the same server.
    fn own_order(&self, server: EngineKey) -> u64 {
        let hash = |seed| xxh3::xxh3_64_with_seed(&server.0.to_le_bytes(), seed);
        self.seed.map_or(0, hash)
    }

    // A number from a sequence that looks random and differs between hosts.
    pub(super) fn draw(&self) -> u64 {
        let draw = self.draws.get() + 1;
        self.draws.set(draw);
        xxh3::xxh3_64_with_seed(&draw.to_le_bytes(), self.seed.unwrap_or_default())
    }

    /// Chooses the server for the next attempt of a plain request.
    ///
    /// When every server of a service is down, or unreachable from a zone that has none of its own, each request
    /// would wait 0.3 s per server for a connection and fail anyway. So a single request per server probes whether
    /// it responds again, and all others are refused at once.
    pub fn choose_plain<'a>(
        &self,
        service: &str,
        origin: impl Into<RequestOrigin<'a>>,
        tried: &[FastStr],
        constraints: SendConstraints,
        now: Duration,
    ) -> PlainChoice {
        let mut ranked = self.rank_plain(service, origin, tried, now);
        let mut wait = None;
        ranked.retain(|info| {
            let server = info.key();
            match self.limits.permit(server, constraints.priority, now) {
                PermitState::Unlimited => true,
                PermitState::Held | PermitState::MustRequest => !constraints.unlimited_only,
                PermitState::Denied(time) => {
                    wait = Some(PermitWait::shorter(wait, PermitWait { server, time }));
                    false
                }
            }
        });
        let Some(best) = ranked.first() else {
            return wait.map_or(PlainChoice::NoneLeft, PlainChoice::NoPermit);
        };
        let view = &self.views[&best.id];
        if !self.is_avoided(view, now) {
            return PlainChoice::Send(best.clone());
        }
        // A request that has already failed to reach one server does not probe another.
        let mut views = ranked.iter().map(|info| &self.views[&info.id]);
        let untried = views.find(|view| tried.is_empty() && !view.is_being_probed());
        match untried {
            Some(view) => PlainChoice::Send(view.info.clone()),
            None => PlainChoice::Unreachable,
        }
    }

    /// The untried backend servers of a plain service that respond and have no rate limit, best first.
    pub fn rank_unlimited(
        &self,
        service: &str,
        origin: RequestOrigin<'_>,
        tried: &[FastStr],
        now: Duration,
    ) -> Vec<BackendInfo> {
        let mut ranked = self.rank_plain(service, origin, tried, now);
        ranked.retain(|info| {
            let is_unlimited = self.limits.permit(info.key(), 0, now) == PermitState::Unlimited;
            is_unlimited && !self.is_avoided(&self.views[&info.id], now)
        });
        ranked
    }

    /// The rate-limited servers of a service that have no permit left for a request of this priority.
    pub fn without_permit(&self, service: &str, priority: u8, now: Duration) -> Vec<FastStr> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        let is_empty = |view: &&BackendView| {
            matches!(
                self.limits.permit(view.key, priority, now),
                PermitState::Denied(_)
            )
        };
        let views = self.usable(service, now).filter(is_empty);
        views.map(|view| view.info.id.clone()).collect()
    }

    /// Whether a backend server is ejected by this host or by enough others, or is being probed after an ejection.
    pub(super) fn is_avoided(&self, view: &BackendView, now: Duration) -> bool {
        let peers_do = self.has_peer_loads(now) && view.peer_ejections >= PEER_EJECTIONS_TO_AVOID;
        view.is_ejected(now) || view.is_probing() || peers_do
    }

    pub(super) fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a BackendView> {
        self.pool_views(self.index.pools(service))
            .filter(move |view| self.in_rotation(view, now))
    }

    // The servers of some pools.
    pub(super) fn pool_views<'a>(
        &'a self,
        pools: impl Iterator<Item = &'a ServerPool>,
    ) -> impl Iterator<Item = &'a BackendView> {
        let ids = pools.flat_map(|pool| &pool.ids);
        ids.filter_map(|id| self.views.get(id))
            .inspect(|_| self.visit())
    }

    /// Records a request in flight and returns its number, which `call_ended` takes. `is_suspected` marks a request
    /// that servers have crashed under before.
    pub fn call_started(&mut self, id: &str, is_suspected: bool, now: Duration) -> u64 {
        self.next_call += 1;
        if let Some(view) = self.views.get_mut(id) {
            view.calls.insert(self.next_call, now);
            if is_suspected {
                view.suspects.insert(self.next_call);
            }
        }
        self.next_call
    }

    /// Records that a request is no longer in flight.
    pub fn call_ended(&mut self, id: &str, call: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.calls.remove(&call);
            view.suspects.remove(&call);
        }
    }

    /// Records a response. Any response resets the count of consecutive failures; a good one also ends the ejection.
    pub fn note_response(&mut self, id: &str, is_good: bool) {
        if let Some(view) = self.views.get_mut(id) {
            let failed = f64::from(u8::from(!is_good));
            view.error_rate += ERROR_WEIGHT * (failed - view.error_rate);
            view.failures = 0;
            if is_good {
                view.ejected_until = Duration::ZERO;
                view.ejection_time = EJECT_FIRST;
            }
        }
    }

    /// Records a failed connection or a timeout and returns whether this ejects the backend server.
    pub fn note_failure(&mut self, id: &str, failure: BackendFailure, now: Duration) -> bool {
        let Some(view) = self.views.get_mut(id) else {
            return false;
        };
        view.error_rate += ERROR_WEIGHT * (1.0 - view.error_rate);
        let was_failing = view.failures >= FAILURES_TO_EJECT;
        view.failures += match failure {
            BackendFailure::Broken => 1,
            // One timeout is enough: every further attempt would cost requests the full timeout again.
            BackendFailure::Silent => FAILURES_TO_EJECT,
            // So is one endless response: it takes memory and bandwidth, and its head looks like success.
            BackendFailure::Endless => FAILURES_TO_EJECT,
        };
        if view.failures >= FAILURES_TO_EJECT && !was_failing {
            view.failing_since = now;
        }
        if view.failures < FAILURES_TO_EJECT || view.is_ejected(now) {
            return false;
        }
        view.ejected_until = now + view.ejection_time;
        view.ejection_time = (view.ejection_time * 2).min(EJECT_MAX);
        self.mark_reportable(id);
        true
    }

    /// Records that a plain server rejected a request. A server that rejects at once has few requests in flight and
    /// would otherwise look idle and attract more.
    pub fn note_rejection(&mut self, id: &str, now: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.note_rejection(now);
        }
    }

    /// Records that an engine declined its stage of a request or that its result was unusable: it may be changing its
    /// role, or its KV caches may expire too soon.
    pub fn note_declined(&mut self, id: &str, now: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.declines_until = now + DECLINE_TIME;
        }
    }

    /// Records that an engine had no memory for this many tokens.
    pub fn note_out_of_memory(&mut self, id: &str, tokens: u64, now: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.refused = Some((now + REFUSED_TIME, tokens));
        }
    }
}

// Converts a score to an integer, which is `Ord` and can be part of a sort key.
fn order(score: f64) -> u64 {
    (score * 1_000.0) as u64
}

fn sorted<'a, K: Ord>(
    views: impl Iterator<Item = &'a BackendView>,
    key: impl Fn(&BackendView) -> K,
) -> Vec<BackendInfo> {
    let mut ranked: Vec<(K, &BackendView)> = views.map(|view| (key(view), view)).collect();
    ranked.sort_by(|(a, _), (b, _)| a.cmp(b));
    ranked
        .into_iter()
        .map(|(_, view)| view.info.clone())
        .collect()
}
