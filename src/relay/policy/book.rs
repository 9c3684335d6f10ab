//! What this host knows of each backend server, from its own requests, and whom it would choose.
//!
//! A plain state machine: what happened and the time go in, an order of preference comes out.

use {
    super::{
        availability::AvailabilityTracker,
        changes::BackendChanges,
        limit_tracker::{LimitTracker, PermitState, PermitWait},
        loads::{EngineKey, EngineLoad},
        view::{BackendFailure, BackendView, EJECT_FIRST, FAILURES_TO_EJECT},
    },
    crate::relay::backend::BackendInfo,
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Longest time that one is passed over: a restart takes a few seconds.
const EJECT_LONGEST: Duration = Duration::from_secs(4);

/// Weight of the newest answer in the share of failed answers.
const ERROR_WEIGHT: f64 = 0.15;

/// How long an engine that had no room is not asked again for as much.
const REFUSED_TIME: Duration = Duration::from_millis(60);

/// Prompt tokens a second that a prefill engine computes, before any was observed.
const PREFILL_RATE: f64 = 20_000.0;

/// How long an engine that declined is passed over: a change of role takes some seconds, and each look
/// costs a repeat.
const DECLINE_TIME: Duration = Duration::from_millis(1_500);

/// How long what other hosts' requests take at engines is taken to stay as they last reported.
pub(crate) const OTHERS_LIFE: Duration = Duration::from_millis(1_500);

/// Requests in progress that a backoff which has just ended counts as: work comes back step by step.
const RETURN_PENALTY: f64 = 6.0;

/// Other hosts from which on a backend server is passed over that fails them: one alone may be cut off from
/// it.
const OTHERS_TO_EJECT: u32 = 2;

/// What is known of a send, for the choice of its server.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendWish {
    /// How urgent the request is, 0 the most.
    pub rank: u8,
    /// Only servers without a limit come into question: a second send while another is in progress, whose permit would be
    /// another request's, or one that had no permit at several.
    pub needs_no_permit: bool,
}

/// Where a plain request is sent next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlainChoice {
    /// To this server.
    Send(BackendInfo),
    /// To none: all that are left fail, and others show whether they answer again.
    Unreachable,
    /// To none: all that are left are rate-limited, and no permit is left there before this time is over.
    NoPermit(PermitWait),
    /// To none: all were tried, or none is listed.
    NoneLeft,
}

/// All backend servers that this host may send to.
#[derive(Debug)]
pub struct BackendBook {
    pub(super) views: BTreeMap<FastStr, BackendView>,
    next_call: u64,
    // When the others' loads were told.
    others_at: Option<Duration>,
    // Prompt tokens a second that prefill engines were seen to compute at best.
    pub(super) prefill_rate: f64,
    /// Those that name a limit.
    pub limits: LimitTracker,
    /// Those that are leaving, or asked this host to back off.
    pub availability: AvailabilityTracker,
}

impl Default for BackendBook {
    fn default() -> Self {
        Self {
            views: BTreeMap::new(),
            next_call: 0,
            others_at: None,
            prefill_rate: PREFILL_RATE,
            limits: LimitTracker::default(),
            availability: AvailabilityTracker::default(),
        }
    }
}

impl BackendBook {
    /// Takes the list of backend servers; what is known of those that stay is kept. Gives what is other than
    /// before.
    pub fn set_backends(&mut self, backends: Vec<BackendInfo>) -> BackendChanges {
        let mut changes = BackendChanges::default();
        let mut known = std::mem::take(&mut self.views);
        for info in backends {
            let before = known.remove(&info.id);
            if before.as_ref().is_none_or(|view| view.info != info) {
                changes.note(before.as_ref().map(|view| &view.info), &info);
            }
            // A run that begins anew under its id knows nothing of before, and nothing is known of it.
            let view = match before {
                Some(view) if view.info.born == info.born => BackendView {
                    run: info.run(),
                    info,
                    ..view
                },
                _ => BackendView::new(info),
            };
            self.views.insert(view.info.id.clone(), view);
        }
        changes.gone = known.into_keys().collect();
        changes
    }

    /// Takes the engines that this host works with first; all others come after them.
    pub fn set_preferred(&mut self, preferred: &BTreeSet<FastStr>) {
        for view in self.views.values_mut() {
            view.is_preferred = preferred.contains(&view.info.id);
        }
    }

    /// The engines that this host works with first, as reports name them.
    pub fn preferred_keys(&self) -> Vec<EngineKey> {
        let engines = self.views.values().filter(|view| view.info.role.is_some());
        let preferred = engines.filter(|view| view.is_preferred);
        preferred.map(|view| view.key).collect()
    }

    /// What is known of one.
    pub fn view(&self, id: &str) -> Option<&BackendView> {
        self.views.get(id)
    }

    /// Whether a run is the one that is listed under its id now: what becomes of an earlier one tells nothing of it.
    pub fn is_current(&self, backend: &BackendInfo) -> bool {
        self.view(&backend.id)
            .is_some_and(|view| view.info.born == backend.born)
    }

    /// Those of some runs that are listed.
    pub fn listed(&self, runs: &BTreeSet<EngineKey>) -> Vec<BackendInfo> {
        let views = self.views.values();
        let listed = views.filter(|view| runs.contains(&view.key));
        listed.map(|view| view.info.clone()).collect()
    }

    /// Whether a later run is listed under the id of this one.
    pub fn has_begun_anew(&self, backend: &BackendInfo) -> bool {
        self.view(&backend.id)
            .is_some_and(|view| view.info.born > backend.born)
    }

    /// What is known of all.
    pub fn views(&self) -> impl Iterator<Item = &BackendView> {
        self.views.values()
    }

    /// One says itself, or by silence, that it takes no new work.
    pub fn set_leaving(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.info.leaving = true;
        }
    }

    /// The backend servers of a plain service that were not tried, best first.
    pub fn rank_plain(
        &self,
        service: &str,
        zone: &str,
        tried: &[FastStr],
        now: Duration,
    ) -> Vec<BackendInfo> {
        let views = self
            .usable(service, now)
            .filter(|view| !tried.contains(&view.info.id));
        sorted(views, |view| {
            let returning = self.availability.ramp_up_remaining(&view.run, now) * RETURN_PENALTY;
            (
                self.is_passed_over(view, now),
                order(view.plain_score(zone, now) + returning),
                self.limits.order(view.key, now),
            )
        })
    }

    /// Where a plain request is sent next.
    ///
    /// Answers a zone that is cut off without a server of its own, or a service that is down as a whole: each
    /// request would wait for a connection, 0.3 s a server, and be refused after all. One at a time shows
    /// whether a server answers again, the others are refused at once.
    pub fn choose_plain(
        &self,
        service: &str,
        zone: &str,
        tried: &[FastStr],
        wish: SendWish,
        now: Duration,
    ) -> PlainChoice {
        let mut ranked = self.rank_plain(service, zone, tried, now);
        let mut wait = None;
        ranked.retain(|info| {
            let server = info.key();
            match self.limits.permit(server, wish.rank, now) {
                PermitState::Unlimited => true,
                PermitState::Held | PermitState::MustRequest => !wish.needs_no_permit,
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
        if !self.is_passed_over(view, now) {
            return PlainChoice::Send(best.clone());
        }
        // A request that has found one of them out of reach is not held for another.
        let mut views = ranked.iter().map(|info| &self.views[&info.id]);
        let untried = views.find(|view| tried.is_empty() && !view.is_being_tried());
        match untried {
            Some(view) => PlainChoice::Send(view.info.clone()),
            None => PlainChoice::Unreachable,
        }
    }

    /// The servers of a service that are rate-limited and have no permit left for a request of a rank.
    pub fn without_permit(&self, service: &str, rank: u8, now: Duration) -> Vec<FastStr> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        let is_empty = |view: &&BackendView| {
            matches!(
                self.limits.permit(view.key, rank, now),
                PermitState::Denied(_)
            )
        };
        let views = self.usable(service, now).filter(is_empty);
        views.map(|view| view.info.id.clone()).collect()
    }

    /// What the requests of this host take at engines, and which backend servers it passes over.
    pub fn loads(&self, now: Duration) -> Vec<EngineLoad> {
        let views = self.views.values();
        let told =
            views.filter(|view| view.memory_tokens + view.prefill_tokens > 0 || view.is_out(now));
        told.map(|view| EngineLoad {
            engine: view.key,
            memory_tokens: view.memory_tokens,
            passed_over: u32::from(view.is_out(now)),
        })
        .collect()
    }

    /// What the requests of all other hosts take at engines; none where none is named.
    pub fn set_others(&mut self, loads: &[EngineLoad], now: Duration) {
        let told: BTreeMap<EngineKey, &EngineLoad> =
            loads.iter().map(|load| (load.engine, load)).collect();
        for view in self.views.values_mut() {
            let load = told.get(&view.key);
            view.others_tokens = load.map_or(0, |load| load.memory_tokens);
            view.others_out = load.map_or(0, |load| load.passed_over);
        }
        self.others_at = Some(now);
    }

    fn knows_others(&self, now: Duration) -> bool {
        let told = self.others_at;
        told.is_some_and(|at| now.saturating_sub(at) < OTHERS_LIFE)
    }

    /// Tokens that requests take at an engine, as far as is known.
    pub(super) fn known_tokens(&self, view: &BackendView, now: Duration) -> u64 {
        let others = if self.knows_others(now) {
            view.others_tokens
        } else {
            0
        };
        view.memory_tokens + others
    }

    /// Whether this host, or enough others, pass a backend server over.
    pub(super) fn is_passed_over(&self, view: &BackendView, now: Duration) -> bool {
        let others_do = self.knows_others(now) && view.others_out >= OTHERS_TO_EJECT;
        view.is_out(now) || view.is_on_trial() || others_do
    }

    pub(super) fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a BackendView> {
        self.views
            .values()
            .filter(move |view| view.info.service == service && self.in_rotation(view, now))
    }

    /// A request was sent, under which servers ended before or not; its number ends it.
    pub fn call_began(&mut self, id: &str, is_suspected: bool, now: Duration) -> u64 {
        self.next_call += 1;
        if let Some(view) = self.views.get_mut(id) {
            view.calls.insert(self.next_call, now);
            if is_suspected {
                view.suspects.insert(self.next_call);
            }
        }
        self.next_call
    }

    /// A request is no longer in progress.
    pub fn call_ended(&mut self, id: &str, call: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.calls.remove(&call);
            view.suspects.remove(&call);
        }
    }

    /// An answer came, good or not.
    pub fn answered(&mut self, id: &str, is_good: bool) {
        if let Some(view) = self.views.get_mut(id) {
            let failed = f64::from(u8::from(!is_good));
            view.error_share += ERROR_WEIGHT * (failed - view.error_share);
            view.failures = 0;
            if is_good {
                view.out_until = Duration::ZERO;
                view.out_time = EJECT_FIRST;
            }
        }
    }

    /// No answer came: the connection failed, or it stayed silent. Gives whether the backend server
    /// is passed over from now on.
    pub fn failed(&mut self, id: &str, failure: BackendFailure, now: Duration) -> bool {
        let Some(view) = self.views.get_mut(id) else {
            return false;
        };
        view.error_share += ERROR_WEIGHT * (1.0 - view.error_share);
        let was_failing = view.failures >= FAILURES_TO_EJECT;
        view.failures += match failure {
            BackendFailure::Broken => 1,
            // Each look at a silent server costs the requests behind it as long a wait again.
            BackendFailure::Silent => FAILURES_TO_EJECT,
        };
        if view.failures >= FAILURES_TO_EJECT && !was_failing {
            view.failing_since = now;
        }
        if view.failures < FAILURES_TO_EJECT || view.is_out(now) {
            return false;
        }
        view.out_until = now + view.out_time;
        view.out_time = (view.out_time * 2).min(EJECT_LONGEST);
        true
    }

    /// A plain server turned a request away. One that does so at once has few in progress, and is not to draw more by that.
    pub fn turned_away(&mut self, id: &str, now: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.note_turned_away(now);
        }
    }

    /// An engine declined its part of a request, or its part was of no use: it may be changing its
    /// role, or its caches may lapse too soon.
    pub fn declined(&mut self, id: &str, now: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.declines_until = now + DECLINE_TIME;
        }
    }

    /// An engine had no room for this many tokens.
    pub fn refused(&mut self, id: &str, tokens: u64, now: Duration) {
        if let Some(view) = self.views.get_mut(id) {
            view.refused = Some((now + REFUSED_TIME, tokens));
        }
    }

    /// Memory at an engine is taken by a request of this host.
    pub fn memory_taken(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.memory_tokens += tokens;
        }
    }

    /// Memory at an engine is free again.
    pub fn memory_freed(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.memory_tokens = view.memory_tokens.saturating_sub(tokens);
            view.refused = None;
        }
    }

    /// A prefill of this many tokens was sent.
    pub fn prefill_began(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.prefill_tokens += tokens;
        }
    }

    /// A prefill of this many tokens is no longer in progress.
    pub fn prefill_ended(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.prefill_tokens = view.prefill_tokens.saturating_sub(tokens);
        }
    }
}

// Scores as whole numbers, so that they can be compared with other keys.
fn order(score: f64) -> u64 {
    (score * 1_000.0) as u64
}

pub(super) fn sorted<'a, K: Ord>(
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
