//! Streams that go on are sent where their prompt is kept.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{BackendInfo, CacheChange, CacheQuery, CacheUpdate, KeptPrompts},
    },
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn decode(id: &str) -> BackendInfo {
    backend(id, "z-a", Some(EngineRole::Decode))
}

fn change(part: &str, tokens: u64) -> CacheChange {
    CacheChange {
        part: FastStr::new(part),
        tokens,
    }
}

fn whole(epoch: u64, next: u64, changes: Vec<CacheChange>) -> CacheUpdate {
    CacheUpdate {
        epoch,
        next,
        is_whole: true,
        changes,
    }
}

fn since(epoch: u64, next: u64, changes: Vec<CacheChange>) -> CacheUpdate {
    CacheUpdate {
        is_whole: false,
        ..whole(epoch, next, changes)
    }
}

#[test]
fn an_engine_is_asked_for_all_first_then_for_changes_and_not_again_at_once() {
    let mut kept = KeptPrompts::default();
    let id = FastStr::new("d-1");
    assert_eq!(kept.question("d-1", millis(0)), Some(CacheQuery::Full));
    kept.take(&id, whole(7, 40, vec![change("p", 3_000)]), millis(5));
    assert_eq!(kept.question("d-1", millis(100)), None);
    let later = kept.question("d-1", millis(500));
    assert_eq!(later, Some(CacheQuery::Since(40)));
    let changes = vec![change("p", 0), change("q", 2_000)];
    kept.take(&id, since(7, 42, changes), millis(505));
    assert_eq!(kept.kept_tokens("d-1", "p"), 0, "driven out meanwhile");
    assert_eq!(kept.kept_tokens("d-1", "q"), 2_000);
}

#[test]
fn an_engine_that_was_started_anew_keeps_nothing_of_before() {
    let mut kept = KeptPrompts::default();
    let id = FastStr::new("d-1");
    kept.take(&id, whole(7, 40, vec![change("p", 3_000)]), millis(0));
    kept.take(&id, since(8, 2, vec![change("q", 10)]), millis(500));
    assert_eq!(kept.kept_tokens("d-1", "p"), 0);
    let question = kept.question("d-1", millis(501));
    assert_eq!(question, Some(CacheQuery::Full), "its list is not known");
}

#[test]
fn of_several_engines_the_one_that_keeps_most_is_chosen() {
    let mut kept = KeptPrompts::default();
    let engines = [decode("d-1"), decode("d-2"), decode("d-3")];
    assert_eq!(kept.best_of(&engines, "p"), None);
    for (id, tokens) in [("d-1", 200), ("d-2", 3_400), ("d-3", 0)] {
        kept.take(
            &FastStr::new(id),
            whole(1, 1, vec![change("p", tokens)]),
            millis(0),
        );
    }
    let best = kept.best_of(&engines, "p").unwrap();
    assert_eq!((best.engine.id.as_str(), best.tokens), ("d-2", 3_400));
    kept.retain(|id| id != "d-2");
    let best = kept.best_of(&engines, "p").unwrap();
    assert_eq!(best.engine.id, "d-1");
}

/// Streams that ran when all hosts were killed, over six decode engines, come back to hosts that know nothing:
/// how many tokens of prompts are computed a second time.
fn computed_again(uses_kept: bool) -> u64 {
    const STREAMS: u64 = 42;
    const PROMPT: u64 = 3_200;
    let ids: Vec<String> = (0..6).map(|number| format!("d-{number}")).collect();
    let engines: Vec<BackendInfo> = ids.iter().map(|id| decode(id)).collect();
    let mut held: BTreeMap<&str, Vec<CacheChange>> = BTreeMap::new();
    for stream in 0..STREAMS {
        let id = ids[(stream % 6) as usize].as_str();
        // One in seven was driven out by requests that came before the callers were back.
        let tokens = if stream % 7 == 0 { 0 } else { PROMPT };
        let part = change(&format!("p-{stream}"), tokens);
        held.entry(id).or_default().push(part);
    }
    let mut kept = KeptPrompts::default();
    let mut again = 0;
    for stream in 0..STREAMS {
        let now = millis(stream * 20);
        for engine in &engines {
            if kept.question(&engine.id, now).is_some() {
                let news = whole(1, 1, held[engine.id.as_str()].clone());
                kept.take(&engine.id, news, now);
            }
        }
        let found = kept.best_of(&engines, &format!("p-{stream}"));
        let saved = found.filter(|_| uses_kept).map_or(0, |found| found.tokens);
        again += PROMPT - saved;
    }
    again
}

#[test]
fn after_all_hosts_were_killed_few_prompts_are_computed_again() {
    assert_eq!(computed_again(false), 134_400);
    assert_eq!(computed_again(true), 19_200);
}
