//! Verdicts on requests that crash servers, from the crashes that hosts observed and exchanged.

use {
    bayplank::relay::{
        CachePosition, CrashReport, CrashSuspect, CrashTracker, CrashVerdict, EngineKey,
        FindingSource, PartDigest, RequestDigest, VerdictChange,
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

fn book_with_crashes(crashes: u32, now: Duration) -> CrashTracker {
    let mut book = CrashTracker::new(1);
    for number in 0..crashes {
        book.record_crash(FATAL, run(number), now);
    }
    book
}

fn is_fatal(book: &CrashTracker, now: Duration) -> bool {
    let judgement = book.verdict(FATAL, now);
    matches!(judgement, CrashVerdict::Fatal(_) | CrashVerdict::TrialDue)
}

// All records that a book would send to any host.
fn all_reports(book: &CrashTracker, now: Duration) -> Vec<CrashReport> {
    let mut reports = book.updates_since(CachePosition::default(), now).findings;
    reports.extend(book.reported_since(Some(0), now));
    reports
}

#[test]
fn a_request_is_fatal_after_three_crashes_and_not_after_two() {
    let now = seconds(10);
    for (crashes, verdict) in [
        (0, CrashVerdict::Harmless),
        (1, CrashVerdict::Suspected(1)),
        (2, CrashVerdict::Suspected(2)),
        (3, CrashVerdict::Fatal(seconds(40))),
    ] {
        assert_eq!(book_with_crashes(crashes, now).verdict(FATAL, now), verdict);
    }
}

#[test]
fn a_change_of_verdict_is_returned_once() {
    let mut book = book_with_crashes(2, seconds(1));
    let third = book.record_crash(FATAL, run(2), seconds(2));
    assert_eq!(third, [(FATAL.into(), VerdictChange::BecameFatal)]);
    assert_eq!(book.record_crash(FATAL, run(3), seconds(2)), []);
    let good = book.record_success(FATAL, seconds(3));
    assert_eq!(good, [(FATAL.into(), VerdictChange::NoLongerFatal)]);
}

#[test]
fn a_crashed_run_counts_once_however_many_hosts_saw_it() {
    let now = seconds(10);
    let mut book = book_with_crashes(2, now);
    for host in 2..9 {
        let mut other = CrashTracker::new(host);
        other.record_crash(FATAL, run(0), now);
        other.record_crash(FATAL, run(1), now);
        book.merge(&all_reports(&other, now), FindingSource::Reported, now);
    }
    assert_eq!(book.verdict(FATAL, now), CrashVerdict::Suspected(2));
}

#[test]
fn a_completed_request_excuses_earlier_crashes_and_no_later_ones() {
    let now = seconds(10);
    let mut book = book_with_crashes(3, now);
    book.record_success(FATAL, now);
    assert_eq!(book.verdict(FATAL, now), CrashVerdict::Harmless);
    // The same crashes from a host that does not know that the request completed.
    let late = all_reports(&book_with_crashes(3, now), now);
    book.merge(&late, FindingSource::Distributed, now);
    assert_eq!(book.verdict(FATAL, now), CrashVerdict::Harmless);
    book.record_crash(FATAL, run(9), now);
    assert_eq!(book.verdict(FATAL, now), CrashVerdict::Suspected(1));
}

#[test]
fn a_fatal_request_gets_a_trial_within_a_minute() {
    let mut book = book_with_crashes(3, seconds(10));
    let verdict = |book: &CrashTracker, at: u64| book.verdict(FATAL, seconds(at));
    assert_eq!(verdict(&book, 49), CrashVerdict::Fatal(seconds(1)));
    assert_eq!(verdict(&book, 50), CrashVerdict::TrialDue);
    assert!(book.grant_trial(FATAL, seconds(52)));
    assert!(!book.grant_trial(FATAL, seconds(52)), "one trial");
    assert!(matches!(verdict(&book, 52), CrashVerdict::Fatal(_)));
    // The trial fails by chance; a second one follows within the minute.
    book.record_crash(FATAL, run(3), seconds(53));
    assert_eq!(verdict(&book, 65), CrashVerdict::TrialDue);
    assert!(book.grant_trial(FATAL, seconds(65)));
    assert_eq!(
        book.record_success(FATAL, seconds(66)),
        [(FATAL.into(), VerdictChange::NoLongerFatal)]
    );
}

#[test]
fn a_single_crash_is_reported_only_to_aggregating_hosts() {
    let now = seconds(10);
    let mut book = CrashTracker::new(3);
    for digest in 100..120 {
        book.record_crash(RequestDigest(digest), run(1), now);
    }
    let updates = book.updates_since(CachePosition::default(), now);
    assert!(
        updates.findings.is_empty(),
        "a single crash is not sent to all hosts"
    );
    assert_eq!(book.reported_since(None, now).len(), 20);
    book.record_crash(RequestDigest(100), run(2), now);
    let next = book.updates_since(updates.position, now);
    assert_eq!(next.findings.len(), 1);
    assert!(book.updates_since(next.position, now).findings.is_empty());
    book.record_success(RequestDigest(100), now);
    assert_eq!(book.updates_since(next.position, now).findings.len(), 1);
    let late_report = book.reported_since(None, now + seconds(31));
    assert!(
        late_report.is_empty(),
        "the previous aggregator has distributed it"
    );
}

#[test]
fn repeated_exchange_changes_no_ages() {
    // The records go back and forth a thousand times, each time 3.7 ms later.
    let mut books = [book_with_crashes(3, seconds(10)), CrashTracker::new(2)];
    let mut now = seconds(10);
    let mut changes = 0;
    for turn in 0..1_000 {
        let reports = all_reports(&books[turn % 2], now);
        now += Duration::from_micros(3_700);
        let before = books[(turn + 1) % 2].position();
        books[(turn + 1) % 2].merge(&reports, FindingSource::Reported, now);
        changes += u32::from(books[(turn + 1) % 2].position() != before);
    }
    assert_eq!(changes, 1);
}

#[test]
fn a_flood_of_requests_evicts_no_fatal_one() {
    let mut book = book_with_crashes(3, seconds(10));
    for number in 1_000..5_000 {
        let now = seconds(10) + Duration::from_millis(number as u64);
        book.record_crash(RequestDigest(number), run(number as u32), now);
    }
    assert!(is_fatal(&book, seconds(20)));
    assert_eq!(book.len(), 512);
}

#[test]
fn a_record_expires_half_an_hour_after_its_request_was_last_seen() {
    let mut book = book_with_crashes(3, seconds(10));
    for minute in 1..=120 {
        book.record_seen(FATAL, seconds(10 + minute * 60));
    }
    assert!(
        is_fatal(&book, seconds(7_300)),
        "the request was seen every minute"
    );
    let later = seconds(7_300 + 1_800);
    book.record_crash(RequestDigest(8), run(1), later);
    assert!(!is_fatal(&book, later));
}

/// Requests and prompt parts of the property test below.
const SUSPECTS: [CrashSuspect; 5] = [
    CrashSuspect::Request(RequestDigest(0)),
    CrashSuspect::Request(RequestDigest(1)),
    CrashSuspect::PromptPart(PartDigest(0)),
    CrashSuspect::PromptPart(PartDigest(1)),
    CrashSuspect::PromptPart(PartDigest(2)),
];

// Applies random steps to the books of several hosts, for the property test below.
fn apply_steps(books: &mut [CrashTracker], steps: &[(u8, u8, u8)], now: Duration) {
    let mut messages: Vec<Vec<CrashReport>> = Vec::new();
    for (step, at, what) in steps {
        let at = usize::from(*at) % books.len();
        let suspect = SUSPECTS[usize::from(*what) % SUSPECTS.len()];
        match step % 6 {
            0 | 1 => {
                books[at].record_crash(suspect, run(u32::from(what / 5 % 7)), now);
            }
            2 => {
                books[at].record_success(suspect, now);
            }
            3 => messages.push(all_reports(&books[at], now)),
            // Messages arrive repeatedly, late and out of order.
            4 if !messages.is_empty() => {
                let message = &messages[usize::from(*what) % messages.len()];
                books[at].merge(message, FindingSource::Reported, now);
            }
            4 => {}
            // A restarted host receives the records of another one.
            _ => {
                let received = all_reports(&books[(at + 1) % books.len()], now);
                books[at] = CrashTracker::new(u64::from(*what) + 100);
                books[at].merge(&received, FindingSource::Distributed, now);
            }
        }
    }
}

#[test]
fn hosts_with_the_same_records_reach_the_same_verdict() {
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|steps: &Vec<(u8, u8, u8)>| {
            let now = seconds(10);
            let mut books: Vec<CrashTracker> = (1..=4).map(CrashTracker::new).collect();
            apply_steps(&mut books, steps, now);
            // All books exchange all records, senders and receivers in opposite orders.
            for _ in 0..2 {
                for (from, to) in (0..4).flat_map(|from| (0..4).rev().map(move |to| (from, to))) {
                    let reports = all_reports(&books[from], now);
                    books[to].merge(&reports, FindingSource::Reported, now);
                }
            }
            for suspect in SUSPECTS {
                let verdicts: Vec<bool> = books
                    .iter()
                    .map(|book| matches!(book.verdict(suspect, now), CrashVerdict::Fatal(_)))
                    .collect();
                assert!(
                    verdicts.iter().all(|fatal| *fatal == verdicts[0]),
                    "{verdicts:?}"
                );
            }
        });
}

#[test]
fn a_request_known_as_fatal_everywhere_is_sent_at_most_three_times() {
    // For two hours, one of seven hosts receives the request each second. Each send crashes a server.
    let mut books: Vec<CrashTracker> = (1..=7).map(CrashTracker::new).collect();
    let first = book_with_crashes(3, seconds(10));
    let reports = all_reports(&first, seconds(10));
    for book in &mut books {
        book.merge(&reports, FindingSource::Distributed, seconds(10));
    }
    let mut sends = 0;
    for second in 11..7_200_u64 {
        let now = seconds(second);
        let at = (second * 5 % 7) as usize;
        books[at].record_seen(FATAL, now);
        let is_sent = match books[at].verdict(FATAL, now) {
            CrashVerdict::Fatal(_) => false,
            // All hosts ask the same host for the trial.
            CrashVerdict::TrialDue => books[3].grant_trial(FATAL, now),
            CrashVerdict::Harmless | CrashVerdict::Suspected(_) => true,
        };
        if is_sent {
            sends += 1;
            books[at].record_crash(FATAL, run(100 + sends), now);
        }
        let told: Vec<CrashReport> = books
            .iter()
            .flat_map(|book| all_reports(book, now))
            .collect();
        for book in &mut books {
            book.merge(&told, FindingSource::Distributed, now);
        }
    }
    assert!(sends <= 3, "{sends} sends");
}

#[test]
fn digests_differ_by_account_path_and_body() {
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
    for (index, digest) in all.iter().enumerate() {
        assert!(!all[index + 1..].contains(digest), "digest {index}");
    }
    assert_eq!(all[0], RequestDigest::of("", "/a/1", b"x"));
}

// CPU time of this thread, so that other processes do not affect the measurement.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    Duration::from(time.expect("the thread CPU clock"))
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
    println!("64 KiB are hashed in {:?}", times[50]);
    // Unoptimized code takes about forty times as long.
    let bound = match cfg!(debug_assertions) {
        true => Duration::from_millis(10),
        false => Duration::from_micros(50),
    };
    assert!(times[50] < bound, "{:?}", times[50]);
}
