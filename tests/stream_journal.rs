//! Batches of streams that hosts keep in the store.

use {
    bayplank::{
        relay::{
            BATCHES_KEPT, ServerSoftware, SoftwareVersion, StreamBatch, StreamJournal, StreamKey,
            StreamRecord,
        },
        store::StorePosition,
    },
    bolero::check,
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const HOST: &str = "entry-1";

fn record(key: u64, version: u8) -> StreamRecord {
    StreamRecord {
        key: StreamKey(key),
        origin: ServerSoftware {
            service: FastStr::new("models"),
            software: SoftwareVersion::of_name(FastStr::new(format!("v{}", version % 3))),
        },
        time_left: Duration::from_secs(10),
    }
}

// What the store holds of a batch, read from its text again.
fn stored(batch: &StreamBatch) -> StreamBatch {
    let text = serde_json::to_string(batch).expect("a batch can be written");
    serde_json::from_str(&text).expect("what was written can be read")
}

#[test]
fn each_stream_is_kept_with_its_version_over_restarts_and_no_recent_batch_is_replaced() {
    check!()
        .with_type::<Vec<(Vec<(u64, u8)>, bool)>>()
        .for_each(|rounds| {
            let own = FastStr::new(HOST);
            let mut store: BTreeMap<FastStr, (StreamBatch, StorePosition)> = BTreeMap::new();
            let mut journal = StreamJournal::default();
            journal.load(HOST, std::iter::empty());
            let mut told: BTreeMap<u64, BTreeSet<SoftwareVersion>> = BTreeMap::new();
            let (mut revision, mut batches) = (0, 0);
            for (streams, restarts) in rounds {
                let records = streams.iter().map(|(key, version)| record(*key, *version));
                for record in records.clone() {
                    let versions = told.entry(record.key.0).or_default();
                    versions.insert(record.origin.software.clone());
                }
                journal.add(records);
                while let Some(write) = journal.take_batch(&own) {
                    let name = write.batch.object_name();
                    let known = store.get(&name).map(|(_, position)| *position);
                    assert_eq!(write.replaces, known.unwrap_or_default());
                    assert!(known.is_none() || batches >= BATCHES_KEPT);
                    revision += 1;
                    batches += 1;
                    let position = StorePosition::new(1, revision);
                    journal.batch_written(&write.batch, position);
                    store.insert(name, (stored(&write.batch), position));
                }
                assert!(!journal.has_waiting());
                if *restarts {
                    journal = StreamJournal::default();
                    journal.add([record(0, 0)]);
                    assert_eq!(journal.take_batch(&own), None, "nothing before the load");
                    journal = StreamJournal::default();
                    let known = store.values().map(|(batch, position)| (batch, *position));
                    journal.load(HOST, known);
                }
            }
            if batches <= BATCHES_KEPT {
                let mut kept: BTreeMap<u64, BTreeSet<SoftwareVersion>> = BTreeMap::new();
                for record in store.values().flat_map(|(batch, _)| batch.records()) {
                    let versions = kept.entry(record.key.0).or_default();
                    versions.insert(record.origin.software);
                }
                assert_eq!(kept, told);
            }
        });
}

#[test]
fn streams_that_wait_for_a_store_without_answers_are_bounded() {
    let mut journal = StreamJournal::default();
    journal.load(HOST, std::iter::empty());
    let dropped: usize = (0..40_000).map(|key| journal.add([record(key, 0)])).sum();
    let own = FastStr::new(HOST);
    let mut kept = 0;
    while let Some(write) = journal.take_batch(&own) {
        kept += write.batch.records().count();
    }
    assert_eq!(kept + dropped, 40_000);
    assert!(kept <= 8_192, "{kept}");
}

#[test]
fn batches_of_other_hosts_and_texts_that_are_no_keys_change_nothing() {
    let mut journal = StreamJournal::default();
    let other = StreamBatch {
        host: FastStr::new("entry-2"),
        sequence: 7,
        groups: Vec::new(),
    };
    journal.load(HOST, [(&other, StorePosition::new(1, 9))].into_iter());
    journal.add([record(1, 0)]);
    let write = journal.take_batch(&FastStr::new(HOST)).expect("a batch");
    assert_eq!(
        (write.batch.sequence, write.replaces),
        (0, StorePosition::default())
    );
    let text = r#"{"host":"h","sequence":1,"groups":[{"service":"m","software":"v1","left_ms":1,"keys":["xyz"]}]}"#;
    assert!(serde_json::from_str::<StreamBatch>(text).is_err());
}

#[test]
fn a_batch_that_could_not_be_written_waits_before_later_streams() {
    let mut journal = StreamJournal::default();
    journal.load(HOST, std::iter::empty());
    let own = FastStr::new(HOST);
    journal.add([record(1, 0)]);
    let failed = journal.take_batch(&own).expect("a batch");
    journal.add([record(2, 0)]);
    journal.return_batch(&failed.batch);
    let next = journal.take_batch(&own).expect("a batch");
    let keys: Vec<u64> = next.batch.records().map(|record| record.key.0).collect();
    assert_eq!(keys, [1, 2]);
}

#[test]
fn objects_of_hosts_that_keep_streams_are_not_outdated() {
    let mut journal = StreamJournal::default();
    let batch = |host: &str, sequence| StreamBatch {
        host: FastStr::new(host),
        sequence,
        groups: Vec::new(),
    };
    let known = [batch("entry-2", 1), batch("entry-3", 2), batch(HOST, 3)];
    let position = StorePosition::new(1, 5);
    journal.load(HOST, known.iter().map(|batch| (batch, position)));
    let keeps = |host: &str| host == "entry-2";
    assert_eq!(journal.take_outdated(keeps).as_deref(), Some("entry-3.2"));
    assert_eq!(journal.take_outdated(keeps), None);
}
