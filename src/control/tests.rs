//! Tests of control state.

use {
    super::{
        config::{AcceptedConfig, ConfigKeeper, ConfigOffer},
        sweep::SweepBook,
    },
    crate::{
        engine::SweepReply,
        object::{AnyObject, ObjectMeta},
    },
    faststr::FastStr,
    std::time::Duration,
};

fn object(name: &'static str, version: u64) -> AnyObject {
    let spec = serde_json::json!({
        "path": format!("/{name}"),
        "selector": {"matchLabels": {"service": name}},
    });
    AnyObject {
        kind: FastStr::from_static_str("Service"),
        metadata: ObjectMeta {
            name: FastStr::from_static_str(name),
            resource_version: version,
            ..ObjectMeta::default()
        },
        spec,
    }
}

fn config(generation: u64, source_version: u64, objects: Vec<AnyObject>) -> AcceptedConfig {
    AcceptedConfig {
        generation,
        source_version,
        objects,
    }
}

#[test]
fn a_patch_has_only_what_changed_and_leads_to_the_same_configuration() {
    let old = config(1, 5, vec![object("a", 1), object("b", 5)]);
    let new = config(2, 8, vec![object("a", 1), object("b", 7), object("c", 8)]);
    let patch = new.patch_since(old.source_version);
    assert_eq!(patch.objects.changed, [object("b", 7), object("c", 8)]);
    assert_eq!(old.patched(&patch), Some(new));
}

#[test]
fn a_deletion_does_not_fit_the_patch_and_the_whole_does() {
    let old = config(1, 5, vec![object("a", 1), object("b", 5)]);
    let new = config(2, 9, vec![object("a", 1)]);
    assert_eq!(old.patched(&new.patch_since(old.source_version)), None);
    let whole = new.patch_since(0);
    assert_eq!(AcceptedConfig::default().patched(&whole), Some(new));
}

#[test]
fn a_faulty_configuration_from_a_peer_is_not_put_in_force() {
    let mut keeper = ConfigKeeper::default();
    let twice = config(3, 9, vec![object("a", 1), object("a", 1)]);
    assert!(matches!(keeper.offer(twice), ConfigOffer::Faulty(_)));
    assert_eq!(keeper.in_force().generation, 0);
}

#[test]
fn an_engine_is_swept_until_it_was_clean_several_times() {
    let mut book = SweepBook::default();
    let engine = FastStr::from_static_str("e");
    let reply = |cancelled, left| SweepReply { cancelled, left };
    for _ in 0..4 {
        book.swept(&engine, 7, &reply(0, 0));
    }
    assert!(book.is_due(&engine, 7));
    // An order that came late starts the count anew.
    book.swept(&engine, 7, &reply(1, 0));
    for _ in 0..5 {
        assert!(book.is_due(&engine, 7));
        book.swept(&engine, 7, &reply(0, 0));
    }
    assert!(!book.is_due(&engine, 7));
    book.forget(7);
    assert!(book.is_due(&engine, 7));
    book.hear(&[9], Duration::ZERO);
    assert!(book.heard(Duration::from_secs(1)).contains(&9));
    assert!(book.heard(Duration::from_secs(90)).is_empty());
}
