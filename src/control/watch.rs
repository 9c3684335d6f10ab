//! Watching the platform: two hosts of a zone do it, the others hear of it from them.

use {
    super::{
        config::{AcceptedConfig, ConfigOffer, ConfigStep},
        parts::ControlParts,
    },
    crate::{
        event,
        object::{AnyObject, ObjectFault},
        store::{self, StoreFailure},
    },
    std::{rc::Rc, time::Duration},
};

/// Wait after the platform failed.
const PLATFORM_PAUSE: Duration = Duration::from_millis(500);

/// How often a host looks whether it has become a watcher.
const ROLE_PERIOD: Duration = Duration::from_secs(1);

/// Live hosts of a zone for which one reads the platform in each resync period, besides watchers.
const HOSTS_PER_RESYNC: u32 = 4;

impl ControlParts {
    pub(super) async fn watch_platform(self: Rc<Self>) {
        loop {
            match self.read_platform().await {
                Ok(version) => self.wait_for_change(version).await,
                Err(failure) => {
                    self.lost_platform(&failure);
                    tokio::time::sleep(PLATFORM_PAUSE).await;
                }
            }
        }
    }

    // Until there is reason to read again.
    async fn wait_for_change(&self, version: u64) {
        if self.is_watcher() {
            self.traffic.metrics.platform_calls.inc();
            let resync = self.traffic.settings.resync;
            match self.platform.changed(version, resync).await {
                Ok(()) | Err(StoreFailure::Gone) => {}
                Err(_) => tokio::time::sleep(PLATFORM_PAUSE).await,
            }
            return;
        }
        let live = self.state.borrow().members.live_in_zone().count() as u32;
        let factor = (live / HOSTS_PER_RESYNC).max(1);
        let mut rest = self.traffic.settings.resync * factor;
        while !rest.is_zero() && !self.is_watcher() {
            tokio::time::sleep(ROLE_PERIOD.min(rest)).await;
            rest = rest.saturating_sub(ROLE_PERIOD);
        }
    }

    async fn read_platform(&self) -> Result<u64, StoreFailure> {
        self.traffic.metrics.platform_calls.inc();
        let list = self.platform.list().await?;
        if self.platform_is_lost.replace(false) {
            event::emit(&event::PLATFORM_BACK, &[]);
        }
        let (offer, step) = {
            let mut state = self.state.borrow_mut();
            if state.servers.read_store(&list) {
                self.news.notify_one();
            }
            state.config.read_store(&list)
        };
        self.note_offer(&offer);
        self.publish();
        match step {
            ConfigStep::Nothing => self.state.borrow_mut().rejected.clear(),
            ConfigStep::Reject(faults) => self.reject(faults),
            ConfigStep::Accept(object) => self.accept(*object).await?,
        }
        Ok(list.resource_version)
    }

    fn lost_platform(&self, failure: &StoreFailure) {
        if !self.platform_is_lost.replace(true) {
            event::emit(&event::PLATFORM_LOST, &[("why", failure)]);
        }
    }

    /// Logs and counts what became of an offered configuration.
    pub(super) fn note_offer(&self, offer: &ConfigOffer) {
        match offer {
            ConfigOffer::InForce => {
                self.news.notify_one();
                let generation = self.state.borrow().config.in_force().generation;
                self.traffic.metrics.generation.set(generation as i64);
                event::emit(&event::CONFIG_IN_FORCE, &[("generation", &generation)]);
            }
            ConfigOffer::Older => event::emit(&event::CONFIG_OLDER, &[]),
            ConfigOffer::Faulty(faults) => self.reject(faults.clone()),
            ConfigOffer::Same => {}
        }
    }

    fn reject(&self, faults: Vec<ObjectFault>) {
        let is_new = self.state.borrow().rejected != faults;
        if is_new {
            for fault in &faults {
                event::emit(&event::CONFIG_REJECTED, &[("why", fault)]);
            }
        }
        self.state.borrow_mut().rejected = faults;
    }

    async fn accept(&self, object: AnyObject) -> Result<(), StoreFailure> {
        self.traffic.metrics.platform_calls.inc();
        let mark = self.traffic.parts.namer.next();
        match store::write_marked(&self.platform, object, mark).await {
            Ok(written) => {
                let accepted: AcceptedConfig = serde_json::from_value(written.spec)
                    .map_err(|error| StoreFailure::Refused(error.to_string()))?;
                let generation = accepted.generation;
                event::emit(&event::CONFIG_ACCEPTED, &[("generation", &generation)]);
                let offer = self.state.borrow_mut().config.offer(accepted);
                self.note_offer(&offer);
                self.publish();
                Ok(())
            }
            // Another host was first; the next reading brings its result.
            Err(StoreFailure::Conflict(_)) => Ok(()),
            Err(failure) => Err(failure),
        }
    }
}
