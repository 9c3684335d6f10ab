//! Passing on what changed of a set of objects, instead of the whole set.
//!
//! A patch has the objects newer than the asker's version, and a digest of the whole set. What was
//! deleted does not show in it; then the digest does not fit, and the asker asks for the whole.

use {
    crate::object::ObjectMeta,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    xxhash_rust::xxh3,
};

/// An object's place in a set: its kind and name.
pub type ObjectKey = (FastStr, FastStr);

/// What changed of a set since a version of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetPatch<T> {
    /// Objects that are newer than the asker's version.
    pub changed: Vec<T>,
    /// Digest of the whole set.
    pub digest: u64,
}

/// A patch of a set for an asker who has it as of version `since`; 0 gives the whole.
pub fn make_patch<T: Clone>(
    items: &[T],
    since: u64,
    identify: impl Fn(&T) -> (ObjectKey, &ObjectMeta),
) -> SetPatch<T> {
    let is_newer = |item: &&T| identify(item).1.resource_version > since;
    SetPatch {
        changed: items.iter().filter(is_newer).cloned().collect(),
        digest: digest(items, &identify),
    }
}

/// The set after a patch, in order of kind and name; none when the patch does not lead to it.
pub fn apply_patch<T: Clone>(
    known: &[T],
    patch: &SetPatch<T>,
    identify: impl Fn(&T) -> (ObjectKey, &ObjectMeta),
) -> Option<Vec<T>> {
    let mut items: BTreeMap<ObjectKey, T> = BTreeMap::new();
    for item in known.iter().chain(&patch.changed) {
        items.insert(identify(item).0, item.clone());
    }
    let items: Vec<T> = items.into_values().collect();
    (digest(&items, &identify) == patch.digest).then_some(items)
}

// The same for the same objects at the same versions, in any order.
fn digest<T>(items: &[T], identify: &impl Fn(&T) -> (ObjectKey, &ObjectMeta)) -> u64 {
    items
        .iter()
        .map(|item| {
            let ((kind, name), meta) = identify(item);
            let text = format!("{kind}\n{name}\n{}", meta.resource_version);
            xxh3::xxh3_64(text.as_bytes())
        })
        .fold(items.len() as u64, u64::wrapping_add)
}
