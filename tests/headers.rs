//! Headers that no one passes on.

use {bayplank::web, http::HeaderMap};

#[test]
fn headers_of_one_connection_go_and_all_others_stay() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "3"),
        ("x-kept", "a"),
        ("x-kept", "b"),
        ("host", "shop.example"),
    ] {
        headers.append(name, value.parse().unwrap());
    }
    web::strip_hop_headers(&mut headers);
    assert_eq!(headers.len(), 3);
    assert_eq!(headers.get_all("x-kept").iter().count(), 2);
    assert_eq!(headers["host"], "shop.example");
}
