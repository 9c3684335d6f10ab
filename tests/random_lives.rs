//! Randomised tests that combine several faults in one run and check the invariants of the state machines.
//!
//! `.cargo/config.toml` fixes the seed and the number of iterations; set `BOLERO_RANDOM_ITERATIONS` for a longer run.

use {
    bayplank::{
        control::{AcceptedConfig, ConfigKeeper, LeaseKeeper, LeaseWrite, SeenLease},
        engine::{
            CallFailure, CancelLedger, EngineRefusal, EngineRole, LoadReport, OpenCancel,
            PrefillReply, RefusalCause, StreamItem,
        },
        operation::{
            EngineAttempt, EventPosition, OperationTicket, Refusal, RefusalCode, RequestAction,
            RequestEnd, RequestEvent, RequestLimits, RequestStateMachine, RunVerdict,
        },
        peer::{BeatFlags, HostBeat, HostCard, Membership, PeerDigest, SilenceLimits},
    },
    bolero::check,
    faststr::FastStr,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

fn load() -> LoadReport {
    LoadReport {
        role: EngineRole::Prefill,
        models: Vec::new(),
        slots_total: 20,
        slots_used: 0,
        queued_tokens: 0,
        attempts: 0,
        leaving: false,
    }
}

fn reply() -> PrefillReply {
    PrefillReply {
        handle: FastStr::from_static_str("kv"),
        computed_tokens: 10,
        cached_tokens: 0,
        compute_ms: 1.0,
        kv_bytes: 1,
        load: load(),
    }
}

fn failure(kind: u8) -> CallFailure {
    let refused = |cause| CallFailure::refused(EngineRefusal { cause, load: None });
    match kind % 4 {
        0 => refused(RefusalCause::Full),
        1 => refused(RefusalCause::Expired),
        2 => CallFailure::unreachable("x"),
        _ => CallFailure::unanswered("x"),
    }
}

/// A request state machine, and what its actions showed to the engines and the caller.
struct RandomRequest {
    state: RequestStateMachine,
    attempt_count: u32,
    started: BTreeSet<FastStr>,
    cancelled: BTreeSet<FastStr>,
    // Attempts that were sent and not refused or found unreachable, so that they may have run.
    may_have_run: BTreeSet<FastStr>,
    emitted: u32,
    ends: Vec<RequestEnd>,
}

impl RandomRequest {
    fn random_event(&mut self, kind: u8, detail: u8) -> RequestEvent {
        let emitted = self.emitted;
        let text = FastStr::from_static_str("x");
        match kind % 14 {
            0 | 1 => {
                let (prefill, decode) =
                    (self.new_attempt("p", detail), self.new_attempt("d", detail));
                RequestEvent::Placed { prefill, decode }
            }
            2 => RequestEvent::DecodePlaced(self.new_attempt("d", detail)),
            3 => RequestEvent::PlaceRefused(Refusal::not_run(RefusalCode::Overloaded, "x")),
            4 | 5 => RequestEvent::PrefillDone(reply()),
            6 => RequestEvent::PrefillFailed(failure(detail)),
            7 => RequestEvent::DecodeFailed(failure(detail)),
            8 => RequestEvent::ImportStalled,
            9 => RequestEvent::Item(StreamItem::Imported { load: None }),
            10 => RequestEvent::Item(StreamItem::Token {
                position: (emitted + u32::from(detail % 3)).saturating_sub(1),
                text,
            }),
            11 => RequestEvent::Item(StreamItem::Finished {
                tokens: emitted + u32::from(detail % 2),
                reason: text,
                load: None,
            }),
            12 => RequestEvent::StreamBroken,
            _ if detail.is_multiple_of(4) => RequestEvent::CallerGone,
            _ if detail % 4 == 1 => RequestEvent::DeadlinePassed,
            _ => RequestEvent::Item(StreamItem::Aborted { reason: text }),
        }
    }

    fn new_attempt(&mut self, role: &str, detail: u8) -> EngineAttempt {
        self.attempt_count += 1;
        EngineAttempt {
            engine: FastStr::from_string(format!("{role}{}", detail % 3)),
            attempt: FastStr::from_string(format!("run.{}", self.attempt_count)),
        }
    }

    fn step(&mut self, event: RequestEvent, now: Duration) {
        let is_not_run_failure = matches!(
            &event,
            RequestEvent::PrefillFailed(failure) | RequestEvent::DecodeFailed(failure)
                if failure.verdict == RunVerdict::NotRun
        );
        let open_before: BTreeSet<FastStr> = self.open_attempts();
        let actions = self.state.step(event, now);
        let open_after = self.open_attempts();
        // An attempt that is no longer open was cancelled, has ended, or was refused by the engine.
        let closed: Vec<FastStr> = open_before.difference(&open_after).cloned().collect();
        for action in actions {
            self.record(action);
        }
        for attempt in closed {
            let is_cancelled = self.cancelled.contains(&attempt);
            if is_not_run_failure && !is_cancelled {
                self.may_have_run.remove(&attempt);
            } else if self.state.has_ended() {
                let answered = matches!(self.ends.last(), Some(RequestEnd::Answered { .. }));
                assert!(
                    answered || is_cancelled,
                    "attempt {attempt} was neither answered nor cancelled"
                );
            }
        }
    }

    fn open_attempts(&self) -> BTreeSet<FastStr> {
        let open = self.state.open_attempts().iter();
        open.map(|open| open.attempt.clone()).collect()
    }

    fn record(&mut self, action: RequestAction) {
        match action {
            RequestAction::Prefill(target) | RequestAction::Decode { target, .. } => {
                assert!(self.ends.is_empty(), "no attempt starts after the end");
                assert!(
                    self.started.insert(target.attempt.clone()),
                    "each attempt starts once"
                );
                self.may_have_run.insert(target.attempt);
            }
            RequestAction::Cancel(target) => {
                self.cancelled.insert(target.attempt);
            }
            RequestAction::Emit { position, .. } => {
                assert_eq!(
                    position, self.emitted,
                    "tokens are emitted in order, without gaps or duplicates"
                );
                self.emitted += 1;
            }
            RequestAction::End(end) => self.ends.push(end),
            _ => {}
        }
    }
}

#[test]
fn request_invariants_hold_for_any_event_sequence() {
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|script| {
            let mut request = RandomRequest {
                state: RequestStateMachine::new(RequestLimits::default()),
                attempt_count: 0,
                started: BTreeSet::new(),
                cancelled: BTreeSet::new(),
                may_have_run: BTreeSet::new(),
                emitted: 0,
                ends: Vec::new(),
            };
            let mut now = Duration::ZERO;
            for (kind, detail, wait) in script {
                now += Duration::from_millis(u64::from(*wait) * 10);
                let event = request.random_event(*kind, *detail);
                request.step(event, now);
            }
            assert!(request.ends.len() <= 1, "a request ends at most once");
            if let Some(RequestEnd::Answered { tokens, .. }) = request.ends.first() {
                assert_eq!(*tokens, request.emitted, "the answer is complete");
            }
            if let Some(RequestEnd::Refused(refusal)) = request.ends.first()
                && refusal.verdict == RunVerdict::NotRun
            {
                assert!(
                    request.may_have_run.is_empty(),
                    "a not-run verdict with attempts that may have run"
                );
                assert_eq!(
                    request.emitted, 0,
                    "a not-run verdict after tokens were emitted"
                );
            }
        });
}

/// Simulates a store, hosts that compete for its lease, and their writes and responses in flight.
struct LeaseSimulation {
    store: SeenLease,
    // The version before the last write, for stale reads.
    previous: SeenLease,
    keepers: Vec<LeaseKeeper>,
    writes: Vec<(usize, LeaseWrite)>,
    responses: Vec<(usize, LeaseWrite, Option<u64>)>,
}

impl LeaseSimulation {
    fn new(hosts: usize) -> Self {
        let keepers = (0..hosts)
            .map(|host| {
                let name = FastStr::from_string(format!("h{host}"));
                LeaseKeeper::new(name, Duration::from_secs(10))
            })
            .collect();
        Self {
            store: SeenLease::default(),
            previous: SeenLease::default(),
            keepers,
            writes: Vec::new(),
            responses: Vec::new(),
        }
    }

    fn step(&mut self, kind: u8, host: usize, now: Duration) {
        match kind % 6 {
            0 | 1 => {
                let seen = self.store.clone();
                self.read(host, seen, now);
            }
            2 => {
                let seen = self.previous.clone();
                self.read(host, seen, now);
            }
            3 => {
                if let Some((host, write)) = self.writes.pop() {
                    let version = self.apply(&write);
                    self.responses.push((host, write, version));
                }
            }
            4 => {
                if let Some((host, write, version)) = self.responses.pop() {
                    match version {
                        Some(version) => {
                            self.keepers[host].written(&write, version, now);
                        }
                        None => self.keepers[host].lost(),
                    }
                }
            }
            // A response is lost.
            _ => drop(self.responses.pop()),
        }
    }

    // A host has at most one write in flight.
    fn read(&mut self, host: usize, seen: SeenLease, now: Duration) {
        let is_busy = self.writes.iter().any(|(writer, _)| *writer == host)
            || self.responses.iter().any(|(writer, _, _)| *writer == host);
        if !is_busy && let Some(write) = self.keepers[host].read(seen, now) {
            self.writes.push((host, write));
        }
    }

    fn apply(&mut self, write: &LeaseWrite) -> Option<u64> {
        if write.version != self.store.version {
            return None;
        }
        self.previous = self.store.clone();
        self.store.version += 1;
        self.store.spec = write.spec.clone();
        Some(self.store.version)
    }
}

#[test]
fn at_most_one_host_holds_the_lease() {
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|script| {
            let mut simulation = LeaseSimulation::new(3);
            let mut now = Duration::ZERO;
            let mut highest = 0;
            for (kind, host, wait) in script {
                now += Duration::from_millis(u64::from(*wait) * 40);
                simulation.step(*kind, usize::from(*host) % 3, now);
                let held: Vec<u64> = simulation
                    .keepers
                    .iter()
                    .filter_map(|keeper| Some(keeper.held(now)?.token))
                    .collect();
                assert!(held.len() <= 1, "several hosts hold the lease: {held:?}");
                if let Some(token) = held.first() {
                    assert!(*token >= highest, "fencing tokens never decrease");
                    highest = *token;
                }
            }
        });
}

#[test]
fn configuration_generation_never_decreases() {
    check!().with_type::<Vec<u8>>().for_each(|offers| {
        let mut keeper = ConfigKeeper::default();
        let mut highest = 0;
        for generation in offers {
            keeper.offer(AcceptedConfig {
                generation: u64::from(*generation),
                ..AcceptedConfig::default()
            });
            highest = highest.max(u64::from(*generation));
            assert_eq!(keeper.in_force().generation, highest);
        }
    });
}

fn card(incarnation: u64) -> HostCard {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    HostCard {
        incarnation,
        name: FastStr::from_string(format!("h{incarnation}")),
        zone: FastStr::from_static_str("z"),
        peers: address,
        callers: address,
    }
}

#[test]
fn hosts_are_live_only_while_their_heartbeat_advances() {
    let limits = SilenceLimits {
        suspect: Duration::from_secs(5),
        sweep: Duration::from_secs(8),
    };
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|script| {
            let mut members = Membership::new(card(0), limits);
            let mut last_heartbeats = [(0_u32, Duration::ZERO); 4];
            let mut now = Duration::ZERO;
            for (host, heartbeat, wait) in script {
                now += Duration::from_millis(u64::from(*wait) * 30);
                let host = usize::from(*host) % 4;
                let beat = HostBeat {
                    incarnation: host as u64 + 1,
                    heartbeat: u32::from(*heartbeat),
                    flags: BeatFlags::default(),
                };
                let digest = PeerDigest {
                    sender: card(host as u64 + 1),
                    beats: vec![beat],
                    generation: 0,
                    servers_version: 0,
                    leaving: Vec::new(),
                    silent: Vec::new(),
                    crashes: Vec::new(),
                };
                members.take(&digest, now);
                if beat.heartbeat > last_heartbeats[host].0 {
                    last_heartbeats[host] = (beat.heartbeat, now);
                }
                members.tick(now);
                let live: BTreeSet<u64> =
                    members.live().map(|(card, _)| card.incarnation).collect();
                for (index, (beat, at)) in last_heartbeats.iter().enumerate() {
                    let expected = *beat > 0 && now - *at < limits.suspect;
                    assert_eq!(live.contains(&(index as u64 + 1)), expected);
                }
            }
        });
}

#[test]
fn cancels_are_repeated_until_acknowledged() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|script| {
        let mut ledger = CancelLedger::default();
        let mut open: BTreeSet<u8> = BTreeSet::new();
        let mut in_flight: Vec<OpenCancel> = Vec::new();
        let mut now = Duration::ZERO;
        for (kind, detail) in script {
            now += Duration::from_millis(u64::from(*detail));
            match kind % 3 {
                0 => {
                    let attempt = FastStr::from_string(detail.to_string());
                    let engine = FastStr::from_static_str("e");
                    ledger.add(OpenCancel { engine, attempt }, now);
                    open.insert(*detail);
                }
                1 => in_flight.extend(ledger.take_due(now)),
                _ => {
                    if let Some(cancel) = in_flight.pop() {
                        match detail % 2 {
                            0 => ledger.failed(&cancel, now),
                            _ => {
                                let number: u8 =
                                    cancel.attempt.parse().expect("attempt names are numbers");
                                assert!(ledger.acknowledged(&cancel, now).is_some());
                                open.remove(&number);
                            }
                        }
                    }
                }
            }
            assert_eq!(ledger.len(), open.len());
        }
        // No cancel is lost: every unacknowledged cancel that is not in flight becomes due again.
        let later = now + Duration::from_secs(3);
        in_flight.extend(ledger.take_due(later));
        assert_eq!(in_flight.len(), open.len());
    });
}

#[test]
fn arbitrary_text_is_parsed_or_rejected() {
    check!().with_type::<String>().for_each(|text| {
        if let Ok(position) = text.parse::<EventPosition>() {
            assert_eq!(&position.to_string(), text);
        }
        if let Ok(ticket) = text.parse::<OperationTicket>() {
            let reparsed: OperationTicket = ticket
                .to_string()
                .parse()
                .expect("a displayed ticket parses");
            assert_eq!(reparsed, ticket);
        }
        let _ = bayplank::conf::HostSettings::parse("random", text);
        let style = bayplank::filter::CompletionStyle::Text;
        let _ = bayplank::filter::CompletionCall::read(style, text.as_bytes());
        let _ = serde_json::from_str::<bayplank::object::AnyObject>(text);
        let _ = serde_json::from_str::<StreamItem>(text);
    });
}
