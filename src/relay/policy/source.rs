//! Where a host gets its news from: a plain state machine.
//!
//! In each zone the first hosts of an order that all hosts agree on read the store; the others follow
//! one of them. A host whose news grow old reads the store itself until it is up to date again.

use {
    crate::{peer, relay::link::HostEntry},
    faststr::FastStr,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Hosts of a zone from which on a second one reads the store, so that the loss of the first costs the
/// zone nothing.
const SECOND_READER_FROM: usize = 9;

/// What is left, of the time in which a change has to be in force, to a host that reads the store itself since
/// its news are old: it may have to find out first that a connection hangs.
const OWN_READING_MARGIN: Duration = Duration::from_millis(600);

/// Bounds of the age at which a host reads the store itself. Readers hear from the store at half of it at the latest,
/// and followers from them each 0.3 s; an older list than the upper bound may have lapsed entries.
const OLD_NEWS_LEAST: Duration = Duration::from_millis(1_000);
const OLD_NEWS_MOST: Duration = Duration::from_millis(1_800);

/// Age at which a host reads the store itself, where changes have to be in force within `change_time`.
pub fn old_news(change_time: Duration) -> Duration {
    let age = change_time.saturating_sub(OWN_READING_MARGIN);
    age.clamp(OLD_NEWS_LEAST, OLD_NEWS_MOST)
}

/// Least time for a question: with less left until its news are old a host reads the store at once, rather
/// than blame whom it asks.
const LEAST_QUESTION: Duration = Duration::from_millis(150);

/// How long a host whose news were old reads the store itself.
const OWN_READING_TIME: Duration = Duration::from_secs(2);

/// How long a host that gave no news is not asked: most restart within seconds.
const PASS_OVER_FIRST: Duration = Duration::from_secs(2);

/// Longest time for which one is not asked again; doubled up to here while it stays silent.
const PASS_OVER_LONGEST: Duration = Duration::from_secs(32);

/// Sorts the hosts of a zone into the order in which they are to read the store for it: the strongest first,
/// since they answer all others, and by draw among equals.
pub fn sort_readers(entries: &mut [HostEntry], zone: &str) {
    entries.sort_by_key(|entry| Reverse((entry.strength, peer::draw(&entry.name, zone))));
}

/// Where to get news from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NewsSource {
    /// The store.
    Store,
    /// Another host.
    Host(HostEntry),
}

#[derive(Debug, Clone, Copy)]
struct PassedOver {
    until: Duration,
    time: Duration,
    // It answered, but the store did not answer it.
    is_cut_off: bool,
}

/// One host's choice of whom to follow.
#[derive(Debug)]
pub struct SourceChoice {
    own: FastStr,
    zone: FastStr,
    // Age at which this host reads the store itself.
    old_news: Duration,
    // The hosts of the zone, in the order in which they are to read the store.
    order: Vec<HostEntry>,
    passed_over: BTreeMap<FastStr, PassedOver>,
    reading_until: Duration,
}

impl SourceChoice {
    /// A host that knows no others and whose news are old at this age.
    pub fn new(own: FastStr, zone: FastStr, old_news: Duration) -> Self {
        Self {
            own,
            zone,
            old_news,
            order: Vec::new(),
            passed_over: BTreeMap::new(),
            reading_until: Duration::ZERO,
        }
    }

    /// Takes the hosts that are listed.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a HostEntry>) {
        let own_zone = hosts.filter(|entry| entry.zone == self.zone);
        self.order = own_zone.cloned().collect();
        sort_readers(&mut self.order, &self.zone);
        let order = &self.order;
        self.passed_over
            .retain(|name, _| order.iter().any(|entry| entry.name == *name));
    }

    /// A host answered, with old news: the store does not answer it.
    pub fn note_cut_off(&mut self, name: &FastStr, now: Duration) {
        self.pass_over(name, true, now);
    }

    /// The store does not answer this host either: no other is to blame for old news. Otherwise each host would
    /// pass over others than the next, and most of them would read the store once it is back.
    pub fn note_store_lost(&mut self) {
        self.passed_over.retain(|_, passed| !passed.is_cut_off);
    }

    /// A host gave no answer.
    pub fn note_silent(&mut self, name: &FastStr, now: Duration) {
        self.pass_over(name, false, now);
    }

    fn pass_over(&mut self, name: &FastStr, is_cut_off: bool, now: Duration) {
        let before = self.passed_over.get(name);
        let time = before.map_or(PASS_OVER_FIRST, |before| before.time * 2);
        let time = time.min(PASS_OVER_LONGEST);
        let passed = PassedOver {
            until: now + time,
            time,
            is_cut_off,
        };
        self.passed_over.insert(name.clone(), passed);
    }

    /// A host gave news that are not old.
    pub fn note_news(&mut self, name: &str) {
        self.passed_over.remove(name);
    }

    /// Whether this host is one of those that read the store for their zone.
    pub fn is_reader(&self, now: Duration) -> bool {
        let mut readers = self.readers(now);
        self.order.is_empty() || readers.any(|entry| entry.name == self.own)
    }

    /// The first of the hosts that read the store for the zone; none where that is this one.
    pub fn first_reader(&self, now: Duration) -> Option<HostEntry> {
        let first = self.readers(now).next()?;
        (first.name != self.own).then(|| first.clone())
    }

    /// Where to get news from, given the age of those that this host has.
    pub fn choose(&mut self, age: Option<Duration>, now: Duration) -> NewsSource {
        if self.is_reader(now) {
            return NewsSource::Store;
        }
        // Who was just started knows nothing yet, and may be told by others before it has read the store.
        let Some(age) = age else {
            return NewsSource::Store;
        };
        if age + LEAST_QUESTION >= self.old_news {
            self.reading_until = now + OWN_READING_TIME;
        }
        if now < self.reading_until {
            return NewsSource::Store;
        }
        // Followers spread over the readers; each host's own draw keeps it at the same one.
        let readers: Vec<&HostEntry> = self.readers(now).collect();
        let drawn = readers
            .into_iter()
            .max_by_key(|entry| peer::draw(&self.own, &entry.name));
        drawn.map_or(NewsSource::Store, |entry| NewsSource::Host(entry.clone()))
    }

    fn readers(&self, now: Duration) -> impl Iterator<Item = &HostEntry> {
        let wanted = 1 + usize::from(self.order.len() >= SECOND_READER_FROM);
        let heard = move |entry: &&HostEntry| {
            let passed = self.passed_over.get(&entry.name);
            passed.is_none_or(|passed| now >= passed.until)
        };
        self.order.iter().filter(heard).take(wanted)
    }
}
