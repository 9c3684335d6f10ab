//! Which requests are held to end their servers, by what hosts saw and told each other.

use {
    bayplank::relay::{
        CachePosition, CrashBook, CrashChange, CrashJudgement, CrashMark, EngineKey, MarkSource,
        RequestDigest,
    },
    bolero::check,
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

const FATAL: RequestDigest = RequestDigest(7);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn run(number: u32) -> EngineKey {
    EngineKey(number)
}

fn book_with_ends(ends: u32, now: Duration) -> CrashBook {
    let mut book = CrashBook::new(1);
    for number in 0..ends {
        book.note_end(FATAL, run(number), now);
    }
    book
}

fn is_fatal(book: &CrashBook, now: Duration) -> bool {
    let judgement = book.judge(FATAL, now);
    matches!(
        judgement,
        CrashJudgement::Fatal(_) | CrashJudgement::TrialDue
    )
}

// All that a book would tell anybody.
fn all_marks(book: &CrashBook, now: Duration) -> Vec<CrashMark> {
    let mut marks = book.news_since(CachePosition::default(), now).marks;
    marks.extend(book.reported_since(Some(0), now));
    marks
}

#[test]
fn three_ended_servers_make_a_request_fatal_and_two_do_not() {
    let now = seconds(10);
    for (ends, judgement) in [
        (0, CrashJudgement::Harmless),
        (1, CrashJudgement::Suspected(1)),
        (2, CrashJudgement::Suspected(2)),
        (3, CrashJudgement::Fatal(seconds(40))),
    ] {
        assert_eq!(book_with_ends(ends, now).judge(FATAL, now), judgement);
    }
}

#[test]
fn the_change_is_told_once() {
    let mut book = book_with_ends(2, seconds(1));
    let third = book.note_end(FATAL, run(2), seconds(2));
    assert_eq!(third, Some(CrashChange::Judged));
    assert_eq!(book.note_end(FATAL, run(3), seconds(2)), None);
    let good = book.note_good_run(FATAL, seconds(3));
    assert_eq!(good, Some(CrashChange::Cleared));
}

#[test]
fn a_server_run_counts_once_whoever_saw_it_end() {
    let now = seconds(10);
    let mut book = book_with_ends(2, now);
    for host in 2..9 {
        let mut other = CrashBook::new(host);
        other.note_end(FATAL, run(0), now);
        other.note_end(FATAL, run(1), now);
        book.take(&all_marks(&other, now), MarkSource::Reported, now);
    }
    assert_eq!(book.judge(FATAL, now), CrashJudgement::Suspected(2));
}

#[test]
fn a_run_that_ends_well_excuses_what_was_counted_and_nothing_after_it() {
    let now = seconds(10);
    let mut book = book_with_ends(3, now);
    book.note_good_run(FATAL, now);
    assert_eq!(book.judge(FATAL, now), CrashJudgement::Harmless);
    // Told again by one who has not heard of the good run.
    let late = all_marks(&book_with_ends(3, now), now);
    book.take(&late, MarkSource::Told, now);
    assert_eq!(book.judge(FATAL, now), CrashJudgement::Harmless);
    book.note_end(FATAL, run(9), now);
    assert_eq!(book.judge(FATAL, now), CrashJudgement::Suspected(1));
}

#[test]
fn nobody_is_refused_for_longer_than_a_minute_without_a_trial() {
    let mut book = book_with_ends(3, seconds(10));
    let judged = |book: &CrashBook, at: u64| book.judge(FATAL, seconds(at));
    assert_eq!(judged(&book, 49), CrashJudgement::Fatal(seconds(1)));
    assert_eq!(judged(&book, 50), CrashJudgement::TrialDue);
    assert!(book.grant_trial(FATAL, seconds(52)));
    assert!(!book.grant_trial(FATAL, seconds(52)), "one trial");
    assert!(matches!(judged(&book, 52), CrashJudgement::Fatal(_)));
    // It fails by chance, and there is another one within the minute.
    book.note_end(FATAL, run(3), seconds(53));
    assert_eq!(judged(&book, 65), CrashJudgement::TrialDue);
    assert!(book.grant_trial(FATAL, seconds(65)));
    assert_eq!(
        book.note_good_run(FATAL, seconds(66)),
        Some(CrashChange::Cleared)
    );
}

#[test]
fn marks_are_told_only_where_they_matter() {
    let now = seconds(10);
    let mut book = CrashBook::new(3);
    for innocent in 100..120 {
        book.note_end(RequestDigest(innocent), run(1), now);
    }
    let news = book.news_since(CachePosition::default(), now);
    assert!(news.marks.is_empty(), "one end is nobody's affair");
    assert_eq!(book.reported_since(None, now).len(), 20);
    book.note_end(RequestDigest(100), run(2), now);
    let next = book.news_since(news.place, now);
    assert_eq!(next.marks.len(), 1);
    assert!(book.news_since(next.place, now).marks.is_empty());
    book.note_good_run(RequestDigest(100), now);
    assert_eq!(book.news_since(next.place, now).marks.len(), 1);
    let told_late = book.reported_since(None, now + seconds(31));
    assert!(told_late.is_empty(), "whoever added up before has told it");
}

#[test]
fn what_is_told_around_grows_neither_older_nor_newer() {
    // Forth and back a thousand times, each time some milliseconds later.
    let mut books = [book_with_ends(3, seconds(10)), CrashBook::new(2)];
    let mut now = seconds(10);
    let mut changes = 0;
    for turn in 0..1_000 {
        let marks = all_marks(&books[turn % 2], now);
        now += Duration::from_micros(3_700);
        let before = books[(turn + 1) % 2].place();
        books[(turn + 1) % 2].take(&marks, MarkSource::Reported, now);
        changes += u32::from(books[(turn + 1) % 2].place() != before);
    }
    assert_eq!(changes, 1);
}

#[test]
fn made_up_requests_push_out_none_that_is_fatal() {
    let mut book = book_with_ends(3, seconds(10));
    for number in 1_000..5_000 {
        let now = seconds(10) + Duration::from_millis(number as u64);
        book.note_end(RequestDigest(number), run(number as u32), now);
    }
    assert!(is_fatal(&book, seconds(20)));
    assert_eq!(book.len(), 512);
}

#[test]
fn a_request_is_forgotten_half_an_hour_after_it_came_last() {
    let mut book = book_with_ends(3, seconds(10));
    for minute in 1..=120 {
        book.note_seen(FATAL, seconds(10 + minute * 60));
    }
    assert!(is_fatal(&book, seconds(7_300)), "it kept coming");
    let later = seconds(7_300 + 1_800);
    book.note_end(RequestDigest(8), run(1), later);
    assert!(!is_fatal(&book, later));
}

// What hosts do in the property below.
fn play(books: &mut [CrashBook], steps: &[(u8, u8, u8)], now: Duration) {
    let mut letters: Vec<Vec<CrashMark>> = Vec::new();
    for (step, at, what) in steps {
        let at = usize::from(*at) % books.len();
        let digest = RequestDigest(u128::from(what % 3));
        match step % 6 {
            0 | 1 => {
                books[at].note_end(digest, run(u32::from(what / 3 % 5)), now);
            }
            2 => {
                books[at].note_good_run(digest, now);
            }
            3 => letters.push(all_marks(&books[at], now)),
            // Heard twice, late and out of order.
            4 if !letters.is_empty() => {
                let letter = &letters[usize::from(*what) % letters.len()];
                books[at].take(letter, MarkSource::Reported, now);
            }
            4 => {}
            // One that starts anew is told what another one knows.
            _ => {
                let told = all_marks(&books[(at + 1) % books.len()], now);
                books[at] = CrashBook::new(u64::from(*what) + 100);
                books[at].take(&told, MarkSource::Told, now);
            }
        }
    }
}

#[test]
fn hosts_that_heard_the_same_come_to_the_same_judgement() {
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|steps: &Vec<(u8, u8, u8)>| {
            let now = seconds(10);
            let mut books: Vec<CrashBook> = (1..=4).map(CrashBook::new).collect();
            play(&mut books, steps, now);
            // All hear all, in opposite orders.
            for _ in 0..2 {
                for (from, to) in (0..4).flat_map(|from| (0..4).rev().map(move |to| (from, to))) {
                    let marks = all_marks(&books[from], now);
                    books[to].take(&marks, MarkSource::Reported, now);
                }
            }
            for digest in (0..3).map(RequestDigest) {
                let judged: Vec<bool> = books
                    .iter()
                    .map(|book| matches!(book.judge(digest, now), CrashJudgement::Fatal(_)))
                    .collect();
                assert!(judged.iter().all(|fatal| *fatal == judged[0]), "{judged:?}");
            }
        });
}

#[test]
fn no_more_than_three_sends_follow_a_judgement_known_everywhere() {
    // Seven hosts, a copy each second at one of them for two hours; each that is sent ends a server.
    let mut books: Vec<CrashBook> = (1..=7).map(CrashBook::new).collect();
    let first = book_with_ends(3, seconds(10));
    let marks = all_marks(&first, seconds(10));
    for book in &mut books {
        book.take(&marks, MarkSource::Told, seconds(10));
    }
    let mut sends = 0;
    for second in 11..7_200_u64 {
        let now = seconds(second);
        let at = (second * 5 % 7) as usize;
        books[at].note_seen(FATAL, now);
        let is_sent = match books[at].judge(FATAL, now) {
            CrashJudgement::Fatal(_) => false,
            // All ask the same host.
            CrashJudgement::TrialDue => books[3].grant_trial(FATAL, now),
            CrashJudgement::Harmless | CrashJudgement::Suspected(_) => true,
        };
        if is_sent {
            sends += 1;
            books[at].note_end(FATAL, run(100 + sends), now);
        }
        let told: Vec<CrashMark> = books.iter().flat_map(|book| all_marks(book, now)).collect();
        for book in &mut books {
            book.take(&told, MarkSource::Told, now);
        }
    }
    assert!(sends <= 3, "{sends} sends");
}

#[test]
fn requests_are_told_apart_by_account_path_and_body() {
    let all = [
        RequestDigest::of("", "/a/1", b"x"),
        RequestDigest::of("a", "/a/1", b"x"),
        RequestDigest::of("b", "/a/1", b"x"),
        RequestDigest::of("", "/a/1?k=1", b"x"),
        RequestDigest::of("", "/a/1", b"y"),
        RequestDigest::of("", "/a/1x", b""),
        RequestDigest::of("", "/a/", b"1x"),
        RequestDigest::of("/a", "/1", b"x"),
    ];
    for (place, digest) in all.iter().enumerate() {
        assert!(!all[place + 1..].contains(digest), "number {place}");
    }
    assert_eq!(all[0], RequestDigest::of("", "/a/1", b"x"));
}

// Processor time of this thread: other processes on the machine do not count.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    Duration::from(time.expect("a clock of the thread"))
}

#[test]
fn a_large_body_is_hashed_quickly() {
    let body = vec![b'x'; 64 << 10];
    let mut times: Vec<Duration> = (0..101)
        .map(|_| {
            let began = thread_time();
            std::hint::black_box(RequestDigest::of("account", "/path", &body));
            thread_time() - began
        })
        .collect();
    times.sort();
    println!("64 KiB are summed up in {:?}", times[50]);
    // Code that is not optimised takes some forty times as long.
    let bound = match cfg!(debug_assertions) {
        true => Duration::from_millis(10),
        false => Duration::from_micros(50),
    };
    assert!(times[50] < bound, "{:?}", times[50]);
}
