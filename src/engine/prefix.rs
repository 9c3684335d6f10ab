//! Which prefixes of prompts were computed before, by chained block hashes.

use {std::collections::HashMap, xxhash_rust::xxh3};

/// Tokens in one cached block.
pub const BLOCK_TOKENS: usize = 64;

const BLOCK_BYTES: usize = BLOCK_TOKENS * super::wire::BYTES_PER_TOKEN;

/// Blocks of prompts computed before, the least recently used dropped first.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    blocks: HashMap<u64, u64>,
    capacity: usize,
    clock: u64,
}

impl PrefixIndex {
    /// An empty index of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Tokens of the prompt's prefix that are known here.
    pub fn covered(&self, hashes: &[u64]) -> u64 {
        let found = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count();
        (found * BLOCK_TOKENS) as u64
    }

    /// Adds a prompt's blocks, as the most recently used.
    pub fn admit(&mut self, hashes: &[u64]) {
        self.clock += 1;
        for hash in hashes {
            self.blocks.insert(*hash, self.clock);
        }
        self.shrink();
    }

    /// Blocks held now.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    // Drops the oldest tenth at once, so that a full cache is not sorted for every prompt.
    fn shrink(&mut self) {
        if self.blocks.len() <= self.capacity {
            return;
        }
        let keep = self.capacity - self.capacity / 10;
        let mut ages: Vec<u64> = self.blocks.values().copied().collect();
        ages.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = ages[keep.min(ages.len() - 1)];
        self.blocks.retain(|_, age| *age > oldest);
    }
}

/// Hashes of the prompt's whole blocks, each over everything before it.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut chain = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            chain = xxh3::xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}
