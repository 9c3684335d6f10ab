//! Encoding of the update of one kind of objects.

use {
    super::{
        list_table::ChangeTable,
        message::{from_json, to_json},
    },
    crate::{
        news_capnp::kind_news,
        relay::cluster::{history::KindNews, list_parts::ListPart},
        store::StorePosition,
    },
    capnp::Result,
    faststr::FastStr,
    serde::de::DeserializeOwned,
};

// Encodes the changes of backend servers for a requester that reads tables.
pub(super) fn write_backends(mut to: kind_news::Builder<'_>, kind: &KindNews) -> Result<()> {
    to.set_revision(kind.position.number());
    if !kind.changes.is_empty() {
        to.set_table(&to_json(&ChangeTable::of_changes(&kind.changes))?);
    }
    write_departed(to.reborrow(), kind)?;
    let Some(part) = &kind.part else {
        return Ok(());
    };
    to.set_is_whole(true);
    to.set_is_part(true);
    to.set_is_last_part(part.is_last);
    to.set_entries(&to_json(&ChangeTable::of_entries(&part.entries))?);
    to.set_part_after(part.after.as_str());
    to.set_part_revision(part.started.number());
    Ok(())
}

pub(super) fn write_kind(mut to: kind_news::Builder<'_>, kind: &KindNews) -> Result<()> {
    to.set_revision(kind.position.number());
    to.set_is_whole(kind.is_whole);
    if !kind.changes.is_empty() {
        to.set_changes(&to_json(&kind.changes)?);
    }
    write_departed(to, kind)
}

fn write_departed(mut to: kind_news::Builder<'_>, kind: &KindNews) -> Result<()> {
    if !kind.departed.is_empty() {
        to.set_departed(&to_json(&kind.departed)?);
    }
    Ok(())
}

pub(super) fn read_kind(from: kind_news::Reader<'_>) -> Result<KindNews> {
    let table = read_table(from.get_table()?)?;
    Ok(KindNews {
        position: StorePosition::of_number(from.get_revision()),
        is_whole: from.get_is_whole(),
        changes: match table {
            Some(table) => table.into_changes()?,
            None => read_json_list(from.get_changes()?)?,
        },
        departed: read_json_list(from.get_departed()?)?,
        part: match from.get_is_part() {
            true => Some(read_part(from)?),
            false => None,
        },
    })
}

fn read_part(from: kind_news::Reader<'_>) -> Result<ListPart> {
    let table = read_table(from.get_entries()?)?.unwrap_or_default();
    Ok(ListPart {
        started: StorePosition::of_number(from.get_part_revision()),
        after: FastStr::new(from.get_part_after()?.to_str()?),
        entries: table.into_entries()?,
        is_last: from.get_is_last_part(),
    })
}

// No bytes stand for no table.
fn read_table(bytes: &[u8]) -> Result<Option<ChangeTable>> {
    match bytes.is_empty() {
        true => Ok(None),
        false => Ok(Some(from_json(bytes)?)),
    }
}

// No bytes stand for an empty list.
pub(super) fn read_json_list<T: DeserializeOwned>(bytes: &[u8]) -> Result<Vec<T>> {
    match bytes.is_empty() {
        true => Ok(Vec::new()),
        false => from_json(bytes),
    }
}
