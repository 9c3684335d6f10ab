//! Values of settings: numbers with units and ranges.

use std::{fmt::Display, net::SocketAddr, str::FromStr, time::Duration};

/// Reads a whole number within bounds.
pub fn read_count(text: &str, least: u64, most: u64) -> Result<u64, String> {
    let expected = || format!("expected a whole number from {least} to {most}, found {text:?}");
    let value: u64 = text.parse().map_err(|_| expected())?;
    in_bounds(value, least, most).ok_or_else(expected)
}

/// Reads a share from 0 to 1.
pub fn read_share(text: &str) -> Result<f64, String> {
    let expected = || format!("expected a share from 0 to 1, found {text:?}");
    let value: f64 = text.parse().map_err(|_| expected())?;
    (0.0..=1.0)
        .contains(&value)
        .then_some(value)
        .ok_or_else(expected)
}

/// Reads yes or no.
pub fn read_flag(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("expected yes or no, found {text:?}")),
    }
}

/// Reads a time with its unit: `ms`, `s` or `min`.
pub fn read_time(text: &str, least: Duration, most: Duration) -> Result<Duration, String> {
    let expected = || {
        let (least, most) = (show_time(least), show_time(most));
        format!("expected a time from {least} to {most}, like \"250 ms\", found {text:?}")
    };
    let (number, unit) = split_unit(text).ok_or_else(expected)?;
    let factor = match unit {
        "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        _ => return Err(expected()),
    };
    let millis = number.checked_mul(factor).ok_or_else(expected)?;
    in_bounds(Duration::from_millis(millis), least, most).ok_or_else(expected)
}

/// Reads a size in bytes with its unit: `B`, `KiB` or `MiB`.
pub fn read_size(text: &str, least: u64, most: u64) -> Result<u64, String> {
    let expected =
        || format!("expected a size from {least} B to {most} B, like \"64 KiB\", found {text:?}");
    let (number, unit) = split_unit(text).ok_or_else(expected)?;
    let factor = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        _ => return Err(expected()),
    };
    let bytes = number.checked_mul(factor).ok_or_else(expected)?;
    in_bounds(bytes, least, most).ok_or_else(expected)
}

/// Reads an address, IP:port.
pub fn read_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("expected IP:port, like \"127.0.0.1:8080\", found {text:?}"))
}

/// Reads an address, or none where nothing stands.
pub fn read_optional_address(text: &str) -> Result<Option<SocketAddr>, String> {
    match text.is_empty() {
        true => Ok(None),
        false => read_address(text).map(Some),
    }
}

/// Reads addresses with commas between; none is allowed.
pub fn read_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(read_address)
        .collect()
}

/// Reads a name: letters, digits and dashes.
pub fn read_name(text: &str) -> Result<faststr::FastStr, String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || c == '-';
    match !text.is_empty() && text.len() <= 63 && text.chars().all(fits) {
        true => Ok(faststr::FastStr::new(text)),
        false => Err(format!(
            "expected up to 63 letters, digits and dashes, found {text:?}"
        )),
    }
}

/// Reads whatever has its own text form.
pub fn read_as<T>(text: &str) -> Result<T, String>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse().map_err(|error: T::Err| error.to_string())
}

fn in_bounds<T: PartialOrd>(value: T, least: T, most: T) -> Option<T> {
    (value >= least && value <= most).then_some(value)
}

fn split_unit(text: &str) -> Option<(u64, &str)> {
    let (number, unit) = text.split_once(' ')?;
    Some((number.parse().ok()?, unit.trim()))
}

fn show_time(time: Duration) -> String {
    match time.as_millis() {
        millis if millis >= 60_000 && millis % 60_000 == 0 => format!("{} min", millis / 60_000),
        millis if millis >= 1_000 && millis % 1_000 == 0 => format!("{} s", millis / 1_000),
        millis => format!("{millis} ms"),
    }
}
