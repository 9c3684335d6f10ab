//! Taking what the store tells: whole lists, and changes.

use {
    super::feed::StoreFeed,
    crate::relay::{
        backend::BackendInfo,
        link::{HostEntry, StoreChange, StoreChanges, StoreItem, StoreKind, StoreList, StoreValue},
    },
};

impl StoreFeed {
    pub(super) fn take_list(&self, kind: StoreKind, list: StoreList) {
        let now = self.parts.now();
        match kind {
            StoreKind::Config => {
                self.take_configs(list.items);
                self.config_revision.set(list.revision);
            }
            StoreKind::Backends => {
                let backends = list.items.into_iter().filter_map(backend_of).collect();
                let mut cluster = self.parts.cluster.borrow_mut();
                let taken = cluster.set_backends(backends, list.revision, now);
                cluster.note_backends_read(now);
                drop(cluster);
                match taken {
                    true => self.parts.publish_backends(),
                    false => self.log_older_list(kind, list.revision),
                }
            }
            StoreKind::Hosts => {
                let hosts = list.items.into_iter().filter_map(host_of).collect();
                let mut cluster = self.parts.cluster.borrow_mut();
                let taken = cluster.set_hosts(hosts, list.revision);
                drop(cluster);
                if !taken {
                    self.log_older_list(kind, list.revision);
                }
                self.parts.note_hosts();
                self.parts.news.notify_waiters();
            }
            StoreKind::Leases => {}
        }
    }

    pub(super) fn take_changes(&self, kind: StoreKind, changes: StoreChanges) {
        let now = self.parts.now();
        let StoreChanges { changes, revision } = changes;
        let is_news = !changes.is_empty();
        match kind {
            StoreKind::Config => {
                self.take_configs(changes.into_iter().filter_map(set_item).collect());
                self.config_revision
                    .set(revision.max(self.config_revision.get()));
            }
            StoreKind::Backends => {
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.change_backends(changes, revision, now);
                drop(cluster);
                if is_news {
                    self.parts.publish_backends();
                }
            }
            StoreKind::Hosts => {
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.change_hosts(changes, revision);
                drop(cluster);
                if is_news {
                    self.parts.note_hosts();
                    self.parts.news.notify_waiters();
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
