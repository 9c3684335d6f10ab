//! Asking decode engines which of them keeps the prompt of a stream that is to go on.

use {
    crate::relay::{backend::BackendInfo, parts::shared::RelayParts, policy::kept::KeptAt},
    futures::future,
    http::StatusCode,
    std::{rc::Rc, time::Duration},
};

/// Longest wait for an engine to tell what it keeps; engines answer at once.
const NEWS_PATIENCE: Duration = Duration::from_millis(120);

/// Engines asked at once at most. Zones of today's deployments have up to 24 decode engines; of a larger zone, and of
/// many engines in other zones, the first by id are asked.
const ENGINES_MAX: usize = 24;

/// The decode engine that keeps most of a part of a prompt, of those that answer; the host's own zone first.
pub async fn find_kept(parts: &Rc<RelayParts>, service: &str, part: &str) -> Option<KeptAt> {
    let engines = parts.book.borrow().decode_engines(service, parts.now());
    let zone = &parts.settings.zone;
    let (near, far): (Vec<_>, Vec<_>) =
        engines.into_iter().partition(|engine| engine.zone == *zone);
    for engines in [near, far] {
        let asked: Vec<BackendInfo> = engines.into_iter().take(ENGINES_MAX).collect();
        future::join_all(asked.iter().map(|engine| hear(parts, engine))).await;
        let found = parts.kept.borrow().best_of(&asked, part);
        if found.is_some() {
            return found;
        }
    }
    None
}

// Has an engine tell what it keeps, unless it did so a moment ago.
async fn hear(parts: &Rc<RelayParts>, engine: &BackendInfo) {
    let Some(question) = parts.kept.borrow().question(&engine.id, parts.now()) else {
        return;
    };
    let engines = &parts.dialect.engines;
    let call = (engines.query_cache)(question);
    match parts.call_backend(engine, call, NEWS_PATIENCE).await {
        Ok((StatusCode::OK, body)) => {
            let news = (engines.read_cache)(question, &body);
            let mut kept = parts.kept.borrow_mut();
            match news {
                Some(news) => kept.take(&engine.id, news, parts.now()),
                None => kept.forget(&engine.id),
            }
        }
        Ok((status, _)) => log::debug!("{} tells nothing of its cache: {status}", engine.id),
        // The reservation that follows shows whether the engine is to blame.
        Err(failure) => log::debug!("{} tells nothing of its cache: {failure}", engine.id),
    }
}
