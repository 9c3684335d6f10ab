//! Headers that no one passes on.

use http::{HeaderMap, HeaderName, header};

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
