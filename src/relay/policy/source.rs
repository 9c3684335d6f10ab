//! Choice of the source from which a host gets store updates: the store itself or another host. A state machine
//! without I/O.
//!
//! All hosts of a zone sort the listed hosts into the same order. The first one that responds is the zone's head
//! (leader), which the others follow; a large zone also has standbys that serve part of the followers. The heads of
//! two zones read the store and the other heads follow one of them, so calls to the store grow neither with the
//! number of hosts nor with the number of zones.
//!
//! Two ages must be kept apart. The time since the store last responded to any host bounds the age of the data; while
//! the store is down it grows everywhere and blames no host. The time since this host last heard from another one
//! tells whether it is cut off; only then does it look for another source. While the store does not respond, one host
//! at a time of each zone tries it in addition to the readers, in case it rejects only some hosts.

use {
    crate::{peer, relay::link::HostEntry},
    faststr::FastStr,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Number of hosts from which a zone has a standby that is followed too: losing the head then does not affect the
/// whole zone, and each of the two carries half of the traffic.
const STANDBY_FROM: usize = 9;

/// Number of hosts of a zone for each host that serves the others. At three requests a second from each, and the list of
/// servers at their start, a small host can serve as many.
const HOSTS_PER_SERVING: usize = 30;

// Number of hosts of a zone that serve the others: the head and its standbys.
fn serving_hosts(hosts: usize) -> usize {
    let needed = 1 + usize::from(hosts >= STANDBY_FROM);
    needed.max(hosts.div_ceil(HOSTS_PER_SERVING))
}

/// Part of the time allowed for a change to take effect that is reserved for a host that hears from nobody and reads
/// the store itself: it may first have to detect that a connection hangs.
const OWN_READING_MARGIN: Duration = Duration::from_millis(600);

/// Bounds of the age at which data is stale. Readers hear from the store after at most half of it and followers from
/// readers every 0.3 s; a list older than the upper bound may contain expired entries.
const STALE_AGE_MIN: Duration = Duration::from_millis(1_000);
const STALE_AGE_MAX: Duration = Duration::from_millis(1_800);

/// Age at which data is stale, given that changes have to take effect within `change_time`.
pub fn stale_age(change_time: Duration) -> Duration {
    let age = change_time.saturating_sub(OWN_READING_MARGIN);
    age.clamp(STALE_AGE_MIN, STALE_AGE_MAX)
}

/// Minimum time to query another host. With less left before it counts as cut off, a host reads the store at once
/// rather than time out on a host that may be fine.
const MIN_QUERY_TIME: Duration = Duration::from_millis(150);

/// How long a host that hears from no other host reads the store itself.
const OWN_READING_TIME: Duration = Duration::from_secs(2);

/// How long a host that did not respond is first skipped: most restart within seconds.
const SKIP_MIN: Duration = Duration::from_secs(2);

/// How long a host that responds but has no data yet is skipped by hosts that have some: it normally gets its data
/// within that time, and its followers should not wait for it.
const SKIP_WITHOUT_DATA: Duration = Duration::from_secs(1);

/// Upper bound of that time, which doubles each time the host does not respond.
const SKIP_MAX: Duration = Duration::from_secs(32);

/// Number of heads that read the store: the fleet survives the loss of one or of its zone, and each further reader
/// would add two calls a second.
const READERS: usize = 2;

/// Extra store silence, beyond the stale age, before hosts try the store in turn when no reader has reported it
/// unreachable: three hosts that relay data add 0.9 s to its age.
const SILENCE_MARGIN: Duration = Duration::from_millis(800);

/// How long one host of a zone tries an unresponsive store before the next one's turn: long enough for one call of
/// each kind, so that a zone adds two or three calls a second whatever its size.
const TRIAL_TURN: Duration = Duration::from_secs(1);

/// How long a host whose trial succeeded keeps reading the store, and gets every further turn: faults in which the
/// store rejects some hosts last for seconds.
const SERVED_TIME: Duration = Duration::from_secs(10);

/// How long a starting host waits for the next part of a list before it reads the store: as long as several calls to
/// other hosts take.
const LIST_PART_WAIT: Duration = Duration::from_millis(1_000);

/// Number of hosts of its own zone that a starting host is given to follow at least: the head, a standby, and one more
/// in case one of them is gone. It is given as many heads of other zones.
const STARTING_POINTS: usize = 3;

/// Sorts the hosts of a zone by their precedence as its head: the strongest first, since the head serves all others,
/// and by hash among equals.
pub fn sort_readers(entries: &mut [HostEntry], zone: &str) {
    entries.sort_by_key(|entry| Reverse((entry.link_mbps, peer::draw(&entry.name, zone))));
}

/// Where to get store updates from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store.
    Store,
    /// Another host.
    Host(HostEntry),
    /// The seed hosts of the settings, any of which may be gone, while no other host is known.
    Seeds,
}

/// Parameters of a host's choice.
#[derive(Debug, Clone)]
pub struct SourceSettings {
    /// The host's own name.
    pub own: FastStr,
    /// Its availability zone.
    pub zone: FastStr,
    /// Age at which data is stale.
    pub stale_age: Duration,
    /// How long it waits for other hosts after its start before it reads the store. Short for a seed host, since some
    /// host has to read first.
    pub start_wait: Duration,
    /// The same once a seed host has responded without data: it will have data soon.
    pub seed_wait: Duration,
}

/// Why a host that is not a reader reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnReading {
    /// It hears from no other host.
    CutOff,
    /// It is its turn to try an unresponsive store.
    Trial,
    /// The store responds to it but not to the readers.
    Served,
}

#[derive(Debug, Clone, Copy)]
struct Skip {
    until: Duration,
    time: Duration,
}

/// One host's choice of its update source.
#[derive(Debug)]
pub struct SourceSelector {
    settings: SourceSettings,
    // The hosts of each zone, by precedence as its head.
    zones: BTreeMap<FastStr, Vec<HostEntry>>,
    // The hosts are only those that a starting host was told to follow.
    is_guided: bool,
    skipped: BTreeMap<FastStr, Skip>,
    // Hosts of the own zone that did not accept a report, and until when none is sent to them. A follower of the
    // standby never queries the head and would not notice otherwise that it is gone.
    unreported: BTreeMap<FastStr, Duration>,
    // When another host last responded, or this one last read the store itself.
    heard: Duration,
    // Why this host reads the store without being a reader, and until when.
    reading: Option<(OwnReading, Duration)>,
    // When a trial of this host last succeeded while the store did not respond to the readers.
    served: Option<Duration>,
    // How long after its start it waits for other hosts before it reads the store.
    start_wait: Duration,
}

impl SourceSelector {
    /// The choice of a host that knows no others yet.
    pub fn new(settings: SourceSettings) -> Self {
        Self {
            start_wait: settings.start_wait,
            settings,
            zones: BTreeMap::new(),
            is_guided: false,
            skipped: BTreeMap::new(),
            unreported: BTreeMap::new(),
            heard: Duration::ZERO,
            reading: None,
            served: None,
        }
    }

    /// Replaces the listed hosts.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a HostEntry>) {
        self.is_guided = false;
        self.zones = by_zone(hosts.cloned());
        let zones = &self.zones;
        self.skipped.retain(|name, _| {
            let mut entries = zones.values().flatten();
            entries.any(|entry| entry.name == *name)
        });
    }

    /// Sets the hosts that a starting host was told to follow.
    pub fn set_guides<'a>(&mut self, guides: impl Iterator<Item = &'a HostEntry>) {
        self.set_hosts(guides);
        self.is_guided = true;
    }

    /// Records that a seed host responded, with or without data.
    pub fn note_seed_response(&mut self) {
        self.start_wait = self.start_wait.max(self.settings.seed_wait);
    }

    /// Records that a part of a list arrived from another host, which will send the rest sooner than the store.
    pub fn note_list_part(&mut self, now: Duration) {
        self.start_wait = self.start_wait.max(now + LIST_PART_WAIT);
    }

    /// How much longer a starting host waits for other hosts.
    pub fn start_wait_left(&self, now: Duration) -> Duration {
        self.start_wait.saturating_sub(now)
    }

    /// Records that a host did not respond.
    pub fn note_timeout(&mut self, name: &FastStr, now: Duration) {
        let before = self.skipped.get(name);
        let doubled = before.map_or(SKIP_MIN, |before| before.time * 2);
        let time = doubled.clamp(SKIP_MIN, SKIP_MAX);
        let until = now + time;
        self.skipped.insert(name.clone(), Skip { until, time });
    }

    /// Records that a host responded, whatever the age of its data.
    pub fn note_response(&mut self, name: &str, now: Duration) {
        self.skipped.remove(name);
        self.heard = self.heard.max(now);
    }

    /// Records that a host responded without data while this one has some.
    pub fn note_without_data(&mut self, name: &FastStr, now: Duration) {
        let until = now + SKIP_WITHOUT_DATA;
        let skip = Skip {
            until,
            time: Duration::ZERO,
        };
        self.skipped.insert(name.clone(), skip);
    }

    /// Whether data of this age is stale, so that other hosts may have newer data.
    pub fn is_stale(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age >= self.settings.stale_age)
    }

    /// Whether this host is one of the readers, which read the store for all.
    pub fn is_reader(&self, now: Duration) -> bool {
        let mut readers = self.heads(now).into_iter().take(READERS);
        readers.any(|entry| entry.name == self.settings.own)
    }

    /// Records that a host of the own zone did not accept a report.
    pub fn note_report_failed(&mut self, name: &FastStr, now: Duration) {
        self.unreported.retain(|_, until| now < *until);
        self.unreported.insert(name.clone(), now + SKIP_MIN);
    }

    /// The head of this host's zone, to which it reports; `None` if it is the head itself or knows none.
    pub fn head(&self, now: Duration) -> Option<HostEntry> {
        let is_unreported = |entry: &&HostEntry| {
            let until = self.unreported.get(&entry.name);
            until.is_some_and(|until| now < *until)
        };
        let head = self.own_zone(now).find(|entry| !is_unreported(entry));
        head.filter(|entry| entry.name != self.settings.own)
            .cloned()
    }

    /// The heads of the other zones, by precedence as readers.
    pub fn other_heads(&self, now: Duration) -> Vec<HostEntry> {
        let heads = self.heads(now).into_iter();
        let others = heads.filter(|entry| entry.zone != self.settings.zone);
        others.cloned().collect()
    }

    /// Records that the zone's head hears from the store again, so that this host need not read it any longer.
    pub fn note_store_recovered(&mut self, now: Duration) {
        if matches!(self.reading, Some((OwnReading::Served, _))) {
            self.heard = now;
            self.reading = None;
        }
    }

    /// Whether this host reads the store because it responds to this host but not to the readers.
    pub fn is_served(&self, now: Duration) -> bool {
        matches!(self.reading, Some((OwnReading::Served, until)) if now < until)
    }

    /// When a trial of this host last succeeded while the store did not respond to the readers.
    pub fn served(&self) -> Option<Duration> {
        self.served
    }

    /// Time left without hearing from another host before this one reads the store itself.
    pub fn time_left(&self, now: Duration) -> Duration {
        (self.heard + self.settings.stale_age).saturating_sub(now)
    }

    /// Chooses the source to query next. `age` is the time since the store is known to have responded to any host;
    /// `None` while this host's data is incomplete. `is_lost` means that the store does not respond to the host that
    /// this one follows.
    pub fn choose(&mut self, age: Option<Duration>, is_lost: bool, now: Duration) -> UpdateSource {
        if self.is_reader(now) {
            self.heard = now;
            return UpdateSource::Store;
        }
        match age {
            None => {
                self.heard = now;
                return self.choose_at_start(now);
            }
            Some(age) => self.update_own_reading(age, is_lost, now),
        }
        match self.reading {
            Some(_) => UpdateSource::Store,
            None => self
                .followed(now)
                .map_or(UpdateSource::Store, UpdateSource::Host),
        }
    }

    // A host without data queries others, and the store once that takes too long. A head reads the store at once,
    // since its whole zone waits for it.
    fn choose_at_start(&self, now: Duration) -> UpdateSource {
        let is_late = now >= self.start_wait;
        let is_head = self.is_head(now);
        if is_late || is_head {
            return UpdateSource::Store;
        }
        self.followed(now)
            .map_or(UpdateSource::Seeds, UpdateSource::Host)
    }

    fn update_own_reading(&mut self, age: Duration, is_lost: bool, now: Duration) {
        let margin = match is_lost {
            true => Duration::ZERO,
            false => SILENCE_MARGIN,
        };
        let is_silent = age >= self.settings.stale_age + margin;
        self.reading = match self.reading {
            // It keeps reading: a change is then known at once rather than at its next turn, two seconds later.
            Some((OwnReading::Trial, _)) if !is_silent => {
                self.served = Some(now);
                self.heard = now;
                Some((OwnReading::Served, now + SERVED_TIME))
            }
            Some((OwnReading::Served, _)) if is_silent => None,
            Some((why, until)) if now < until => Some((why, until)),
            Some(_) => {
                // Reading the store until now counts as hearing from another host.
                self.heard = now;
                None
            }
            None if self.time_left(now) <= MIN_QUERY_TIME => {
                Some((OwnReading::CutOff, now + OWN_READING_TIME))
            }
            None if is_silent && self.is_turn(age, now) => {
                Some((OwnReading::Trial, now + TRIAL_TURN))
            }
            None => None,
        };
    }

    // Whether it is this host's turn to try a store that has not responded for this long. The host is picked by hash
    // among the followers, differently in each turn, so that a store that rejects many hosts is soon tried by one
    // that it serves.
    fn is_turn(&self, age: Duration, now: Duration) -> bool {
        let is_served = self.served.is_some_and(|at| now < at + SERVED_TIME);
        let turn = (age.as_millis() / TRIAL_TURN.as_millis()).to_string();
        // The head is a reader itself or follows one.
        let others = self.own_zone(now).skip(1);
        let drawn = others.max_by_key(|entry| peer::draw(&entry.name, &turn));
        is_served || drawn.is_some_and(|entry| entry.name == self.settings.own)
    }

    // The host that this one follows; `None` if there is no other.
    fn followed(&self, now: Duration) -> Option<HostEntry> {
        if self.is_head(now) {
            let readers = self.heads(now).into_iter().take(READERS);
            return self.pick_by_hash(readers);
        }
        let hosts = self.zones.get(&self.settings.zone)?.len();
        let wanted = match self.is_guided {
            // The last one is for the case that another one is gone.
            true if hosts > STARTING_POINTS => hosts - 1,
            true => 1,
            false => serving_hosts(hosts),
        };
        let followed: Vec<&HostEntry> = self.own_zone(now).take(wanted).collect();
        let is_standby = followed.iter().any(|entry| entry.name == self.settings.own);
        match is_standby {
            true => self.head(now),
            false => self.pick_by_hash(followed.into_iter()),
        }
    }

    // Rendezvous hashing spreads the followers and keeps each of them at the same host.
    fn pick_by_hash<'a>(&self, entries: impl Iterator<Item = &'a HostEntry>) -> Option<HostEntry> {
        let drawn = entries.max_by_key(|entry| peer::draw(&self.settings.own, &entry.name));
        drawn.cloned()
    }

    fn is_head(&self, now: Duration) -> bool {
        let head = self.own_zone(now).next();
        head.is_some_and(|entry| entry.name == self.settings.own)
    }

    // The hosts of the own zone that are not skipped, by precedence.
    fn own_zone(&self, now: Duration) -> impl Iterator<Item = &HostEntry> {
        let entries = self.zones.get(&self.settings.zone).into_iter().flatten();
        entries.filter(move |entry| self.is_available(entry, now))
    }

    // The head of each zone, by precedence as readers.
    fn heads(&self, now: Duration) -> Vec<&HostEntry> {
        let zones = self.zones.values();
        let heads =
            zones.filter_map(|entries| entries.iter().find(|entry| self.is_available(entry, now)));
        let mut heads: Vec<&HostEntry> = heads.collect();
        heads.sort_by_key(|entry| head_rank(entry));
        heads
    }

    fn is_available(&self, entry: &HostEntry, now: Duration) -> bool {
        let skip = self.skipped.get(&entry.name);
        skip.is_none_or(|skip| now >= skip.until)
    }
}

// Among heads of equal strength the order depends on the zone, not on which of its hosts is the head.
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

/// Hosts that a starting host of a zone may follow, and the first heads of other zones.
pub fn starting_points(hosts: impl Iterator<Item = HostEntry>, zone: &str) -> Vec<HostEntry> {
    let mut zones = by_zone(hosts);
    let mut points = zones.remove(zone).unwrap_or_default();
    let serving = serving_hosts(points.len());
    points.truncate(STARTING_POINTS.max(serving + 1));
    let heads = zones
        .into_values()
        .filter_map(|entries| entries.into_iter().next());
    let mut heads: Vec<HostEntry> = heads.collect();
    heads.sort_by_key(head_rank);
    points.extend(heads.into_iter().take(STARTING_POINTS));
    points
}
