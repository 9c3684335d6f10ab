//! Tests whether lost links to backend servers are back, and whether the hosts that carry connections still do.

use {
    super::connect,
    crate::{
        event,
        relay::{parts::shared::RelayParts, policy::link_tracker::ProbeVerdict},
    },
    std::{rc::Rc, time::Duration},
};

/// Interval between checks for links that are due for a test.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between questions to each host that carries connections: one that is about to stop carries those in
/// progress to their end, and takes no new ones.
const CARRIER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Tests lost links, one at a time, for as long as the host runs.
pub(crate) async fn test_lost_links(parts: Rc<RelayParts>) {
    loop {
        tokio::time::sleep(PROBE_CHECK_INTERVAL).await;
        let now = parts.now();
        let due = parts.links.borrow_mut().next_probe(now);
        let backend = due.and_then(|server| parts.book.borrow().listed_run(server));
        let Some(backend) = backend else {
            continue;
        };
        let is_open = parts.pool.open_direct(backend.address).await.is_ok();
        let now = parts.now();
        let verdict = parts
            .links
            .borrow_mut()
            .record_probe(backend.key(), is_open, now);
        if verdict == ProbeVerdict::Back {
            parts.pool.forget_carried(backend.address);
            parts.update_lost_links();
        }
    }
}

/// Asks the hosts that carry connections of this one whether they still do, for as long as the host runs.
pub(crate) async fn check_carriers(parts: Rc<RelayParts>) {
    loop {
        tokio::time::sleep(CARRIER_CHECK_INTERVAL).await;
        parts.carriers.borrow_mut().evict(parts.now());
        for carrier in parts.pool.carriers() {
            if connect::is_available(carrier.address, parts.asking_host()).await {
                continue;
            }
            parts.pool.retire_carrier(&carrier);
            event::emit(&event::CARRIER_RETIRED, &[("host", &carrier.name)]);
        }
    }
}
