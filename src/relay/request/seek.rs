//! Finds the decode engine that still has the prompt of a resumed stream in its cache.

use {
    crate::relay::{
        backend::BackendInfo,
        parts::shared::RelayParts,
        policy::{prompt_cache::CachedAt, regions::RequestOrigin},
    },
    futures::future,
    http::StatusCode,
    std::{rc::Rc, time::Duration},
};

/// Timeout of a query for an engine's cache contents; engines respond at once.
const CACHE_QUERY_TIMEOUT: Duration = Duration::from_millis(120);

/// Maximum number of engines queried at once: of the host's own zone, and of all other zones together. In larger zones
/// the first by id are queried.
const MAX_ENGINES_QUERIED: usize = 24;

/// Finds the decode engine that has most of the prompt `part` cached. The host's own zone is queried first, the other
/// zones only if none there has it.
pub async fn find_cached_prompt(
    parts: &Rc<RelayParts>,
    service: &str,
    origin: RequestOrigin<'_>,
    part: &str,
) -> Option<CachedAt> {
    let engines =
        parts
            .book
            .borrow()
            .decode_engines(service, origin, MAX_ENGINES_QUERIED, parts.now());
    for queried in engines {
        future::join_all(
            queried
                .iter()
                .map(|engine| refresh_cache_state(parts, engine)),
        )
        .await;
        let found = parts.prompt_caches.borrow().best_of(&queried, part);
        if found.is_some() {
            return found;
        }
    }
    None
}

// Queries an engine for its cache contents unless they are known from a moment ago.
async fn refresh_cache_state(parts: &Rc<RelayParts>, engine: &BackendInfo) {
    let Some(query) = parts.prompt_caches.borrow().query(&engine.id, parts.now()) else {
        return;
    };
    let engines = &parts.dialect.engines;
    let call = (engines.query_cache)(query);
    match parts.call_backend(engine, call, CACHE_QUERY_TIMEOUT).await {
        Ok((StatusCode::OK, body)) => {
            let update = (engines.read_cache)(query, &body);
            let is_listed = parts.book.borrow().is_current(engine);
            let mut kept = parts.prompt_caches.borrow_mut();
            match update.filter(|_| is_listed) {
                Some(update) => kept.update(&engine.id, update, parts.now()),
                None => kept.forget(&engine.id),
            }
        }
        Ok((status, _)) => log::debug!("cache query to {} returned status {status}", engine.id),
        // Not counted against the engine; if it is faulty, the reservation that follows shows it.
        Err(failure) => log::debug!("cache query to {} failed: {failure}", engine.id),
    }
}
