//! Encoding of how streams began.

use {
    crate::{
        news_capnp::{news_peer, streams_of_version},
        relay::{
            parts::origins::OriginAnswer,
            policy::{
                software_history::SeenSoftware,
                stream_origins::{StreamKey, StreamRecord},
            },
            software_version::{ServerSoftware, SoftwareVersion},
        },
    },
    capnp::{Result, struct_list},
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

/// Encodes streams, those of one service and version together. Streams of unknown versions are left out.
pub fn write_stream_records(
    params: news_peer::tell_streams_params::Builder<'_>,
    records: &[StreamRecord],
) {
    let groups = group_records(records.iter());
    write_groups(params.init_streams(groups.len() as u32), &groups);
}

type RecordGroups<'a> = BTreeMap<(&'a ServerSoftware, &'a str), Vec<&'a StreamRecord>>;

fn group_records<'a>(records: impl Iterator<Item = &'a StreamRecord>) -> RecordGroups<'a> {
    let mut groups = RecordGroups::new();
    for record in records {
        if let Some(name) = record.origin.software.name() {
            let group = groups.entry((&record.origin, name)).or_default();
            group.push(record);
        }
    }
    groups
}

fn write_groups(
    mut to: struct_list::Builder<'_, streams_of_version::Owned>,
    groups: &RecordGroups<'_>,
) {
    for (index, ((origin, name), records)) in groups.iter().enumerate() {
        let mut group = to.reborrow().get(index as u32);
        group.set_service(origin.service.as_str());
        group.set_software(*name);
        let mut keys = group.reborrow().init_keys(records.len() as u32);
        for (index, record) in records.iter().enumerate() {
            keys.set(index as u32, record.key.0);
        }
        let mut times = group.init_left_ms(records.len() as u32);
        for (index, record) in records.iter().enumerate() {
            times.set(index as u32, millis(record.time_left));
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Decodes streams; fails if they are malformed.
pub fn read_stream_records(
    from: struct_list::Reader<'_, streams_of_version::Owned>,
) -> Result<Vec<StreamRecord>> {
    let mut records = Vec::new();
    for group in from {
        let origin = ServerSoftware {
            service: FastStr::new(group.get_service()?.to_str()?),
            software: SoftwareVersion::of_name(FastStr::new(group.get_software()?.to_str()?)),
        };
        let streams = group.get_keys()?.iter().zip(group.get_left_ms()?.iter());
        records.extend(streams.map(|(key, left)| StreamRecord {
            key: StreamKey(key),
            origin: origin.clone(),
            time_left: Duration::from_millis(u64::from(left)),
        }));
    }
    Ok(records)
}

/// Encodes the answer to a host that takes a stream up.
pub fn write_origin_answer(
    mut results: news_peer::find_stream_results::Builder<'_>,
    answer: &OriginAnswer,
) {
    let groups = group_records(answer.record.iter());
    write_groups(
        results.reborrow().init_streams(groups.len() as u32),
        &groups,
    );
    let versions = &answer.seen.versions;
    let names: Vec<&str> = versions.iter().filter_map(SoftwareVersion::name).collect();
    results.set_lacks_versions(names.len() < versions.len());
    results.set_seen_for_ms(millis(answer.seen.seen_for));
    let mut list = results.init_versions(names.len() as u32);
    for (index, name) in names.into_iter().enumerate() {
        list.set(index as u32, name);
    }
}

/// Decodes such an answer; fails if it is malformed.
pub fn read_origin_answer(
    from: news_peer::find_stream_results::Reader<'_>,
) -> Result<OriginAnswer> {
    let mut seen = SeenSoftware {
        seen_for: Duration::from_millis(u64::from(from.get_seen_for_ms())),
        ..SeenSoftware::default()
    };
    for name in from.get_versions()? {
        let name = FastStr::new(name?.to_str()?);
        seen.versions.insert(SoftwareVersion::of_name(name));
    }
    if from.get_lacks_versions() {
        seen.versions.insert(SoftwareVersion::default());
    }
    let mut records = read_stream_records(from.get_streams()?)?;
    Ok(OriginAnswer {
        record: records.pop(),
        seen,
    })
}
