//! Tells other hosts how the streams of this host began, and asks them for the streams that callers take up here.
//!
//! Each stream is told to one host of each of two zones while its service has several software versions; with one version
//! every host knows it. A host that takes a stream up asks a few hosts of each zone.

use {
    super::rpc::NewsClient,
    crate::{
        peer,
        relay::{
            critical_task,
            link::HostEntry,
            parts::{
                origins::{OriginAnswer, OriginAnswers},
                shared::RelayParts,
            },
            policy::{
                origin_hosts,
                stream_origins::{StreamKey, StreamRecord},
            },
        },
    },
    faststr::FastStr,
    futures::{FutureExt, StreamExt, stream::FuturesUnordered},
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// How long streams are collected before other hosts are told of them, in one message each.
const TELL_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of streams told at a time: when a second version appears, those that began before are told as well.
const TELL_BATCH: usize = 64;

/// Number of hosts that are told to keep a stream in the store.
const KEPT_COPIES: usize = 2;

/// Timeout of telling a host.
const TELL_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of asking a host: hosts are a millisecond apart, but some run slowly for a while. The caller waits meanwhile.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// How often old streams are evicted, and streams are told that were not when their service had one version only.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The side of the exchange that sends.
pub struct OriginService {
    parts: Rc<RelayParts>,
    client: Rc<NewsClient>,
}

impl OriginService {
    /// Starts telling other hosts, and lets the host's requests ask them.
    pub fn start(parts: Rc<RelayParts>, client: Rc<NewsClient>) {
        let service = Rc::new(Self {
            parts: parts.clone(),
            client,
        });
        critical_task::spawn_critical("stream origins", service.clone().run());
        let query = move |key, name| service.clone().ask(key, name).boxed_local();
        parts.origins.set_query(Rc::new(query));
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.parts.origins.untold.notified() => {
                    tokio::time::sleep(TELL_DELAY).await;
                }
                () = tokio::time::sleep(CHECK_INTERVAL) => self.parts.evict_origins(),
            }
            loop {
                let records = self.parts.take_untold_streams(TELL_BATCH);
                let is_last = records.len() < TELL_BATCH;
                self.tell(records);
                if is_last {
                    break;
                }
                tokio::time::sleep(TELL_DELAY).await;
            }
        }
    }

    // Tells the hosts of each stream, with one message for each host, and those that keep streams in the store.
    fn tell(self: &Rc<Self>, records: Vec<StreamRecord>) {
        if records.is_empty() {
            return;
        }
        self.keep(&records);
        let mut batches: BTreeMap<Vec<SocketAddr>, Vec<StreamRecord>> = BTreeMap::new();
        let cluster = self.parts.cluster.borrow();
        let settings = &self.parts.settings;
        for record in records {
            let told = origin_hosts::hosts_to_tell(
                cluster.hosts(),
                &settings.name,
                &settings.zone,
                record.key,
            );
            for hosts in told {
                let addresses = hosts.iter().map(|entry| entry.peers).collect();
                batches.entry(addresses).or_default().push(record.clone());
            }
        }
        for (hosts, records) in batches {
            tokio::task::spawn_local(self.clone().tell_first(hosts, records));
        }
    }

    fn keep(self: &Rc<Self>, records: &[StreamRecord]) {
        if self.parts.is_keeping_host() {
            self.parts.keep_streams(records);
            return;
        }
        let mut keeping = self.parts.other_keeping_hosts();
        // Each host begins with another one, so that they share the work.
        let own = &self.parts.settings.name;
        keeping.sort_by_key(|entry| peer::draw(&entry.name, own));
        let addresses: Vec<SocketAddr> = keeping.iter().map(|entry| entry.peers).collect();
        // Two of them: the other may not know yet that it keeps streams, or run an earlier program.
        for first in 0..addresses.len().min(KEPT_COPIES) {
            let mut told = addresses.clone();
            told.rotate_left(first);
            tokio::task::spawn_local(self.clone().tell_first(told, records.to_vec()));
        }
    }

    // Tells the first host that answers.
    async fn tell_first(self: Rc<Self>, hosts: Vec<SocketAddr>, records: Vec<StreamRecord>) {
        for address in hosts {
            self.parts.metrics.origins.told.inc_by(records.len() as u64);
            match self
                .client
                .tell_streams(address, &records, TELL_TIMEOUT)
                .await
            {
                Ok(()) => return,
                Err(error) => log::debug!("cannot tell the host at {address} of streams: {error}"),
            }
        }
    }

    // Asks all hosts at once; those that have not answered when one knows the stream are not waited for.
    async fn ask(self: Rc<Self>, key: StreamKey, service: FastStr) -> OriginAnswers {
        let hosts: Vec<HostEntry> = {
            let cluster = self.parts.cluster.borrow();
            let own = &self.parts.settings.name;
            let asked = origin_hosts::hosts_to_ask(cluster.hosts(), own, key);
            let mut asked: Vec<HostEntry> = asked.into_iter().cloned().collect();
            let keeping = self.parts.other_keeping_hosts();
            let is_new = |entry: &HostEntry| asked.iter().all(|known| known.name != entry.name);
            let keeping: Vec<HostEntry> = keeping.into_iter().filter(is_new).collect();
            asked.extend(keeping);
            asked
        };
        self.parts.metrics.origins.asked.inc_by(hosts.len() as u64);
        let asking = hosts
            .into_iter()
            .map(|entry| self.ask_host(entry, key, &service));
        let mut asking: FuturesUnordered<_> = asking.collect();
        let mut answers = OriginAnswers::default();
        // The hosts that may know it are not known themselves.
        if asking.is_empty() || !self.parts.cluster.borrow().hosts_position().is_known() {
            answers.silent += 1;
        }
        while let Some((name, answer)) = asking.next().await {
            let Some(answer) = answer else {
                answers.silent += 1;
                continue;
            };
            answers.answered += 1;
            answers.seen.merge(answer.seen);
            if let Some(record) = answer.record {
                answers.found = Some((record, name));
                break;
            }
        }
        answers
    }

    async fn ask_host(
        &self,
        entry: HostEntry,
        key: StreamKey,
        service: &str,
    ) -> (FastStr, Option<OriginAnswer>) {
        let asking = self
            .client
            .find_stream(entry.peers, key, service, ASK_TIMEOUT);
        let answer = match asking.await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("cannot ask host {} for a stream: {error}", entry.name);
                None
            }
        };
        (entry.name, answer)
    }
}
