//! The accounts of a configuration, found by the hash of a key.

use {
    super::{
        client_account::{AccountKey, ClientAccount},
        key::KeyHash,
    },
    std::{collections::HashMap, rc::Rc},
};

/// The accounts of a configuration, laid out for look-ups.
#[derive(Debug, Default)]
pub struct AccountDirectory {
    by_key: HashMap<KeyHash, Rc<ClientAccount>>,
    by_name: HashMap<AccountKey, Rc<ClientAccount>>,
}

impl AccountDirectory {
    /// Lays accounts out. A key that two of them claim opens nothing: nobody could say whose request it is.
    pub fn new(accounts: &[ClientAccount]) -> Self {
        let mut claims: HashMap<KeyHash, Option<Rc<ClientAccount>>> = HashMap::new();
        let mut by_name = HashMap::new();
        for account in accounts {
            let account = Rc::new(account.clone());
            by_name.insert(AccountKey::of(&account.name), account.clone());
            for key in &account.keys {
                let claim = claims.entry(*key).or_insert_with(|| Some(account.clone()));
                let is_other = claim
                    .as_ref()
                    .is_none_or(|holder| holder.name != account.name);
                if is_other {
                    *claim = None;
                }
            }
        }
        let claims = claims.into_iter();
        Self {
            by_key: claims
                .filter_map(|(key, account)| Some((key, account?)))
                .collect(),
            by_name,
        }
    }

    /// The account that holds a key.
    pub fn holder(&self, key: &KeyHash) -> Option<Rc<ClientAccount>> {
        self.by_key.get(key).cloned()
    }

    /// An account by its name's hash.
    pub fn account(&self, key: AccountKey) -> Option<&Rc<ClientAccount>> {
        self.by_name.get(&key)
    }

    /// Keys that open something.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no key opens anything.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
