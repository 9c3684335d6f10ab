//! A key of a call that may not be repeated, at whichever host it arrives.

use {
    super::FaultCell,
    bayplank::operation::{KeyOwner, TICKET_LIFE, TicketBook},
    faststr::FastStr,
    std::time::Duration,
};

const LIFE: &str = "A key of a call that may not be repeated";

fn book(host: &'static str, incarnation: &'static str) -> TicketBook {
    TicketBook::new(
        FastStr::from_static_str(host),
        FastStr::from_static_str(incarnation),
    )
}

fn describe(owner: KeyOwner) -> String {
    match owner {
        KeyOwner::Own => "run here, or answered from the record".to_owned(),
        KeyOwner::OwnExpired => "refused operation-lost, may-have-run".to_owned(),
        KeyOwner::Gone => "refused operation-lost, may-have-run".to_owned(),
        KeyOwner::Other(ticket) => {
            format!("passed to {}; if it is silent, may-have-run", ticket.host)
        }
        KeyOwner::Caller => "refused ticket-required, not-run".to_owned(),
    }
}

fn owner_at(book: &TicketBook, issued: u64, now: u64) -> String {
    let ticket = self::book("h1", "run1").issue(Duration::from_secs(issued));
    describe(book.owner(&ticket.to_string(), Duration::from_secs(now)))
}

pub fn cells() -> Vec<FaultCell> {
    let life = TICKET_LIFE.as_secs();
    let own = book("h1", "run1");
    let replaced = book("h1", "run2");
    let other = book("h2", "run9");
    let made_up = describe(own.owner("my-key-1", Duration::ZERO));
    let garbled = describe(own.owner("bp1.h1.run1.x.0000000000000000", Duration::ZERO));
    let lost = "refused operation-lost, may-have-run";
    let demand = "refused ticket-required, not-run";
    let here = "run here, or answered from the record";
    let rows = [
        ("arrives at its owner", "none", here, owner_at(&own, 10, 20)),
        (
            "arrives at its owner",
            "as old as may be",
            here,
            owner_at(&own, 10, 10 + life),
        ),
        (
            "arrives at its owner",
            "too old: its record may be gone",
            lost,
            owner_at(&own, 10, 11 + life),
        ),
        (
            "arrives at its owner",
            "from the owner's future",
            lost,
            owner_at(&own, 30, 10),
        ),
        (
            "arrives at its owner",
            "the owner was replaced",
            lost,
            owner_at(&replaced, 10, 20),
        ),
        (
            "arrives elsewhere",
            "none",
            "passed to h1; if it is silent, may-have-run",
            owner_at(&other, 10, 20),
        ),
        ("arrives anywhere", "made up by the caller", demand, made_up),
        ("arrives anywhere", "garbled", demand, garbled),
    ];
    rows.into_iter()
        .map(|(step, fault, expected, found)| FaultCell {
            life: LIFE,
            step,
            fault,
            expected,
            found,
        })
        .collect()
}
