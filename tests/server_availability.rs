//! Servers that state in responses that they are leaving or want a backoff: parsing, tracking and server selection.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{
            BackendFailure, BackendInfo, BackendRegistry, BackoffSignal, LeavingSignal,
            LimitSignal, MAX_BACKOFF, PlainChoice, ReportedLimit, RotationWait, SendConstraints,
            ServerLimit, ServerSignals,
        },
    },
    bolero::{TypeGenerator, check},
    std::{collections::BTreeMap, time::Duration},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn parse_leaving(values: &[&str]) -> LeavingSignal {
    LeavingSignal::parse(values.iter().map(|value| value.as_bytes()))
}

fn parse_backoff(values: &[&str]) -> BackoffSignal {
    BackoffSignal::parse(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn only_the_value_1_states_that_a_server_is_leaving() {
    for (values, signal) in [
        (&[][..], LeavingSignal::Absent),
        (&["0"], LeavingSignal::Absent),
        (&["1"], LeavingSignal::Leaving),
        (&[" 1 "], LeavingSignal::Leaving),
        (&["1", "1"], LeavingSignal::Leaving),
        (&["0", "1"], LeavingSignal::Invalid),
        (&["1", "0"], LeavingSignal::Invalid),
        (&[""], LeavingSignal::Invalid),
        (&["true"], LeavingSignal::Invalid),
        (&["1, 1"], LeavingSignal::Invalid),
        (&["-1"], LeavingSignal::Invalid),
    ] {
        assert_eq!(parse_leaving(values), signal, "{values:?}");
    }
}

#[test]
fn invalid_backoffs_are_rejected() {
    let long = "9".repeat(1_000);
    for text in [
        "",
        " ",
        "-1",
        "soon",
        "nan",
        "inf",
        "1e3",
        "1, 2",
        "Thu, 03 Dec 2026 10:00:00 GMT",
        &long,
    ] {
        assert_eq!(parse_backoff(&[text]), BackoffSignal::Invalid, "{text:?}");
    }
    assert_eq!(parse_backoff(&[]), BackoffSignal::Absent);
    assert_eq!(parse_backoff(&["1", "1"]), BackoffSignal::Invalid);
    assert_eq!(
        parse_backoff(&["2.5"]),
        BackoffSignal::Backoff(millis(2_500))
    );
}

#[test]
fn a_huge_backoff_is_limited() {
    let signal = parse_backoff(&["1000000000"]);
    assert_eq!(signal, BackoffSignal::Backoff(MAX_BACKOFF));
    let mut book = BackendRegistry::default();
    let server = backend("a", "z", None);
    book.set_backends(vec![server.clone()]);
    book.availability
        .record(&server.run(), &signals(false, Some(signal)), millis(0));
    let before = MAX_BACKOFF - millis(1);
    assert_eq!(choose(&book, before), PlainChoice::NoneLeft);
    assert_eq!(choose(&book, MAX_BACKOFF), PlainChoice::Send(server));
}

fn signals(is_leaving: bool, backoff: Option<BackoffSignal>) -> ServerSignals {
    ServerSignals {
        limit: LimitSignal::Absent,
        leaving: match is_leaving {
            true => LeavingSignal::Leaving,
            false => LeavingSignal::Absent,
        },
        backoff: backoff.unwrap_or_default(),
    }
}

fn backoff_of(time: u64) -> Option<BackoffSignal> {
    Some(BackoffSignal::Backoff(millis(time)))
}

fn choose(book: &BackendRegistry, now: Duration) -> PlainChoice {
    book.choose_plain("one", "z", &[], SendConstraints::default(), now)
}

#[test]
fn the_latest_end_of_overlapping_backoffs_applies() {
    let mut book = BackendRegistry::default();
    let server = backend("a", "z", None);
    book.set_backends(vec![server.clone()]);
    let run = server.run();
    book.availability
        .record(&run, &signals(false, backoff_of(3_000)), millis(0));
    book.availability
        .record(&run, &signals(false, backoff_of(500)), millis(100));
    let wait = book.rotation_wait("one", None, "z", millis(600));
    assert_eq!(wait, Some(RotationWait::Until(millis(2_400))));
    assert_eq!(book.rotation_wait("one", None, "z", millis(3_000)), None);
}

#[test]
fn a_backoff_counts_as_no_failure() {
    let mut book = BackendRegistry::default();
    let server = backend("a", "z", None);
    book.set_backends(vec![server.clone()]);
    for index in 0..20 {
        let signal = signals(false, backoff_of(100));
        book.availability
            .record(&server.run(), &signal, millis(index * 10));
    }
    assert!(!book.view("a").unwrap().is_ejected(millis(200)));
    assert_eq!(choose(&book, millis(290)), PlainChoice::Send(server));
}

#[test]
fn load_ramps_up_after_a_backoff() {
    let mut book = BackendRegistry::default();
    let [back, other] = ["a", "b"].map(|id| backend(id, "z", None));
    book.set_backends(vec![back.clone(), other.clone()]);
    book.availability
        .record(&back.run(), &signals(false, backoff_of(1_000)), millis(0));
    book.call_started("b", false, millis(1_000));
    assert_eq!(choose(&book, millis(1_001)), PlainChoice::Send(other));
    assert_eq!(choose(&book, millis(1_990)), PlainChoice::Send(back));
}

#[test]
fn a_request_with_reserved_memory_may_be_sent_shortly_after_the_server_started_leaving() {
    let mut book = BackendRegistry::default();
    let server = backend("a", "z", Some(EngineRole::Decode));
    book.set_backends(vec![server.clone()]);
    book.availability
        .record(&server.run(), &signals(true, None), millis(1_000));
    let reserved = Some(millis(900));
    assert!(book.may_send(&server, reserved, millis(1_200)));
    assert!(!book.may_send(&server, reserved, millis(1_400)));
    assert!(!book.may_send(&server, Some(millis(1_100)), millis(1_200)));
    assert!(!book.may_send(&server, None, millis(1_001)));
}

#[test]
fn a_restarted_server_is_no_longer_leaving() {
    let mut book = BackendRegistry::default();
    let before = BackendInfo {
        born: 5,
        ..backend("a", "z", None)
    };
    book.set_backends(vec![before.clone()]);
    book.availability
        .record(&before.run(), &signals(true, None), millis(0));
    assert_eq!(choose(&book, millis(1)), PlainChoice::NoneLeft);
    let after = BackendInfo { born: 9, ..before };
    book.set_backends(vec![after.clone()]);
    assert_eq!(choose(&book, millis(2)), PlainChoice::Send(after));
}

#[test]
fn a_run_that_is_unlisted_and_listed_again_is_still_leaving() {
    let mut book = BackendRegistry::default();
    let server = BackendInfo {
        born: 5,
        ..backend("a", "z", None)
    };
    book.set_backends(vec![server.clone()]);
    book.availability
        .record(&server.run(), &signals(true, None), millis(0));
    book.set_backends(Vec::new());
    book.evict_availability(millis(20_000));
    book.set_backends(vec![server]);
    assert_eq!(choose(&book, millis(40_000)), PlainChoice::NoneLeft);
}

#[test]
fn entries_of_unlisted_servers_are_evicted() {
    let mut book = BackendRegistry::default();
    for number in 0..1_000 {
        let server = backend(&format!("s-{number}"), "z", None);
        book.availability
            .record(&server.run(), &signals(true, backoff_of(50)), millis(0));
    }
    book.evict_availability(Duration::from_secs(3_600));
    assert!(book.availability.is_empty());
}

#[test]
fn no_permit_is_requested_for_a_leaving_or_backing_off_server() {
    for signals in [signals(true, None), signals(false, backoff_of(500))] {
        let mut book = BackendRegistry::default();
        let server = backend("a", "z", None);
        book.set_backends(vec![server.clone()]);
        let limit = ReportedLimit::from_age(ServerLimit::new(3.0), millis(0), millis(0));
        book.limits.update(server.key(), limit, millis(0));
        book.availability.record(&server.run(), &signals, millis(0));
        assert_eq!(choose(&book, millis(1)), PlainChoice::NoneLeft);
        assert!(book.without_permit("one", 0, millis(1)).is_empty());
    }
}

/// A random event for a book of five servers.
#[derive(Debug, Clone, TypeGenerator)]
enum BookEvent {
    Advance(u16),
    Signals {
        server: u8,
        is_leaving: bool,
        backoff: Option<u16>,
    },
    // Bit masks of the listed servers, and of those that are listed as leaving.
    Listed(u8, u8),
    Restarts(u8),
    Fails(u8),
    Answers(u8),
    Rejects(u8),
    Declines(u8),
    Evicts,
    // Memory is reserved at the best decode engine. After `before` milliseconds the engine states something, and after
    // another `after` milliseconds the decode request is to be sent.
    Decodes {
        before: u8,
        is_leaving: bool,
        backoff: Option<u16>,
        after: u16,
    },
}

const SERVERS: usize = 5;

/// The expected state of one run.
#[derive(Debug, Clone, Copy, Default)]
struct ExpectedState {
    leaving_since: Option<u64>,
    // Start and end.
    backoff: Option<(u64, u64)>,
}

/// A book, and the model that it is compared with.
struct CheckedBook {
    book: BackendRegistry,
    now: u64,
    born: [u64; SERVERS],
    listed: (u8, u8),
    expected: BTreeMap<(usize, u64), ExpectedState>,
}

impl CheckedBook {
    fn new() -> Self {
        let mut checked = Self {
            book: BackendRegistry::default(),
            now: 1,
            born: [1; SERVERS],
            listed: (31, 0),
            expected: BTreeMap::new(),
        };
        checked.list();
        checked
    }

    // Three plain servers, a prefill engine and a decode engine, all of the same service.
    fn info(&self, index: usize) -> BackendInfo {
        let role = [
            None,
            None,
            None,
            Some(EngineRole::Prefill),
            Some(EngineRole::Decode),
        ][index];
        BackendInfo {
            born: self.born[index],
            leaving: self.listed.1 >> index & 1 == 1,
            ..backend(&format!("s-{index}"), "z", role)
        }
    }

    fn list(&mut self) {
        let listed = (0..SERVERS).filter(|index| self.listed.0 >> index & 1 == 1);
        let infos = listed.map(|index| self.info(index)).collect();
        self.book.set_backends(infos);
    }

    fn state(&self, index: usize) -> ExpectedState {
        let state = self.expected.get(&(index, self.born[index]));
        state.copied().unwrap_or_default()
    }

    // Whether the list has the server, not as leaving.
    fn is_offered(&self, index: usize) -> bool {
        let (listed, leaving) = self.listed;
        listed >> index & 1 == 1 && leaving >> index & 1 == 0
    }

    fn is_unavailable(&self, index: usize) -> bool {
        let state = self.state(index);
        let backs_off = state.backoff.is_some_and(|(_, until)| self.now < until);
        state.leaving_since.is_some() || backs_off
    }

    fn apply(&mut self, event: &BookEvent) {
        let now = millis(self.now);
        let index = |server: &u8| usize::from(*server) % SERVERS;
        match event {
            BookEvent::Advance(time) => self.now += u64::from(*time % 2_000),
            BookEvent::Signals {
                server,
                is_leaving,
                backoff,
            } => self.signal(index(server), *is_leaving, *backoff),
            BookEvent::Listed(listed, leaving) => {
                self.listed = (*listed, *leaving);
                self.list();
            }
            BookEvent::Restarts(server) => {
                self.born[index(server)] += 1;
                self.list();
            }
            BookEvent::Fails(server) => {
                let id = self.info(index(server)).id;
                self.book.note_failure(&id, BackendFailure::Silent, now);
            }
            BookEvent::Answers(server) => {
                let id = self.info(index(server)).id;
                self.book.note_response(&id, true);
            }
            BookEvent::Rejects(server) => {
                let id = self.info(index(server)).id;
                self.book.note_rejection(&id, now);
            }
            BookEvent::Declines(server) => {
                let id = self.info(index(server)).id;
                self.book.note_declined(&id, now);
            }
            BookEvent::Evicts => drop(self.book.evict_availability(now)),
            BookEvent::Decodes {
                before,
                is_leaving,
                backoff,
                after,
            } => self.decode(
                u64::from(*before),
                (*is_leaving, *backoff),
                u64::from(*after % 2_000),
            ),
        }
        self.check();
    }

    fn signal(&mut self, index: usize, is_leaving: bool, backoff: Option<u16>) {
        let run = self.info(index).run();
        let time = backoff.map(u64::from);
        let signals = signals(is_leaving, time.and_then(backoff_of));
        self.book
            .availability
            .record(&run, &signals, millis(self.now));
        let now = self.now;
        let state = self.expected.entry((index, self.born[index])).or_default();
        if is_leaving {
            state.leaving_since.get_or_insert(now);
        }
        if let Some(time) = time.filter(|time| *time > 0) {
            state.backoff = match state.backoff {
                Some((since, until)) if now < until => Some((since, until.max(now + time))),
                _ => Some((now, now + time)),
            };
        }
    }

    fn decode(&mut self, before: u64, signals: (bool, Option<u16>), after: u64) {
        let engines = self
            .book
            .rank_decodes("one", "z", 100, None, millis(self.now));
        let Some(engine) = engines.first().cloned() else {
            return;
        };
        let reserved = self.now;
        let index = SERVERS - 1;
        self.now += before;
        self.signal(index, signals.0, signals.1);
        self.now += after;
        let may_send = self
            .book
            .may_send(&engine, Some(millis(reserved)), millis(self.now));
        let state = self.state(index);
        let leaving_for = state.leaving_since.map(|since| self.now - since);
        let backing_off = state.backoff.filter(|(_, until)| self.now < *until);
        let backing_off_for = backing_off.map(|(since, _)| self.now - since);
        let is_allowed = leaving_for.is_none_or(|time| time < 2_000)
            && backing_off_for.is_none_or(|time| time < 500);
        assert!(
            !may_send || is_allowed,
            "a request is sent later than users allow"
        );
    }

    fn check(&self) {
        let now = millis(self.now);
        for index in 0..SERVERS {
            let may_send = |info: &BackendInfo| self.book.may_send(info, None, now);
            let accepts = self.is_offered(index) && !self.is_unavailable(index);
            assert_eq!(may_send(&self.info(index)), accepts, "server {index}");
            let earlier_run = BackendInfo {
                born: self.born[index] - 1,
                ..self.info(index)
            };
            assert!(!may_send(&earlier_run), "an earlier run of server {index}");
        }
        let must_be_skipped = |info: &BackendInfo| {
            let index = (0..SERVERS).find(|index| self.info(*index).id == info.id);
            info.leaving || self.is_unavailable(index.expect("one of the five servers"))
        };
        let choices = [
            match choose(&self.book, now) {
                PlainChoice::Send(info) => Some(info),
                _ => None,
            },
            self.book
                .best_prefill("one", "z", &[], now)
                .map(|best| best.0),
        ];
        let decodes = self.book.rank_decodes("one", "z", 100, None, now);
        for chosen in choices.into_iter().flatten().chain(decodes) {
            assert!(!must_be_skipped(&chosen), "{chosen:?} at {now:?}");
        }
        if let Some(RotationWait::Until(wait)) = self.book.rotation_wait("one", None, "z", now) {
            let ends = (0..SERVERS).filter_map(|index| self.state(index).backoff);
            let ends: Vec<u64> = ends.map(|(_, until)| until).collect();
            let at = self.now + wait.as_millis() as u64;
            assert!(ends.contains(&at), "the wait ends with a backoff");
        }
    }
}

#[test]
fn servers_are_skipped_exactly_while_they_are_leaving_or_backing_off() {
    check!().with_type::<Vec<BookEvent>>().for_each(|events| {
        let mut checked = CheckedBook::new();
        for event in events.iter().take(200) {
            checked.apply(event);
        }
    });
}
