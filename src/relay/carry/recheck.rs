//! Tests whether lost links to backend servers are back, and whether the hosts that carry connections still do.

use {
    super::connect,
    crate::{
        event,
        relay::{
            backend::BackendInfo, parts::shared::RelayParts, policy::link_tracker::ProbeVerdict,
        },
    },
    std::{rc::Rc, time::Duration},
};

/// Interval between checks for links that are due for a test.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which an accepted connection has to stay open.
const CLOSE_TIME: Duration = Duration::from_millis(20);

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
        let is_open = stays_open(&parts, &backend).await;
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

// Whether a server accepts a direct connection and does not close it at once.
async fn stays_open(parts: &RelayParts, backend: &BackendInfo) -> bool {
    let Ok(opened) = parts.pool.open_direct(backend.address).await else {
        return false;
    };
    let mut byte = [0];
    let reading = opened.stream.peek(&mut byte);
    tokio::time::timeout(CLOSE_TIME, reading).await.is_err()
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
