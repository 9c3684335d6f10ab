//! Applies lists and changes read from the store to the local view of the cluster.

use {
    super::feed::StoreReader,
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

impl StoreReader {
    // Detects a restore from a backup for stores that do not report an era: the newest list is older than the position
    // known before the call. Such a list is assigned to the next era.
    pub(super) fn detect_restore(
        &self,
        kind: StoreKind,
        held: StorePosition,
        mut list: StoreList,
    ) -> StoreList {
        if list.position < held
            && self.known_position(kind) == held
            && let Some(era) = self.parts.eras.count_restore(held.era)
        {
            list.position.era = era;
        }
        list
    }

    /// Applies a list; returns false if it is older than the local view, which is then kept.
    pub(super) fn apply_list(&self, kind: StoreKind, list: StoreList) -> bool {
        let now = self.parts.now();
        let StoreList {
            items, position, ..
        } = list;
        let is_applied = match kind {
            StoreKind::Config => {
                self.apply_configs(items);
                self.config_unconfirmed.set(false);
                self.parts
                    .cluster
                    .borrow_mut()
                    .config
                    .set_position(position);
                true
            }
            StoreKind::Backends => {
                let backends = items.into_iter().filter_map(into_backend).collect();
                let mut cluster = self.parts.cluster_to_update();
                let is_applied = cluster.set_backends(backends, position, now);
                cluster.record_backends_read(now);
                drop(cluster);
                if is_applied {
                    self.parts.publish_backends();
                }
                is_applied
            }
            StoreKind::Hosts => {
                let hosts = items.into_iter().filter_map(into_host).collect();
                let mut cluster = self.parts.cluster.borrow_mut();
                let is_applied = cluster.set_hosts(hosts, position, now);
                drop(cluster);
                self.parts.handle_host_change();
                self.parts.state_changed.notify_waiters();
                is_applied
            }
            StoreKind::Leases | StoreKind::Streams => true,
            StoreKind::Evacuations => {
                let zones = items.into_iter().map(|item| item.name).collect();
                let mut cluster = self.parts.cluster.borrow_mut();
                let is_applied = cluster.evacuations.set(zones, position, now);
                drop(cluster);
                self.parts.publish_evacuations("store");
                is_applied
            }
        };
        match is_applied {
            true => self.parts.log_reread(),
            false => self.log_stale_list(kind, position),
        }
        is_applied
    }

    pub(super) fn apply_changes(&self, kind: StoreKind, changes: StoreChanges) {
        let now = self.parts.now();
        let StoreChanges { changes, position } = changes;
        let has_changes = !changes.is_empty();
        match kind {
            StoreKind::Config => {
                self.apply_configs(changes.into_iter().filter_map(into_set_item).collect());
                self.parts.cluster.borrow_mut().config.advance(position);
            }
            StoreKind::Backends => {
                let mut cluster = self.parts.cluster_to_update();
                cluster.change_backends(changes, position, now);
                drop(cluster);
                if has_changes {
                    self.parts.publish_backends();
                }
            }
            StoreKind::Hosts => {
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.change_hosts(changes, position);
                drop(cluster);
                if has_changes {
                    self.parts.handle_host_change();
                    self.parts.state_changed.notify_waiters();
                }
            }
            StoreKind::Leases | StoreKind::Streams => {}
            StoreKind::Evacuations => {
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.evacuations.change(changes, position);
                drop(cluster);
                self.parts.publish_evacuations("store");
            }
        }
    }

    fn apply_configs(&self, items: Vec<StoreItem>) {
        for item in items {
            if let StoreValue::Config(config) = item.value {
                self.parts.offer_config(config, "store");
            }
        }
    }
}

fn into_set_item(change: StoreChange) -> Option<StoreItem> {
    match change {
        StoreChange::Set(item) => Some(item),
        StoreChange::Removed(_) => None,
    }
}

fn into_backend(item: StoreItem) -> Option<BackendInfo> {
    match item.value {
        StoreValue::Backend(info) => Some(info),
        _ => None,
    }
}

fn into_host(item: StoreItem) -> Option<HostEntry> {
    match item.value {
        StoreValue::Host(entry) => Some(entry),
        _ => None,
    }
}
