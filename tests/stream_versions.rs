//! Any order of attempts at streams, hosts that are lost and cut off, and software versions that come and go: the events of
//! a stream come from one version, and a stream whose beginning a living host knows goes on while its version serves.

use {
    bayplank::relay::{
        self, HostEntry, SeenSoftware, ServerSoftware, SoftwareEvidence, SoftwareHistory,
        SoftwareVersion, StreamKey, StreamOrigins, StreamRecord,
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const SERVICE: FastStr = FastStr::from_static_str("models");

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

const HOSTS: usize = 9;

/// How long a caller may come back for a stream of the play.
const STREAM_TIME: Duration = Duration::from_secs(20);

/// A host's view of servers and streams.
#[derive(Default)]
struct PlayedHost {
    is_up: bool,
    origins: StreamOrigins,
    history: SoftwareHistory,
    listed: BTreeSet<SoftwareVersion>,
    // The versions that hosts' entries kept when it last read them.
    kept: BTreeSet<SoftwareVersion>,
    // Streams that it has not told of yet.
    untold: Vec<StreamRecord>,
}

/// A stream and the version of its events.
struct PlayedStream {
    key: StreamKey,
    version: SoftwareVersion,
    began_at: Duration,
}

struct VersionPlay {
    entries: Vec<HostEntry>,
    hosts: Vec<PlayedHost>,
    // Versions with servers, as the store lists them, and as hosts' entries keep them.
    serving: BTreeSet<SoftwareVersion>,
    kept: BTreeSet<SoftwareVersion>,
    // The zone that is cut off from the others and from the store.
    cut: Option<usize>,
    now: Duration,
    // Attempts at streams that a host knew which was reached.
    went_on: usize,
    refused: usize,
}

fn version(number: u32) -> SoftwareVersion {
    SoftwareVersion::of_name(FastStr::from_string(format!("v{number}")))
}

fn entry(index: usize) -> HostEntry {
    HostEntry {
        name: FastStr::from_string(format!("h-{index}")),
        zone: FastStr::from_static_str(ZONES[index % ZONES.len()]),
        peers: "127.0.0.1:9".parse().unwrap(),
        carrier_port: 0,
        link_mbps: 0,
        judged: Vec::new(),
        software: Vec::new(),
    }
}

impl VersionPlay {
    fn new() -> Self {
        let serving = BTreeSet::from([version(1)]);
        let mut play = Self {
            entries: (0..HOSTS).map(entry).collect(),
            hosts: (0..HOSTS).map(|_| PlayedHost::default()).collect(),
            kept: serving.clone(),
            serving,
            cut: None,
            now: Duration::from_secs(100),
            went_on: 0,
            refused: 0,
        };
        for host in 0..HOSTS {
            play.start(host);
        }
        play
    }

    fn is_cut(&self, host: usize) -> bool {
        self.cut == Some(host % ZONES.len())
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.hosts[to].is_up && self.is_cut(from) == self.is_cut(to)
    }

    fn start(&mut self, host: usize) {
        self.hosts[host] = PlayedHost {
            is_up: true,
            ..PlayedHost::default()
        };
        self.update_list(host);
    }

    // A host that is cut off from the store keeps its list.
    fn update_list(&mut self, host: usize) {
        if self.is_cut(host) || !self.hosts[host].is_up {
            return;
        }
        let now = self.now;
        let known = &mut self.hosts[host];
        known.history.begin(now);
        for added in self.serving.difference(&known.listed) {
            known.history.server_listed(&SERVICE, added);
        }
        for gone in known.listed.difference(&self.serving) {
            known.history.server_unlisted(&SERVICE, gone, now);
        }
        known.listed.clone_from(&self.serving);
        // The hosts' entries are written while the store is reached.
        let seen = self.hosts[host].history.seen(&SERVICE, now);
        if seen.is_complete() {
            self.kept = seen.versions;
        } else {
            self.kept.extend(seen.versions);
        }
        self.hosts[host].kept = self.kept.clone();
    }

    fn index_of(&self, entry: &HostEntry) -> usize {
        let named = self
            .entries
            .iter()
            .position(|known| known.name == entry.name);
        named.unwrap()
    }

    fn begin(&mut self, host: usize, number: usize) -> Option<PlayedStream> {
        let known = &mut self.hosts[host];
        let version = known.listed.iter().next_back()?.clone();
        let key = StreamKey::of("account", "/resumable/1", &format!("s-{number}"));
        let record = StreamRecord {
            key,
            origin: ServerSoftware {
                service: SERVICE,
                software: version.clone(),
            },
            time_left: STREAM_TIME,
        };
        known.origins.record_begin(record.clone(), self.now);
        known.untold.push(record);
        Some(PlayedStream {
            key,
            version,
            began_at: self.now,
        })
    }

    // Each host tells of its streams if the service has several versions.
    fn tell(&mut self) {
        for host in 0..HOSTS {
            if !self.hosts[host].is_up || !self.hosts[host].history.is_mixed(&SERVICE, self.now) {
                continue;
            }
            for record in std::mem::take(&mut self.hosts[host].untold) {
                let own = self.entries[host].clone();
                let told =
                    relay::hosts_to_tell(self.entries.iter(), &own.name, &own.zone, record.key);
                let told: Vec<Vec<usize>> = told
                    .iter()
                    .map(|hosts| hosts.iter().map(|entry| self.index_of(entry)).collect())
                    .collect();
                for hosts in told {
                    let first = hosts.into_iter().find(|to| self.reaches(host, *to));
                    if let Some(to) = first {
                        self.hosts[to].origins.record_told(record.clone(), self.now);
                    }
                }
            }
        }
    }

    // The version that a host finds for a stream, as it does for a caller.
    fn find(&self, host: usize, key: StreamKey) -> Option<SoftwareVersion> {
        let own = &self.hosts[host];
        if let Some(record) = own.origins.find(key, self.now) {
            return Some(record.origin.software);
        }
        let mut evidence = SoftwareEvidence {
            own: own.history.seen(&SERVICE, self.now),
            is_confirmed: !self.is_cut(host),
            kept: Some(SeenSoftware {
                versions: own.kept.clone(),
                seen_for: Duration::ZERO,
            }),
            ..SoftwareEvidence::default()
        };
        for entry in relay::hosts_to_ask(self.entries.iter(), &self.entries[host].name, key) {
            let asked = self.index_of(entry);
            if !self.reaches(host, asked) {
                evidence.silent += 1;
                continue;
            }
            let other = &self.hosts[asked];
            if let Some(record) = other.origins.find(key, self.now) {
                return Some(record.origin.software);
            }
            evidence
                .others
                .merge(other.history.seen(&SERVICE, self.now));
        }
        evidence.only_version()
    }

    fn take_up(&mut self, host: usize, stream: &PlayedStream, seed: u64) {
        if !self.hosts[host].is_up || self.now >= stream.began_at + STREAM_TIME {
            return;
        }
        let found = self.find(host, stream.key);
        if let Some(found) = &found {
            assert_eq!(
                *found, stream.version,
                "seed {seed}: events of two versions"
            );
        }
        // Any host that holds the stream and that this one asks.
        let asked = relay::hosts_to_ask(self.entries.iter(), &self.entries[host].name, stream.key);
        let mut asked = asked.iter().map(|entry| self.index_of(entry));
        let is_known = asked.any(|to| {
            let holder = self.hosts[to].origins.find(stream.key, self.now);
            self.reaches(host, to) && holder.is_some()
        });
        assert!(!is_known || found.is_some(), "seed {seed}: a host knew it");
        // Also hosts that are not asked, such as the one that began it.
        let is_held = (0..HOSTS).any(|to| {
            let holder = self.hosts[to].origins.find(stream.key, self.now);
            (to == host || self.reaches(host, to)) && holder.is_some()
        });
        match found {
            Some(_) if is_held => self.went_on += 1,
            None if is_held => self.refused += 1,
            _ => {}
        }
    }
}

fn play(seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut play = VersionPlay::new();
    let mut streams: Vec<PlayedStream> = Vec::new();
    let mut next_version = 2;
    for step in 0..400 {
        play.now += Duration::from_millis(rng.random_range(1..800));
        let host = rng.random_range(0..HOSTS);
        match rng.random_range(0..20) {
            0 => {
                play.serving.insert(version(next_version));
                next_version += 1;
            }
            1 if play.serving.len() > 1 => {
                play.serving.pop_first();
            }
            2 => play.hosts[host].is_up = false,
            3 | 4 if !play.hosts[host].is_up => play.start(host),
            5 if rng.random_range(0..4) == 0 => {
                for host in 0..HOSTS {
                    play.start(host);
                }
            }
            6 => {
                play.cut = play
                    .cut
                    .is_none()
                    .then_some(rng.random_range(0..ZONES.len()))
            }
            7..=12 if play.hosts[host].is_up && !play.is_cut(host) => {
                streams.extend(play.begin(host, step));
            }
            _ if !streams.is_empty() => {
                let index = rng.random_range(0..streams.len());
                play.take_up(host, &streams[index], seed);
            }
            _ => {}
        }
        // All that reach the store hear of a change, and tell, within the pause between two steps.
        for host in 0..HOSTS {
            play.update_list(host);
        }
        play.tell();
    }
    (play.went_on, play.refused)
}

#[test]
fn the_events_of_a_stream_come_from_one_version_whatever_is_lost() {
    let mut total = (0, 0);
    for seed in 0..300 {
        let (went_on, refused) = play(seed);
        total = (total.0 + went_on, total.1 + refused);
    }
    assert!(
        total.0 >= 9 * total.1,
        "attempts at streams that a living host knew, those that went on and were refused: {total:?}"
    );
}

#[test]
fn streams_are_bounded_and_those_with_the_least_time_are_evicted_first() {
    let mut origins = StreamOrigins::default();
    let record = |number: usize, seconds: u64| StreamRecord {
        key: StreamKey(number as u64),
        origin: ServerSoftware {
            service: SERVICE,
            software: version(1),
        },
        time_left: Duration::from_secs(seconds),
    };
    let now = Duration::from_secs(5);
    origins.record_told(record(0, 3), now);
    for number in 1..=relay::MAX_STREAMS {
        origins.record_told(record(number, 30), now);
    }
    assert_eq!(origins.len(), relay::MAX_STREAMS);
    assert_eq!(origins.find(StreamKey(0), now), None);
    origins.evict_expired(now + Duration::from_secs(30));
    assert!(origins.is_empty());
}

#[test]
fn a_stream_is_told_to_two_hosts_that_whoever_takes_it_up_asks() {
    let entries: Vec<HostEntry> = (0..30).map(entry).collect();
    let mut shares: BTreeMap<FastStr, usize> = BTreeMap::new();
    for number in 0..600 {
        let key = StreamKey::of("", "/", &number.to_string());
        let own = &entries[number % entries.len()];
        let told = relay::hosts_to_tell(entries.iter(), &own.name, &own.zone, key);
        assert_eq!(told.len(), 2);
        assert_ne!(told[0][0].zone, told[1][0].zone);
        let taker = &entries[(number * 7 + 3) % entries.len()];
        let asked = relay::hosts_to_ask(entries.iter(), &taker.name, key);
        for first in told.iter().map(|hosts| hosts[0]) {
            let is_asked = asked.iter().any(|entry| entry.name == first.name);
            assert!(
                is_asked || first.name == taker.name,
                "{number}: {}",
                first.name
            );
            *shares.entry(first.name.clone()).or_default() += 1;
        }
    }
    let most = shares.values().max().unwrap();
    assert!(*most < 100, "1,200 copies at 30 hosts, {most} at one");
}
