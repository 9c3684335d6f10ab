//! Messages between hosts and their encoding.

use {
    super::{
        crash_message,
        kind_message::{read_json_list, read_kind, write_backends, write_kind},
        limit_message, priority_message,
    },
    crate::{
        account::{AccountKey, AccountUse, LedgerSums, NearAccount, UseReport},
        news_capnp::{account_use, cluster_news, held_news, ledger_sums, load_report},
        relay::{
            cluster::{history::KindNews, list_parts::ListCursor},
            config::RelayConfig,
            link::HostEntry,
            pieces::ConfigRoot,
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

/// Number of milliseconds that stands for "never" or "unknown".
const NO_TIME_MS: u32 = u32::MAX;

/// Added to the age of a proof before it is truncated to milliseconds, since encoding must never make a proof look
/// newer.
const PROOF_AGE_MARGIN: Duration = Duration::from_millis(1);

/// What the requester already has, as versions and positions; 0 for what it needs in full.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldNews {
    /// Version of its configuration.
    pub config_version: u64,
    /// The latest version that it knows of, which it may still be fetching.
    pub known_version: u64,
    /// Whether it fetches configurations in pieces.
    pub reads_pieces: bool,
    /// The store position up to which it knows the backend servers.
    pub backends_position: StorePosition,
    /// The store position up to which it knows the hosts.
    pub hosts_position: StorePosition,
    /// The store position up to which it knows the evacuations of zones; unknown if it does not apply them either.
    pub evacuations_position: StorePosition,
    /// Whether it needs even a large configuration, since it cannot read it from the store.
    pub wants_config: bool,
    /// How long the request may be held until there is something newer.
    pub wait: Duration,
    /// Whether it has just started and knows no hosts yet.
    pub is_starting: bool,
    /// Its availability zone.
    pub zone: FastStr,
    /// The address at which it answers requests of other hosts, if given.
    pub peers: Option<SocketAddr>,
    /// The position up to which it has the crash records of the receiver.
    pub crashes: CachePosition,
    /// The position up to which it has the receiver's records of rate-limited servers.
    pub limits: CachePosition,
    /// Whether it reads tables of changes, and lists in parts.
    pub reads_parts: bool,
    /// Where its list of backend servers is to be continued, if it has received parts of it.
    pub list_cursor: Option<ListCursor>,
}

impl HeldNews {
    /// Whether the requester has a configuration and a list of backend servers.
    pub fn has_complete_view(&self) -> bool {
        self.config_version > 0 && self.backends_position.is_known()
    }
}

/// How current a reporter's view of the store is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedView {
    /// Upper bound of its age; none if the reporter has no view.
    pub age: Option<Duration>,
    /// The latest version of the configuration that it knows of.
    pub known_version: u64,
    /// The store position up to which it knows the backend servers.
    pub backends_position: StorePosition,
}

/// The response to a host that follows the sender.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterNews {
    /// Upper bound of the age of the sender's view of the configuration and the backend servers; none if it has none.
    pub age: Option<Duration>,
    /// How long ago the sender's configuration was proved to be the newest; none if it never was.
    pub proof: Option<Duration>,
    /// How long the sender held the request before it answered.
    pub held: Duration,
    /// How long ago the store recovered from an outage during which entries may have expired, if there was one.
    pub outage: Option<Duration>,
    /// Version of the sender's configuration; 0 if it has none.
    pub config_version: u64,
    /// The configuration, if the requester lacks it and it is small or was requested.
    pub config: Option<RelayConfig>,
    /// The latest version of the configuration that the sender knows of, which it may still be fetching.
    pub known_version: u64,
    /// How long ago a host that has that version confirmed it.
    pub known_age: Duration,
    /// The names of that version, if the requester does not know of it and fetches its pieces.
    pub config_root: Option<ConfigRoot>,
    /// The store position up to which that version is the newest.
    pub config_position: StorePosition,
    /// Changes of the backend servers.
    pub backends: KindNews,
    /// Changes of the hosts.
    pub hosts: KindNews,
    /// The evacuations of zones, if the requester lacks any.
    pub evacuations: KindNews,
    /// Whether the store does not answer the sender, or the host that the sender follows.
    pub is_lost: bool,
    /// Hosts that the requester may follow, in order of preference. Only sent to a host that starts in a large fleet,
    /// and then in place of everything else.
    pub guides: Vec<HostEntry>,
    /// The crash records of the sender that the requester lacks.
    pub crashes: CrashUpdates,
    /// The sender's records of rate-limited servers that the requester lacks.
    pub limits: CacheUpdates<LimitUpdate>,
    /// Whether the entries of backend servers name their software versions.
    pub tells_software: bool,
}

impl ClusterNews {
    /// The last time at which the sender's view was known to be current, on the clock of a requester that sent its
    /// request at `sent_at`; none if the sender has no view.
    ///
    /// This is a lower bound. If the age were counted from the arrival of the response, each hop would make the view
    /// look newer by the latency of the response, and hosts that follow each other while the store is unavailable would
    /// consider an old view current forever.
    pub fn confirmed(&self, sent_at: Duration) -> Option<PastTime> {
        Some(PastTime::at(sent_at + self.held).before(self.age?))
    }

    /// When the sender's configuration was proved to be the newest, on the clock of a requester that sent its request
    /// at `sent_at`.
    pub fn proved(&self, sent_at: Duration) -> Option<PastTime> {
        Some(PastTime::at(sent_at + self.held).before(self.proof?))
    }

    /// When the outage of the store ended that the sender tells of, on the clock of a requester that sent its request at
    /// `sent_at`, however late it reads the answer; none if there was none.
    pub fn outage_ended(&self, sent_at: Duration) -> Option<Duration> {
        let ended_before = self.outage?;
        Some((sent_at + self.held).saturating_sub(ended_before))
    }

    /// Whether this contains anything that the requester lacks.
    pub fn has_more_than(&self, held: &HeldNews) -> bool {
        let kinds = [&self.backends, &self.hosts];
        // A requester that does not apply evacuations always lacks them, and would never wait.
        let has_evacuations = self.evacuations.is_whole && held.evacuations_position.is_known();
        let has_config = match held.reads_pieces {
            true => self.config.is_some() || self.config_root.is_some(),
            false => self.config_version > held.config_version,
        };
        has_config
            || has_evacuations
            || !self.crashes.findings.is_empty()
            || !self.limits.findings.is_empty()
            || kinds
                .iter()
                .any(|kind| kind.is_whole || !kind.changes.is_empty())
    }
}

/// Encodes a duration as whole milliseconds.
pub fn to_ms(time: Option<Duration>) -> u32 {
    time.map_or(NO_TIME_MS, |time| {
        u32::try_from(time.as_millis()).unwrap_or(NO_TIME_MS)
    })
}

/// Decodes a duration; none for the reserved number.
pub fn from_ms(millis: u32) -> Option<Duration> {
    (millis != NO_TIME_MS).then(|| Duration::from_millis(u64::from(millis)))
}

pub(super) fn to_json<T: Serialize>(content: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(content).map_err(|error| Error::failed(error.to_string()))
}

pub(super) fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| Error::failed(error.to_string()))
}

// Empty bytes stand for no value.
fn read_optional<T: DeserializeOwned>(bytes: &[u8]) -> Result<Option<T>> {
    match bytes.is_empty() {
        true => Ok(None),
        false => from_json(bytes).map(Some),
    }
}

/// Encodes what the requester has.
pub fn write_held(mut to: held_news::Builder<'_>, held: &HeldNews) {
    to.set_config_version(held.config_version);
    to.set_known_version(held.known_version);
    to.set_reads_pieces(held.reads_pieces);
    to.set_backends_revision(held.backends_position.number());
    to.set_hosts_revision(held.hosts_position.number());
    to.set_evacuations_revision(held.evacuations_position.number());
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
    to.set_reads_parts(held.reads_parts);
    if let Some(cursor) = &held.list_cursor {
        to.set_part_revision(cursor.started.number());
        to.set_part_latest(cursor.latest.number());
        to.set_part_after(cursor.after.as_str());
    }
}

// An empty text stands for no address.
fn read_address(text: &str) -> Result<Option<SocketAddr>> {
    if text.is_empty() {
        return Ok(None);
    }
    let address = text.parse();
    address
        .map(Some)
        .map_err(|_| Error::failed(format!("{text:?} is no address")))
}

/// Decodes what the requester has; fails if it is malformed.
pub fn read_held(from: held_news::Reader<'_>) -> Result<HeldNews> {
    Ok(HeldNews {
        config_version: from.get_config_version(),
        known_version: from.get_known_version(),
        reads_pieces: from.get_reads_pieces(),
        backends_position: StorePosition::of_number(from.get_backends_revision()),
        hosts_position: StorePosition::of_number(from.get_hosts_revision()),
        evacuations_position: StorePosition::of_number(from.get_evacuations_revision()),
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
        reads_parts: from.get_reads_parts(),
        list_cursor: Some(ListCursor {
            started: StorePosition::of_number(from.get_part_revision()),
            latest: StorePosition::of_number(from.get_part_latest()),
            after: FastStr::new(from.get_part_after()?.to_str()?),
        })
        .filter(|cursor| !cursor.after.is_empty()),
    })
}

/// Encodes a response for a requester that reads tables and lists in parts, or for one that does not.
pub fn write_news(
    mut to: cluster_news::Builder<'_>,
    news: &ClusterNews,
    reads_parts: bool,
) -> Result<()> {
    to.set_age_ms(to_ms(news.age));
    to.set_proof_ms(to_ms(news.proof.map(|proof| proof + PROOF_AGE_MARGIN)));
    to.set_outage_ms(to_ms(news.outage));
    to.set_config_version(news.config_version);
    to.set_is_lost(news.is_lost);
    to.set_held_ms(news.held.as_millis().try_into().unwrap_or(NO_TIME_MS));
    if let Some(config) = &news.config {
        to.set_config(&to_json(config)?);
    }
    to.set_known_version(news.known_version);
    to.set_known_age_ms(to_ms(Some(news.known_age)));
    if let Some(root) = &news.config_root {
        to.set_config_root(&to_json(root)?);
    }
    to.set_config_revision(news.config_position.number());
    to.set_tells_software(news.tells_software);
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
    limit_message::write_updates(list, findings);
    match reads_parts {
        true => write_backends(to.reborrow().init_backends(), &news.backends)?,
        false => write_kind(to.reborrow().init_backends(), &news.backends)?,
    }
    if news.evacuations.is_whole {
        write_kind(to.reborrow().init_evacuations(), &news.evacuations)?;
    }
    write_kind(to.init_hosts(), &news.hosts)
}

/// Decodes a response; fails if it is malformed.
pub fn read_news(from: cluster_news::Reader<'_>) -> Result<ClusterNews> {
    let config = read_optional(from.get_config()?)?;
    let config_root = read_optional(from.get_config_root()?)?;
    let guides = read_json_list(from.get_guides()?)?;
    Ok(ClusterNews {
        age: from_ms(from.get_age_ms()),
        proof: from_ms(from.get_proof_ms()),
        outage: from_ms(from.get_outage_ms()),
        config_version: from.get_config_version(),
        config,
        known_version: from.get_known_version(),
        known_age: from_ms(from.get_known_age_ms()).unwrap_or(Duration::MAX),
        config_root,
        config_position: StorePosition::of_number(from.get_config_revision()),
        backends: read_kind(from.get_backends()?)?,
        hosts: read_kind(from.get_hosts()?)?,
        evacuations: read_kind(from.get_evacuations()?)?,
        tells_software: from.get_tells_software(),
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
            findings: limit_message::read_updates(from.get_limits()?)?,
        },
    })
}

/// Tokens per memory block as encoded in load reports.
const BLOCK_TOKENS: u64 = 16;

/// Encodes a load report.
pub fn write_report(mut to: load_report::Builder<'_>, report: &LoadReport) {
    let mut loads = to.reborrow().init_loads(report.loads.len() as u32);
    for (index, load) in report.loads.iter().enumerate() {
        let mut entry = loads.reborrow().get(index as u32);
        entry.set_key(load.engine.0);
        let blocks = load.memory_tokens.div_ceil(BLOCK_TOKENS);
        entry.set_memory_blocks(u16::try_from(blocks).unwrap_or(u16::MAX));
        entry.set_passed_over(u16::try_from(load.ejected_by).unwrap_or(u16::MAX));
    }
    let mut wanted = to.reborrow().init_wanted(report.requested.len() as u32);
    for (index, key) in report.requested.iter().enumerate() {
        wanted.set(index as u32, key.0);
    }
    to.set_is_store_lost(report.is_store_lost);
    write_uses(to.reborrow(), &report.accounts);
    priority_message::write_loads(
        to.reborrow()
            .init_priorities(report.priorities.len() as u32),
        &report.priorities,
    );
    let mut demands = to.init_demands(report.demands.len() as u32);
    for (index, demand) in report.demands.iter().enumerate() {
        let mut entry = demands.reborrow().get(index as u32);
        entry.set_service(demand.service.as_str());
        entry.set_requests(u32::try_from(demand.requests).unwrap_or(u32::MAX));
        entry.set_repeats(u32::try_from(demand.retries).unwrap_or(u32::MAX));
    }
}

// Encoding of a share of 1.
const FULL_SHARE: f64 = 65_535.0;

fn write_uses(mut to: load_report::Builder<'_>, report: &UseReport) {
    write_account_uses(
        to.reborrow().init_uses(report.uses.len() as u32),
        &report.uses,
    );
    let Some(list) = &report.near else { return };
    to.set_knows_near(true);
    let mut nears = to.init_near(list.len() as u32);
    for (index, near) in list.iter().enumerate() {
        let mut entry = nears.reborrow().get(index as u32);
        entry.set_account(near.account.0);
        entry.set_share((near.share * FULL_SHARE) as u16);
    }
}

fn read_uses(from: load_report::Reader<'_>) -> Result<UseReport> {
    let near = from.get_near()?.iter().map(|near| NearAccount {
        account: AccountKey(near.get_account()),
        share: f64::from(near.get_share()) / FULL_SHARE,
    });
    Ok(UseReport {
        uses: read_account_uses(from.get_uses()?),
        near: from.get_knows_near().then(|| near.collect()),
    })
}

fn write_account_uses(mut to: struct_list::Builder<'_, account_use::Owned>, uses: &[AccountUse]) {
    for (index, used) in uses.iter().enumerate() {
        let mut entry = to.reborrow().get(index as u32);
        entry.set_account(used.account.0);
        entry.set_asked(used.asked);
        entry.set_taken(used.taken);
        entry.set_level(used.level);
    }
}

fn read_account_uses(from: struct_list::Reader<'_, account_use::Owned>) -> Vec<AccountUse> {
    let uses = from.iter().map(|used| AccountUse {
        account: AccountKey(used.get_account()),
        asked: used.get_asked(),
        taken: used.get_taken(),
        level: used.get_level(),
    });
    uses.collect()
}

/// Encodes the totals of a ledger.
pub fn write_sums(mut to: ledger_sums::Builder<'_>, sums: &LedgerSums) {
    to.set_id(sums.id);
    to.set_age_ms(sums.age.as_millis() as u64);
    to.set_zone(sums.zone.as_str());
    write_account_uses(to.init_uses(sums.uses.len() as u32), &sums.uses);
}

/// Decodes the totals of a ledger; fails if they are malformed.
pub fn read_sums(from: ledger_sums::Reader<'_>) -> Result<LedgerSums> {
    Ok(LedgerSums {
        id: from.get_id(),
        age: Duration::from_millis(from.get_age_ms()),
        zone: FastStr::new(from.get_zone()?.to_str()?),
        uses: read_account_uses(from.get_uses()?),
    })
}

/// Decodes a load report; fails if it is malformed.
pub fn read_report(from: load_report::Reader<'_>) -> Result<LoadReport> {
    let loads = from.get_loads()?.iter().map(|load| EngineLoad {
        engine: EngineKey(load.get_key()),
        memory_tokens: u64::from(load.get_memory_blocks()) * BLOCK_TOKENS,
        ejected_by: u32::from(load.get_passed_over()),
    });
    let demands = from.get_demands()?.iter().map(|demand| {
        Ok(ServiceDemand {
            service: FastStr::new(demand.get_service()?.to_str()?),
            requests: u64::from(demand.get_requests()),
            retries: u64::from(demand.get_repeats()),
        })
    });
    Ok(LoadReport {
        loads: loads.collect(),
        demands: demands.collect::<Result<_>>()?,
        requested: from.get_wanted()?.iter().map(EngineKey).collect(),
        priorities: priority_message::read_loads(from.get_priorities()?)?,
        accounts: read_uses(from)?,
        is_store_lost: from.get_is_store_lost(),
    })
}
