//! Hundreds of hosts as state machines on a clock of their own, before a store that may misbehave.
//!
//! Each host's choice is the code that runs; the store, the questions between hosts and the time are this file's.

#[allow(dead_code)]
pub mod crashes;
#[allow(dead_code)]
pub mod restores;

use {
    self::crashes::SimCrashes,
    bayplank::relay::{
        self, FOLLOWER_PAUSES, HostEntry, NewsSource, READER_PAUSES, SourceChoice, SourceRules,
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::time::Duration,
};

/// Length of a step, milliseconds.
pub const STEP: u64 = 25;
/// Where changes have to be in force within four seconds: news are old after 1.8.
const CHANGE_TIME: Duration = Duration::from_secs(4);
/// How long a watch waits, as the product has it there.
const WATCH: u64 = 900;
/// How long a question waits for something newer, and how long its silence is borne.
const QUESTION: u64 = 300;
const PATIENCE: u64 = 400;
/// How often hosts report to their head.
const REPORT: u64 = 600;
/// A look of a host that reads.
const LOOK: u64 = 350;
/// Calls that a host makes which reads everything at its start: the configuration, a list that lags, its watch.
const START_CALLS: u64 = 3;
/// Kinds that are watched.
pub const KINDS: u64 = 2;
/// Calls more of a host that reads a restored store: its watches and that of the hosts are refused, the lists are read.
const RESTORE_CALLS: u64 = KINDS + 2;

pub struct SimHost {
    pub entry: HostEntry,
    pub choice: SourceChoice,
    pub started: u64,
    pub is_up: bool,
    pub knows_hosts: bool,
    // Until when its view is known to be the newest, and what it shows.
    pub confirmed: Option<u64>,
    pub version: u64,
    pub era: u32,
    // Whole lists that others were told since the store was restored.
    pub told_whole: u64,
    // When its configuration was surely the newest: the sending of a call that was answered.
    pub proved: Option<u64>,
    // When its last watch was sent; it is answered when the host looks again.
    pub watched: Option<u64>,
    // What it waits for, until then.
    pub busy_until: u64,
    pub asked: Option<usize>,
    pub failures: u32,
    // The store fails to answer it, or whom it follows.
    pub is_lost: bool,
    // The host that reported the newest view, and until when that was the newest.
    pub newest: Option<(usize, u64)>,
    pub crashes: SimCrashes,
}

/// Whom the store answers, and who hears whom.
pub struct SimTrouble {
    pub store: fn(&HostEntry) -> bool,
    pub path: fn(&HostEntry, &HostEntry) -> bool,
}

pub const CALM: SimTrouble = SimTrouble {
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
                name: FastStr::from_string(format!("{zone}-{index}")),
                zone: FastStr::new(zone),
                peers: "127.0.0.1:9".parse().unwrap(),
                // The first of each zone is its head.
                link_mbps: [300, 200, 200].get(index).copied().unwrap_or(20),
            });
        }
    }
    entries
}

fn choice_of(entry: &HostEntry, patience: u64, told: u64) -> SourceChoice {
    SourceChoice::new(SourceRules {
        own: entry.name.clone(),
        zone: entry.zone.clone(),
        old_news: relay::old_news(CHANGE_TIME),
        start_patience: Duration::from_millis(patience),
        told_patience: Duration::from_millis(told),
    })
}

impl SimFleet {
    /// A fleet that has run for a while.
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
            choice.note_heard("", Duration::from_secs(10));
            fleet.hosts.push(SimHost {
                entry: entry.clone(),
                choice,
                started: 0,
                is_up: true,
                knows_hosts: true,
                confirmed: Some(9_900),
                version: 1,
                era: 1,
                told_whole: 0,
                proved: Some(9_900),
                watched: None,
                busy_until: 10_000 + fleet.rng.random_range(0..QUESTION),
                asked: None,
                failures: 0,
                is_lost: false,
                newest: None,
                crashes: SimCrashes::new(fleet.hosts.len() as u64 + 1),
            });
        }
        fleet.run(&CALM, 3_000);
        fleet.calls = 0;
        fleet
    }

    /// Starts a host anew; it knows nothing.
    pub fn restart(&mut self, index: usize) {
        let is_seed = self.seeds.contains(&index);
        let (patience, told) = match is_seed {
            true => (60, 60),
            false => (
                self.rng.random_range(150..350),
                self.rng.random_range(700..1_400),
            ),
        };
        let host = &mut self.hosts[index];
        host.choice = choice_of(&host.entry, patience, told);
        host.started = self.now;
        host.busy_until = self.now;
        (host.is_up, host.knows_hosts) = (true, false);
        (host.confirmed, host.version, host.failures) = (None, 0, 0);
        host.era = 0;
        (host.proved, host.watched) = (None, None);
        (host.asked, host.newest) = (None, None);
        host.crashes = SimCrashes::new(self.rng.random());
    }

    pub fn run(&mut self, trouble: &SimTrouble, time: u64) {
        let end = self.now + time;
        while self.now < end {
            for index in 0..self.hosts.len() {
                if self.hosts[index].is_up {
                    self.step(index, trouble);
                }
            }
            self.now += STEP;
        }
    }

    // Runs until all that are up know the newest version; gives how long that took.
    pub fn time_to_force(&mut self, trouble: &SimTrouble, bound: u64) -> u64 {
        let start = self.now;
        while self
            .hosts
            .iter()
            .any(|host| host.is_up && host.version < self.version)
        {
            assert!(self.now - start < bound, "not in force within {bound} ms");
            self.run(trouble, STEP);
        }
        self.now - start
    }

    fn step(&mut self, index: usize, trouble: &SimTrouble) {
        self.report(index, trouble);
        self.learn_crashes(index, trouble);
        self.tell_crashes(index, trouble);
        if let Some(asked) = self.hosts[index].asked {
            self.hear(index, asked, trouble);
            return;
        }
        let reads_newer =
            self.position_of(index) < (self.era, self.version) && self.hosts[index].failures == 0;
        if self.now < self.hosts[index].busy_until && !reads_newer {
            return;
        }
        match self.choose(index) {
            NewsSource::Store => self.read(index, trouble),
            NewsSource::Host(entry) => {
                let asked = self
                    .hosts
                    .iter()
                    .position(|host| host.entry.name == entry.name);
                self.hosts[index].asked = asked;
                self.hosts[index].busy_until = self.now;
                self.hosts[index].failures = 0;
            }
            NewsSource::Seeds => self.ask_seed(index, trouble),
        }
    }

    fn position_of(&self, index: usize) -> (u32, u64) {
        let host = &self.hosts[index];
        (host.era, host.version)
    }

    fn choose(&mut self, index: usize) -> NewsSource {
        let now = self.now;
        let host = &mut self.hosts[index];
        let age = host.confirmed.map(|at| Duration::from_millis(now - at));
        host.choice
            .choose(age, host.is_lost, Duration::from_millis(now - host.started))
    }

    fn local_now(&self, index: usize) -> Duration {
        Duration::from_millis(self.now - self.hosts[index].started)
    }

    // A question waits at whom it was asked until there is something newer, or its wait is over.
    fn hear(&mut self, index: usize, asked: usize, trouble: &SimTrouble) {
        let since = self.hosts[index].busy_until;
        let other = &self.hosts[asked];
        let is_heard = other.is_up && (trouble.path)(&self.hosts[index].entry, &other.entry);
        let now = self.local_now(index);
        if !is_heard {
            if self.now >= since + PATIENCE || !other.is_up {
                let name = other.entry.name.clone();
                self.hosts[index].choice.note_silent(&name, now);
                self.hosts[index].asked = None;
            }
            return;
        }
        let is_newer =
            self.position_of(asked) > self.position_of(index) || self.has_crash_news(index, asked);
        if !is_newer && self.now < since + QUESTION {
            return;
        }
        let name = other.entry.name.clone();
        let is_lost = other.is_lost;
        let is_unknowing = other.confirmed.is_none() && self.hosts[index].confirmed.is_some();
        let choice = &mut self.hosts[index].choice;
        match is_unknowing {
            true => choice.note_unknowing(&name, now),
            false => choice.note_heard(&name, now),
        }
        self.hosts[index].asked = None;
        self.hosts[index].is_lost = is_lost;
        self.take(index, asked);
        self.ask_newest(index, trouble);
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
            self.hosts[from].told_whole += 1;
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

    fn ask_newest(&mut self, index: usize, trouble: &SimTrouble) {
        let host = &self.hosts[index];
        let Some((newest, at)) = host.newest else {
            return;
        };
        let is_newer = at > host.confirmed.unwrap_or_default() + 500
            || self.hosts[newest].version > host.version;
        if is_newer
            && self.hosts[newest].is_up
            && (trouble.path)(&host.entry, &self.hosts[newest].entry)
        {
            self.take(index, newest);
        }
    }

    fn read(&mut self, index: usize, trouble: &SimTrouble) {
        let now = self.now;
        let is_served = (trouble.store)(&self.hosts[index].entry);
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
            // What is answered now was sent at the last look; the first call is answered at once.
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
            host.busy_until = now + if is_reader { WATCH } else { LOOK };
            if is_news || is_change {
                self.tell_head(index, trouble);
            }
            return;
        }
        // One that knows no hosts reads them too, and asks as readers do.
        let pauses = if is_reader || !host.knows_hosts {
            READER_PAUSES
        } else {
            FOLLOWER_PAUSES
        };
        host.busy_until = now + pauses.after(host.failures, draw).as_millis() as u64;
        host.failures += 1;
        host.watched = None;
        host.is_lost = true;
        self.ask_others(index, trouble);
    }

    // The store turns this host away: heads of other zones and the newest reporter may know more.
    fn ask_others(&mut self, index: usize, trouble: &SimTrouble) {
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
            if self.hosts[other].is_up && (trouble.path)(&self.hosts[index].entry, &entry) {
                self.take(index, other);
            }
        }
        self.ask_newest(index, trouble);
    }

    fn ask_seed(&mut self, index: usize, trouble: &SimTrouble) {
        let seed = *self.seeds.choose(&mut self.rng).unwrap();
        self.hosts[index].busy_until = self.now + 100;
        let other = &self.hosts[seed];
        let is_heard = other.is_up && (trouble.path)(&self.hosts[index].entry, &other.entry);
        if seed == index || !is_heard {
            return;
        }
        let knows_hosts = other.knows_hosts;
        self.hosts[index].choice.note_seed();
        if !knows_hosts {
            return;
        }
        let all: Vec<HostEntry> = self.hosts.iter().map(|host| host.entry.clone()).collect();
        let zone = self.hosts[index].entry.zone.clone();
        let guides = relay::guides_of(all.into_iter(), &zone);
        self.hosts[index].choice.set_hosts(guides.iter());
        self.hosts[index].busy_until = self.now;
    }

    fn report(&mut self, index: usize, trouble: &SimTrouble) {
        if (self.now + index as u64 * STEP).is_multiple_of(REPORT) {
            self.tell_head(index, trouble);
        }
    }

    fn tell_head(&mut self, index: usize, trouble: &SimTrouble) {
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
        if !(trouble.path)(&host.entry, &self.hosts[head].entry) {
            return;
        }
        if !self.hosts[head].is_lost {
            let now = self.local_now(index);
            self.hosts[index].choice.note_store_back(now);
        }
        let known = &mut self.hosts[head].newest;
        if known.is_none_or(|(_, at)| confirmed > at) {
            *known = Some((index, confirmed));
        }
        self.ask_newest(head, trouble);
    }
}
