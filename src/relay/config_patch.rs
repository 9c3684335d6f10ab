//! Differences between two versions of the configuration, which are sent to hosts that have the earlier one.

use {
    super::config::{CallerLimits, RelayConfig, RelayRoute, RelayService},
    crate::account::ClientAccount,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3,
};

/// Turns one version of the configuration into a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigPatch {
    base_version: u64,
    // Two stores, before and after a restore, may have had different configurations under the same version.
    base_digest: u64,
    version: u64,
    routes: ListPatch<RelayRoute>,
    services: ListPatch<RelayService>,
    limits: CallerLimits,
    accounts: Option<ListPatch<ClientAccount>>,
}

impl ConfigPatch {
    /// The difference between two versions.
    pub fn between(base: &RelayConfig, target: &RelayConfig) -> Self {
        let base_accounts = base.accounts.as_deref().unwrap_or_default();
        let accounts = target.accounts.as_ref();
        Self {
            base_version: base.version,
            base_digest: config_digest(base),
            version: target.version,
            routes: ListPatch::between(&base.routes, &target.routes),
            services: ListPatch::between(&base.services, &target.services),
            limits: target.limits.clone(),
            accounts: accounts.map(|accounts| ListPatch::between(base_accounts, accounts)),
        }
    }

    /// The version that it applies to.
    pub fn base_version(&self) -> u64 {
        self.base_version
    }

    /// The later version; none if this is not the configuration that the patch was made for.
    pub fn apply(self, base: &RelayConfig) -> Option<RelayConfig> {
        if self.base_version != base.version || self.base_digest != config_digest(base) {
            return None;
        }
        let accounts = match self.accounts {
            Some(patch) => Some(patch.apply(base.accounts.as_deref().unwrap_or_default())?),
            None => None,
        };
        Some(RelayConfig {
            version: self.version,
            routes: self.routes.apply(&base.routes)?,
            services: self.services.apply(&base.services)?,
            limits: self.limits,
            accounts,
        })
    }
}

fn config_digest(config: &RelayConfig) -> u64 {
    let text = serde_json::to_vec(config).expect("a configuration is encoded");
    xxh3::xxh3_64(&text)
}

/// Turns a list into another that has the same beginning and end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListPatch<T> {
    kept_first: usize,
    kept_last: usize,
    between: Vec<T>,
}

impl<T: Clone + PartialEq> ListPatch<T> {
    /// The difference between two lists.
    pub fn between(base: &[T], target: &[T]) -> Self {
        let both = base.iter().zip(target);
        let kept_first = both.take_while(|(a, b)| a == b).count();
        let (base, target) = (&base[kept_first..], &target[kept_first..]);
        let both = base.iter().rev().zip(target.iter().rev());
        let kept_last = both.take_while(|(a, b)| a == b).count();
        Self {
            kept_first,
            kept_last,
            between: target[..target.len() - kept_last].to_vec(),
        }
    }

    /// The later list; none if the list is too short for the patch.
    pub fn apply(self, base: &[T]) -> Option<Vec<T>> {
        let last = base.len().checked_sub(self.kept_last)?;
        let first = base.get(..self.kept_first)?;
        let parts = [first, &self.between, base.get(last..)?];
        Some(parts.concat())
    }
}
