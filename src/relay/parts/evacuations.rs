//! Puts evacuations of availability zones in force, whether they come from the store or another host.

use {
    super::shared::RelayParts,
    crate::{
        event::{self, EventKind},
        relay::cluster::history::KindNews,
    },
    faststr::FastStr,
    std::fmt::Write,
};

impl RelayParts {
    /// Whether zones may be evacuated here; if not, evacuations are neither read nor applied.
    pub fn has_evacuations(&self) -> bool {
        self.settings.bounds.evacuation_time.is_some()
    }

    /// Applies the evacuations that another host sent.
    pub fn apply_evacuation_news(&self, news: KindNews) {
        if !self.has_evacuations() {
            return;
        }
        let now = self.now();
        self.cluster.borrow_mut().evacuations.apply_news(news, now);
        self.publish_evacuations("host");
    }

    /// Ends evacuations that a restored store lacks and that operators have not written again in time.
    pub fn expire_evacuations(&self) {
        let now = self.now();
        let has_expired = self.cluster.borrow_mut().evacuations.expire(now);
        if has_expired {
            self.publish_evacuations("expiry");
        }
    }

    /// Applies the known evacuations to routing, and wakes the requests and followers that wait for a change.
    pub fn publish_evacuations(&self, from: &str) {
        let zones = self.cluster.borrow().evacuations.zones();
        let change = self.book.borrow_mut().set_evacuated(zones);
        if change.is_empty() {
            return;
        }
        for zone in &change.evacuated {
            self.log_evacuation(&event::ZONE_EVACUATED, zone, from);
        }
        for zone in &change.returned {
            self.log_evacuation(&event::ZONE_RETURNED, zone, from);
        }
        self.capacity_freed.notify_waiters();
        self.state_changed.notify_waiters();
    }

    fn log_evacuation(&self, kind: &EventKind, zone: &FastStr, from: &str) {
        let cluster = self.cluster.borrow();
        let age = cluster.age(self.now());
        event::emit(
            kind,
            &[
                ("zone", zone),
                ("from", &from),
                ("position", &cluster.evacuations.position()),
                ("age_ms", &age.map_or(-1, |age| age.as_millis() as i64)),
            ],
        );
    }

    /// Lines for operators, one for each evacuated zone.
    pub(super) fn evacuation_lines(&self) -> String {
        let book = self.book.borrow();
        let mut lines = String::new();
        for zone in book.evacuated() {
            let servers = book.views().filter(|view| view.info.zone == *zone).count();
            writeln!(lines, "zone={zone} state=evacuated servers={servers}")
                .expect("writing to a string");
        }
        lines
    }
}
