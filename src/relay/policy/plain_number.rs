//! Numbers in the answers of backend servers.

/// Most characters of a number: a billion to six places has fewer.
const DIGITS_MOST: usize = 24;

/// Reads a plain decimal number, at least zero; what Rust reads besides, such as `inf` or `1e9`, is none.
pub(crate) fn read_plain_number(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain || text.len() > DIGITS_MOST {
        return None;
    }
    text.parse().ok()
}
