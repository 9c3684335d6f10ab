//! This host's shares of budgets that all hosts divide among them: retries, and connections to backend servers.

use {
    super::shared::RelayParts,
    crate::{
        account::UseReport,
        relay::{
            backend::BackendInfo,
            policy::{
                budget::{FleetDemand, RetryBudget, RetryCounts, RetryWindow},
                loads::{EngineKey, LoadReport, ServiceDemand},
                peer_loads::PEER_LOAD_TTL,
            },
        },
        web::{AnswerId, PoolTarget, PoolUse},
    },
    faststr::FastStr,
    std::time::Duration,
};

/// Fraction of a backend server's connection limit that the hosts divide among them. The rest is headroom: hosts learn of
/// each other's demand with a delay, and hosts that leave still count for a while.
const SHARED_CONNECTIONS_PART: f64 = 0.85;

/// Minimum number of connections that a host may open to a backend server. With many hosts, the share of each is below
/// one, and few of them need a connection at the same time.
const CONNECTIONS_MIN: usize = 4;

/// Retries per window, in addition to the fraction of its requests, for a host that does not know how many hosts share the
/// budget: enough for one or two. Operators configure at least two for each host.
const UNKNOWN_FLEET_EXTRA: f64 = 3.0;

/// Maximum number of engines whose load this host requests from others: each takes four bytes in a report and eight in
/// its response.
const WANTED_ENGINES_MAX: usize = 32;

/// Total demand of all other hosts by service, as last reported.
#[derive(Debug, Default)]
pub(super) struct OthersDemand {
    demands: Vec<ServiceDemand>,
    reported_at: Duration,
}

impl OthersDemand {
    // `None` if there is no recent report.
    fn of(&self, service: &str, now: Duration) -> Option<RetryCounts> {
        let mut recent = self.demands.iter();
        let known = recent.find(|demand| demand.service == service)?;
        let is_recent = now.saturating_sub(self.reported_at) < PEER_LOAD_TTL;
        is_recent.then_some(RetryCounts {
            requests: known.requests,
            retries: known.retries,
        })
    }
}

fn new_window() -> RetryWindow {
    RetryWindow::new(rand::random())
}

impl RelayParts {
    /// Counts a request for a service.
    pub fn count_request(&self, service: &FastStr) {
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        let window = self.allowance().window;
        let budget = budgets.entry(service.clone()).or_insert_with(new_window);
        budget.count_request(window, now);
    }

    /// Returns whether this host has received a request for any service.
    pub fn has_received_requests(&self) -> bool {
        !self.budgets.borrow().is_empty()
    }

    /// Counts a retry of a request to a service if the retry budget allows one; returns whether it does.
    pub fn spend_retry(&self, service: &FastStr) -> bool {
        self.spend(service, RetryWindow::allows_retry)
    }

    /// Like `spend_retry`, for the retry of a request whose caller already has part of the response and would lose it
    /// otherwise.
    pub fn spend_costly_retry(&self, service: &FastStr) -> bool {
        self.spend(service, RetryWindow::allows_speculative)
    }

    fn spend(
        &self,
        service: &FastStr,
        allows: fn(&mut RetryWindow, RetryBudget, &FleetDemand, Duration) -> bool,
    ) -> bool {
        let now = self.now();
        let fleet = self.fleet_demand(service);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(new_window);
        let allowed = allows(budget, self.allowance(), &fleet, now);
        if allowed {
            budget.count_retry(now);
            self.metrics.repeats.inc();
        }
        allowed
    }

    /// Returns whether the retry budget allows an attempt that counts as a retry if it fails.
    pub fn may_risk_retry(&self, service: &FastStr) -> bool {
        let now = self.now();
        let fleet = self.fleet_demand(service);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(new_window);
        budget.allows_speculative(self.allowance(), &fleet, now)
    }

    /// Counts a retry that was sent already: a prefill that an engine did not run.
    pub fn count_retry(&self, service: &FastStr) {
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        budgets
            .entry(service.clone())
            .or_insert_with(new_window)
            .count_retry(now);
        self.metrics.repeats.inc();
    }

    // A host that has no list of hosts yet, which would include itself, reduces its budget: after all hosts are lost,
    // each restarted one would otherwise use the budget of the whole fleet.
    fn allowance(&self) -> RetryBudget {
        let whole = self.settings.bounds.retries;
        let is_known = self.cluster.borrow().hosts().next().is_some();
        let extra = match is_known {
            true => whole.extra,
            false => whole.extra.min(UNKNOWN_FLEET_EXTRA),
        };
        RetryBudget { extra, ..whole }
    }

    /// Returns the address for a request to a backend server, with this host's share of its connections as the limit.
    pub fn pool_target(
        &self,
        backend: &BackendInfo,
        purpose: PoolUse,
        answer_id: Option<AnswerId>,
    ) -> PoolTarget {
        PoolTarget {
            address: backend.address,
            purpose,
            limit: self
                .connection_share(&backend.service)
                .unwrap_or(usize::MAX),
            kept: self.kept_use(backend, purpose),
            answer_id,
        }
    }

    // `None` if there is no limit. Engines limit concurrency by memory: a prompt that is already computed must not be lost
    // because no connection is free.
    fn connection_share(&self, name: &FastStr) -> Option<usize> {
        let routes = self.routes()?;
        let service = routes.config().service(name)?;
        if service.engine.is_some() {
            return None;
        }
        let share = self.fleet_demand(name).share(self.own_requests(name));
        let whole = f64::from(service.connection_limit?) * SHARED_CONNECTIONS_PART;
        Some(((whole * share) as usize).max(CONNECTIONS_MIN))
    }

    fn own_requests(&self, service: &FastStr) -> u64 {
        let now = self.now();
        let window = self.settings.bounds.retries.window;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.get_mut(service);
        budget.map_or(0, |budget| budget.counts(window, now).requests)
    }

    /// Returns the known demand of all hosts for a service.
    pub fn fleet_demand(&self, service: &str) -> FleetDemand {
        FleetDemand {
            hosts: self.cluster.borrow().host_count(),
            others: self.others_demand.borrow().of(service, self.now()),
        }
    }

    /// Returns the report of this host's load for other hosts.
    pub fn load_report(&self) -> LoadReport {
        let now = self.now();
        let window = self.settings.bounds.retries.window;
        let mut budgets = self.budgets.borrow_mut();
        let demands = budgets.iter_mut().map(|(service, budget)| {
            let counts = budget.counts(window, now);
            ServiceDemand {
                service: service.clone(),
                requests: counts.requests,
                retries: counts.retries,
            }
        });
        let mut loads = self.book.borrow_mut().loads(now);
        self.withhold_distrusted(&mut loads);
        LoadReport {
            loads,
            demands: demands.collect(),
            requested: self.wanted_keys(),
            priorities: self.own_priority_loads(),
            accounts: UseReport {
                uses: self.take_unreported_uses(),
                ..UseReport::default()
            },
            is_store_lost: false,
        }
    }

    // With few hosts, every engine is preferred; the list may be cut because the load of the fullest engines is reported in
    // any case.
    fn wanted_keys(&self) -> Vec<EngineKey> {
        self.update_preferred_engines();
        let mut keys = self.book.borrow().preferred_keys();
        keys.truncate(WANTED_ENGINES_MAX);
        keys
    }

    /// Applies the combined report of all other hosts.
    pub fn apply_fleet_report(&self, report: LoadReport) {
        let now = self.now();
        self.apply_use_report(&report.accounts);
        self.set_priority_loads(report.priorities, now);
        self.book.borrow_mut().set_peer_loads(&report.loads, now);
        *self.others_demand.borrow_mut() = OthersDemand {
            demands: report.demands,
            reported_at: now,
        };
    }
}
