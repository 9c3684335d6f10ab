//! Encoding of server rate limits, and of requests for permits at rate-limited servers, in messages between hosts.

use {
    super::message,
    crate::{
        news_capnp::{limit_saying, limit_update, news_peer},
        relay::policy::{
            cold_limit::ColdLimit,
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

fn write_reported_limit(
    mut to: limit_saying::Builder<'_>,
    limit: Option<ServerLimit>,
    age: Duration,
) {
    if let Some(limit) = limit {
        to.set_is_named(true);
        to.set_per_second(limit.per_second());
    }
    to.set_age_ms(message::to_ms(Some(age)));
}

fn write_cold_limit(mut to: limit_saying::Builder<'_>, cold: Option<ColdLimit>, now: Duration) {
    let Some(cold) = cold else { return };
    to.set_cold_per_second(cold.rate.per_second());
    to.set_cold_ms(message::to_ms(Some(cold.left(now))));
}

fn read_cold_limit(from: limit_saying::Reader<'_>, now: Duration) -> Result<Option<ColdLimit>> {
    if from.get_cold_ms() == 0 {
        return Ok(None);
    }
    let rate = read_limit(from.get_cold_per_second())?;
    let left = Duration::from_millis(u64::from(from.get_cold_ms()));
    Ok(Some(ColdLimit::from_left(rate, left, now)))
}

// An invalid limit is an error: if it were read as no limit, requests would not be limited at all.
fn read_reported_limit(from: limit_saying::Reader<'_>) -> Result<(Option<ServerLimit>, Duration)> {
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

/// Encodes a request for permits.
pub fn write_permit_request(
    mut to: news_peer::deal_params::Builder<'_>,
    request: &PermitRequest,
    now: Duration,
) {
    to.set_server(request.server.0);
    to.set_wanted(u16::try_from(request.wanted).unwrap_or(u16::MAX));
    to.set_rank(request.rank);
    let mut saying = to.init_saying();
    write_cold_limit(saying.reborrow(), request.cold, now);
    write_reported_limit(saying, request.reported.limit, request.reported.age(now));
}

/// Decodes a request for permits; fails if it is malformed.
pub fn read_permit_request(
    from: news_peer::deal_params::Reader<'_>,
    now: Duration,
) -> Result<PermitRequest> {
    let (limit, age) = read_reported_limit(from.get_saying()?)?;
    Ok(PermitRequest {
        server: EngineKey(from.get_server()),
        reported: ReportedLimit::from_age(limit, age, now),
        cold: read_cold_limit(from.get_saying()?, now)?,
        wanted: u32::from(from.get_wanted()),
        rank: from.get_rank(),
    })
}

/// Encodes the response to a request for permits.
pub fn write_grant(
    mut to: news_peer::deal_results::Builder<'_>,
    grant: &PermitGrant,
    now: Duration,
) {
    to.set_permits(u16::try_from(grant.permits).unwrap_or(u16::MAX));
    to.set_wait_ms(message::to_ms(Some(grant.wait)));
    let mut saying = to.init_saying();
    write_cold_limit(saying.reborrow(), grant.cold, now);
    write_reported_limit(saying, grant.reported.limit, grant.reported.age(now));
}

/// Decodes the response to a request for permits; fails if it is malformed.
pub fn read_grant(from: news_peer::deal_results::Reader<'_>, now: Duration) -> Result<PermitGrant> {
    let (limit, age) = read_reported_limit(from.get_saying()?)?;
    Ok(PermitGrant {
        permits: u32::from(from.get_permits()),
        wait: Duration::from_millis(u64::from(from.get_wait_ms())),
        reported: ReportedLimit::from_age(limit, age, now),
        cold: read_cold_limit(from.get_saying()?, now)?,
    })
}

/// Encodes updates of server rate limits.
pub fn write_updates(
    mut to: struct_list::Builder<'_, limit_update::Owned>,
    updates: &[LimitUpdate],
) {
    for (index, update) in updates.iter().enumerate() {
        let mut entry = to.reborrow().get(index as u32);
        entry.set_server(update.server.0);
        entry.set_contended_ms(message::to_ms(Some(update.contended)));
        write_reported_limit(entry.init_saying(), update.limit, update.age);
    }
}

/// Decodes updates of server rate limits; fails if one is malformed.
pub fn read_updates(
    from: struct_list::Reader<'_, limit_update::Owned>,
) -> Result<Vec<LimitUpdate>> {
    from.iter().map(read_update).collect()
}

fn read_update(from: limit_update::Reader<'_>) -> Result<LimitUpdate> {
    let (limit, age) = read_reported_limit(from.get_saying()?)?;
    Ok(LimitUpdate {
        server: EngineKey(from.get_server()),
        limit,
        age,
        contended: Duration::from_millis(u64::from(from.get_contended_ms())),
    })
}
