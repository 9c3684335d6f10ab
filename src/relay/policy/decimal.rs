//! Parsing of numbers in the responses of backend servers.

/// Maximum length of a number; a billion with six decimal places is shorter.
const MAX_LENGTH: usize = 24;

/// Parses a non-negative decimal number. Rejects other forms that Rust accepts, such as `inf` and `1e9`.
pub(crate) fn parse_decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_decimal || text.len() > MAX_LENGTH {
        return None;
    }
    text.parse().ok()
}
