//! Chooses the server for the next attempt of a plain request, with the permit or the place that it needs there.

use {
    super::{plain::PlainRelay, send_check},
    crate::relay::{
        admission::places::contended_servers::PlaceChoice,
        backend::BackendInfo,
        parts::{
            permits::ServerPermit,
            places::{HeldPlace, PlaceNeed},
        },
        policy::registry::{PlainChoice, SendConstraints},
    },
    faststr::FastStr,
    std::time::Duration,
};

/// Number of rate-limited servers that are asked for a permit one after the other. Each adds latency.
const MAX_PERMIT_REQUESTS: usize = 4;

/// Number of contended servers that are asked for a place one after the other. Each adds latency, and the second one is
/// asked only if the first one's wait is longer than was known.
const MAX_PLACE_REQUESTS: usize = 2;

/// `Retry-After` while this host's requests are stuck at all servers. Lost links are found and passed around within about as
/// long.
const STUCK_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A server to send to, and what the request needs there.
pub(super) struct ChosenServer {
    pub(super) backend: BackendInfo,
    pub(super) permit: ServerPermit,
    pub(super) place: Option<HeldPlace>,
    /// When the place was asked for; the permit was later.
    pub(super) place_asked_at: Option<Duration>,
}

impl PlainRelay {
    // Chooses the best server not tried yet, with a place there if it is contended.
    pub(super) async fn next_server(&mut self, is_hedge: bool) -> Option<ChosenServer> {
        if self.parts.places.is_idle() {
            return self.next_with_permit(is_hedge).await;
        }
        let excluded = self.without_place.len();
        let chosen = match self.next_with_place(is_hedge).await {
            None => self.next_with_permit(is_hedge).await,
            chosen => chosen,
        };
        // What a hedged attempt leaves to other requests is there for a later attempt.
        if is_hedge {
            self.without_place.truncate(excluded);
        }
        chosen
    }

    // Chooses among the servers without a rate limit while some servers are contended. These are asked for a place; a
    // hedged attempt takes none from other requests. The servers without a place are excluded from later choices.
    async fn next_with_place(&mut self, is_hedge: bool) -> Option<ChosenServer> {
        let mut requests = 0;
        loop {
            let now = self.parts.now();
            let ranked = self.unlimited_servers(now);
            let Some(choice) = self.parts.places.choose(&ranked, now) else {
                self.exclude_stuck(&ranked);
                return None;
            };
            let (backend, place) = match choice {
                PlaceChoice::Send(index) => (ranked[index].clone(), None),
                PlaceChoice::Request { .. } if is_hedge || requests == MAX_PLACE_REQUESTS => {
                    self.exclude_contended(&ranked);
                    return None;
                }
                PlaceChoice::Request { index, may_wait } => {
                    requests += 1;
                    let backend = ranked[index].clone();
                    match self.request_place(&backend, may_wait).await {
                        Some(place) => (backend, Some(place)),
                        None => continue,
                    }
                }
            };
            let checked = send_check::check_send(&self.parts, &self.request, &self.service);
            if let Err(refusal) = checked {
                self.final_refusal = Some(refusal);
                return None;
            }
            let priority = self.request.priority();
            // None of these servers was rate-limited when it was chosen.
            match self.parts.acquire_permit(&backend, priority).await {
                Ok(permit) if self.parts.may_send(&backend, None) => {
                    return Some(ChosenServer {
                        backend,
                        permit,
                        place,
                        place_asked_at: Some(now),
                    });
                }
                Ok(_) => {}
                Err(wait) => self.permit_wait = Some(wait),
            }
            self.without_place.push(backend.id);
        }
    }

    fn unlimited_servers(&self, now: Duration) -> Vec<BackendInfo> {
        let excluded = self.excluded();
        let book = self.parts.book.borrow();
        let origin = self.request.origin(&self.parts.settings.zone);
        book.rank_unlimited(&self.service, origin, &excluded, now)
    }

    fn excluded(&self) -> Vec<FastStr> {
        let excluded = self.tried.iter().chain(&self.without_place);
        excluded.cloned().collect()
    }

    // The servers at which this host's own requests are stuck are left to other hosts for now.
    fn exclude_stuck(&mut self, ranked: &[BackendInfo]) {
        if !ranked.is_empty() {
            self.exclude_contended(ranked);
            let wait = self.place_wait.unwrap_or(STUCK_RETRY_AFTER);
            self.place_wait = Some(wait);
        }
    }

    fn exclude_contended(&mut self, ranked: &[BackendInfo]) {
        let now = self.parts.now();
        let places = &self.parts.places;
        let contended = ranked
            .iter()
            .filter(|info| places.is_contended(info.key(), now));
        self.without_place
            .extend(contended.map(|info| info.id.clone()));
    }

    // A request with an outstanding send does not wait: its response may arrive meanwhile.
    async fn request_place(&mut self, backend: &BackendInfo, may_wait: bool) -> Option<HeldPlace> {
        let started = self.parts.now();
        let need = PlaceNeed {
            route: &self.request.route,
            priority: self.request.priority(),
            age: self.request.age(),
            time_left: self.request.time_left(),
            may_wait: may_wait && self.pending.is_empty(),
        };
        let place = self.parts.acquire_place(backend, need).await;
        let waited_ms = self.parts.now().saturating_sub(started).as_millis();
        match place {
            Ok(place) => {
                self.log_attempt(backend, &format!("place-in-{waited_ms}ms"));
                Some(place)
            }
            Err(wait) => {
                self.log_attempt(backend, &format!("no-place-in-{waited_ms}ms"));
                self.without_place.push(backend.id.clone());
                let shortest = self.place_wait.map_or(wait, |shortest| shortest.min(wait));
                self.place_wait = Some(shortest);
                None
            }
        }
    }

    // Chooses the best server not tried yet and takes its permit if it is rate-limited. After `MAX_PERMIT_REQUESTS` servers
    // without a permit only those without a rate limit are considered, which the others must not keep from being used.
    async fn next_with_permit(&mut self, is_hedge: bool) -> Option<ChosenServer> {
        let priority = self.request.priority();
        for asked in 0..=MAX_PERMIT_REQUESTS {
            let checked = send_check::check_send(&self.parts, &self.request, &self.service);
            if let Err(refusal) = checked {
                self.final_refusal = Some(refusal);
                return None;
            }
            let unlimited_only = is_hedge || asked == MAX_PERMIT_REQUESTS;
            let backend = self.choose(SendConstraints {
                priority,
                unlimited_only,
            })?;
            match self.parts.acquire_permit(&backend, priority).await {
                Ok(permit) if self.parts.may_send(&backend, None) => {
                    return Some(ChosenServer {
                        backend,
                        permit,
                        place: None,
                        place_asked_at: None,
                    });
                }
                // The server has announced meanwhile that it takes no new requests, so it is not chosen again.
                Ok(_) => {}
                Err(wait) => self.permit_wait = Some(wait),
            }
        }
        None
    }

    fn choose(&mut self, constraints: SendConstraints) -> Option<BackendInfo> {
        let now = self.parts.now();
        let origin = self.request.origin(&self.parts.settings.zone);
        let excluded = self.excluded();
        let book = self.parts.book.borrow();
        let choice = book.choose_plain(&self.service, origin, &excluded, constraints, now);
        drop(book);
        match choice {
            PlainChoice::Send(backend) => return Some(backend),
            PlainChoice::Unreachable => self.is_unreachable = true,
            PlainChoice::NoPermit(wait) => self.permit_wait = Some(wait),
            PlainChoice::NoneLeft => {}
        }
        None
    }
}
