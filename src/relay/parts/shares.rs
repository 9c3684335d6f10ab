//! This host's shares of what all hosts have together: repeats of requests, and connections to backend servers.

use {
    super::shared::RelayParts,
    crate::{
        account::UseReport,
        relay::{
            backend::BackendInfo,
            policy::{
                budget::{FleetDemand, RetryBudget, RetryCounts, RetryWindow},
                loads::{EngineKey, LoadReport, ServiceDemand},
                registry::PEER_LOAD_TTL,
            },
        },
        web::{PoolTarget, PoolUse},
    },
    faststr::FastStr,
    std::time::Duration,
};

/// Part of the connections that a backend server accepts from all hosts together that they share out: hosts
/// hear late of each other's demand, and those that come and go count for a while.
const CONNECTIONS_PART: f64 = 0.85;

/// Connections that a host may always have to a backend server: many hosts have a share of less than one, and
/// few of them need it at the same time.
const CONNECTIONS_LEAST: usize = 4;

/// Repeats in a window, beyond the share of its requests, of a host that does not know among how many the
/// allowance is to be shared out: enough for one or two. Operators allow at least two for each host.
const EXTRA_UNKNOWN: f64 = 3.0;

/// Engines of which this host asks to be told at most: four bytes each in a report, eight in its answer.
const WANTED_MOST: usize = 32;

/// What all other hosts together count by service, as they last told.
#[derive(Debug, Default)]
pub(super) struct OthersDemand {
    demands: Vec<ServiceDemand>,
    told: Duration,
}

impl OthersDemand {
    // None where it was told too long ago.
    fn of(&self, service: &str, now: Duration) -> Option<RetryCounts> {
        let mut recent = self.demands.iter();
        let known = recent.find(|demand| demand.service == service)?;
        let is_recent = now.saturating_sub(self.told) < PEER_LOAD_TTL;
        is_recent.then_some(RetryCounts {
            requests: known.requests,
            retries: known.retries,
        })
    }
}

impl RelayParts {
    /// Counts a request for a service.
    pub fn count_request(&self, service: &FastStr) {
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        let window = self.allowance().window;
        let budget = budgets.entry(service.clone()).or_default();
        budget.count_request(window, now);
    }

    /// Whether a request for any service has come yet.
    pub fn has_served(&self) -> bool {
        !self.budgets.borrow().is_empty()
    }

    /// Whether one repeat more may be sent to a service; if so, it is counted.
    pub fn spend_repeat(&self, service: &FastStr) -> bool {
        self.spend(service, RetryWindow::allows_retry)
    }

    /// The same for a repeat without which part of an answer is lost that its caller has already.
    pub fn spend_dear_repeat(&self, service: &FastStr) -> bool {
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
        let budget = budgets.entry(service.clone()).or_default();
        let allowed = allows(budget, self.allowance(), &fleet, now);
        if allowed {
            budget.count_retry(now);
            self.metrics.repeats.inc();
        }
        allowed
    }

    /// Whether a send may be made that counts as a repeat if it fails.
    pub fn may_risk_repeat(&self, service: &FastStr) -> bool {
        let now = self.now();
        let fleet = self.fleet_demand(service);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.allows_speculative(self.allowance(), &fleet, now)
    }

    /// Counts a repeat that was sent already: a prefill that an engine did not do.
    pub fn count_repeat(&self, service: &FastStr) {
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().count_retry(now);
        self.metrics.repeats.inc();
    }

    // A host that knows no hosts yet, not even itself, is one of an unknown number: after the loss of all of
    // them each would take the whole allowance for its own.
    fn allowance(&self) -> RetryBudget {
        let whole = self.settings.bounds.retries;
        let is_known = self.cluster.borrow().hosts().next().is_some();
        let extra = match is_known {
            true => whole.extra,
            false => whole.extra.min(EXTRA_UNKNOWN),
        };
        RetryBudget { extra, ..whole }
    }

    /// Where a request to a backend server goes, and this host's share of the connections there.
    pub fn pool_target(&self, backend: &BackendInfo, purpose: PoolUse) -> PoolTarget {
        PoolTarget {
            address: backend.address,
            purpose,
            limit: self
                .connection_share(&backend.service)
                .unwrap_or(usize::MAX),
        }
    }

    // None where it is not bounded. At engines it is memory that bounds what runs: a prompt that is computed
    // already is not to be lost for want of a connection.
    fn connection_share(&self, name: &FastStr) -> Option<usize> {
        let routes = self.routes()?;
        let service = routes.config().service(name)?;
        if service.engine.is_some() {
            return None;
        }
        let share = self.fleet_demand(name).share(self.own_requests(name));
        let whole = f64::from(service.connection_limit?) * CONNECTIONS_PART;
        Some(((whole * share) as usize).max(CONNECTIONS_LEAST))
    }

    fn own_requests(&self, service: &FastStr) -> u64 {
        let now = self.now();
        let window = self.settings.bounds.retries.window;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.get_mut(service);
        budget.map_or(0, |budget| budget.counts(window, now).requests)
    }

    /// What is known of the demand of all hosts for a service.
    pub fn fleet_demand(&self, service: &str) -> FleetDemand {
        FleetDemand {
            hosts: self.cluster.borrow().host_count(),
            others: self.others.borrow().of(service, self.now()),
        }
    }

    /// What this host tells others of its requests.
    pub fn own_report(&self) -> LoadReport {
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
        LoadReport {
            loads: self.book.borrow().loads(now),
            demands: demands.collect(),
            requested: self.wanted_keys(),
            accounts: UseReport {
                uses: self.untold_uses(),
                ..UseReport::default()
            },
            is_store_lost: false,
        }
    }

    // Where there are few hosts all engines are worked with, and the fullest of them are told anyway.
    fn wanted_keys(&self) -> Vec<EngineKey> {
        let mut keys = self.book.borrow().preferred_keys();
        keys.truncate(WANTED_MOST);
        keys
    }

    /// Takes what all other hosts tell together.
    pub fn take_others(&self, report: LoadReport) {
        let now = self.now();
        self.take_near(&report.accounts);
        self.book.borrow_mut().set_peer_loads(&report.loads, now);
        *self.others.borrow_mut() = OthersDemand {
            demands: report.demands,
            told: now,
        };
    }
}
