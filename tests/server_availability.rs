//! Servers that are leaving or asked for a backoff, by their answers: what is read, what is believed, who is chosen.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{
            BackendBook, BackendFailure, BackendInfo, BackoffMark, LeavingMark, LimitMark,
            LimitSaying, MAX_BACKOFF, PlainChoice, RotationWait, SendWish, ServerLimit,
            ServerMarks,
        },
    },
    bolero::{TypeGenerator, check},
    std::{collections::BTreeMap, time::Duration},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn read_leaving(values: &[&str]) -> LeavingMark {
    LeavingMark::read(values.iter().map(|value| value.as_bytes()))
}

fn read_backoff(values: &[&str]) -> BackoffMark {
    BackoffMark::read(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn only_a_one_says_that_a_server_is_leaving() {
    for (values, mark) in [
        (&[][..], LeavingMark::Unsaid),
        (&["0"], LeavingMark::Unsaid),
        (&["1"], LeavingMark::Leaving),
        (&[" 1 "], LeavingMark::Leaving),
        (&["1", "1"], LeavingMark::Leaving),
        (&["0", "1"], LeavingMark::Unreadable),
        (&["1", "0"], LeavingMark::Unreadable),
        (&[""], LeavingMark::Unreadable),
        (&["true"], LeavingMark::Unreadable),
        (&["1, 1"], LeavingMark::Unreadable),
        (&["-1"], LeavingMark::Unreadable),
    ] {
        assert_eq!(read_leaving(values), mark, "{values:?}");
    }
}

#[test]
fn what_is_no_number_of_seconds_asks_for_no_backoff() {
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
        assert_eq!(read_backoff(&[text]), BackoffMark::Unreadable, "{text:?}");
    }
    assert_eq!(read_backoff(&[]), BackoffMark::Unsaid);
    assert_eq!(read_backoff(&["1", "1"]), BackoffMark::Unreadable);
    assert_eq!(read_backoff(&["2.5"]), BackoffMark::Lasting(millis(2_500)));
}

#[test]
fn a_server_is_not_lost_for_good_by_one_huge_backoff() {
    let mark = read_backoff(&["1000000000"]);
    assert_eq!(mark, BackoffMark::Lasting(MAX_BACKOFF));
    let mut book = BackendBook::default();
    let server = backend("a", "z", None);
    book.set_backends(vec![server.clone()]);
    book.availability
        .note(&server.run(), &marks(false, Some(mark)), millis(0));
    let before = MAX_BACKOFF - millis(1);
    assert_eq!(choose(&book, before), PlainChoice::NoneLeft);
    assert_eq!(choose(&book, MAX_BACKOFF), PlainChoice::Send(server));
}

fn marks(is_leaving: bool, backoff: Option<BackoffMark>) -> ServerMarks {
    ServerMarks {
        limit: LimitMark::Unsaid,
        leaving: match is_leaving {
            true => LeavingMark::Leaving,
            false => LeavingMark::Unsaid,
        },
        backoff: backoff.unwrap_or_default(),
    }
}

fn lasting(time: u64) -> Option<BackoffMark> {
    Some(BackoffMark::Lasting(millis(time)))
}

fn choose(book: &BackendBook, now: Duration) -> PlainChoice {
    book.choose_plain("one", "z", &[], SendWish::default(), now)
}

#[test]
fn of_several_backoffs_the_last_to_end_holds() {
    let mut book = BackendBook::default();
    let server = backend("a", "z", None);
    book.set_backends(vec![server.clone()]);
    let run = server.run();
    book.availability
        .note(&run, &marks(false, lasting(3_000)), millis(0));
    book.availability
        .note(&run, &marks(false, lasting(500)), millis(100));
    let wait = book.rotation_wait("one", None, millis(600));
    assert_eq!(wait, Some(RotationWait::Until(millis(2_400))));
    assert_eq!(book.rotation_wait("one", None, millis(3_000)), None);
}

#[test]
fn a_backoff_counts_as_no_failure() {
    let mut book = BackendBook::default();
    let server = backend("a", "z", None);
    book.set_backends(vec![server.clone()]);
    for moment in 0..20 {
        let mark = marks(false, lasting(100));
        book.availability
            .note(&server.run(), &mark, millis(moment * 10));
    }
    assert!(!book.view("a").unwrap().is_out(millis(200)));
    assert_eq!(choose(&book, millis(290)), PlainChoice::Send(server));
}

#[test]
fn work_comes_back_step_by_step_after_a_backoff() {
    let mut book = BackendBook::default();
    let [back, other] = ["a", "b"].map(|id| backend(id, "z", None));
    book.set_backends(vec![back.clone(), other.clone()]);
    book.availability
        .note(&back.run(), &marks(false, lasting(1_000)), millis(0));
    book.call_began("b", false, millis(1_000));
    assert_eq!(choose(&book, millis(1_001)), PlainChoice::Send(other));
    assert_eq!(choose(&book, millis(1_990)), PlainChoice::Send(back));
}

#[test]
fn a_send_whose_memory_was_reserved_before_the_word_goes_out_for_a_moment() {
    let mut book = BackendBook::default();
    let server = backend("a", "z", Some(EngineRole::Decode));
    book.set_backends(vec![server.clone()]);
    book.availability
        .note(&server.run(), &marks(true, None), millis(1_000));
    let reserved = Some(millis(900));
    assert!(book.may_send(&server, reserved, millis(1_200)));
    assert!(!book.may_send(&server, reserved, millis(1_400)));
    assert!(!book.may_send(&server, Some(millis(1_100)), millis(1_200)));
    assert!(!book.may_send(&server, None, millis(1_001)));
}

#[test]
fn a_later_run_of_a_leaving_server_starts_clean() {
    let mut book = BackendBook::default();
    let before = BackendInfo {
        born: 5,
        ..backend("a", "z", None)
    };
    book.set_backends(vec![before.clone()]);
    book.availability
        .note(&before.run(), &marks(true, None), millis(0));
    assert_eq!(choose(&book, millis(1)), PlainChoice::NoneLeft);
    let after = BackendInfo { born: 9, ..before };
    book.set_backends(vec![after.clone()]);
    assert_eq!(choose(&book, millis(2)), PlainChoice::Send(after));
}

#[test]
fn an_entry_that_lapses_and_comes_back_is_the_same_leaving_run() {
    let mut book = BackendBook::default();
    let server = BackendInfo {
        born: 5,
        ..backend("a", "z", None)
    };
    book.set_backends(vec![server.clone()]);
    book.availability
        .note(&server.run(), &marks(true, None), millis(0));
    book.set_backends(Vec::new());
    book.evict_availability(millis(20_000));
    book.set_backends(vec![server]);
    assert_eq!(choose(&book, millis(40_000)), PlainChoice::NoneLeft);
}

#[test]
fn what_is_known_of_gone_servers_is_evicted() {
    let mut book = BackendBook::default();
    for number in 0..1_000 {
        let server = backend(&format!("s-{number}"), "z", None);
        book.availability
            .note(&server.run(), &marks(true, lasting(50)), millis(0));
    }
    book.evict_availability(Duration::from_secs(3_600));
    assert!(book.availability.is_empty());
}

#[test]
fn a_rate_limited_server_that_backs_off_or_leaves_is_asked_for_no_permit() {
    for said in [marks(true, None), marks(false, lasting(500))] {
        let mut book = BackendBook::default();
        let server = backend("a", "z", None);
        book.set_backends(vec![server.clone()]);
        let limit = LimitSaying::told(ServerLimit::new(3.0), millis(0), millis(0));
        book.limits.take(server.key(), limit, millis(0));
        book.availability.note(&server.run(), &said, millis(0));
        assert_eq!(choose(&book, millis(1)), PlainChoice::NoneLeft);
        assert!(book.without_permit("one", 0, millis(1)).is_empty());
    }
}

/// Something that happens to a book of five servers.
#[derive(Debug, Clone, TypeGenerator)]
enum BookMoment {
    Pass(u16),
    Says {
        server: u8,
        is_leaving: bool,
        backoff: Option<u16>,
    },
    // By bits: which are listed, which of them as leaving.
    Listed(u8, u8),
    StartsAnew(u8),
    Fails(u8),
    Answers(u8),
    TurnsAway(u8),
    Declines(u8),
    Evicts,
    // Memory is reserved at the best decode engine; after a time the engine says something, and after another one the
    // decode is to be sent.
    Decodes {
        before: u8,
        is_leaving: bool,
        backoff: Option<u16>,
        after: u16,
    },
}

const SERVERS: usize = 5;

/// What is true of one run.
#[derive(Debug, Clone, Copy, Default)]
struct TrueWord {
    leaving_since: Option<u64>,
    // Since when, until when.
    backoff: Option<(u64, u64)>,
}

/// A book, and what it should hold.
struct CheckedBook {
    book: BackendBook,
    now: u64,
    born: [u64; SERVERS],
    listed: (u8, u8),
    words: BTreeMap<(usize, u64), TrueWord>,
}

impl CheckedBook {
    fn new() -> Self {
        let mut checked = Self {
            book: BackendBook::default(),
            now: 1,
            born: [1; SERVERS],
            listed: (31, 0),
            words: BTreeMap::new(),
        };
        checked.list();
        checked
    }

    // Three plain servers, then a prefill and a decode engine: all of one service.
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

    fn word(&self, index: usize) -> TrueWord {
        let word = self.words.get(&(index, self.born[index]));
        word.copied().unwrap_or_default()
    }

    fn is_out(&self, index: usize) -> bool {
        let word = self.word(index);
        let backs_off = word.backoff.is_some_and(|(_, until)| self.now < until);
        word.leaving_since.is_some() || backs_off
    }

    fn happen(&mut self, moment: &BookMoment) {
        let now = millis(self.now);
        let index = |server: &u8| usize::from(*server) % SERVERS;
        match moment {
            BookMoment::Pass(time) => self.now += u64::from(*time % 2_000),
            BookMoment::Says {
                server,
                is_leaving,
                backoff,
            } => self.say(index(server), *is_leaving, *backoff),
            BookMoment::Listed(listed, leaving) => {
                self.listed = (*listed, *leaving);
                self.list();
            }
            BookMoment::StartsAnew(server) => {
                self.born[index(server)] += 1;
                self.list();
            }
            BookMoment::Fails(server) => {
                let id = self.info(index(server)).id;
                self.book.failed(&id, BackendFailure::Silent, now);
            }
            BookMoment::Answers(server) => {
                let id = self.info(index(server)).id;
                self.book.answered(&id, true);
            }
            BookMoment::TurnsAway(server) => {
                let id = self.info(index(server)).id;
                self.book.turned_away(&id, now);
            }
            BookMoment::Declines(server) => {
                let id = self.info(index(server)).id;
                self.book.declined(&id, now);
            }
            BookMoment::Evicts => drop(self.book.evict_availability(now)),
            BookMoment::Decodes {
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

    fn say(&mut self, index: usize, is_leaving: bool, backoff: Option<u16>) {
        let run = self.info(index).run();
        let time = backoff.map(u64::from);
        let said = marks(is_leaving, time.and_then(lasting));
        self.book.availability.note(&run, &said, millis(self.now));
        let now = self.now;
        let word = self.words.entry((index, self.born[index])).or_default();
        if is_leaving {
            word.leaving_since.get_or_insert(now);
        }
        if let Some(time) = time.filter(|time| *time > 0) {
            word.backoff = match word.backoff {
                Some((since, until)) if now < until => Some((since, until.max(now + time))),
                _ => Some((now, now + time)),
            };
        }
    }

    fn decode(&mut self, before: u64, said: (bool, Option<u16>), after: u64) {
        let engines = self
            .book
            .rank_decodes("one", "z", 100, None, millis(self.now));
        let Some(engine) = engines.first().cloned() else {
            return;
        };
        let reserved = self.now;
        let index = SERVERS - 1;
        self.now += before;
        self.say(index, said.0, said.1);
        self.now += after;
        let goes_out = self
            .book
            .may_send(&engine, Some(millis(reserved)), millis(self.now));
        let word = self.word(index);
        let leaving_for = word.leaving_since.map(|since| self.now - since);
        let backing_off = word.backoff.filter(|(_, until)| self.now < *until);
        let backing_off_for = backing_off.map(|(since, _)| self.now - since);
        let is_allowed = leaving_for.is_none_or(|time| time < 2_000)
            && backing_off_for.is_none_or(|time| time < 500);
        assert!(!goes_out || is_allowed, "a send that users would count");
    }

    fn check(&self) {
        let now = millis(self.now);
        for index in 0..SERVERS {
            let may_send = self.book.may_send(&self.info(index), None, now);
            assert_eq!(may_send, !self.is_out(index), "server {index}");
        }
        let is_wrong = |info: &BackendInfo| {
            let index = (0..SERVERS).find(|index| self.info(*index).id == info.id);
            info.leaving || self.is_out(index.expect("one of them"))
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
            assert!(!is_wrong(&chosen), "{chosen:?} at {now:?}");
        }
        if let Some(RotationWait::Until(wait)) = self.book.rotation_wait("one", None, now) {
            let ends = (0..SERVERS).filter_map(|index| self.word(index).backoff);
            let ends: Vec<u64> = ends.map(|(_, until)| until).collect();
            let at = self.now + wait.as_millis() as u64;
            assert!(ends.contains(&at), "a wait for the end of a backoff");
        }
    }
}

#[test]
fn no_choice_and_no_send_takes_a_server_that_leaves_or_backs_off_and_none_is_kept_out_longer() {
    check!().with_type::<Vec<BookMoment>>().for_each(|moments| {
        let mut checked = CheckedBook::new();
        for moment in moments.iter().take(200) {
            checked.happen(moment);
        }
    });
}
