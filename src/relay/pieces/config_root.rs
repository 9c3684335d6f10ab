//! The names of the lists that make up a version of the configuration.

use {
    super::piece_name::PieceName,
    crate::relay::config::CallerLimits,
    serde::{Deserialize, Serialize},
};

/// A version of the configuration, with its lists given by the names of their trees. Empty lists have no name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// The version.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The routes.
    pub routes: Option<PieceName>,
    /// The services.
    pub services: Option<PieceName>,
    /// Whether there is a list of client accounts, which may be empty.
    pub has_accounts: bool,
    /// The client accounts.
    pub accounts: Option<PieceName>,
}

impl ConfigRoot {
    /// The names of all trees. Services and accounts come first, since they are small and keys depend on them.
    pub fn trees(&self) -> impl Iterator<Item = PieceName> {
        [self.services, self.accounts, self.routes]
            .into_iter()
            .flatten()
    }
}
