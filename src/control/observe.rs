//! Reading engines' load where the answers to requests have not brought it.

use {
    super::parts::ControlParts,
    crate::{engine, event, web::WebFailure},
    faststr::FastStr,
    http::Method,
    std::{fmt::Display, net::SocketAddr, rc::Rc, time::Duration},
};

/// Reads a second that a host makes at most, however many engines it uses.
pub const READS_PER_SECOND: usize = 6;

/// How often the engines whose news is oldest are looked for.
const ROUND: Duration = Duration::from_millis(500);

impl ControlParts {
    pub(super) async fn observe_engines(self: Rc<Self>) {
        loop {
            let (engines, is_fresh) = self.oldest_engines();
            let reads = engines
                .into_iter()
                .map(|(name, address)| self.observe(name, address));
            futures::future::join_all(reads).await;
            let pause = match is_fresh {
                true => ROUND,
                false => self.traffic.settings.observe_period.min(ROUND),
            };
            tokio::time::sleep(pause).await;
        }
    }

    // The engines with the oldest news; all that were never heard of, whose number is bounded.
    fn oldest_engines(&self) -> (Vec<(FastStr, SocketAddr)>, bool) {
        let period = self.traffic.settings.observe_period;
        let most = READS_PER_SECOND * ROUND.as_millis() as usize / 1_000;
        self.traffic.desk.read(|desk| {
            let now = self.traffic.desk.now();
            let mut stale: Vec<_> = desk
                .views()
                .map(|view| (view.reported_at(), view))
                .filter(|(at, _)| at.is_none_or(|at| now.saturating_sub(at) >= period))
                .collect();
            stale.sort_by_key(|(at, view)| (*at, view.info.name.clone()));
            let unknown = stale.iter().filter(|(at, _)| at.is_none()).count();
            let engines = stale
                .into_iter()
                .take(most.max(unknown))
                .filter_map(|(_, view)| {
                    Some((view.info.name.clone(), view.info.address.parse().ok()?))
                })
                .collect();
            (engines, unknown == 0)
        })
    }

    async fn observe(&self, name: FastStr, address: SocketAddr) {
        self.traffic.metrics.load_reads.inc();
        match self.read_load(address).await {
            Ok(report) => self
                .traffic
                .desk
                .change(|desk, now| desk.reported(&name, report, now)),
            Err(failure) => {
                let ejected = self.traffic.desk.change(|desk, now| {
                    desk.asked(&name, now);
                    desk.failed(&name, now)
                });
                if ejected {
                    let fields: [(&str, &dyn Display); 2] = [("engine", &name), ("why", &failure)];
                    event::emit(&event::ENGINE_EJECTED, &fields);
                }
            }
        }
    }

    /// Reads one engine's load.
    pub(super) async fn read_load(
        &self,
        address: SocketAddr,
    ) -> Result<engine::LoadReport, WebFailure> {
        let time = engine::CALL_TIMEOUT;
        self.traffic
            .client
            .json::<(), _>(Method::GET, address, "/v1/load", None, time)
            .await
    }
}
