//! Verdicts on prompt parts that crash servers, beside others that share their prompts.

use {
    bayplank::relay::{
        CachePosition, CrashSuspect, CrashTracker, CrashVerdict, EngineKey, FindingSource,
        PartDigest, RequestDigest, StoredVerdict,
    },
    std::time::Duration,
};

/// Later than all crashes.
const NOW: Duration = Duration::from_secs(10);

const FIRST: CrashSuspect = CrashSuspect::PromptPart(PartDigest(1));
const FATAL: CrashSuspect = CrashSuspect::PromptPart(PartDigest(2));
const OTHER: CrashSuspect = CrashSuspect::PromptPart(PartDigest(3));
const REQUEST: CrashSuspect = CrashSuspect::Request(RequestDigest(4));

fn is_fatal(book: &CrashTracker, suspect: CrashSuspect) -> bool {
    let verdict = book.verdict(suspect, NOW);
    matches!(verdict, CrashVerdict::Fatal(_) | CrashVerdict::TrialDue)
}

fn crash(book: &mut CrashTracker, suspects: &[CrashSuspect], runs: std::ops::Range<u32>) {
    for run in runs {
        for suspect in suspects {
            book.record_crash(*suspect, EngineKey(run), crash_time(run));
        }
    }
}

// Runs crash one after the other.
fn crash_time(run: u32) -> Duration {
    Duration::from_millis(100 * u64::from(run))
}

#[test]
fn a_part_is_fatal_after_four_crashes_and_suspected_after_two() {
    for (crashes, verdict) in [
        (1, CrashVerdict::Harmless),
        (2, CrashVerdict::Suspected(2)),
        (3, CrashVerdict::Suspected(3)),
        (4, CrashVerdict::Fatal(Duration::from_secs(40))),
        (5, CrashVerdict::Fatal(Duration::from_secs(40))),
    ] {
        let mut book = CrashTracker::new(1);
        crash(&mut book, &[FATAL], 0..crashes);
        assert_eq!(book.verdict(FATAL, crash_time(crashes - 1)), verdict);
    }
}

#[test]
fn a_whole_answer_clears_the_first_part_and_not_the_fatal_one_beside_it() {
    let mut book = CrashTracker::new(1);
    crash(&mut book, &[FIRST, FATAL], 0..2);
    book.record_success(FIRST, NOW);
    crash(&mut book, &[FIRST, FATAL], 2..9);
    assert!(is_fatal(&book, FATAL));
    assert!(!is_fatal(&book, FIRST));
}

#[test]
fn of_parts_that_always_crash_together_a_whole_answer_leaves_the_fatal_one() {
    let mut book = CrashTracker::new(1);
    crash(&mut book, &[FIRST, FATAL], 0..5);
    assert!(
        is_fatal(&book, FIRST) != is_fatal(&book, FATAL),
        "one explains the other"
    );
    book.record_success(FIRST, NOW);
    assert!(!is_fatal(&book, FIRST));
    assert!(is_fatal(&book, FATAL));
}

#[test]
fn a_request_that_crashes_servers_accuses_no_part_of_its_prompt() {
    let mut book = CrashTracker::new(1);
    crash(&mut book, &[REQUEST, FIRST], 0..3);
    assert!(is_fatal(&book, REQUEST));
    // Both trials fail.
    crash(&mut book, &[REQUEST, FIRST], 3..5);
    assert!(is_fatal(&book, REQUEST));
    assert!(!is_fatal(&book, FIRST));
}

#[test]
fn a_part_that_crashes_servers_clears_the_requests_that_ran_beside_it() {
    let mut book = CrashTracker::new(1);
    crash(&mut book, &[FATAL, REQUEST], 0..3);
    assert!(is_fatal(&book, REQUEST));
    crash(&mut book, &[FATAL], 3..4);
    assert!(is_fatal(&book, FATAL));
    assert!(!is_fatal(&book, REQUEST), "the part explains its crashes");
    crash(&mut book, &[REQUEST], 4..6);
    assert!(
        is_fatal(&book, FATAL) && is_fatal(&book, REQUEST),
        "two crashes have no other cause"
    );
}

#[test]
fn both_parts_of_a_prompt_are_fatal_once_each_crashes_servers_without_the_other() {
    let mut book = CrashTracker::new(1);
    crash(&mut book, &[FATAL, OTHER], 0..5);
    let (first, second) = match is_fatal(&book, FATAL) {
        true => (FATAL, OTHER),
        false => (OTHER, FATAL),
    };
    assert!(is_fatal(&book, first) && !is_fatal(&book, second));
    crash(&mut book, &[second], 5..7);
    assert!(is_fatal(&book, first) && is_fatal(&book, second));
}

#[test]
fn made_up_parts_evict_no_fatal_part_and_no_suspected_one() {
    let mut book = CrashTracker::new(1);
    crash(&mut book, &[FATAL], 0..4);
    crash(&mut book, &[OTHER], 4..6);
    for number in 0..5_000 {
        let made_up = PartDigest(1_000 + number);
        book.record_crash(made_up, EngineKey(6 + number as u32 / 300), NOW);
    }
    assert!(book.len() <= 512);
    assert!(is_fatal(&book, FATAL));
    assert_eq!(book.verdict(OTHER, NOW), CrashVerdict::Suspected(2));
}

#[test]
fn a_part_and_a_request_with_the_same_digest_are_told_apart_in_all_forms() {
    let part: CrashSuspect = PartDigest(4).into();
    let mut book = CrashTracker::new(1);
    crash(&mut book, &[part], 0..4);
    let mut other = CrashTracker::new(2);
    let updates = book.updates_since(CachePosition::default(), NOW);
    other.merge(&updates.findings, FindingSource::Distributed, NOW);
    assert!(is_fatal(&other, part) && !is_fatal(&other, REQUEST));
    let report = book.fatal_report(part, NOW).unwrap();
    let stored = serde_json::to_string(&StoredVerdict::of(&report)).unwrap();
    let stored: StoredVerdict = serde_json::from_str(&stored).unwrap();
    assert_eq!(stored.report().unwrap().suspect(), part);
    let of_request = r#"{"digest":"04","runs":[1,2,3],"trials":1}"#;
    let stored: StoredVerdict = serde_json::from_str(of_request).unwrap();
    assert_eq!(stored.report().unwrap().suspect(), REQUEST);
}
