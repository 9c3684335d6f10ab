//! Who is live, from heartbeats that hosts pass on; a plain state machine.
//!
//! Each run of a host has an incarnation number of its own. A host counts its heartbeat up; whoever
//! sees a count go up, from the host itself or passed on by another, has heard of it. Silence makes
//! a host suspected, and nothing more: what follows from suspicion is for others to decide.

use {
    crate::relay::CrashReport,
    faststr::FastStr,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Heartbeats passed on in one exchange at most; the ones heard last go first.
pub const BEATS_MAX: usize = 64;

/// How long a silent host is remembered.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Who a host is; the same for all of an incarnation's time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostCard {
    /// Number of this run of the host.
    pub incarnation: u64,
    /// Its name.
    pub name: FastStr,
    /// Its availability zone.
    pub zone: FastStr,
    /// Where other hosts reach it.
    pub peers: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
}

impl HostCard {
    /// The incarnation as attempts and tickets name it.
    pub fn incarnation_name(&self) -> FastStr {
        incarnation_name(self.incarnation)
    }
}

/// An incarnation's number as attempts and tickets name it.
pub fn incarnation_name(incarnation: u64) -> FastStr {
    FastStr::from_string(format!("{incarnation:016x}"))
}

/// What a host says of itself with each heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BeatFlags {
    /// A planned stop has begun.
    pub leaving: bool,
    /// The platform does not answer it.
    pub platform_lost: bool,
}

/// A heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostBeat {
    /// Whose it is.
    pub incarnation: u64,
    /// Counts up.
    pub heartbeat: u32,
    /// What the host says of itself.
    pub flags: BeatFlags,
}

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDigest {
    /// Who tells.
    pub sender: HostCard,
    /// Heartbeats it has heard of lately, its own first.
    pub beats: Vec<HostBeat>,
    /// Generation of the configuration that it has.
    pub generation: u64,
    /// Version of the list of servers that it has.
    pub servers_version: u64,
    /// Engines that said lately that they leave.
    pub leaving: Vec<FastStr>,
    /// Incarnations of its zone that are silent too long.
    pub silent: Vec<u64>,
    /// What it knows of requests that end their servers.
    pub crashes: Vec<CrashReport>,
}

/// A change of who is live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Nothing was heard of it for a while.
    Suspected(u64),
    /// It was heard of again.
    Back(u64),
    /// It was silent so long that it is forgotten.
    Forgotten(u64),
    /// Who it is was learned only now.
    Met(u64),
}

/// Times after which silence means something.
#[derive(Debug, Clone, Copy)]
pub struct SilenceLimits {
    /// Until a host is suspected.
    pub suspect: Duration,
    /// Until its unread attempts are swept.
    pub sweep: Duration,
}

#[derive(Debug)]
struct KnownHost {
    card: Option<HostCard>,
    beat: HostBeat,
    heard: Duration,
    suspected: bool,
}

/// Who is live, as one host sees it.
#[derive(Debug)]
pub struct Membership {
    own: HostCard,
    beat: HostBeat,
    limits: SilenceLimits,
    known: BTreeMap<u64, KnownHost>,
}

impl Membership {
    /// A host that knows nobody yet.
    pub fn new(own: HostCard, limits: SilenceLimits) -> Self {
        let beat = HostBeat {
            incarnation: own.incarnation,
            heartbeat: 0,
            flags: BeatFlags::default(),
        };
        Self {
            own,
            beat,
            limits,
            known: BTreeMap::new(),
        }
    }

    /// This host.
    pub fn own(&self) -> &HostCard {
        &self.own
    }

    /// Counts this host's own heartbeat up.
    pub fn beat(&mut self, flags: BeatFlags) {
        self.beat.heartbeat += 1;
        self.beat.flags = flags;
    }

    /// Takes what another host told.
    pub fn take(&mut self, digest: &PeerDigest, now: Duration) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        if self.take_card(digest.sender.clone()) {
            changes.push(MemberChange::Met(digest.sender.incarnation));
        }
        for beat in &digest.beats {
            self.take_beat(*beat, now, &mut changes);
        }
        changes
    }

    /// Learns who a host is; gives whether that was not known.
    pub fn take_card(&mut self, card: HostCard) -> bool {
        if let Some(known) = self.known.get_mut(&card.incarnation) {
            return known.card.replace(card).is_none();
        }
        if card.incarnation != self.own.incarnation {
            // Nothing counts as heard until its first heartbeat.
            let beat = HostBeat {
                incarnation: card.incarnation,
                heartbeat: 0,
                flags: BeatFlags::default(),
            };
            let known = KnownHost {
                card: Some(card),
                beat,
                heard: Duration::ZERO,
                suspected: true,
            };
            self.known.insert(beat.incarnation, known);
            return true;
        }
        false
    }

    fn take_beat(&mut self, beat: HostBeat, now: Duration, changes: &mut Vec<MemberChange>) {
        if beat.incarnation == self.own.incarnation {
            return;
        }
        let known = self.known.entry(beat.incarnation).or_insert(KnownHost {
            card: None,
            beat: HostBeat {
                heartbeat: 0,
                ..beat
            },
            heard: now,
            suspected: true,
        });
        if beat.heartbeat <= known.beat.heartbeat {
            return;
        }
        known.beat = beat;
        known.heard = now;
        if std::mem::take(&mut known.suspected) {
            changes.push(MemberChange::Back(beat.incarnation));
        }
    }

    /// Looks who has been silent too long.
    pub fn tick(&mut self, now: Duration) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        let suspect = self.limits.suspect;
        for (incarnation, known) in &mut self.known {
            let silence = now.saturating_sub(known.heard);
            if silence >= suspect && !known.suspected {
                known.suspected = true;
                changes.push(MemberChange::Suspected(*incarnation));
            }
            if silence >= FORGET_AFTER {
                changes.push(MemberChange::Forgotten(*incarnation));
            }
        }
        for change in &changes {
            if let MemberChange::Forgotten(incarnation) = change {
                self.known.remove(incarnation);
            }
        }
        changes
    }

    /// What to tell another host; to one of another zone only what zones share.
    pub fn digest(
        &self,
        same_zone: bool,
        generation: u64,
        servers_version: u64,
        leaving: Vec<FastStr>,
        now: Duration,
    ) -> PeerDigest {
        let mut beats = vec![self.beat];
        if same_zone {
            beats.extend(self.fresh_beats(now));
        }
        PeerDigest {
            sender: self.own.clone(),
            beats,
            generation,
            servers_version,
            leaving,
            silent: self.silent_in_zone(now).collect(),
            crashes: Vec::new(),
        }
    }

    // Only live hosts are passed on, so that a forgotten one does not come back by hearsay.
    fn fresh_beats(&self, now: Duration) -> Vec<HostBeat> {
        let mut fresh: Vec<&KnownHost> = self
            .known
            .values()
            .filter(|known| known.is_in(&self.own.zone) && !known.suspected)
            .filter(|known| now.saturating_sub(known.heard) < self.limits.suspect)
            .collect();
        fresh.sort_by_key(|known| std::cmp::Reverse(known.heard));
        fresh
            .into_iter()
            .take(BEATS_MAX - 1)
            .map(|known| known.beat)
            .collect()
    }

    /// Hosts whose heartbeats are known but not who they are.
    pub fn strangers(&self) -> Vec<u64> {
        self.known
            .iter()
            .filter(|(_, known)| known.card.is_none())
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    /// Who a host is.
    pub fn card(&self, incarnation: u64) -> Option<&HostCard> {
        if incarnation == self.own.incarnation {
            return Some(&self.own);
        }
        self.known.get(&incarnation)?.card.as_ref()
    }

    /// The other hosts that are live, of all zones.
    pub fn live(&self) -> impl Iterator<Item = (&HostCard, BeatFlags)> {
        self.known
            .values()
            .filter(|known| !known.suspected)
            .filter_map(|known| Some((known.card.as_ref()?, known.beat.flags)))
    }

    /// The other hosts of this zone that are live.
    pub fn live_in_zone(&self) -> impl Iterator<Item = (&HostCard, BeatFlags)> {
        self.live().filter(|(card, _)| card.zone == self.own.zone)
    }

    /// Hosts that are known and not live.
    pub fn suspected(&self) -> impl Iterator<Item = &HostCard> {
        self.known
            .values()
            .filter(|known| known.suspected)
            .filter_map(|known| known.card.as_ref())
    }

    /// Incarnations of this zone that were live and are silent long enough to be swept.
    pub fn silent_in_zone(&self, now: Duration) -> impl Iterator<Item = u64> {
        let sweep = self.limits.sweep;
        self.known
            .iter()
            .filter(|(_, known)| known.is_in(&self.own.zone) && known.beat.heartbeat > 0)
            .filter(move |(_, known)| now.saturating_sub(known.heard) >= sweep)
            .map(|(incarnation, _)| *incarnation)
    }

    /// Hosts known, live or not.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no other host is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

impl KnownHost {
    // A host that is not known by its card yet was heard of in the zone.
    fn is_in(&self, zone: &FastStr) -> bool {
        self.card.as_ref().is_none_or(|card| card.zone == *zone)
    }
}
