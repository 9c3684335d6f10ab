//! Limits that backend servers name: what is read as one, and what is believed.

use {
    bayplank::relay::{EngineKey, LimitMark, LimitSaying, NeedBook, PastTime, ServerLimit},
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
    let mut book = NeedBook::default();
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
fn servers_that_are_no_longer_listed_are_forgotten() {
    let mut book = NeedBook::default();
    book.take(SERVER, saying(Some(3.0), 20), NOW);
    book.keep_listed(&[EngineKey(8)].into());
    assert!(book.is_empty());
}
