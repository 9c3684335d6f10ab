//! Logs the host's counters periodically, so that the logs of hundreds of hosts show which calls were made, and how
//! often, without a line for each call.

use {
    super::parts::{metric_labels::StoreCause, shared::RelayParts},
    crate::{
        event,
        web::{BudgetMetrics, PoolUse},
    },
    std::{rc::Rc, time::Duration},
};

/// Interval between log lines. One line of 200 bytes per interval is a hundredth of what a host logs about its
/// requests; counts after the last line of a host that loses power are lost.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Logs the counters for as long as the host runs. All are totals since its start, except the two ages and the store
/// position.
pub async fn log_figures(parts: Rc<RelayParts>) {
    let mut limited = 0;
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        log_once(&parts);
        let count = parts.metrics.callers.limited_count();
        if count != limited {
            log_limits(&parts.metrics.callers);
            limited = count;
        }
    }
}

fn log_limits(metrics: &BudgetMetrics) {
    event::emit(
        &event::CALLERS_LIMITED,
        &[
            ("held", &metrics.held_bytes.get()),
            ("connections", &metrics.connections.get()),
            ("bodies_refused", &metrics.refused_bodies.get()),
            ("bodies_evicted", &metrics.evicted_bodies.get()),
            ("connections_refused", &metrics.refused_connections.get()),
            ("connections_evicted", &metrics.evicted_connections.get()),
            ("answers_unbuffered", &metrics.unbuffered_answers.get()),
        ],
    );
}

/// Logs the current values of the counters.
pub fn log_once(parts: &RelayParts) {
    let metrics = &parts.metrics;
    let age = parts.cluster.borrow().age(parts.now());
    let opened = |purpose| parts.pool.counts(purpose).opened;
    event::emit(
        &event::HOST_FIGURES,
        &[
            ("lists", &metrics.store_calls(StoreCause::List)),
            ("watches", &metrics.store_calls(StoreCause::Watch)),
            ("while_lost", &metrics.store_calls(StoreCause::WhileLost)),
            ("lease", &metrics.store_calls(StoreCause::Lease)),
            ("entry", &metrics.store_calls(StoreCause::Entry)),
            ("opened", &parts.pool.opened()),
            ("reused", &parts.pool.reused()),
            ("opened_plain", &opened(PoolUse::Plain)),
            ("opened_prefill", &opened(PoolUse::Prefill)),
            ("opened_decode", &opened(PoolUse::Decode)),
            ("opened_reserve", &opened(PoolUse::Reserve)),
            ("opened_free", &opened(PoolUse::Free)),
            ("opened_ask", &opened(PoolUse::Ask)),
            ("news_told", &metrics.news_told.get()),
            ("position", &parts.cluster.borrow().backends_position()),
            ("store_heard_ms", &parts.store_heard_ms()),
            ("age_ms", &age.map_or(-1, |age| age.as_millis() as i64)),
        ],
    );
}
