//! Sharing out work among hosts without talking: the highest hash of host and subject takes it.

use xxhash_rust::xxh3;

/// How strongly a host is drawn to a subject.
pub fn draw(host: &str, subject: &str) -> u64 {
    xxh3::xxh3_64_with_seed(subject.as_bytes(), xxh3::xxh3_64(host.as_bytes()))
}

/// Whether `own` is among the `count` hosts that are drawn most to a subject.
pub fn is_among_first<'a>(
    own: &str,
    others: impl Iterator<Item = &'a str>,
    subject: &str,
    count: usize,
) -> bool {
    let mine = draw(own, subject);
    let before = others
        .filter(|other| *other != own && draw(other, subject) > mine)
        .count();
    before < count
}
