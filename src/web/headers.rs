//! Headers that no one passes on.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Headers that speak of one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Not registered, and of one connection only.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes the headers that speak of one connection only, also those that `Connection` names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.into_iter().chain(HOP_HEADERS).chain([KEEP_ALIVE]) {
        headers.remove(name);
    }
}

/// Whether the body of a response is a stream of server-sent events, by its media type; `default` where it names none. One
/// with a content coding is opaque.
pub fn is_event_stream(headers: &HeaderMap, default: bool) -> bool {
    let is_encoded = headers
        .get(header::CONTENT_ENCODING)
        .is_some_and(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"identity"));
    let media = headers.get(header::CONTENT_TYPE);
    !is_encoded && media.map_or(default, is_event_media)
}

fn is_event_media(media: &HeaderValue) -> bool {
    let name = media.as_bytes().split(|byte| *byte == b';').next();
    name.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
}
