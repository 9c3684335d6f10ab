//! The configuration in force, and the transfer of a newer version that other hosts have announced.
//!
//! A state machine without I/O. A version comes in force as a whole, and only if it is newer than the one before.

use {
    crate::{
        relay::{
            config::RelayConfig,
            pieces::{ConfigRoot, PieceError, PieceName, PieceStore},
            policy::{past_time::PastTime, route::RouteTable},
        },
        store::StorePosition,
    },
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
};

/// How long an announced version is believed in that no host with the version confirms any more, for instance because a
/// restored store has lost it and all hosts that had it are gone.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(10);

/// Bytes of pieces, compressed, up to which those of superseded versions are kept while a newer one is fetched. They may
/// be part of it.
const KEPT_BYTES_MAX: usize = 4 << 20;

/// Most versions whose announcement times are remembered.
const ANNOUNCED_MAX: usize = 32;

/// A version that another host has announced and this one is fetching.
#[derive(Debug)]
struct TransferTarget {
    root: ConfigRoot,
    // When a host that has the version last confirmed it.
    confirmed: PastTime,
}

/// The configuration of a host.
#[derive(Debug, Default)]
pub struct ConfigState {
    routes: Option<Rc<RouteTable>>,
    // The version in force in pieces, and the one before it, which other hosts may still be fetching.
    root: Option<ConfigRoot>,
    previous_root: Option<ConfigRoot>,
    pieces: PieceStore,
    target: Option<TransferTarget>,
    // The version that was being fetched before the target was announced. What is missing of it is most likely part of the
    // target, and can be fetched before the branches of the target are there.
    superseded_root: Option<ConfigRoot>,
    // Versions that are newer than the one in force, with the times at which they became known, oldest first.
    announced: Vec<(u64, Duration)>,
    // The store position up to which the latest known version is known to be the newest.
    position: StorePosition,
}

impl ConfigState {
    /// The routes in force.
    pub fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref()
    }

    /// The version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.root.as_ref().map_or(0, |root| root.version)
    }

    /// The latest known version, which may not be in force yet.
    pub fn known_version(&self) -> u64 {
        self.newest_root().map_or(0, |root| root.version)
    }

    /// The names of the latest known version.
    pub fn newest_root(&self) -> Option<&ConfigRoot> {
        let target = self.target.as_ref();
        target.map(|target| &target.root).or(self.root.as_ref())
    }

    /// How long ago a host that has the latest known version confirmed it.
    pub fn newest_age(&self, now: Duration) -> Duration {
        let target = self.target.as_ref();
        target.map_or(Duration::ZERO, |target| target.confirmed.age(now))
    }

    /// Since when a newer version than the one in force is known; none if there is no newer one.
    pub fn behind_since(&self) -> Option<Duration> {
        self.announced.first().map(|(_, at)| *at)
    }

    /// The store position up to which the latest known version is known to be the newest.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Records that the store was listed at a position, which may be before an earlier one if the store was restored.
    pub fn set_position(&mut self, position: StorePosition) {
        self.position = position;
    }

    /// Records that the latest known version is the newest up to a store position.
    pub fn advance(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
    }

    /// Puts a complete configuration in force if it is newer than the current one, and returns whether it was.
    pub fn update(&mut self, config: RelayConfig) -> bool {
        if config.version <= self.version() {
            return false;
        }
        let root = self.pieces.add_config(&config);
        self.activate(root, config);
        true
    }

    /// Records a version that another host has announced; `confirmed` is when a host that has it last confirmed it.
    /// Returns whether it is newer than all known ones.
    pub fn announce(&mut self, root: ConfigRoot, confirmed: PastTime, now: Duration) -> bool {
        if root.version <= self.known_version() || is_expired(confirmed, now) {
            return false;
        }
        if self.announced.len() >= ANNOUNCED_MAX {
            self.announced.remove(1);
        }
        self.announced.push((root.version, now));
        let superseded = self.target.replace(TransferTarget { root, confirmed });
        self.superseded_root = superseded.map(|target| target.root);
        if self.pieces.compressed_bytes() > KEPT_BYTES_MAX {
            self.discard_pieces();
        }
        true
    }

    /// Records that a host that has a version confirmed it at this time.
    pub fn confirm_version(&mut self, version: u64, at: PastTime) {
        if let Some(target) = &mut self.target
            && target.root.version == version
        {
            target.confirmed = target.confirmed.max(at);
        }
    }

    /// Gives up a version that no host with the version has confirmed for long, and returns it.
    pub fn expire(&mut self, now: Duration) -> Option<u64> {
        let target = self.target.as_ref()?;
        is_expired(target.confirmed, now).then(|| self.abandon())?
    }

    /// Gives up the version that is being fetched, and returns it.
    pub fn abandon(&mut self) -> Option<u64> {
        let target = self.target.take()?;
        self.superseded_root = None;
        self.announced.clear();
        self.discard_pieces();
        Some(target.root.version)
    }

    /// Names of at most `count` pieces to fetch; an empty list if the version that is being fetched is complete, and none
    /// if no version is being fetched.
    pub fn missing(&self, count: usize) -> Option<Vec<PieceName>> {
        let target = self.target.as_ref()?;
        let mut names = self.pieces.missing(&target.root, count);
        if let Some(root) = self.superseded_root.as_ref().filter(|_| !names.is_empty()) {
            let mut further = self.pieces.missing(root, count - names.len());
            further.retain(|name| !names.contains(name));
            names.extend(further);
        }
        Some(names)
    }

    /// Adds a piece that was received.
    pub fn add_piece(&mut self, compressed: Bytes) -> Result<PieceName, PieceError> {
        let version = self.known_version();
        self.pieces.add_compressed(compressed, version)
    }

    /// Pieces for another host, as far as this host has them, until they have `bytes_max` bytes.
    pub fn pieces(&self, names: &[PieceName], bytes_max: usize) -> Vec<Bytes> {
        // To a host that has just started every piece is new.
        let latest = self.previous_root.as_ref().map(|_| self.known_version());
        self.pieces.compressed(names, latest, bytes_max)
    }

    /// Puts the version in force that was being fetched, once all its pieces are there. Returns its version.
    pub fn complete(&mut self) -> Result<Option<u64>, PieceError> {
        let Some(target) = &self.target else {
            return Ok(None);
        };
        let root = target.root.clone();
        let config = self.pieces.config(&root)?;
        let version = config.version;
        self.activate(root, config);
        Ok(Some(version))
    }

    fn activate(&mut self, root: ConfigRoot, config: RelayConfig) {
        let before = self.version();
        assert!(root.version > before, "a configuration never reverts");
        assert_eq!(root.version, config.version, "a version is never mixed");
        self.previous_root = self.root.replace(root);
        self.routes = Some(Rc::new(RouteTable::new(config)));
        let version = self.version();
        self.target.take_if(|target| target.root.version <= version);
        self.superseded_root = None;
        self.announced.retain(|(announced, _)| *announced > version);
        if self.target.is_none() || self.pieces.compressed_bytes() > KEPT_BYTES_MAX {
            self.discard_pieces();
        }
    }

    // Removes the pieces of superseded versions.
    fn discard_pieces(&mut self) {
        let target = self.target.as_ref().map(|target| &target.root);
        let kept = [self.root.as_ref(), self.previous_root.as_ref(), target];
        self.pieces.retain_versions(kept.into_iter().flatten());
    }
}

fn is_expired(confirmed: PastTime, now: Duration) -> bool {
    confirmed.age(now) > ANNOUNCEMENT_LIFETIME
}
