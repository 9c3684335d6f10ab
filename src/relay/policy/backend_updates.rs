//! Updates of the registry from the list of backend servers.

use {
    super::{changes::BackendChanges, registry::BackendRegistry, view::BackendView},
    crate::relay::backend::BackendInfo,
    faststr::FastStr,
    std::collections::BTreeMap,
};

impl BackendRegistry {
    /// Replaces the list of backend servers, keeps the state of those that stay and returns the differences.
    pub fn set_backends(&mut self, backends: Vec<BackendInfo>) -> BackendChanges {
        let named = backends.into_iter().map(|info| (info.id.clone(), info));
        let listed: BTreeMap<FastStr, BackendInfo> = named.collect();
        let known = self.views.keys().filter(|id| !listed.contains_key(*id));
        let removed: Vec<FastStr> = known.cloned().collect();
        let removed = removed.into_iter().map(|id| (id, None));
        let kept = listed.into_iter().map(|(id, info)| (id, Some(info)));
        self.update_backends(kept.chain(removed))
    }

    /// Applies the entries of the servers that may have changed, `None` for those that are no longer listed, and
    /// returns the differences.
    pub fn update_backends(
        &mut self,
        entries: impl Iterator<Item = (FastStr, Option<BackendInfo>)>,
    ) -> BackendChanges {
        let mut changes = BackendChanges::default();
        for (id, info) in entries {
            self.visit();
            match info {
                Some(info) => self.update_backend(info, &mut changes),
                None => self.remove_backend(id, &mut changes),
            }
        }
        changes
    }

    fn update_backend(&mut self, info: BackendInfo, changes: &mut BackendChanges) {
        let Some(view) = self.views.get_mut(&info.id) else {
            changes.note(None, &info);
            return self.add_view(info);
        };
        if view.info == info {
            return;
        }
        if view.info.is_equal_but_for_coldness(&info) {
            changes.cold.push(info.clone());
            view.info = info;
            return;
        }
        changes.note(Some(&view.info), &info);
        self.index.remove(&view.info);
        // A server that restarted under the same id has lost its state, so what was observed of it no longer holds.
        if view.info.born != info.born {
            return self.add_view(info);
        }
        self.index.insert(&info);
        view.run = info.run();
        view.info = info;
    }

    fn add_view(&mut self, info: BackendInfo) {
        self.index.insert(&info);
        self.views.insert(info.id.clone(), BackendView::new(info));
    }

    fn remove_backend(&mut self, id: FastStr, changes: &mut BackendChanges) {
        let Some(view) = self.views.remove(&id) else {
            return;
        };
        self.index.remove(&view.info);
        self.reportable.remove(&id);
        changes.note_removed(view.info);
    }
}
