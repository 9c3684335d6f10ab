//! Writing events to the log.

use {
    super::catalogue::EventKind,
    std::fmt::{Display, Write},
};

/// Writes an event, one line of `key=value` fields after its number and name.
pub fn emit(kind: &EventKind, fields: &[(&str, &dyn Display)]) {
    if !log::log_enabled!(kind.level) {
        return;
    }
    let mut line = format!("event={} name={}", kind.number, kind.name);
    for (key, value) in fields {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        let written = match plain {
            true => write!(line, " {key}={value}"),
            false => write!(line, " {key}={value:?}"),
        };
        written.expect("writing to a string");
    }
    log::log!(kind.level, "{line}");
}
