//! Rate-limited servers and permits at them, in the messages between hosts.

use {
    super::message,
    crate::{
        news_capnp::{limit_saying, limit_update, news_peer},
        relay::policy::{
            limit_tracker::ReportedLimit,
            limit_updates::LimitUpdate,
            loads::EngineKey,
            permit_allocator::{PermitGrant, PermitRequest},
            server_limit::ServerLimit,
        },
    },
    capnp::{Error, Result, struct_list},
    std::time::Duration,
};

fn write_saying(mut to: limit_saying::Builder<'_>, limit: Option<ServerLimit>, age: Duration) {
    if let Some(limit) = limit {
        to.set_is_named(true);
        to.set_per_second(limit.per_second());
    }
    to.set_age_ms(message::to_ms(Some(age)));
}

// A number that is no limit is an error: taken for none at all it would let everything through.
fn read_saying(from: limit_saying::Reader<'_>) -> Result<(Option<ServerLimit>, Duration)> {
    let limit = match from.get_is_named() {
        true => Some(read_limit(from.get_per_second())?),
        false => None,
    };
    Ok((limit, Duration::from_millis(u64::from(from.get_age_ms()))))
}

fn read_limit(per_second: f64) -> Result<ServerLimit> {
    let limit = ServerLimit::new(per_second);
    limit.ok_or_else(|| Error::failed(format!("{per_second} is no limit")))
}

/// Writes a question.
pub fn write_ask(mut to: news_peer::deal_params::Builder<'_>, ask: &PermitRequest, now: Duration) {
    to.set_server(ask.server.0);
    to.set_wanted(u16::try_from(ask.wanted).unwrap_or(u16::MAX));
    to.set_rank(ask.rank);
    write_saying(to.init_saying(), ask.reported.limit, ask.reported.age(now));
}

/// Reads a question; what is not well formed is an error.
pub fn read_ask(from: news_peer::deal_params::Reader<'_>, now: Duration) -> Result<PermitRequest> {
    let (limit, age) = read_saying(from.get_saying()?)?;
    Ok(PermitRequest {
        server: EngineKey(from.get_server()),
        reported: ReportedLimit::from_age(limit, age, now),
        wanted: u32::from(from.get_wanted()),
        rank: from.get_rank(),
    })
}

/// Writes an answer.
pub fn write_grant(
    mut to: news_peer::deal_results::Builder<'_>,
    grant: &PermitGrant,
    now: Duration,
) {
    to.set_permits(u16::try_from(grant.permits).unwrap_or(u16::MAX));
    to.set_wait_ms(message::to_ms(Some(grant.wait)));
    write_saying(
        to.init_saying(),
        grant.reported.limit,
        grant.reported.age(now),
    );
}

/// Reads an answer; what is not well formed is an error.
pub fn read_grant(from: news_peer::deal_results::Reader<'_>, now: Duration) -> Result<PermitGrant> {
    let (limit, age) = read_saying(from.get_saying()?)?;
    Ok(PermitGrant {
        permits: u32::from(from.get_permits()),
        wait: Duration::from_millis(u64::from(from.get_wait_ms())),
        reported: ReportedLimit::from_age(limit, age, now),
    })
}

/// Writes marks.
pub fn write_marks(mut to: struct_list::Builder<'_, limit_update::Owned>, marks: &[LimitUpdate]) {
    for (index, mark) in marks.iter().enumerate() {
        let mut place = to.reborrow().get(index as u32);
        place.set_server(mark.server.0);
        write_saying(place.init_saying(), mark.limit, mark.age);
    }
}

/// Reads marks; what is not well formed is an error.
pub fn read_marks(from: struct_list::Reader<'_, limit_update::Owned>) -> Result<Vec<LimitUpdate>> {
    from.iter().map(read_mark).collect()
}

fn read_mark(from: limit_update::Reader<'_>) -> Result<LimitUpdate> {
    let (limit, age) = read_saying(from.get_saying()?)?;
    Ok(LimitUpdate {
        server: EngineKey(from.get_server()),
        limit,
        age,
    })
}
