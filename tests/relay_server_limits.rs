//! Limits that backend servers name: what is read as one, and what is believed.

use {
    bayplank::relay::{
        CachePosition, EngineKey, LimitBook, LimitMark, LimitSaying, LimitUpdates, MarkSource,
        PastTime, PermitAllocator, PermitGrant, PermitRequest, PermitState, ServerLimit,
    },
    bolero::check,
    std::time::Duration,
};

const SERVER: EngineKey = EngineKey(7);

const NOW: Duration = Duration::from_millis(40);

fn read(values: &[&str]) -> LimitMark {
    LimitMark::read(values.iter().map(|value| value.as_bytes()))
}

fn named(limit: f64) -> LimitMark {
    LimitMark::Named(ServerLimit::new(limit).unwrap())
}

#[test]
fn decimal_numbers_are_limits() {
    for (text, limit) in [
        ("3", 3.0),
        ("1.9", 1.9),
        ("0", 0.0),
        (" 0.01 ", 0.01),
        (".5", 0.5),
    ] {
        assert_eq!(read(&[text]), named(limit), "{text:?}");
    }
    assert_eq!(read(&[]), LimitMark::Unsaid);
}

#[test]
fn what_is_no_number_of_requests_is_as_if_not_said() {
    let long = "9".repeat(1_000);
    for text in [
        "", " ", "-1", "-0", "nan", "inf", "1e9", "3/s", "1,9", "1.2.3", ".", &long, "\u{663}",
    ] {
        assert_eq!(read(&[text]), LimitMark::Unreadable, "{text:?}");
    }
    assert_eq!(read(&["3", "3"]), LimitMark::Unreadable, "two values");
}

fn saying(limit: Option<f64>, said: u64) -> LimitSaying {
    LimitSaying {
        limit: limit.and_then(ServerLimit::new),
        said: PastTime::at(Duration::from_millis(said)),
    }
}

#[test]
fn an_older_answer_that_is_read_late_does_not_undo_a_newer_one() {
    let mut book = LimitBook::default();
    assert_eq!(book.take(SERVER, saying(Some(3.0), 20), NOW), Some(None));
    assert_eq!(book.take(SERVER, saying(None, 10), NOW), None);
    assert_eq!(book.take(SERVER, saying(Some(9.0), 15), NOW), None);
    assert_eq!(book.limit(SERVER), ServerLimit::new(3.0));
    assert_eq!(
        book.take(SERVER, saying(None, 30), NOW),
        Some(ServerLimit::new(3.0))
    );
    assert!(book.is_empty());
}

#[test]
fn a_limit_that_nobody_hears_renewed_ends_after_a_minute() {
    let mut book = LimitBook::default();
    book.take(SERVER, saying(Some(3.0), 20), NOW);
    assert!(book.forget_old(Duration::from_secs(59)).is_empty());
    assert_eq!(book.forget_old(Duration::from_secs(61)), [SERVER]);
    assert!(book.is_empty());
}

#[test]
fn a_limit_that_changes_with_each_answer_is_shown_once_a_second() {
    let mut book = LimitBook::default();
    let mut shown = 0;
    for at in (0..5_000).step_by(10) {
        let saying = saying(Some(at as f64), at);
        shown += usize::from(
            book.take(SERVER, saying, Duration::from_millis(at))
                .is_some(),
        );
    }
    assert_eq!(shown, 5);
}

fn ask(limit: f64, said: u64, wanted: u32, rank: u8) -> PermitRequest {
    PermitRequest {
        server: SERVER,
        saying: saying(Some(limit), said),
        wanted,
        rank,
    }
}

// Permits that an allocator hands out in a time to one that asks every so often.
fn dealt(
    allocator: &mut PermitAllocator,
    ask: PermitRequest,
    from: u64,
    until: u64,
    step: usize,
) -> u32 {
    let times = (from..until).step_by(step);
    let grants = times.map(|at| allocator.deal(&ask, Duration::from_millis(at)));
    grants.map(|grant| grant.permits).sum()
}

#[test]
fn a_desk_deals_out_what_the_server_takes() {
    for limit in [0.8_f64, 1.9, 3.0, 20.0, 400.0] {
        let mut allocator = PermitAllocator::default();
        let permits = dealt(&mut allocator, ask(limit, 1, 16, 0), 0, 10_000, 1);
        let share = f64::from(permits) / (limit * 10.0);
        assert!(
            (0.85..=1.15).contains(&share),
            "{permits} permits of {limit} a second"
        );
    }
}

#[test]
fn a_server_that_takes_next_to_nothing_is_neither_forgotten_nor_hammered() {
    for limit in [0.0, 0.01, 0.2] {
        let mut allocator = PermitAllocator::default();
        let permits = dealt(&mut allocator, ask(limit, 1, 16, 0), 0, 40_000, 10);
        assert!(
            (20..=25).contains(&permits),
            "{permits} permits in 40 s of {limit} a second"
        );
    }
}

#[test]
fn more_urgent_requests_get_the_turns_first() {
    let mut allocator = PermitAllocator::default();
    let (mut urgent, mut other) = (0, 0);
    for at in (0..20_000).step_by(20) {
        let now = Duration::from_millis(at);
        // Many that are less urgent come between any two that are urgent; these are four fifths of what the server takes.
        if at % 400 == 0 {
            urgent += allocator.deal(&ask(3.0, 1, 1, 0), now).permits;
        }
        other += allocator.deal(&ask(3.0, 1, 1, 2), now).permits;
    }
    assert!(urgent >= 45, "{urgent} of 50 urgent requests had a permit");
    assert!(
        urgent + other >= 51,
        "{other} less urgent ones had what was left"
    );
}

#[test]
fn those_who_get_no_turn_are_told_times_apart() {
    let mut allocator = PermitAllocator::default();
    let waits: Vec<Duration> = (0..6)
        .map(|_| allocator.deal(&ask(2.0, 1, 1, 0), NOW).wait)
        .filter(|wait| !wait.is_zero())
        .collect();
    assert!(waits.len() >= 5);
    for pair in waits.windows(2) {
        assert!(pair[1] >= pair[0] + Duration::from_millis(490), "{waits:?}");
    }
}

#[test]
fn callers_of_one_host_are_sent_into_turns_of_their_own() {
    let mut book = LimitBook::default();
    book.take(SERVER, saying(Some(2.0), 1), NOW);
    let wait = Duration::from_millis(300);
    let grant = PermitGrant {
        permits: 0,
        wait,
        saying: saying(Some(2.0), 1),
    };
    assert_eq!(book.permit(SERVER, 1, NOW), PermitState::Ask);
    book.take_grant(SERVER, 1, &grant, NOW);
    assert_eq!(book.permit(SERVER, 1, NOW), PermitState::Empty(wait));
    book.note_sent_away(SERVER);
    let next = wait + Duration::from_millis(500);
    assert_eq!(book.permit(SERVER, 1, NOW), PermitState::Empty(next));
    assert_eq!(
        book.permit(SERVER, 0, NOW),
        PermitState::Ask,
        "a more urgent one may have it"
    );
}

#[test]
fn a_turn_that_was_not_used_goes_to_the_next_request_and_then_lapses() {
    let mut book = LimitBook::default();
    book.take(SERVER, saying(Some(2.0), 1), NOW);
    book.give_back(SERVER, NOW);
    assert_eq!(book.permit(SERVER, 3, NOW), PermitState::Held);
    assert!(book.use_permit(SERVER, NOW));
    assert!(!book.use_permit(SERVER, NOW), "it is used once");
    book.give_back(SERVER, NOW);
    assert!(!book.use_permit(SERVER, NOW + Duration::from_millis(300)));
}

#[test]
fn a_keeper_hears_the_end_of_a_need_and_tells_it_on() {
    let mut allocator = PermitAllocator::default();
    allocator.deal(&ask(0.0, 5, 1, 0), NOW);
    let end = PermitRequest {
        saying: saying(None, 20),
        wanted: 0,
        ..ask(0.0, 5, 1, 0)
    };
    assert_eq!(allocator.deal(&end, NOW).permits, 0);
    let grant = allocator.deal(&ask(0.0, 10, 4, 0), NOW);
    assert_eq!(
        (grant.permits, grant.saying.limit),
        (4, None),
        "an older saying does not undo it"
    );
}

#[test]
fn what_was_dealt_out_at_a_higher_limit_is_not_made_up_for_at_a_lower_one() {
    let mut allocator = PermitAllocator::default();
    dealt(&mut allocator, ask(1_000.0, 1, 16, 0), 0, 5_000, 1);
    let permits = dealt(&mut allocator, ask(2.0, 6_000, 16, 0), 5_000, 15_000, 10);
    assert!((16..=22).contains(&permits), "{permits} permits in 10 s");
}

#[test]
fn only_the_beginning_and_the_end_of_a_need_are_told() {
    let mut news = LimitUpdates::new(3);
    let source = MarkSource::Reported;
    assert!(news.note(SERVER, saying(Some(3.0), 10), source, NOW));
    assert!(
        !news.note(SERVER, saying(Some(4.0), 20), source, NOW),
        "a number"
    );
    assert!(
        !news.note(SERVER, saying(None, 15), source, NOW),
        "said earlier"
    );
    let told = news.since(CachePosition::default(), NOW);
    assert_eq!(told.marks[0].limit, ServerLimit::new(4.0));
    assert!(news.since(told.place, NOW).marks.is_empty());
    assert!(news.note(SERVER, saying(None, 30), source, NOW));
    assert_eq!(news.since(told.place, NOW).marks[0].limit, None);
}

/// A moment in a fleet of five hosts, one of which allocates the permits.
#[derive(Debug, Clone, bolero::TypeGenerator)]
struct FleetMoment {
    // Time since the last one: milliseconds, or now and then long enough for permits to gather.
    gap: u8,
    host: u8,
    wanted: u8,
    is_urgent: bool,
    // How long the answer to a question takes, milliseconds, or that it is lost.
    delay: u8,
    is_lost: bool,
    // A permit is taken and no request is sent for it.
    is_given_back: bool,
    // The host is told, once more, something that was said before the need began.
    is_told: bool,
}

const FLEET_HOSTS: usize = 5;

struct BookFleet {
    now: u64,
    allocator: PermitAllocator,
    books: Vec<LimitBook>,
    answers: Vec<(u64, usize, u8, PermitGrant)>,
    // Permits that were used and not given back: when.
    sent: Vec<u64>,
}

impl BookFleet {
    fn new(limit: f64) -> Self {
        let mut books: Vec<LimitBook> = (0..FLEET_HOSTS)
            .map(|host| LimitBook::new(&format!("host-{host}")))
            .collect();
        for book in &mut books {
            book.take(SERVER, saying(Some(limit), 0), Duration::ZERO);
        }
        Self {
            now: 1,
            allocator: PermitAllocator::default(),
            books,
            answers: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn happen(&mut self, moment: &FleetMoment) {
        self.pass(match moment.gap {
            250.. => 20_000,
            gap => u64::from(gap % 64),
        });
        let now = Duration::from_millis(self.now);
        let host = usize::from(moment.host) % FLEET_HOSTS;
        let rank = u8::from(!moment.is_urgent);
        if moment.is_told {
            let age = Duration::from_millis(self.now + 1 + u64::from(moment.delay));
            let told = LimitSaying::told(None, age, now);
            self.books[host].take(SERVER, told, now);
        }
        if self.books[host].permit(SERVER, rank, now) == PermitState::Ask {
            self.ask(host, rank, moment);
        }
        let book = &mut self.books[host];
        if !book.use_permit(SERVER, now) {
            return;
        }
        match moment.is_given_back {
            true => book.give_back(SERVER, now),
            false => self.sent.push(self.now),
        }
    }

    fn ask(&mut self, host: usize, rank: u8, moment: &FleetMoment) {
        let now = Duration::from_millis(self.now);
        let ask = self.books[host]
            .ask(SERVER, rank, now)
            .expect("rate-limited");
        let ask = PermitRequest {
            wanted: ask.wanted.max(u32::from(moment.wanted % 16)),
            ..ask
        };
        let grant = self.allocator.deal(&ask, now);
        if !moment.is_lost {
            let at = self.now + u64::from(moment.delay % 80);
            self.answers.push((at, host, rank, grant));
        }
    }

    fn pass(&mut self, time: u64) {
        self.now += time;
        let now = Duration::from_millis(self.now);
        let due = |answer: &(u64, usize, u8, PermitGrant)| answer.0 <= self.now;
        let (due, later) = std::mem::take(&mut self.answers).into_iter().partition(due);
        self.answers = later;
        for (_, host, rank, grant) in due {
            self.books[host].take(SERVER, grant.saying, now);
            self.books[host].take_grant(SERVER, rank, &grant, now);
        }
    }

    fn most_in_window(&self) -> usize {
        let counts = self.sent.iter().map(|from| {
            let window = *from..*from + 4_000;
            self.sent.iter().filter(|at| window.contains(*at)).count()
        });
        counts.max().unwrap_or_default()
    }
}

#[test]
fn hosts_together_never_use_more_turns_than_the_server_allows() {
    check!()
        .with_type::<(u8, Vec<FleetMoment>)>()
        .for_each(|(limit, moments)| {
            let limit = [0.0, 0.3, 1.9, 7.0, 40.0][usize::from(*limit) % 5];
            let mut fleet = BookFleet::new(limit);
            // The same again and again: callers come all the time.
            for moment in moments.iter().cycle().take(1_500) {
                fleet.happen(moment);
            }
            let allowed = (1.5 * limit * 4.0 + 5.0) as usize;
            let most = fleet.most_in_window();
            assert!(most <= allowed, "{most} of {allowed} at {limit} a second");
        });
}
