//! Which backend servers are in need, as far as this host knows: those that name how many requests a second they take
//! from all hosts together.
//!
//! A plain state machine. What it holds grows with the servers in need, not with those that are listed.

use {
    super::{loads::EngineKey, server_limit::ServerLimit},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// What a server said of its limit, and since when that is surely so.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSaying {
    /// The limit; none where it named none.
    pub limit: Option<ServerLimit>,
    /// When the request was sent whose answer said so. Of two answers the one to the later request is the newer, in
    /// whichever order they are read.
    pub said: Duration,
}

/// What is known of a server in need.
#[derive(Debug, Clone)]
struct ServerNeed {
    limit: ServerLimit,
    said: Duration,
}

/// The servers in need.
#[derive(Debug, Default)]
pub struct NeedBook {
    needs: BTreeMap<EngineKey, ServerNeed>,
}

impl NeedBook {
    /// The limit that a server names; none where it is in no need as far as is known.
    pub fn limit(&self, server: EngineKey) -> Option<ServerLimit> {
        self.needs.get(&server).map(|need| need.limit)
    }

    /// How many servers are in need.
    pub fn len(&self) -> usize {
        self.needs.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.needs.is_empty()
    }

    /// Takes what a server said, from its own answer or from another host. Gives the limit that was believed before,
    /// where another one is believed now.
    pub fn take(&mut self, server: EngineKey, saying: LimitSaying) -> Option<Option<ServerLimit>> {
        let known = self.needs.get(&server);
        let before = known.map(|need| need.limit);
        if known.is_some_and(|need| need.said > saying.said) {
            return None;
        }
        match saying.limit {
            Some(limit) => {
                let said = saying.said;
                let need = self.needs.entry(server);
                let need = need.or_insert(ServerNeed { limit, said });
                (need.limit, need.said) = (limit, said);
            }
            None => {
                self.needs.remove(&server);
            }
        }
        (before != saying.limit).then_some(before)
    }

    /// Forgets servers that are no longer listed.
    pub fn keep_listed(&mut self, listed: &BTreeSet<EngineKey>) {
        self.needs.retain(|server, _| listed.contains(server));
    }
}
