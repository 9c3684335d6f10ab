//! What hosts ask and tell each other, and the messages that carry it.

use {
    super::{crash_message, limit_message},
    crate::{
        account::{AccountKey, AccountUse, LedgerSums, NearAccount, UseReport},
        news_capnp::{account_use, cluster_news, held_news, kind_news, ledger_sums, load_report},
        relay::{
            belief::history::KindNews,
            config::RelayConfig,
            link::HostEntry,
            policy::{
                crash_report::CrashUpdates,
                findings_cache::{CachePosition, CacheUpdates},
                limit_updates::LimitUpdate,
                loads::{EngineKey, EngineLoad, LoadReport, ServiceDemand},
                past_time::PastTime,
            },
        },
        store::StorePosition,
    },
    capnp::{Error, Result, struct_list},
    faststr::FastStr,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
};

/// Milliseconds that stand for "never" or "not known".
const NEVER_MS: u32 = u32::MAX;

/// Added to a proof's age before it is cut to whole milliseconds: on its way it must not become younger.
const ROUNDED_UP: Duration = Duration::from_millis(1);

/// What the asker has; 0 for what it needs whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldNews {
    /// Version of its configuration.
    pub config_version: u64,
    /// The store's position up to which it knows the backend servers.
    pub backends_position: StorePosition,
    /// The store's position up to which it knows the hosts.
    pub hosts_position: StorePosition,
    /// It cannot read the configuration from the store.
    pub wants_config: bool,
    /// How long the answer may wait for something newer.
    pub wait: Duration,
    /// It was just started and knows no hosts yet.
    pub is_starting: bool,
    /// Its availability zone.
    pub zone: FastStr,
    /// Where it can be asked itself; none where that is not said.
    pub peers: Option<SocketAddr>,
    /// What it was told of the asked host's book of requests that end their servers.
    pub crashes: CachePosition,
    /// The same of its book of rate-limited servers.
    pub limits: CachePosition,
}

impl HeldNews {
    /// Whether the asker has a configuration and a list of backend servers.
    pub fn has_all(&self) -> bool {
        self.config_version > 0 && self.backends_position.is_known()
    }
}

/// How new a reporter's own view is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedView {
    /// How old it may be; none where there is none.
    pub age: Option<Duration>,
    /// Version of its configuration.
    pub config_version: u64,
    /// The store's position up to which it knows the backend servers.
    pub backends_position: StorePosition,
}

/// What one host tells another.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterNews {
    /// How old the sender's view of configuration and backend servers may be; none where it has none.
    pub age: Option<Duration>,
    /// How long ago the sender's configuration was surely the newest; none where that was never so.
    pub proof: Option<Duration>,
    /// How long the sender held the question until it answered.
    pub held: Duration,
    /// How long ago the store was back after an outage in which entries may have lapsed, if there was one.
    pub outage: Option<Duration>,
    /// Version of the sender's configuration; 0 where it has none.
    pub config_version: u64,
    /// The configuration, if the asker lacks it and it is small or asked for.
    pub config: Option<RelayConfig>,
    /// The backend servers.
    pub backends: KindNews,
    /// The hosts.
    pub hosts: KindNews,
    /// The store does not answer the sender, or whom the sender follows.
    pub is_lost: bool,
    /// The hosts of the asker's zone that it may follow, in order; only for one that starts in a large fleet, and
    /// then in place of everything else.
    pub guides: Vec<HostEntry>,
    /// What the asker lacks of the sender's book of requests that end their servers.
    pub crashes: CrashUpdates,
    /// The same of its book of rate-limited servers.
    pub limits: CacheUpdates<LimitUpdate>,
}

impl ClusterNews {
    /// Until when the sender's view is known to be the newest, on the clock of an asker that asked at `asked`; none
    /// where the sender has no view.
    ///
    /// Never later than it was: counted from the answer's arrival, each hop would make the view newer by the
    /// time that the answer took, and hosts that hear each other's while the store is away would take it for new forever.
    pub fn confirmed(&self, asked: Duration) -> Option<PastTime> {
        Some(PastTime::at(asked + self.held).before(self.age?))
    }

    /// When the sender's configuration was surely the newest, on the clock of an asker that asked at `asked`.
    pub fn proved(&self, asked: Duration) -> Option<PastTime> {
        Some(PastTime::at(asked + self.held).before(self.proof?))
    }

    /// Whether there is anything that an asker with this lacks.
    pub fn has_more_than(&self, held: &HeldNews) -> bool {
        let kinds = [&self.backends, &self.hosts];
        self.config_version > held.config_version
            || !self.crashes.findings.is_empty()
            || !self.limits.findings.is_empty()
            || kinds
                .iter()
                .any(|kind| kind.is_whole || !kind.changes.is_empty())
    }
}

/// A time in whole milliseconds, as the wire has it.
pub fn to_ms(time: Option<Duration>) -> u32 {
    time.map_or(NEVER_MS, |time| {
        u32::try_from(time.as_millis()).unwrap_or(NEVER_MS)
    })
}

/// A time of the wire; none for the number that stands for that.
pub fn from_ms(millis: u32) -> Option<Duration> {
    (millis != NEVER_MS).then(|| Duration::from_millis(u64::from(millis)))
}

fn to_json<T: Serialize>(content: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(content).map_err(|error| Error::failed(error.to_string()))
}

fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| Error::failed(error.to_string()))
}

/// Writes what the asker has.
pub fn write_held(mut to: held_news::Builder<'_>, held: &HeldNews) {
    to.set_config_version(held.config_version);
    to.set_backends_revision(held.backends_position.number());
    to.set_hosts_revision(held.hosts_position.number());
    to.set_wants_config(held.wants_config);
    to.set_wait_ms(to_ms(Some(held.wait)));
    to.set_is_starting(held.is_starting);
    to.set_zone(held.zone.as_str());
    to.set_crash_book(held.crashes.cache_id);
    to.set_crash_revision(held.crashes.revision);
    to.set_limit_book(held.limits.cache_id);
    to.set_limit_revision(held.limits.revision);
    if let Some(address) = held.peers {
        to.set_peers(address.to_string());
    }
}

// None for the empty text, which stands for no address.
fn read_address(text: &str) -> Result<Option<SocketAddr>> {
    if text.is_empty() {
        return Ok(None);
    }
    let address = text.parse();
    address
        .map(Some)
        .map_err(|_| Error::failed(format!("{text:?} is no address")))
}

/// Reads what the asker has; what is not well formed is an error.
pub fn read_held(from: held_news::Reader<'_>) -> Result<HeldNews> {
    Ok(HeldNews {
        config_version: from.get_config_version(),
        backends_position: StorePosition::of_number(from.get_backends_revision()),
        hosts_position: StorePosition::of_number(from.get_hosts_revision()),
        wants_config: from.get_wants_config(),
        wait: Duration::from_millis(u64::from(from.get_wait_ms())),
        is_starting: from.get_is_starting(),
        zone: FastStr::new(from.get_zone()?.to_str()?),
        peers: read_address(from.get_peers()?.to_str()?)?,
        crashes: CachePosition {
            cache_id: from.get_crash_book(),
            revision: from.get_crash_revision(),
        },
        limits: CachePosition {
            cache_id: from.get_limit_book(),
            revision: from.get_limit_revision(),
        },
    })
}

fn write_kind(mut to: kind_news::Builder<'_>, kind: &KindNews) -> Result<()> {
    to.set_revision(kind.position.number());
    to.set_is_whole(kind.is_whole);
    if !kind.changes.is_empty() {
        to.set_changes(&to_json(&kind.changes)?);
    }
    if !kind.departed.is_empty() {
        to.set_departed(&to_json(&kind.departed)?);
    }
    Ok(())
}

fn read_kind(from: kind_news::Reader<'_>) -> Result<KindNews> {
    Ok(KindNews {
        position: StorePosition::of_number(from.get_revision()),
        is_whole: from.get_is_whole(),
        changes: read_json_list(from.get_changes()?)?,
        departed: read_json_list(from.get_departed()?)?,
    })
}

// Empty bytes stand for an empty list.
fn read_json_list<T: DeserializeOwned>(bytes: &[u8]) -> Result<Vec<T>> {
    match bytes.is_empty() {
        true => Ok(Vec::new()),
        false => from_json(bytes),
    }
}

/// Writes news.
pub fn write_news(mut to: cluster_news::Builder<'_>, news: &ClusterNews) -> Result<()> {
    to.set_age_ms(to_ms(news.age));
    to.set_proof_ms(to_ms(news.proof.map(|proof| proof + ROUNDED_UP)));
    to.set_outage_ms(to_ms(news.outage));
    to.set_config_version(news.config_version);
    to.set_is_lost(news.is_lost);
    to.set_held_ms(news.held.as_millis().try_into().unwrap_or(NEVER_MS));
    if let Some(config) = &news.config {
        to.set_config(&to_json(config)?);
    }
    if !news.guides.is_empty() {
        to.set_guides(&to_json(&news.guides)?);
    }
    let CrashUpdates { position, findings } = &news.crashes;
    to.set_crash_book(position.cache_id);
    to.set_crash_revision(position.revision);
    let list = to.reborrow().init_crashes(findings.len() as u32);
    crash_message::write_marks(list, findings);
    let CacheUpdates { position, findings } = &news.limits;
    to.set_limit_book(position.cache_id);
    to.set_limit_revision(position.revision);
    let list = to.reborrow().init_limits(findings.len() as u32);
    limit_message::write_marks(list, findings);
    write_kind(to.reborrow().init_backends(), &news.backends)?;
    write_kind(to.init_hosts(), &news.hosts)
}

/// Reads news; what is not well formed is an error.
pub fn read_news(from: cluster_news::Reader<'_>) -> Result<ClusterNews> {
    let config = from.get_config()?;
    let config = match config.is_empty() {
        true => None,
        false => Some(from_json(config)?),
    };
    let guides = read_json_list(from.get_guides()?)?;
    Ok(ClusterNews {
        age: from_ms(from.get_age_ms()),
        proof: from_ms(from.get_proof_ms()),
        outage: from_ms(from.get_outage_ms()),
        config_version: from.get_config_version(),
        config,
        backends: read_kind(from.get_backends()?)?,
        hosts: read_kind(from.get_hosts()?)?,
        guides,
        is_lost: from.get_is_lost(),
        held: Duration::from_millis(u64::from(from.get_held_ms())),
        crashes: CrashUpdates {
            position: CachePosition {
                cache_id: from.get_crash_book(),
                revision: from.get_crash_revision(),
            },
            findings: crash_message::read_marks(from.get_crashes()?)?,
        },
        limits: CacheUpdates {
            position: CachePosition {
                cache_id: from.get_limit_book(),
                revision: from.get_limit_revision(),
            },
            findings: limit_message::read_marks(from.get_limits()?)?,
        },
    })
}

/// Tokens that a block of the wire stands for.
const BLOCK_TOKENS: u64 = 16;

/// Writes a report.
pub fn write_report(mut to: load_report::Builder<'_>, report: &LoadReport) {
    let mut loads = to.reborrow().init_loads(report.loads.len() as u32);
    for (index, load) in report.loads.iter().enumerate() {
        let mut place = loads.reborrow().get(index as u32);
        place.set_key(load.engine.0);
        let blocks = load.memory_tokens.div_ceil(BLOCK_TOKENS);
        place.set_memory_blocks(u16::try_from(blocks).unwrap_or(u16::MAX));
        place.set_passed_over(u16::try_from(load.passed_over).unwrap_or(u16::MAX));
    }
    let mut wanted = to.reborrow().init_wanted(report.wanted.len() as u32);
    for (index, key) in report.wanted.iter().enumerate() {
        wanted.set(index as u32, key.0);
    }
    to.set_is_store_lost(report.is_store_lost);
    write_uses(to.reborrow(), &report.accounts);
    let mut demands = to.init_demands(report.demands.len() as u32);
    for (index, demand) in report.demands.iter().enumerate() {
        let mut place = demands.reborrow().get(index as u32);
        place.set_service(demand.service.as_str());
        place.set_requests(u32::try_from(demand.requests).unwrap_or(u32::MAX));
        place.set_repeats(u32::try_from(demand.repeats).unwrap_or(u32::MAX));
    }
}

// A share of 1 on the wire.
const WHOLE_SHARE: f64 = 65_535.0;

fn write_uses(mut to: load_report::Builder<'_>, report: &UseReport) {
    write_list(
        to.reborrow().init_uses(report.uses.len() as u32),
        &report.uses,
    );
    let Some(list) = &report.near else { return };
    to.set_knows_near(true);
    let mut nears = to.init_near(list.len() as u32);
    for (index, near) in list.iter().enumerate() {
        let mut place = nears.reborrow().get(index as u32);
        place.set_account(near.account.0);
        place.set_share((near.share * WHOLE_SHARE) as u16);
    }
}

fn read_uses(from: load_report::Reader<'_>) -> Result<UseReport> {
    let near = from.get_near()?.iter().map(|near| NearAccount {
        account: AccountKey(near.get_account()),
        share: f64::from(near.get_share()) / WHOLE_SHARE,
    });
    Ok(UseReport {
        uses: read_list(from.get_uses()?),
        near: from.get_knows_near().then(|| near.collect()),
    })
}

fn write_list(mut to: struct_list::Builder<'_, account_use::Owned>, uses: &[AccountUse]) {
    for (index, used) in uses.iter().enumerate() {
        let mut place = to.reborrow().get(index as u32);
        place.set_account(used.account.0);
        place.set_asked(used.asked);
        place.set_taken(used.taken);
        place.set_level(used.level);
    }
}

fn read_list(from: struct_list::Reader<'_, account_use::Owned>) -> Vec<AccountUse> {
    let uses = from.iter().map(|used| AccountUse {
        account: AccountKey(used.get_account()),
        asked: used.get_asked(),
        taken: used.get_taken(),
        level: used.get_level(),
    });
    uses.collect()
}

/// Writes the sums of a ledger.
pub fn write_sums(mut to: ledger_sums::Builder<'_>, sums: &LedgerSums) {
    to.set_id(sums.id);
    to.set_age_ms(sums.age.as_millis() as u64);
    to.set_zone(sums.zone.as_str());
    write_list(to.init_uses(sums.uses.len() as u32), &sums.uses);
}

/// Reads the sums of a ledger; what is not well formed is an error.
pub fn read_sums(from: ledger_sums::Reader<'_>) -> Result<LedgerSums> {
    Ok(LedgerSums {
        id: from.get_id(),
        age: Duration::from_millis(from.get_age_ms()),
        zone: FastStr::new(from.get_zone()?.to_str()?),
        uses: read_list(from.get_uses()?),
    })
}

/// Reads a report; what is not well formed is an error.
pub fn read_report(from: load_report::Reader<'_>) -> Result<LoadReport> {
    let loads = from.get_loads()?.iter().map(|load| EngineLoad {
        engine: EngineKey(load.get_key()),
        memory_tokens: u64::from(load.get_memory_blocks()) * BLOCK_TOKENS,
        passed_over: u32::from(load.get_passed_over()),
    });
    let demands = from.get_demands()?.iter().map(|demand| {
        Ok(ServiceDemand {
            service: FastStr::new(demand.get_service()?.to_str()?),
            requests: u64::from(demand.get_requests()),
            repeats: u64::from(demand.get_repeats()),
        })
    });
    Ok(LoadReport {
        loads: loads.collect(),
        demands: demands.collect::<Result<_>>()?,
        wanted: from.get_wanted()?.iter().map(EngineKey).collect(),
        accounts: read_uses(from)?,
        is_store_lost: from.get_is_store_lost(),
    })
}
