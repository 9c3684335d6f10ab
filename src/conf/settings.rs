//! All settings of an entry host.

use {
    super::{fault::SettingsFault, keys},
    crate::route::{RoutePolicy, RouteTuning},
    faststr::FastStr,
    ini::Ini,
    std::{net::SocketAddr, time::Duration},
};

/// The commented default settings, as shipped.
pub const DEFAULT_SETTINGS: &str = include_str!("../../resources/bayplankd.ini");

/// All settings of an entry host; `resources/bayplankd.ini` explains each.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of this host.
    pub name: FastStr,
    /// Availability zone of this host.
    pub zone: FastStr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where other entry hosts reach it.
    pub peers: SocketAddr,
    /// Where callers of requests that are passed through reach it; none where it passes none through.
    pub relay: Option<SocketAddr>,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Longest wait for the platform.
    pub platform_timeout: Duration,
    /// How often the platform's whole state is read.
    pub resync: Duration,
    /// Entry hosts to start from.
    pub seeds: Vec<SocketAddr>,
    /// How often a host tells another what it knows.
    pub gossip_period: Duration,
    /// Silence after which a host is suspected.
    pub suspect_after: Duration,
    /// Silence after which its unread attempts are swept.
    pub sweep_after: Duration,
    /// Longest body, bytes.
    pub body_limit: u64,
    /// Longest time to send a body.
    pub body_time: Duration,
    /// Requests in progress at once.
    pub concurrent: u64,
    /// Whether callers without a key are served.
    pub anonymous: bool,
    /// How long a keyed request outlives its caller.
    pub grace: Duration,
    /// How long ended requests are remembered.
    pub remember: Duration,
    /// First-token target.
    pub first_token: Duration,
    /// Between-token target.
    pub between_tokens: Duration,
    /// Longest time for a whole answer.
    pub whole: Duration,
    /// How engines are chosen.
    pub policy: RoutePolicy,
    /// Part of the first-token target left unused.
    pub margin: Duration,
    /// Work that may wait at a prefill engine.
    pub prefill_backlog: Duration,
    /// Prompt tokens a second, until observed.
    pub prefill_rate: u64,
    /// Bytes of KV cache a token, until observed.
    pub kv_per_token: u64,
    /// Bytes a second of an engine's link.
    pub link_rate: u64,
    /// How long a failed engine is left out.
    pub eject_time: Duration,
    /// Share of engines left out at once.
    pub eject_share: f64,
    /// Retries as a share of traffic.
    pub retry_share: f64,
    /// How often an engine's load is read.
    pub observe_period: Duration,
    /// How long the balancer may lag behind a planned stop.
    pub balancer_lag: Duration,
}

impl Default for HostSettings {
    fn default() -> Self {
        let mut settings = keys::blank_settings();
        let faults = settings.read("default settings", DEFAULT_SETTINGS);
        assert!(
            faults.is_empty(),
            "the shipped settings are right: {faults:?}"
        );
        settings
    }
}

impl HostSettings {
    /// Reads a file's text over the defaults; all faults are named.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsFault>> {
        let mut settings = Self::default();
        let faults = settings.read(file, text);
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(faults),
        }
    }

    /// Reads a file over the defaults.
    pub fn load(file: &str) -> Result<Self, Vec<SettingsFault>> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text),
            Err(error) => Err(vec![SettingsFault {
                file: file.to_owned(),
                section: String::new(),
                key: String::new(),
                problem: format!("cannot be read: {error}"),
            }]),
        }
    }

    fn read(&mut self, file: &str, text: &str) -> Vec<SettingsFault> {
        let fault = |section: &str, key: &str, problem: String| SettingsFault {
            file: file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            problem,
        };
        let ini = match Ini::load_from_str_noescape(text) {
            Ok(ini) => ini,
            Err(error) => {
                let problem = format!("line {}: {}", error.line, error.msg);
                return vec![fault("", "", problem)];
            }
        };
        let mut faults = Vec::new();
        for (section, values) in &ini {
            let section = section.unwrap_or_default();
            for (key, value) in values {
                if let Err(problem) = keys::set(self, section, key, value.trim()) {
                    faults.push(fault(section, key, problem));
                }
            }
        }
        for (section, key, problem) in self.contradictions() {
            faults.push(fault(section, key, problem));
        }
        faults
    }

    // Values that are right each alone and wrong together.
    fn contradictions(&self) -> Vec<(&'static str, &'static str, String)> {
        let mut found = Vec::new();
        if self.sweep_after < self.suspect_after {
            let problem = "is shorter than suspect_after; expected at least as long".to_owned();
            found.push(("peers", "sweep_after", problem));
        }
        if self.margin >= self.first_token {
            let problem = "leaves nothing of [targets] first_token".to_owned();
            found.push(("route", "margin", problem));
        }
        let relay = self.relay.map(|relay| ("relay", relay));
        let listens: Vec<(&str, SocketAddr)> = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("peers", self.peers),
        ]
        .into_iter()
        .chain(relay)
        .collect();
        for (index, (key, address)) in listens.iter().enumerate() {
            let twin = listens[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = twin {
                found.push(("listen", key, format!("is also the address of {other}")));
            }
        }
        found
    }

    /// The numbers that routing uses.
    pub fn tuning(&self) -> RouteTuning {
        RouteTuning {
            policy: self.policy,
            first_token: self.first_token,
            between_tokens: self.between_tokens,
            margin: self.margin,
            prefill_backlog: self.prefill_backlog,
            prefill_rate: self.prefill_rate as f64,
            kv_bytes_per_token: self.kv_per_token as f64,
            link_rate: self.link_rate as f64,
            eject_time: self.eject_time,
            eject_share: self.eject_share,
            ..RouteTuning::default()
        }
    }
}
