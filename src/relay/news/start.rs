//! Bootstrap of a host that has just started: polls the seed hosts that the settings name.

use {
    super::{follow::NewsFollower, message::HeldNews},
    crate::relay::parts::shared::RelayParts,
    rand::{RngExt, seq::SliceRandom},
    std::{ops::Range, time::Duration},
};

/// How long a seed waits at its start for a complete view from other hosts before it reads the store. Hosts that have a
/// complete view answer within milliseconds; if none does, this host is the first to read.
const SEED_START_TIMEOUT: Duration = Duration::from_millis(60);

/// The same timeout for other hosts, in milliseconds. After all hosts were killed, callers wait for each of them to
/// start; but each host that reads the store itself costs three calls. The range spreads these calls over time.
const START_TIMEOUT_MS: Range<u64> = 150..350;

/// The same timeout once a seed has answered: it will have a complete view soon, and the hosts of a fleet that starts
/// at once should not all read the store.
const SEED_ANSWERED_TIMEOUT_MS: Range<u64> = 700..1_400;

/// The same timeout at the first start of a whole fleet: its hosts register in the store first, and callers come later.
const FIRST_START_TIMEOUT_MS: Range<u64> = 3_000..4_500;

/// How long a seed may hold the request until it has a complete view, and its response timeout in addition to that. A
/// seed that is still powered off does not respond at all, and connecting to it would hang for a second.
const SEED_HOLD: Duration = Duration::from_millis(150);
const SEED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay before the seeds are polled again after a round without a complete view.
const SEEDS_RETRY_DELAY: Duration = Duration::from_millis(50);

impl NewsFollower {
    // Polls the seeds while no other host is known. In a large fleet they return the hosts to follow, in a small one
    // their whole view.
    pub(super) async fn poll_seeds(&self) {
        let settings = &self.parts.settings;
        let mut seeds = settings.seeds.clone();
        seeds.retain(|address| *address != settings.peers);
        seeds.shuffle(&mut rand::rng());
        for address in seeds {
            let left = self.choice.borrow().start_wait_left(self.parts.now());
            let held = HeldNews {
                is_starting: true,
                ..self.held_news(address, SEED_HOLD.min(left / 2), true)
            };
            let timeout = SEED_RESPONSE_TIMEOUT.min(left / 2);
            let sent_at = self.parts.now();
            let answer = self.client.follow(address, held, timeout).await;
            if answer.is_ok() {
                self.choice.borrow_mut().note_seed_response();
            }
            match answer {
                Ok(news) if !news.guides.is_empty() => {
                    *self.guides.borrow_mut() = news.guides;
                    return;
                }
                Ok(news) => self.apply(news, address, sent_at).await,
                Err(error) => log::debug!("seed at {address} did not answer a poll: {error}"),
            }
            if self.has_complete_view() {
                return;
            }
        }
        let left = self.choice.borrow().start_wait_left(self.parts.now());
        tokio::time::sleep(SEEDS_RETRY_DELAY.min(left)).await;
    }
}

// How long a starting host waits for other hosts before it reads the store: before and after a seed has answered.
pub(super) fn start_timeouts(parts: &RelayParts) -> (Duration, Duration) {
    let settings = &parts.settings;
    if settings.seeds.contains(&settings.peers) || settings.seeds.is_empty() {
        return (SEED_START_TIMEOUT, SEED_START_TIMEOUT);
    }
    let (before, after) = match settings.first_start {
        true => (FIRST_START_TIMEOUT_MS, FIRST_START_TIMEOUT_MS),
        false => (START_TIMEOUT_MS, SEED_ANSWERED_TIMEOUT_MS),
    };
    let random = |range| Duration::from_millis(rand::rng().random_range(range));
    (random(before), random(after))
}
