//! Encoding of messages about places of contended servers.

use {
    super::message,
    crate::{
        news_capnp::{news_peer, place_request, place_return},
        relay::{
            admission::places::place_request::{
                PlaceAnswer, PlaceEnd, PlaceMessage, PlaceRequest, PlaceReturn,
            },
            policy::loads::EngineKey,
        },
    },
    capnp::Result,
    std::time::Duration,
};

/// Encodes a message to an owner of places.
pub fn write_place_message(mut to: news_peer::lease_params::Builder<'_>, message: &PlaceMessage) {
    if let Some(request) = &message.request {
        to.set_has_request(true);
        write_request(to.reborrow().init_request(), request);
    }
    let mut list = to.init_returns(message.returns.len() as u32);
    for (index, returned) in message.returns.iter().enumerate() {
        write_return(list.reborrow().get(index as u32), returned);
    }
}

/// Decodes a message to an owner of places; fails if it is malformed.
pub fn read_place_message(from: news_peer::lease_params::Reader<'_>) -> Result<PlaceMessage> {
    let request = match from.get_has_request() {
        true => Some(read_request(from.get_request()?)),
        false => None,
    };
    let returns = from.get_returns()?.iter().map(read_return).collect();
    Ok(PlaceMessage { request, returns })
}

fn write_request(mut to: place_request::Builder<'_>, request: &PlaceRequest) {
    to.set_server(request.server.0);
    to.set_slots(u16::try_from(request.slots).unwrap_or(u16::MAX));
    to.set_priority(request.priority);
    to.set_may_wait(request.may_wait);
    to.set_in_time_ms(message::to_ms(Some(request.in_time)));
    to.set_time_left_ms(message::to_ms(Some(request.time_left)));
    to.set_service_time_us(to_micros(request.service_time));
}

fn read_request(from: place_request::Reader<'_>) -> PlaceRequest {
    PlaceRequest {
        server: EngineKey(from.get_server()),
        slots: u32::from(from.get_slots()),
        priority: from.get_priority(),
        in_time: millis(from.get_in_time_ms()),
        time_left: millis(from.get_time_left_ms()),
        service_time: micros(from.get_service_time_us()),
        may_wait: from.get_may_wait(),
    }
}

fn write_return(mut to: place_return::Builder<'_>, returned: &PlaceReturn) {
    to.set_server(returned.server.0);
    to.set_lease(returned.lease);
    match returned.end {
        PlaceEnd::Unused => {}
        PlaceEnd::Declined => to.set_is_declined(true),
        PlaceEnd::Answered(time) => to.set_answered_us(to_micros(time).max(1)),
    }
}

fn read_return(from: place_return::Reader<'_>) -> PlaceReturn {
    let end = match (from.get_is_declined(), from.get_answered_us()) {
        (true, _) => PlaceEnd::Declined,
        (false, 0) => PlaceEnd::Unused,
        (false, time) => PlaceEnd::Answered(micros(time)),
    };
    PlaceReturn {
        server: EngineKey(from.get_server()),
        lease: from.get_lease(),
        end,
    }
}

/// Encodes the answer to a request for a place.
pub fn write_place_answer(mut to: news_peer::lease_results::Builder<'_>, answer: &PlaceAnswer) {
    to.set_lease(answer.lease.unwrap_or_default());
    to.set_wait_ms(message::to_ms(Some(answer.wait)));
    to.set_contended_ms(message::to_ms(Some(answer.contended)));
}

/// Decodes the answer to a request for a place.
pub fn read_place_answer(from: news_peer::lease_results::Reader<'_>) -> PlaceAnswer {
    let lease = from.get_lease();
    PlaceAnswer {
        lease: (lease != 0).then_some(lease),
        wait: millis(from.get_wait_ms()),
        contended: millis(from.get_contended_ms()),
    }
}

fn to_micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}

fn micros(count: u32) -> Duration {
    Duration::from_micros(u64::from(count))
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}
