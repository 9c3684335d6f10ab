//! Where a host gets its news from: a plain state machine.
//!
//! In each zone all hosts sort the listed hosts into the same order. The first that answers is the zone's head, whom
//! the others follow; a large zone has a second one that stands by and takes part of the followers. The heads of two
//! zones read the store, the other heads follow one of them. Calls to the store therefore grow neither with hosts nor
//! with zones.
//!
//! Two ages matter, and they must not be mixed up. How long ago the store last answered anybody says how old the
//! news may be; it is nobody's fault while the store is away. How long ago this host last heard another one says
//! whether it is cut off; only then does it look elsewhere. While the store is silent one host at a time of each
//! zone tries it besides the readers, in case it turns only some hosts away.

use {
    crate::{peer, relay::link::HostEntry},
    faststr::FastStr,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Hosts of a zone from which on a second one is followed too, so that the loss of the first costs the zone
/// nothing and its link carries half.
const STANDBY_FROM: usize = 9;

/// What is left, of the time in which a change has to be in force, to a host that reads the store itself since
/// it heard nobody: it may have to find out first that a connection hangs.
const OWN_READING_MARGIN: Duration = Duration::from_millis(600);

/// Bounds of the age at which news are old. Readers hear from the store at half of it at the latest, and followers
/// from them each 0.3 s; an older list than the upper bound may have lapsed entries.
const OLD_NEWS_LEAST: Duration = Duration::from_millis(1_000);
const OLD_NEWS_MOST: Duration = Duration::from_millis(1_800);

/// Age at which news are old, where changes have to be in force within `change_time`.
pub fn old_news(change_time: Duration) -> Duration {
    let age = change_time.saturating_sub(OWN_READING_MARGIN);
    age.clamp(OLD_NEWS_LEAST, OLD_NEWS_MOST)
}

/// Least time for a question: with less left until it has heard nobody for too long, a host reads the store at once
/// rather than blame whom it asks.
const LEAST_QUESTION: Duration = Duration::from_millis(150);

/// How long a host that heard nobody reads the store itself.
const OWN_READING_TIME: Duration = Duration::from_secs(2);

/// How long a host that gave no news is not asked: most restart within seconds.
const PASS_OVER_FIRST: Duration = Duration::from_secs(2);

/// How long a host that answers and knows nothing is not asked by one that knows something: it is told within that time where
/// anybody can tell it. Its followers are not to wait with it.
const PASS_OVER_UNKNOWING: Duration = Duration::from_secs(1);

/// Longest time for which one is not asked again; doubled up to here while it stays silent.
const PASS_OVER_LONGEST: Duration = Duration::from_secs(32);

/// Heads that read the store: the loss of one, or of its zone, costs the fleet nothing, and each one more would be two
/// calls a second.
const READERS: usize = 2;

/// How much longer than until news are old the store has to be silent before hosts try it in turn where no reader has
/// said that it is lost: three hosts that pass news on make them 0.9 s older.
const SILENCE_MARGIN: Duration = Duration::from_millis(800);

/// How long one host of a zone tries a silent store before it is another one's turn: long enough for a call of each
/// kind, so that a zone adds two or three calls a second whatever its size.
const TRIAL_TURN: Duration = Duration::from_secs(1);

/// How long a host that the store answered in its turn goes on reading, and has each further turn: troubles in which a
/// store turns some hosts away last seconds.
const SERVED_TIME: Duration = Duration::from_secs(10);

/// Hosts of its own zone that a starting host is told it may follow: the head, the standby, and one in case one of them
/// is gone. Of other zones it is told as many heads.
const GUIDES: usize = 3;

/// Sorts the hosts of a zone into the order in which they are to read the store for it: the strongest first,
/// since they answer all others, and by draw among equals.
pub fn sort_readers(entries: &mut [HostEntry], zone: &str) {
    entries.sort_by_key(|entry| Reverse((entry.link_mbps, peer::draw(&entry.name, zone))));
}

/// Where to get news from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NewsSource {
    /// The store.
    Store,
    /// Another host.
    Host(HostEntry),
    /// The hosts that the settings name, of which any may be gone: no other is known yet.
    Seeds,
}

/// What a host goes by when it chooses.
#[derive(Debug, Clone)]
pub struct SourceRules {
    /// The host's own name.
    pub own: FastStr,
    /// Its availability zone.
    pub zone: FastStr,
    /// Age at which news are old.
    pub old_news: Duration,
    /// How long after its start it waits for other hosts to answer; short for a host that others find by their
    /// settings: somebody has to read first.
    pub start_patience: Duration,
    /// The same once one has answered that it does not know enough yet: it will soon.
    pub told_patience: Duration,
}

/// Why a host reads the store out of its place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnReading {
    /// It heard nobody.
    Unheard,
    /// It is its turn to try a silent store.
    Trial,
    /// The store answers it while it is silent to the readers.
    Served,
}

#[derive(Debug, Clone, Copy)]
struct PassedOver {
    until: Duration,
    time: Duration,
}

/// One host's choice of whom to follow.
#[derive(Debug)]
pub struct SourceChoice {
    rules: SourceRules,
    // The hosts of each zone, in the order in which they are to be its head.
    zones: BTreeMap<FastStr, Vec<HostEntry>>,
    passed_over: BTreeMap<FastStr, PassedOver>,
    // Hosts of the own zone that took no report, and until when none is sent to them: who follows the standby never
    // asks the head for news, and would not find out that it is gone.
    unreported: BTreeMap<FastStr, Duration>,
    // When another host last answered, or this one last read by itself.
    heard: Duration,
    // Why this host reads the store out of its place, and until when.
    reading: Option<(OwnReading, Duration)>,
    // When the store last answered this host in its turn, while it was silent to the readers.
    served: Option<Duration>,
    // How long after its start it waits for other hosts.
    patience: Duration,
}

impl SourceChoice {
    /// A host that knows no others.
    pub fn new(rules: SourceRules) -> Self {
        Self {
            patience: rules.start_patience,
            rules,
            zones: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            unreported: BTreeMap::new(),
            heard: Duration::ZERO,
            reading: None,
            served: None,
        }
    }

    /// Takes the hosts that are listed.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a HostEntry>) {
        self.zones = by_zone(hosts.cloned());
        let zones = &self.zones;
        self.passed_over.retain(|name, _| {
            let mut entries = zones.values().flatten();
            entries.any(|entry| entry.name == *name)
        });
    }

    /// A host that the settings name answered, whatever it knows.
    pub fn note_seed(&mut self) {
        self.patience = self.patience.max(self.rules.told_patience);
    }

    /// How much longer a starting host waits for others.
    pub fn patience_left(&self, now: Duration) -> Duration {
        self.patience.saturating_sub(now)
    }

    /// A host gave no answer.
    pub fn note_silent(&mut self, name: &FastStr, now: Duration) {
        let before = self.passed_over.get(name);
        let doubled = before.map_or(PASS_OVER_FIRST, |before| before.time * 2);
        let time = doubled.clamp(PASS_OVER_FIRST, PASS_OVER_LONGEST);
        let until = now + time;
        self.passed_over
            .insert(name.clone(), PassedOver { until, time });
    }

    /// A host answered, however old its news.
    pub fn note_heard(&mut self, name: &str, now: Duration) {
        self.passed_over.remove(name);
        self.heard = self.heard.max(now);
    }

    /// A host answered that knows nothing yet, while this one does.
    pub fn note_unknowing(&mut self, name: &FastStr, now: Duration) {
        let until = now + PASS_OVER_UNKNOWING;
        let passed = PassedOver {
            until,
            time: Duration::ZERO,
        };
        self.passed_over.insert(name.clone(), passed);
    }

    /// Whether a view that old is no news any more: others may know more.
    pub fn is_old(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age >= self.rules.old_news)
    }

    /// Whether this host is one of those that read the store for all.
    pub fn is_reader(&self, now: Duration) -> bool {
        let mut readers = self.heads(now).into_iter().take(READERS);
        readers.any(|entry| entry.name == self.rules.own)
    }

    /// A host of the own zone took no report.
    pub fn note_unreported(&mut self, name: &FastStr, now: Duration) {
        self.unreported.retain(|_, until| now < *until);
        self.unreported.insert(name.clone(), now + PASS_OVER_FIRST);
    }

    /// The head of this host's zone, to which it reports; none where that is this one or none is known.
    pub fn head(&self, now: Duration) -> Option<HostEntry> {
        let is_left_out = |entry: &&HostEntry| {
            let until = self.unreported.get(&entry.name);
            until.is_some_and(|until| now < *until)
        };
        let head = self.own_zone(now).find(|entry| !is_left_out(entry));
        head.filter(|entry| entry.name != self.rules.own).cloned()
    }

    /// The heads of the other zones, in the order in which they are to read the store.
    pub fn other_heads(&self, now: Duration) -> Vec<HostEntry> {
        let heads = self.heads(now).into_iter();
        let others = heads.filter(|entry| entry.zone != self.rules.zone);
        others.cloned().collect()
    }

    /// The head of the zone hears from the store: who was served in its place need not go on.
    pub fn note_store_back(&mut self, now: Duration) {
        if matches!(self.reading, Some((OwnReading::Served, _))) {
            self.heard = now;
            self.reading = None;
        }
    }

    /// Whether this host reads the store since it answers it while it is silent to the readers.
    pub fn is_served(&self, now: Duration) -> bool {
        matches!(self.reading, Some((OwnReading::Served, until)) if now < until)
    }

    /// When the store last answered this host in its turn, while it was silent to the readers.
    pub fn served(&self) -> Option<Duration> {
        self.served
    }

    /// How long this host may yet hear nobody until it reads the store itself.
    pub fn time_left(&self, now: Duration) -> Duration {
        (self.heard + self.rules.old_news).saturating_sub(now)
    }

    /// Whom to ask next. `age` is how long ago the store answered anybody of whom this host heard; none while it
    /// does not know everything yet. `is_lost` says that it fails to answer whom this host follows.
    pub fn choose(&mut self, age: Option<Duration>, is_lost: bool, now: Duration) -> NewsSource {
        if self.is_reader(now) {
            self.heard = now;
            return NewsSource::Store;
        }
        match age {
            None => {
                self.heard = now;
                return self.choose_at_start(now);
            }
            Some(age) => self.look_whether_to_read(age, is_lost, now),
        }
        match self.reading {
            Some(_) => NewsSource::Store,
            None => self
                .followed(now)
                .map_or(NewsSource::Store, NewsSource::Host),
        }
    }

    // Who knows nothing yet asks others, and the store when that takes too long. A head reads at once: its whole zone
    // waits for it.
    fn choose_at_start(&self, now: Duration) -> NewsSource {
        let is_late = now >= self.patience;
        let is_head = self.is_head(now);
        if is_late || is_head {
            return NewsSource::Store;
        }
        self.followed(now)
            .map_or(NewsSource::Seeds, NewsSource::Host)
    }

    fn look_whether_to_read(&mut self, age: Duration, is_lost: bool, now: Duration) {
        let margin = match is_lost {
            true => Duration::ZERO,
            false => SILENCE_MARGIN,
        };
        let is_silent = age >= self.rules.old_news + margin;
        self.reading = match self.reading {
            // It goes on: a change is then known at once, not at its next turn, which is two seconds later.
            Some((OwnReading::Trial, _)) if !is_silent => {
                self.served = Some(now);
                self.heard = now;
                Some((OwnReading::Served, now + SERVED_TIME))
            }
            Some((OwnReading::Served, _)) if is_silent => None,
            Some((why, until)) if now < until => Some((why, until)),
            Some(_) => {
                // What it read until now was as good as an answer.
                self.heard = now;
                None
            }
            None if self.time_left(now) <= LEAST_QUESTION => {
                Some((OwnReading::Unheard, now + OWN_READING_TIME))
            }
            None if is_silent && self.is_turn(age, now) => {
                Some((OwnReading::Trial, now + TRIAL_TURN))
            }
            None => None,
        };
    }

    // Whether it is this host's turn to try a store that has been silent for so long: by draw among the hosts that
    // follow, anew in each turn, so that a store which turns many away is found by one that it serves.
    fn is_turn(&self, age: Duration, now: Duration) -> bool {
        let is_served = self.served.is_some_and(|at| now < at + SERVED_TIME);
        let turn = (age.as_millis() / TRIAL_TURN.as_millis()).to_string();
        // The head reads, or follows one that does.
        let others = self.own_zone(now).skip(1);
        let drawn = others.max_by_key(|entry| peer::draw(&entry.name, &turn));
        is_served || drawn.is_some_and(|entry| entry.name == self.rules.own)
    }

    // Whom this host follows; none where there is nobody.
    fn followed(&self, now: Duration) -> Option<HostEntry> {
        if self.is_head(now) {
            let readers = self.heads(now).into_iter().take(READERS);
            return self.drawn(readers);
        }
        let hosts = self.zones.get(&self.rules.zone)?.len();
        let wanted = 1 + usize::from(hosts >= STANDBY_FROM);
        let followed: Vec<&HostEntry> = self.own_zone(now).take(wanted).collect();
        let is_standby = followed.iter().any(|entry| entry.name == self.rules.own);
        match is_standby {
            true => self.head(now),
            false => self.drawn(followed.into_iter()),
        }
    }

    // Followers spread; each host's own draw keeps it at the same one.
    fn drawn<'a>(&self, entries: impl Iterator<Item = &'a HostEntry>) -> Option<HostEntry> {
        let drawn = entries.max_by_key(|entry| peer::draw(&self.rules.own, &entry.name));
        drawn.cloned()
    }

    fn is_head(&self, now: Duration) -> bool {
        let head = self.own_zone(now).next();
        head.is_some_and(|entry| entry.name == self.rules.own)
    }

    // The hosts of the own zone that are not passed over, in their order.
    fn own_zone(&self, now: Duration) -> impl Iterator<Item = &HostEntry> {
        let entries = self.zones.get(&self.rules.zone).into_iter().flatten();
        entries.filter(move |entry| self.is_heard(entry, now))
    }

    // The head of each zone, in the order in which they are to read the store.
    fn heads(&self, now: Duration) -> Vec<&HostEntry> {
        let zones = self.zones.values();
        let heads =
            zones.filter_map(|entries| entries.iter().find(|entry| self.is_heard(entry, now)));
        let mut heads: Vec<&HostEntry> = heads.collect();
        heads.sort_by_key(|entry| head_rank(entry));
        heads
    }

    fn is_heard(&self, entry: &HostEntry, now: Duration) -> bool {
        let passed = self.passed_over.get(&entry.name);
        passed.is_none_or(|passed| now >= passed.until)
    }
}

// Zones in an order that does not depend on which of their hosts is the head.
fn head_rank(entry: &HostEntry) -> Reverse<(u32, u64)> {
    Reverse((entry.link_mbps, peer::draw(&entry.zone, "readers")))
}

fn by_zone(hosts: impl Iterator<Item = HostEntry>) -> BTreeMap<FastStr, Vec<HostEntry>> {
    let mut zones: BTreeMap<FastStr, Vec<HostEntry>> = BTreeMap::new();
    for entry in hosts {
        zones.entry(entry.zone.clone()).or_default().push(entry);
    }
    for (zone, entries) in &mut zones {
        sort_readers(entries, zone);
    }
    zones
}

/// Whom a host of a zone that knows no others may follow, and the heads of the zones that come first.
pub fn guides_of(hosts: impl Iterator<Item = HostEntry>, zone: &str) -> Vec<HostEntry> {
    let mut zones = by_zone(hosts);
    let mut guides = zones.remove(zone).unwrap_or_default();
    guides.truncate(GUIDES);
    let heads = zones
        .into_values()
        .filter_map(|entries| entries.into_iter().next());
    let mut heads: Vec<HostEntry> = heads.collect();
    heads.sort_by_key(head_rank);
    guides.extend(heads.into_iter().take(GUIDES));
    guides
}
