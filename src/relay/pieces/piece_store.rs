//! The pieces that a host has.

use {
    super::{
        config_piece::{self, ConfigPiece, PieceContent, PieceError},
        config_root::ConfigRoot,
        group_cutter::{BRANCH_SIZE, GroupCutter, LEAF_SIZE},
        piece_name::PieceName,
    },
    crate::relay::config::RelayConfig,
    bytes::Bytes,
    serde::Serialize,
    std::{
        collections::{HashMap, HashSet},
        mem,
    },
    xxhash_rust::xxh3,
};

/// Bytes of pieces after which a message takes no more: 13 ms of a link of 10 Mbit/s, during which other messages on the
/// connection wait.
pub const PIECES_BYTES: usize = 16 << 10;

/// Most pieces that are requested at once; a message contains as many of them as fit.
pub const REQUESTED_PIECES: usize = 64;

/// Pieces of one or several versions by name.
#[derive(Debug, Default)]
pub struct PieceStore {
    pieces: HashMap<PieceName, ConfigPiece>,
}

impl PieceStore {
    /// Number of bytes of all pieces in compressed form.
    pub fn compressed_bytes(&self) -> usize {
        let pieces = self.pieces.values();
        pieces.map(|piece| piece.compressed.len()).sum()
    }

    /// The pieces with these names in compressed form, as far as they are there, until they have `bytes_max` bytes.
    ///
    /// A branch is followed by the pieces below it that came with the latest version, if one is given: who lacks the
    /// branch most likely lacks these too, and would have to ask once for each level.
    pub fn compressed(
        &self,
        names: &[PieceName],
        latest_version: Option<u64>,
        bytes_max: usize,
    ) -> Vec<Bytes> {
        let mut open: Vec<PieceName> = names.iter().rev().copied().collect();
        let mut sent = Vec::new();
        let mut bytes = 0;
        while bytes < bytes_max
            && let Some(name) = open.pop()
        {
            let Some(piece) = self.pieces.get(&name) else {
                continue;
            };
            bytes += piece.compressed.len();
            sent.push(piece.compressed.clone());
            if let PieceContent::Branch(below) = &piece.content {
                let below = below.iter().rev().copied();
                open.extend(below.filter(|name| self.is_of_version(name, latest_version)));
            }
        }
        sent
    }

    fn is_of_version(&self, name: &PieceName, version: Option<u64>) -> bool {
        let piece = self.pieces.get(name);
        piece.is_some_and(|piece| Some(piece.since_version) == version)
    }

    /// Splits a configuration into pieces.
    pub fn add_config(&mut self, config: &RelayConfig) -> ConfigRoot {
        let version = config.version;
        let accounts = config.accounts.as_deref().unwrap_or_default();
        ConfigRoot {
            version,
            limits: config.limits.clone(),
            routes: self.add_list(version, &config.routes, PieceContent::Routes),
            services: self.add_list(version, &config.services, PieceContent::Services),
            has_accounts: config.accounts.is_some(),
            accounts: self.add_list(version, accounts, PieceContent::Accounts),
        }
    }

    /// Adds a piece of a version that was received in compressed form, and returns its name.
    pub fn add_compressed(
        &mut self,
        compressed: Bytes,
        version: u64,
    ) -> Result<PieceName, PieceError> {
        let (name, piece) = config_piece::read_piece(compressed, version)?;
        self.pieces.entry(name).or_insert(piece);
        Ok(name)
    }

    /// Names of at most `count` pieces of a version that are missing, in the order of its lists. Pieces below a missing
    /// branch are not known yet.
    pub fn missing(&self, root: &ConfigRoot, count: usize) -> Vec<PieceName> {
        let mut missing = Vec::new();
        let mut open: Vec<PieceName> = root.trees().collect();
        open.reverse();
        while let Some(name) = open.pop() {
            match self.pieces.get(&name).map(|piece| &piece.content) {
                Some(PieceContent::Branch(names)) => open.extend(names.iter().rev()),
                Some(_) => {}
                None if missing.contains(&name) => {}
                None => missing.push(name),
            }
            if missing.len() >= count {
                break;
            }
        }
        missing
    }

    /// Puts a version together; fails if pieces are missing or do not fit.
    pub fn config(&self, root: &ConfigRoot) -> Result<RelayConfig, PieceError> {
        let mut routes = Vec::new();
        for (name, leaf) in self.leaves(root.routes)? {
            let PieceContent::Routes(items) = leaf else {
                return Err(PieceError::Kind(name));
            };
            routes.extend_from_slice(items);
        }
        let mut services = Vec::new();
        for (name, leaf) in self.leaves(root.services)? {
            let PieceContent::Services(items) = leaf else {
                return Err(PieceError::Kind(name));
            };
            services.extend_from_slice(items);
        }
        let mut accounts = Vec::new();
        for (name, leaf) in self.leaves(root.accounts)? {
            let PieceContent::Accounts(items) = leaf else {
                return Err(PieceError::Kind(name));
            };
            accounts.extend_from_slice(items);
        }
        Ok(RelayConfig {
            version: root.version,
            routes,
            services,
            limits: root.limits.clone(),
            accounts: root.has_accounts.then_some(accounts),
        })
    }

    /// Removes all pieces but those of the given versions.
    pub fn retain_versions<'a>(&mut self, roots: impl Iterator<Item = &'a ConfigRoot>) {
        let mut open: Vec<PieceName> = roots.flat_map(ConfigRoot::trees).collect();
        let mut kept = HashSet::new();
        while let Some(name) = open.pop() {
            if !kept.insert(name) {
                continue;
            }
            if let Some(PieceContent::Branch(names)) =
                self.pieces.get(&name).map(|piece| &piece.content)
            {
                open.extend(names);
            }
        }
        self.pieces.retain(|name, _| kept.contains(name));
    }

    // The leaves of a tree, in order.
    fn leaves(
        &self,
        tree: Option<PieceName>,
    ) -> Result<Vec<(PieceName, &PieceContent)>, PieceError> {
        let mut open: Vec<PieceName> = tree.into_iter().collect();
        let mut leaves = Vec::new();
        while let Some(name) = open.pop() {
            let piece = self.pieces.get(&name).ok_or(PieceError::Missing(name))?;
            match &piece.content {
                PieceContent::Branch(names) => open.extend(names.iter().rev()),
                leaf => leaves.push((name, leaf)),
            }
        }
        Ok(leaves)
    }

    // Adds the tree of a list.
    fn add_list<T: Serialize + Clone>(
        &mut self,
        version: u64,
        items: &[T],
        wrap: fn(Vec<T>) -> PieceContent,
    ) -> Option<PieceName> {
        let kind = wrap(Vec::new()).kind();
        let mut cutter = GroupCutter::new(LEAF_SIZE);
        let mut names = Vec::new();
        let mut encoded = vec![kind];
        let mut start = 0;
        for (index, item) in items.iter().enumerate() {
            encoded.push(if index == start { b'[' } else { b',' });
            let item_start = encoded.len();
            serde_json::to_writer(&mut encoded, item).expect("an item is encoded");
            let item_bytes = &encoded[item_start..];
            let is_cut = cutter.add(xxh3::xxh3_64(item_bytes), item_bytes.len());
            if is_cut || index + 1 == items.len() {
                encoded.push(b']');
                let group = &items[start..=index];
                names.push(self.add_encoded(version, &encoded, || wrap(group.to_vec())));
                encoded.truncate(1);
                start = index + 1;
            }
        }
        self.add_branches(version, names)
    }

    // Adds the branches above a level of pieces, and returns the name of the top.
    fn add_branches(&mut self, version: u64, mut names: Vec<PieceName>) -> Option<PieceName> {
        while names.len() > 1 {
            let mut cutter = GroupCutter::new(BRANCH_SIZE);
            let mut group = Vec::new();
            let mut upper = Vec::new();
            let count = names.len();
            for (index, name) in names.into_iter().enumerate() {
                group.push(name);
                let is_cut = cutter.add(name.number(), name.as_bytes().len());
                if is_cut || index + 1 == count {
                    upper.push(self.add_branch(version, mem::take(&mut group)));
                }
            }
            names = upper;
        }
        names.pop()
    }

    fn add_branch(&mut self, version: u64, names: Vec<PieceName>) -> PieceName {
        let mut encoded = vec![PieceContent::Branch(Vec::new()).kind()];
        encoded.extend(names.iter().flat_map(|name| *name.as_bytes()));
        self.add_encoded(version, &encoded, || PieceContent::Branch(names))
    }

    fn add_encoded(
        &mut self,
        version: u64,
        encoded: &[u8],
        content: impl FnOnce() -> PieceContent,
    ) -> PieceName {
        let name = PieceName::of(encoded);
        self.pieces.entry(name).or_insert_with(|| ConfigPiece {
            content: content(),
            compressed: config_piece::compress(encoded),
            since_version: version,
        });
        name
    }
}
