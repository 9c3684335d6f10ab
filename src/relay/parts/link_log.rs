//! Events about this host's own links to backend servers.

use {
    super::shared::{self, RelayParts},
    crate::{event, relay::backend::BackendInfo, web::PooledAnswer},
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

impl RelayParts {
    /// Logs that a request was answered over a carried connection, if it was.
    pub(crate) fn log_carried(&self, request: &str, backend: &BackendInfo, answer: &PooledAnswer) {
        let Some(link) = &answer.carrier else {
            return;
        };
        event::emit(
            &event::REQUEST_CARRIED,
            &[
                ("request", &request),
                ("backend", &backend.id),
                ("host", &link.carrier.name),
                ("connection", &link.local),
            ],
        );
    }

    /// Updates the gauge of lost links, and logs the services whose links are lost or back since the last call.
    pub(crate) fn update_lost_links(&self) {
        let lost = self.lost_by_service();
        let count: usize = lost.values().map(|(count, _)| *count).sum();
        self.metrics.links.lost.set(count as i64);
        let mut logged = self.logged_losses.borrow_mut();
        let now = self.now();
        for (service, (servers, since)) in &lost {
            if logged.insert(service.clone(), *since).is_none() {
                event::emit(
                    &event::LINKS_LOST,
                    &[
                        ("service", service),
                        ("servers", servers),
                        ("since_ms", &shared::millis_since(Some(*since), now)),
                    ],
                );
            }
        }
        logged.retain(|service, since| {
            let is_lost = lost.contains_key(service);
            if !is_lost {
                let lost_ms = shared::millis_since(Some(*since), now);
                event::emit(
                    &event::LINKS_BACK,
                    &[("service", service), ("lost_ms", &lost_ms)],
                );
            }
            is_lost
        });
    }

    // Number of servers whose links are lost, and since when, by service.
    fn lost_by_service(&self) -> BTreeMap<FastStr, (usize, Duration)> {
        let links = self.links.borrow();
        let book = self.book.borrow();
        let mut services = BTreeMap::new();
        for (server, since) in links.lost() {
            let Some(backend) = book.listed_run(server) else {
                continue;
            };
            let (count, first) = services.entry(backend.service).or_insert((0, since));
            *count += 1;
            *first = since.min(*first);
        }
        services
    }

    /// Logs when this host begins to suspect its own links, and when it no longer does.
    pub(super) fn log_suspicion(&self) {
        let links = self.links.borrow();
        let suspicious = links.suspicious();
        let is_suspected = !suspicious.is_empty();
        if self.is_suspicion_logged.replace(is_suspected) == is_suspected {
            return;
        }
        if !is_suspected {
            event::emit(&event::LINKS_CLEARED, &[]);
            return;
        }
        let now = self.now();
        let book = self.book.borrow();
        let servers = suspicious.iter().map(|(server, _)| *server);
        let since = suspicious.iter().map(|(_, since)| *since).min();
        event::emit(
            &event::LINKS_SUSPECTED,
            &[
                ("servers", &suspicious.len()),
                ("listed", &book.count()),
                ("since_ms", &shared::millis_since(since, now)),
                (
                    "last_answer_ms",
                    &shared::millis_since(links.answered_at(), now),
                ),
                ("passed_over_by_others", &book.passed_over(servers, now)),
            ],
        );
    }
}
