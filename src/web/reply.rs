//! Answers that servers give.

use {
    bytes::Bytes,
    http::{StatusCode, header},
    serde::Serialize,
    volo_http::{body::Body, response::Response},
};

/// A JSON answer.
pub fn json_reply<T: Serialize>(status: u16, content: &T) -> Response {
    match serde_json::to_vec(content) {
        Ok(bytes) => reply(status, "application/json", Bytes::from(bytes)),
        Err(error) => text_reply(500, format!("not encodable: {error}")),
    }
}

/// A plain-text answer.
pub fn text_reply(status: u16, content: impl Into<String>) -> Response {
    reply(status, "text/plain; charset=utf-8", content.into().into())
}

/// An answer of the given media type.
pub fn reply(status: u16, media: &'static str, content: Bytes) -> Response {
    body_reply(status, media, Body::from(content))
}

/// An answer whose body may stream.
pub fn body_reply(status: u16, media: &'static str, content: Body) -> Response {
    let mut response = Response::new(content);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let value = http::HeaderValue::from_static(media);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
