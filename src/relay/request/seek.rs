//! Finds the decode engine that still has the prompt of a resumed stream in its cache, or the software version that began
//! its answer.

use {
    super::client_request::ClientRequest,
    crate::relay::{
        backend::BackendInfo,
        parts::shared::RelayParts,
        policy::{prompt_cache::CachedAt, regions::RequestOrigin},
        software_version::SoftwareVersion,
    },
    faststr::FastStr,
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

/// Finds the software version whose decode engines have a part of the answer to a request in their caches, which follows its
/// prompt there, with one of the engines. `None` if none has, or those of several versions.
pub async fn find_answer(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    service: &str,
) -> Option<(SoftwareVersion, FastStr)> {
    let part = request.marks.last_part.as_deref()?;
    let prompt_tokens = request.marks.last_part_tokens;
    if prompt_tokens == 0 {
        return None;
    }
    let origin = request.origin(&parts.settings.zone);
    let now = parts.now();
    let engines = parts
        .book
        .borrow()
        .decode_engines(service, origin, MAX_ENGINES_QUERIED, now)
        .concat();
    let queries = engines
        .iter()
        .map(|engine| refresh_cache_state(parts, engine));
    future::join_all(queries).await;
    let caches = parts.prompt_caches.borrow();
    let has_answer = |engine: &&BackendInfo| caches.cached_tokens(&engine.id, part) > prompt_tokens;
    let mut holders = engines.iter().filter(has_answer);
    let first = holders.next()?;
    let is_only = holders.all(|engine| engine.software.continues(&first.software));
    is_only.then(|| (first.software.clone(), first.id.clone()))
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
