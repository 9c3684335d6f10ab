//! Every key of the settings file, in one table.

use {
    super::{settings::HostSettings, value},
    crate::route::RoutePolicy,
    faststr::FastStr,
    std::{net::SocketAddr, time::Duration},
};

type SetKey = fn(&mut HostSettings, &str) -> Result<(), String>;

/// One key and how its value is read.
pub struct SettingsKey {
    /// Its section.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    set: SetKey,
}

const fn key(section: &'static str, name: &'static str, set: SetKey) -> SettingsKey {
    SettingsKey { section, name, set }
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const MIB: u64 = 1 << 20;

// Puts a value that was read in its place.
fn put<T>(place: &mut T, read: Result<T, String>) -> Result<(), String> {
    *place = read?;
    Ok(())
}

/// Every key, in the order of the default settings.
pub const KEYS: &[SettingsKey] = &[
    key("host", "name", |s, v| put(&mut s.name, value::read_name(v))),
    key("host", "zone", |s, v| put(&mut s.zone, value::read_name(v))),
    key("listen", "callers", |s, v| {
        put(&mut s.callers, value::read_address(v))
    }),
    key("listen", "operators", |s, v| {
        put(&mut s.operators, value::read_address(v))
    }),
    key("listen", "peers", |s, v| {
        put(&mut s.peers, value::read_address(v))
    }),
    key("listen", "relay", |s, v| {
        put(&mut s.relay, value::read_optional_address(v))
    }),
    key("platform", "address", |s, v| {
        put(&mut s.platform, value::read_address(v))
    }),
    key("platform", "timeout", |s, v| {
        put(
            &mut s.platform_timeout,
            value::read_time(v, ms(100), seconds(60)),
        )
    }),
    key("platform", "resync", |s, v| {
        put(&mut s.resync, value::read_time(v, seconds(1), seconds(600)))
    }),
    key("peers", "seeds", |s, v| {
        put(&mut s.seeds, value::read_addresses(v))
    }),
    key("peers", "gossip_period", |s, v| {
        put(
            &mut s.gossip_period,
            value::read_time(v, ms(100), seconds(10)),
        )
    }),
    key("peers", "suspect_after", |s, v| {
        put(
            &mut s.suspect_after,
            value::read_time(v, seconds(1), seconds(60)),
        )
    }),
    key("peers", "sweep_after", |s, v| {
        put(
            &mut s.sweep_after,
            value::read_time(v, seconds(2), seconds(600)),
        )
    }),
    key("callers", "body_limit", |s, v| {
        put(&mut s.body_limit, value::read_size(v, 1 << 10, 64 * MIB))
    }),
    key("callers", "body_time", |s, v| {
        put(&mut s.body_time, value::read_time(v, ms(100), seconds(60)))
    }),
    key("callers", "concurrent", |s, v| {
        put(&mut s.concurrent, value::read_count(v, 1, 1_000_000))
    }),
    key("callers", "anonymous", |s, v| {
        put(&mut s.anonymous, value::read_flag(v))
    }),
    key("callers", "grace", |s, v| {
        put(&mut s.grace, value::read_time(v, ms(0), seconds(60)))
    }),
    key("callers", "remember", |s, v| {
        put(
            &mut s.remember,
            value::read_time(v, seconds(300), seconds(3_600)),
        )
    }),
    key("targets", "first_token", |s, v| {
        put(&mut s.first_token, value::read_time(v, ms(10), seconds(60)))
    }),
    key("targets", "between_tokens", |s, v| {
        put(
            &mut s.between_tokens,
            value::read_time(v, ms(1), seconds(10)),
        )
    }),
    key("targets", "whole", |s, v| {
        put(
            &mut s.whole,
            value::read_time(v, seconds(1), seconds(3_600)),
        )
    }),
    key("route", "policy", |s, v| {
        put(&mut s.policy, value::read_as(v))
    }),
    key("route", "margin", |s, v| {
        put(&mut s.margin, value::read_time(v, ms(0), seconds(10)))
    }),
    key("route", "prefill_backlog", |s, v| {
        put(
            &mut s.prefill_backlog,
            value::read_time(v, ms(0), seconds(10)),
        )
    }),
    key("route", "prefill_rate", |s, v| {
        put(&mut s.prefill_rate, value::read_count(v, 1, 10_000_000))
    }),
    key("route", "kv_per_token", |s, v| {
        put(&mut s.kv_per_token, value::read_size(v, 1, 64 * MIB))
    }),
    key("route", "link_rate", |s, v| {
        put(&mut s.link_rate, value::read_size(v, MIB, 1_000_000 * MIB))
    }),
    key("route", "eject_time", |s, v| {
        put(
            &mut s.eject_time,
            value::read_time(v, ms(100), seconds(600)),
        )
    }),
    key("route", "eject_share", |s, v| {
        put(&mut s.eject_share, value::read_share(v))
    }),
    key("route", "retry_share", |s, v| {
        put(&mut s.retry_share, value::read_share(v))
    }),
    key("observe", "period", |s, v| {
        put(
            &mut s.observe_period,
            value::read_time(v, ms(50), seconds(60)),
        )
    }),
    key("stop", "balancer_lag", |s, v| {
        put(
            &mut s.balancer_lag,
            value::read_time(v, ms(0), seconds(600)),
        )
    }),
];

/// Sets one key; an unknown one is a fault that names the known ones.
pub fn set(
    settings: &mut HostSettings,
    section: &str,
    name: &str,
    text: &str,
) -> Result<(), String> {
    let in_section: Vec<&SettingsKey> = KEYS.iter().filter(|key| key.section == section).collect();
    if in_section.is_empty() {
        let mut sections: Vec<&str> = KEYS.iter().map(|key| key.section).collect();
        sections.dedup();
        let known = sections.join(", ");
        return Err(format!("unknown section; expected one of {known}"));
    }
    match in_section.iter().find(|key| key.name == name) {
        Some(key) => (key.set)(settings, text),
        None => {
            let names: Vec<&str> = in_section.iter().map(|key| key.name).collect();
            Err(format!("unknown key; expected one of {}", names.join(", ")))
        }
    }
}

// What the default file is read over; none of these values stays.
pub(super) fn blank_settings() -> HostSettings {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    HostSettings {
        name: FastStr::empty(),
        zone: FastStr::empty(),
        callers: nowhere,
        operators: nowhere,
        peers: nowhere,
        relay: None,
        platform: nowhere,
        platform_timeout: Duration::ZERO,
        resync: Duration::ZERO,
        seeds: Vec::new(),
        gossip_period: Duration::ZERO,
        suspect_after: Duration::ZERO,
        sweep_after: Duration::ZERO,
        body_limit: 0,
        body_time: Duration::ZERO,
        concurrent: 0,
        anonymous: false,
        grace: Duration::ZERO,
        remember: Duration::ZERO,
        first_token: Duration::ZERO,
        between_tokens: Duration::ZERO,
        whole: Duration::ZERO,
        policy: RoutePolicy::Joint,
        margin: Duration::ZERO,
        prefill_backlog: Duration::ZERO,
        prefill_rate: 0,
        kv_per_token: 0,
        link_rate: 0,
        eject_time: Duration::ZERO,
        eject_share: 0.0,
        retry_share: 0.0,
        observe_period: Duration::ZERO,
        balancer_lag: Duration::ZERO,
    }
}
