//! Taking what the store tells: whole lists, and changes.

use {
    super::feed::StoreFeed,
    crate::{
        relay::{
            backend::BackendInfo,
            link::{
                HostEntry, StoreChange, StoreChanges, StoreItem, StoreKind, StoreList, StoreValue,
            },
        },
        store::StorePosition,
    },
};

impl StoreFeed {
    // The newest list of a store that names no eras shows less than was known before it was asked for: the store was
    // restored from a copy.
    pub(super) fn count_restore(
        &self,
        kind: StoreKind,
        held: StorePosition,
        mut list: StoreList,
    ) -> StoreList {
        if list.position < held
            && self.held_position(kind) == held
            && let Some(era) = self.parts.eras.count_restore(held.era)
        {
            list.position.era = era;
        }
        list
    }

    /// Gives whether the list is as new as what is known.
    pub(super) fn take_list(&self, kind: StoreKind, list: StoreList) -> bool {
        let now = self.parts.now();
        let StoreList {
            items, position, ..
        } = list;
        let is_taken = match kind {
            StoreKind::Config => {
                self.take_configs(items);
                self.config_position.set(position);
                true
            }
            StoreKind::Backends => {
                let backends = items.into_iter().filter_map(backend_of).collect();
                let mut cluster = self.parts.cluster.borrow_mut();
                let is_taken = cluster.set_backends(backends, position, now);
                cluster.record_backends_read(now);
                drop(cluster);
                if is_taken {
                    self.parts.publish_backends();
                }
                is_taken
            }
            StoreKind::Hosts => {
                let hosts = items.into_iter().filter_map(host_of).collect();
                let mut cluster = self.parts.cluster.borrow_mut();
                let is_taken = cluster.set_hosts(hosts, position, now);
                drop(cluster);
                self.parts.handle_host_change();
                self.parts.state_changed.notify_waiters();
                is_taken
            }
            StoreKind::Leases => true,
        };
        match is_taken {
            true => self.parts.log_reread(),
            false => self.log_older_list(kind, position),
        }
        is_taken
    }

    pub(super) fn take_changes(&self, kind: StoreKind, changes: StoreChanges) {
        let now = self.parts.now();
        let StoreChanges { changes, position } = changes;
        let is_news = !changes.is_empty();
        match kind {
            StoreKind::Config => {
                self.take_configs(changes.into_iter().filter_map(set_item).collect());
                self.config_position
                    .set(position.max(self.config_position.get()));
            }
            StoreKind::Backends => {
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.change_backends(changes, position, now);
                drop(cluster);
                if is_news {
                    self.parts.publish_backends();
                }
            }
            StoreKind::Hosts => {
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.change_hosts(changes, position);
                drop(cluster);
                if is_news {
                    self.parts.handle_host_change();
                    self.parts.state_changed.notify_waiters();
                }
            }
            StoreKind::Leases => {}
        }
    }

    fn take_configs(&self, items: Vec<StoreItem>) {
        for item in items {
            if let StoreValue::Config(config) = item.value {
                self.parts.offer_config(config, "store");
            }
        }
    }
}

fn set_item(change: StoreChange) -> Option<StoreItem> {
    match change {
        StoreChange::Set(item) => Some(item),
        StoreChange::Removed(_) => None,
    }
}

fn backend_of(item: StoreItem) -> Option<BackendInfo> {
    match item.value {
        StoreValue::Backend(info) => Some(info),
        _ => None,
    }
}

fn host_of(item: StoreItem) -> Option<HostEntry> {
    match item.value {
        StoreValue::Host(entry) => Some(entry),
        _ => None,
    }
}
