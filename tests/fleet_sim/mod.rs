//! Simulation of hundreds of hosts and a faulty store in virtual time.
//!
//! Each host runs the real `SourceSelector`; the store, the queries between hosts and the clock are simulated here.

#[allow(dead_code)]
pub mod crashes;
#[allow(dead_code)]
pub mod restores;

use {
    self::crashes::SimCrashes,
    bayplank::relay::{
        self, FOLLOWER_BACKOFF, HostEntry, READER_BACKOFF, SourceSelector, SourceSettings,
        UpdateSource,
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::time::Duration,
};

/// Length of a simulation step in milliseconds, the unit of all times here.
pub const STEP: u64 = 25;
/// Time within which changes have to take effect; it makes data stale after 1.8 s.
const CHANGE_TIME: Duration = Duration::from_secs(4);
/// Wait of a reader's watch, as the relay sets it for this change time.
const WATCH_WAIT: u64 = 900;
/// How long a query waits for something newer.
const QUERY_WAIT: u64 = 300;
/// Timeout of a query to a host that does not respond.
const QUERY_TIMEOUT: u64 = 400;
/// Interval between a host's reports to its head.
const REPORT_INTERVAL: u64 = 600;
/// Interval between the reads of a host that reads the store without being a reader.
const READ_INTERVAL: u64 = 350;
/// Calls of a starting host that reads everything: the configuration, a list that lags, its watch.
const START_CALLS: u64 = 3;
/// Number of watched object kinds.
pub const KINDS: u64 = 2;
/// Extra calls of a host that reads a restored store: its watches and that of the hosts are rejected, and it rereads
/// the lists.
const RESTORE_CALLS: u64 = KINDS + 2;

pub struct SimHost {
    pub entry: HostEntry,
    pub choice: SourceSelector,
    pub started: u64,
    pub is_up: bool,
    pub knows_hosts: bool,
    // Last time at which its data was known to be current.
    pub confirmed: Option<u64>,
    pub version: u64,
    pub era: u32,
    // Full lists that it sent to other hosts since the store was restored.
    pub full_lists_sent: u64,
    // Last time at which its configuration was proved current: the send time of a call that got a response.
    pub proved: Option<u64>,
    // Send time of its last watch, which gets its response when the host reads again.
    pub watched: Option<u64>,
    // Time of its next action, or start of the query in flight.
    pub busy_until: u64,
    // The host that it queries.
    pub asked: Option<usize>,
    pub failures: u32,
    // Whether the store does not respond to it or to the host that it follows.
    pub is_lost: bool,
    // The host that reported the newest data, and the time at which that was current.
    pub newest: Option<(usize, u64)>,
    pub crashes: SimCrashes,
}

/// Faults: which hosts the store serves, and which hosts can reach each other.
pub struct SimFaults {
    pub store: fn(&HostEntry) -> bool,
    pub path: fn(&HostEntry, &HostEntry) -> bool,
}

pub const NO_FAULTS: SimFaults = SimFaults {
    store: |_| true,
    path: |_, _| true,
};

pub struct SimFleet {
    pub now: u64,
    pub hosts: Vec<SimHost>,
    pub seeds: [usize; 3],
    pub version: u64,
    pub era: u32,
    pub calls: u64,
    pub rng: StdRng,
}

fn entries(zones: usize, hosts: usize) -> Vec<HostEntry> {
    let names = ["z-a", "z-b", "z-c", "z-d", "z-e", "z-f", "z-g"];
    let mut entries = Vec::new();
    for zone in &names[..zones] {
        for index in 0..hosts {
            entries.push(HostEntry {
                judged: Vec::new(),
                software: Vec::new(),
                name: FastStr::from_string(format!("{zone}-{index}")),
                zone: FastStr::new(zone),
                peers: "127.0.0.1:9".parse().unwrap(),
                // The first host of each zone is its head.
                link_mbps: [300, 200, 200].get(index).copied().unwrap_or(20),
                carrier_port: 0,
            });
        }
    }
    entries
}

fn choice_of(entry: &HostEntry, start_wait: u64, seed_wait: u64) -> SourceSelector {
    SourceSelector::new(SourceSettings {
        own: entry.name.clone(),
        zone: entry.zone.clone(),
        stale_age: relay::stale_age(CHANGE_TIME),
        start_wait: Duration::from_millis(start_wait),
        seed_wait: Duration::from_millis(seed_wait),
    })
}

impl SimFleet {
    /// A fleet in its steady state.
    pub fn running(zones: usize, hosts: usize) -> Self {
        let entries = entries(zones, hosts);
        let mut fleet = Self {
            now: 10_000,
            hosts: Vec::new(),
            seeds: [5, hosts + 7, 2 * hosts + 9].map(|index| index % (zones * hosts)),
            version: 1,
            era: 1,
            calls: 0,
            rng: StdRng::seed_from_u64(7),
        };
        for entry in &entries {
            let mut choice = choice_of(entry, 0, 0);
            choice.set_hosts(entries.iter());
            choice.note_response("", Duration::from_secs(10));
            fleet.hosts.push(SimHost {
                entry: entry.clone(),
                choice,
                started: 0,
                is_up: true,
                knows_hosts: true,
                confirmed: Some(9_900),
                version: 1,
                era: 1,
                full_lists_sent: 0,
                proved: Some(9_900),
                watched: None,
                busy_until: 10_000 + fleet.rng.random_range(0..QUERY_WAIT),
                asked: None,
                failures: 0,
                is_lost: false,
                newest: None,
                crashes: SimCrashes::new(fleet.hosts.len() as u64 + 1),
            });
        }
        fleet.run(&NO_FAULTS, 3_000);
        fleet.calls = 0;
        fleet
    }

    /// Restarts a host without any data.
    pub fn restart(&mut self, index: usize) {
        let is_seed = self.seeds.contains(&index);
        let (start_wait, seed_wait) = match is_seed {
            true => (60, 60),
            false => (
                self.rng.random_range(150..350),
                self.rng.random_range(700..1_400),
            ),
        };
        let host = &mut self.hosts[index];
        host.choice = choice_of(&host.entry, start_wait, seed_wait);
        host.started = self.now;
        host.busy_until = self.now;
        (host.is_up, host.knows_hosts) = (true, false);
        (host.confirmed, host.version, host.failures) = (None, 0, 0);
        host.era = 0;
        (host.proved, host.watched) = (None, None);
        (host.asked, host.newest) = (None, None);
        host.crashes = SimCrashes::new(self.rng.random());
    }

    pub fn run(&mut self, faults: &SimFaults, time: u64) {
        let end = self.now + time;
        while self.now < end {
            for index in 0..self.hosts.len() {
                if self.hosts[index].is_up {
                    self.step(index, faults);
                }
            }
            self.now += STEP;
        }
    }

    /// Runs until all hosts that are up have the newest version and returns how long that took.
    pub fn time_to_apply(&mut self, faults: &SimFaults, bound: u64) -> u64 {
        let start = self.now;
        while self
            .hosts
            .iter()
            .any(|host| host.is_up && host.version < self.version)
        {
            assert!(
                self.now - start < bound,
                "change did not reach all hosts within {bound} ms"
            );
            self.run(faults, STEP);
        }
        self.now - start
    }

    fn step(&mut self, index: usize, faults: &SimFaults) {
        self.report(index, faults);
        self.learn_crashes(index, faults);
        self.report_crashes(index, faults);
        if let Some(asked) = self.hosts[index].asked {
            self.poll_query(index, asked, faults);
            return;
        }
        let reads_newer =
            self.position_of(index) < (self.era, self.version) && self.hosts[index].failures == 0;
        if self.now < self.hosts[index].busy_until && !reads_newer {
            return;
        }
        match self.choose(index) {
            UpdateSource::Store => self.read(index, faults),
            UpdateSource::Host(entry) => {
                let asked = self
                    .hosts
                    .iter()
                    .position(|host| host.entry.name == entry.name);
                self.hosts[index].asked = asked;
                self.hosts[index].busy_until = self.now;
                self.hosts[index].failures = 0;
            }
            UpdateSource::Seeds => self.query_seed(index, faults),
        }
    }

    fn position_of(&self, index: usize) -> (u32, u64) {
        let host = &self.hosts[index];
        (host.era, host.version)
    }

    fn choose(&mut self, index: usize) -> UpdateSource {
        let now = self.now;
        let host = &mut self.hosts[index];
        let age = host.confirmed.map(|at| Duration::from_millis(now - at));
        host.choice
            .choose(age, host.is_lost, Duration::from_millis(now - host.started))
    }

    fn local_now(&self, index: usize) -> Duration {
        Duration::from_millis(self.now - self.hosts[index].started)
    }

    // The queried host responds once it has something newer, or when the query's wait is over.
    fn poll_query(&mut self, index: usize, asked: usize, faults: &SimFaults) {
        let since = self.hosts[index].busy_until;
        let other = &self.hosts[asked];
        let is_reachable = other.is_up && (faults.path)(&self.hosts[index].entry, &other.entry);
        let now = self.local_now(index);
        if !is_reachable {
            if self.now >= since + QUERY_TIMEOUT || !other.is_up {
                let name = other.entry.name.clone();
                self.hosts[index].choice.note_timeout(&name, now);
                self.hosts[index].asked = None;
            }
            return;
        }
        let is_newer =
            self.position_of(asked) > self.position_of(index) || self.has_crash_news(index, asked);
        if !is_newer && self.now < since + QUERY_WAIT {
            return;
        }
        let name = other.entry.name.clone();
        let is_lost = other.is_lost;
        let is_unknowing = other.confirmed.is_none() && self.hosts[index].confirmed.is_some();
        let choice = &mut self.hosts[index].choice;
        match is_unknowing {
            true => choice.note_without_data(&name, now),
            false => choice.note_response(&name, now),
        }
        self.hosts[index].asked = None;
        self.hosts[index].is_lost = is_lost;
        self.take(index, asked);
        self.query_newest(index, faults);
    }

    fn take(&mut self, index: usize, from: usize) {
        self.take_crashes(index, from);
        let (confirmed, version, knows, proved) = {
            let other = &self.hosts[from];
            (
                other.confirmed,
                other.version,
                other.knows_hosts,
                other.proved,
            )
        };
        let era = self.hosts[from].era;
        if era > self.hosts[index].era {
            self.hosts[from].full_lists_sent += 1;
        }
        let host = &mut self.hosts[index];
        host.era = host.era.max(era);
        host.confirmed = host.confirmed.max(confirmed);
        host.version = host.version.max(version);
        host.proved = host.proved.max(proved);
        if knows && confirmed.is_some() && !host.knows_hosts {
            self.learn_hosts(index);
        }
    }

    fn learn_hosts(&mut self, index: usize) {
        let all: Vec<HostEntry> = self.hosts.iter().map(|host| host.entry.clone()).collect();
        let host = &mut self.hosts[index];
        host.knows_hosts = true;
        host.choice.set_hosts(all.iter());
    }

    fn query_newest(&mut self, index: usize, faults: &SimFaults) {
        let host = &self.hosts[index];
        let Some((newest, at)) = host.newest else {
            return;
        };
        let is_newer = at > host.confirmed.unwrap_or_default() + 500
            || self.hosts[newest].version > host.version;
        if is_newer
            && self.hosts[newest].is_up
            && (faults.path)(&host.entry, &self.hosts[newest].entry)
        {
            self.take(index, newest);
        }
    }

    fn read(&mut self, index: usize, faults: &SimFaults) {
        let now = self.now;
        let is_served = (faults.store)(&self.hosts[index].entry);
        let knew = self.hosts[index].confirmed.is_some();
        self.calls += if knew { KINDS } else { START_CALLS };
        if is_served && knew && self.hosts[index].era < self.era {
            self.calls += RESTORE_CALLS;
        }
        let era = self.era;
        if !self.hosts[index].knows_hosts && is_served {
            self.learn_hosts(index);
        }
        let is_reader = self.hosts[index].choice.is_reader(self.local_now(index));
        let draw = self.rng.random::<f64>();
        let local = self.local_now(index);
        let version = self.version;
        let host = &mut self.hosts[index];
        let is_change = host.version < version && host.choice.is_served(local);
        if is_served {
            // This response belongs to the watch sent at the last read; the first call gets its response at once.
            host.proved = host.proved.max(Some(host.watched.unwrap_or(now)));
            host.watched = Some(now);
            (host.confirmed, host.version, host.failures) = (Some(now), self.version, 0);
            (host.is_lost, host.era) = (false, era);
            let (choice, started) = (&mut host.choice, host.started);
            let served = choice.served();
            choice.choose(
                Some(Duration::ZERO),
                false,
                Duration::from_millis(now - started),
            );
            let is_news = choice.served() != served;
            host.busy_until = now + if is_reader { WATCH_WAIT } else { READ_INTERVAL };
            if is_news || is_change {
                self.report_to_head(index, faults);
            }
            return;
        }
        // A host without the list of hosts reads that too and backs off like a reader.
        let pauses = if is_reader || !host.knows_hosts {
            READER_BACKOFF
        } else {
            FOLLOWER_BACKOFF
        };
        host.busy_until = now + pauses.after(host.failures, draw).as_millis() as u64;
        host.failures += 1;
        host.watched = None;
        host.is_lost = true;
        self.query_other_heads(index, faults);
    }

    // After a failed read, heads of other zones and the newest reporter may have newer data.
    fn query_other_heads(&mut self, index: usize, faults: &SimFaults) {
        let heads = self.hosts[index].choice.other_heads(self.local_now(index));
        let asked: Vec<HostEntry> = heads.sample(&mut self.rng, 2).cloned().collect();
        for entry in asked {
            let Some(other) = self
                .hosts
                .iter()
                .position(|host| host.entry.name == entry.name)
            else {
                continue;
            };
            if self.hosts[other].is_up && (faults.path)(&self.hosts[index].entry, &entry) {
                self.take(index, other);
            }
        }
        self.query_newest(index, faults);
    }

    fn query_seed(&mut self, index: usize, faults: &SimFaults) {
        let seed = *self.seeds.choose(&mut self.rng).unwrap();
        self.hosts[index].busy_until = self.now + 100;
        let other = &self.hosts[seed];
        let is_reachable = other.is_up && (faults.path)(&self.hosts[index].entry, &other.entry);
        if seed == index || !is_reachable {
            return;
        }
        let knows_hosts = other.knows_hosts;
        self.hosts[index].choice.note_seed_response();
        if !knows_hosts {
            return;
        }
        let all: Vec<HostEntry> = self.hosts.iter().map(|host| host.entry.clone()).collect();
        let zone = self.hosts[index].entry.zone.clone();
        let starting_points = relay::starting_points(all.into_iter(), &zone);
        self.hosts[index].choice.set_guides(starting_points.iter());
        self.hosts[index].busy_until = self.now;
    }

    fn report(&mut self, index: usize, faults: &SimFaults) {
        if (self.now + index as u64 * STEP).is_multiple_of(REPORT_INTERVAL) {
            self.report_to_head(index, faults);
        }
    }

    fn report_to_head(&mut self, index: usize, faults: &SimFaults) {
        let host = &self.hosts[index];
        let (Some(head), Some(confirmed)) =
            (host.choice.head(self.local_now(index)), host.confirmed)
        else {
            return;
        };
        let head = self
            .hosts
            .iter()
            .position(|other| other.entry.name == head.name)
            .unwrap();
        if !(faults.path)(&host.entry, &self.hosts[head].entry) {
            return;
        }
        if !self.hosts[head].is_lost {
            let now = self.local_now(index);
            self.hosts[index].choice.note_store_recovered(now);
        }
        let known = &mut self.hosts[head].newest;
        if known.is_none_or(|(_, at)| confirmed > at) {
            *known = Some((index, confirmed));
        }
        self.query_newest(head, faults);
    }
}
