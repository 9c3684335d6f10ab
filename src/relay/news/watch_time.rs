//! How long watches on the store wait for changes.

use {
    super::feed::StoreReader,
    crate::relay::{link::StoreKind, policy::source::stale_age},
    std::time::Duration,
};

/// Timeout of a watch on the configuration or the backend servers, as a fraction of the age at which a view counts as
/// out of date: a hanging watch is detected before that, and other hosts learn how old this host's view may be.
const WATCH_TIME_FRACTION: f64 = 0.5;

/// Timeout of a watch on the hosts; nothing urgent depends on them.
const HOSTS_WATCH_TIME: Duration = Duration::from_secs(20);

/// Timeout of a watch on the evacuations, as a fraction of the time in which they have to be in force: a hanging watch
/// is detected, and repeated, within the rest of that time.
const EVACUATION_WATCH_FRACTION: f64 = 0.4;

/// Timeout of the watch after a list that may be stale, or after a period without reading: it only has to return the
/// missing changes. A host that probes an unresponsive store in its turn is useful to the others only once that watch
/// has returned, which is 0.9 s earlier than with the usual timeout.
pub(super) const CONFIRMING_WATCH_TIME: Duration = Duration::from_millis(1);

impl StoreReader {
    /// How long the next watch on a kind waits for changes.
    pub(super) fn watch_wait(&self, kind: StoreKind) -> Duration {
        match kind {
            StoreKind::Hosts => HOSTS_WATCH_TIME,
            _ if self.parts.needs_refresh(kind) => CONFIRMING_WATCH_TIME,
            StoreKind::Backends if self.backends_unconfirmed.get() => CONFIRMING_WATCH_TIME,
            StoreKind::Config if self.config_unconfirmed.get() => CONFIRMING_WATCH_TIME,
            StoreKind::Config => self.config_watch_time(),
            StoreKind::Evacuations => self.evacuation_watch_time(),
            _ => self.watch_time(),
        }
    }

    fn watch_time(&self) -> Duration {
        stale_age(self.parts.settings.bounds.change_time).mul_f64(WATCH_TIME_FRACTION)
    }

    fn evacuation_watch_time(&self) -> Duration {
        let bound = self.parts.settings.bounds.evacuation_time;
        let longest = bound.map(|bound| bound.mul_f64(EVACUATION_WATCH_FRACTION));
        longest.unwrap_or_default()
    }

    // Where account keys are valid only for a bounded time after the configuration was proved current, each watch
    // renews that proof.
    fn config_watch_time(&self) -> Duration {
        let has_accounts = self
            .parts
            .routes()
            .is_some_and(|routes| routes.accounts().is_some());
        let renewed = self.parts.settings.bounds.keys.renewal_interval();
        match renewed.filter(|_| has_accounts) {
            Some(time) => time.min(self.watch_time()),
            None => self.watch_time(),
        }
    }
}
