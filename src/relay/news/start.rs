//! What a host asks that was just started and knows no other.

use {
    super::{follow::NewsFollower, message::HeldNews},
    crate::relay::parts::shared::RelayParts,
    rand::{RngExt, seq::SliceRandom},
    std::{ops::Range, time::Duration},
};

/// How long a host that the others' settings name waits at its start for other hosts to tell it everything. They
/// answer within milliseconds if they know it; if not, it is the first to read.
const SEED_PATIENCE: Duration = Duration::from_millis(60);

/// The same for any other host, milliseconds. After all were killed callers wait for every one of them; but each host that
/// reads by itself is three calls. Spread, so that the store is not asked by all at once.
const START_PATIENCE_MS: Range<u64> = 150..350;

/// The same once a named host has answered: it will be able to tell everything soon, and a whole fleet that starts at
/// once is not to read by itself.
const TOLD_PATIENCE_MS: Range<u64> = 700..1_400;

/// The same at the first start of a whole fleet, whose hosts enter themselves in the store first; callers come later.
const FIRST_START_PATIENCE_MS: Range<u64> = 3_000..4_500;

/// How long a host that the settings name may wait until it knows enough to answer, and how long its answer may take
/// beyond that. One that has no power yet does not answer at all, and a connection to it would hang for a second.
const SEED_WAIT: Duration = Duration::from_millis(150);
const SEED_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Pause before the hosts that the settings name are asked again, after none of them answered.
const SEEDS_PAUSE: Duration = Duration::from_millis(50);

impl NewsFollower {
    // No host is known yet: those that the settings name tell whom to follow, or everything in a small fleet.
    pub(super) async fn ask_seeds(&self) {
        let settings = &self.parts.settings;
        let mut seeds = settings.seeds.clone();
        seeds.retain(|address| *address != settings.peers);
        seeds.shuffle(&mut rand::rng());
        for address in seeds {
            let left = self.choice.borrow().start_wait_left(self.parts.now());
            let held = HeldNews {
                is_starting: true,
                ..self.held(address, SEED_WAIT.min(left / 2), true)
            };
            let patience = SEED_ANSWER_TIME.min(left / 2);
            let asked = self.parts.now();
            let answer = self.links.follow(address, held, patience).await;
            if answer.is_ok() {
                self.choice.borrow_mut().note_seed_response();
            }
            match answer {
                Ok(news) if !news.guides.is_empty() => {
                    *self.guides.borrow_mut() = news.guides;
                    return;
                }
                Ok(news) => self.take(news, address, asked).await,
                Err(error) => log::debug!("host at {address} gave no news: {error}"),
            }
            if self.knows_all() {
                return;
            }
        }
        let left = self.choice.borrow().start_wait_left(self.parts.now());
        tokio::time::sleep(SEEDS_PAUSE.min(left)).await;
    }
}

// How long a starting host waits for others to answer, and how long once one has.
pub(super) fn start_patience(parts: &RelayParts) -> (Duration, Duration) {
    let settings = &parts.settings;
    if settings.seeds.contains(&settings.peers) || settings.seeds.is_empty() {
        return (SEED_PATIENCE, SEED_PATIENCE);
    }
    let (before, after) = match settings.first_start {
        true => (FIRST_START_PATIENCE_MS, FIRST_START_PATIENCE_MS),
        false => (START_PATIENCE_MS, TOLD_PATIENCE_MS),
    };
    let drawn = |spread| Duration::from_millis(rand::rng().random_range(spread));
    (drawn(before), drawn(after))
}
