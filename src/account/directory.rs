//! Index of the configured accounts by key hash and by name.

use {
    super::{
        client_account::{AccountKey, ClientAccount},
        key::KeyHash,
    },
    std::{collections::HashMap, rc::Rc},
};

/// Index of the configured accounts.
#[derive(Debug, Default)]
pub struct AccountDirectory {
    by_key: HashMap<KeyHash, Rc<ClientAccount>>,
    by_name: HashMap<AccountKey, Rc<ClientAccount>>,
}

impl AccountDirectory {
    /// Builds the index. A key listed by two accounts grants no access, as its requests could not be
    /// attributed.
    pub fn new(accounts: &[ClientAccount]) -> Self {
        let mut owners: HashMap<KeyHash, Option<Rc<ClientAccount>>> = HashMap::new();
        let mut by_name = HashMap::new();
        for account in accounts {
            let account = Rc::new(account.clone());
            by_name.insert(AccountKey::of(&account.name), account.clone());
            for key in &account.keys {
                let owner = owners.entry(*key).or_insert_with(|| Some(account.clone()));
                let is_other = owner
                    .as_ref()
                    .is_none_or(|holder| holder.name != account.name);
                if is_other {
                    *owner = None;
                }
            }
        }
        let owners = owners.into_iter();
        Self {
            by_key: owners
                .filter_map(|(key, account)| Some((key, account?)))
                .collect(),
            by_name,
        }
    }

    /// Returns the account that owns a key.
    pub fn owner(&self, key: &KeyHash) -> Option<Rc<ClientAccount>> {
        self.by_key.get(key).cloned()
    }

    /// Returns an account by the hash of its name.
    pub fn account(&self, key: AccountKey) -> Option<&Rc<ClientAccount>> {
        self.by_name.get(&key)
    }

    /// Number of usable keys.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is no usable key.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
