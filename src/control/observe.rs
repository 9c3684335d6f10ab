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
pub const READ_ROUND: Duration = Duration::from_millis(500);

/// Reads that a host makes in one round at most.
pub const READS_PER_ROUND: usize = READS_PER_SECOND * READ_ROUND.as_millis() as usize / 1_000;

impl ControlParts {
    pub(super) async fn observe_engines(self: Rc<Self>) {
        loop {
            let reads = self
                .oldest_engines()
                .into_iter()
                .map(|(name, address)| self.observe(name, address));
            futures::future::join_all(reads).await;
            let is_new = self.traffic.desk.read(|desk| {
                let mut views = desk.views();
                views.any(|view| view.reported_at().is_none())
            });
            let pause = match is_new {
                true => self.traffic.settings.observe_period.min(READ_ROUND),
                false => READ_ROUND,
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn oldest_engines(&self) -> Vec<(FastStr, SocketAddr)> {
        let period = self.traffic.settings.observe_period;
        let now = self.traffic.desk.now();
        self.traffic.desk.read(|desk| {
            let stale = desk.stale_engines(period, READS_PER_ROUND, now);
            stale
                .into_iter()
                .filter_map(|view| Some((view.info.name.clone(), view.info.address.parse().ok()?)))
                .collect()
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
                    desk.report_missed(&name, now);
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
