//! Detects whether a backend server has crashed or stopped, with one probe for all requests whose connections to it broke.

use {
    super::shared::RelayParts,
    crate::{
        relay::{
            backend::BackendInfo,
            policy::{ended_runs::EndedRuns, loads::EngineKey},
        },
        web::{self, ProbeOutcome},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Intervals at which to check whether the server was restarted under the same id, if its address still accepts
/// connections. Starts take seconds, and the entry of the new run follows a moment later.
const RESTART_CHECK_DELAYS: [Duration; 3] = [
    Duration::from_millis(800),
    Duration::from_millis(1_200),
    Duration::from_millis(2_000),
];

/// Time in which a server that ends closes all its connections, one after the other.
const CLOSE_TIME: Duration = Duration::from_millis(100);

// A running probe, and the tasks that wait for its outcome.
#[derive(Debug, Default)]
struct EndProbe {
    outcome: Cell<Option<ProbeOutcome>>,
    finished: Notify,
}

/// The running probes, and the runs of servers that are known to have ended.
#[derive(Debug, Default)]
pub struct EndProbes {
    running: RefCell<HashMap<EngineKey, Rc<EndProbe>>>,
    ended: RefCell<EndedRuns>,
}

impl RelayParts {
    /// Returns whether a backend server has ended, after a connection to it broke.
    ///
    /// Connections also break because of a reset, a network partition or a corrupt response. An address that refuses
    /// connections, also those of another host, shows that the server has ended.
    pub async fn has_ended(&self, backend: &BackendInfo) -> bool {
        let now = self.now();
        let ended = &self.end_probes.ended;
        // Before the probe, during which another run may answer at the address.
        ended
            .borrow_mut()
            .record_break(backend.key(), backend.address, now);
        if self.probe_once(backend).await == ProbeOutcome::Refused {
            self.record_run_end(backend);
            return true;
        }
        for delay in RESTART_CHECK_DELAYS {
            tokio::time::sleep(delay).await;
            if self.book.borrow().has_restarted(backend) {
                self.record_run_end(backend);
                return true;
            }
        }
        false
    }

    fn record_run_end(&self, backend: &BackendInfo) {
        let mut ended = self.end_probes.ended.borrow_mut();
        ended.record_end(backend.key(), self.now());
    }

    /// Returns whether a backend server has ended, after it closed a connection in an orderly way. It also does that at the
    /// end of a response that nothing else ends, so it is not probed while another connection to it is open.
    pub async fn has_ended_orderly(&self, backend: &BackendInfo) -> bool {
        tokio::time::sleep(CLOSE_TIME).await;
        !self.pool.has_open_idle(backend.address) && self.has_ended(backend).await
    }

    /// Whether a run of a server is known to have ended. That it is not listed does not show it.
    pub fn has_known_end(&self, server: EngineKey) -> bool {
        self.end_probes.ended.borrow().has_ended(server)
    }

    /// Records that a run of a server answered a request, and not that it is another run.
    pub fn record_run_answer(&self, backend: &BackendInfo) {
        let mut ended = self.end_probes.ended.borrow_mut();
        ended.record_answer(backend.key(), backend.address, self.now());
    }

    // Requests whose connections break at the same moment share one probe.
    async fn probe_once(&self, backend: &BackendInfo) -> ProbeOutcome {
        let key = EngineKey::of_run(&backend.id, backend.born);
        let running = self.end_probes.running.borrow().get(&key).cloned();
        if let Some(probe) = running {
            return probe.outcome().await;
        }
        let probe = Rc::new(EndProbe::default());
        let running = &self.end_probes.running;
        running.borrow_mut().insert(key, probe.clone());
        let open = |address| self.settings.pool.opener.open(address);
        let mut outcome = web::probe_patiently(open, backend.address).await;
        if outcome == ProbeOutcome::Refused && !self.is_refused_elsewhere(backend).await {
            outcome = ProbeOutcome::Silent;
        }
        running.borrow_mut().remove(&key);
        probe.outcome.set(Some(outcome));
        probe.finished.notify_waiters();
        outcome
    }
}

impl EndProbe {
    async fn outcome(&self) -> ProbeOutcome {
        loop {
            let finished = self.finished.notified();
            if let Some(outcome) = self.outcome.get() {
                return outcome;
            }
            finished.await;
        }
    }
}
