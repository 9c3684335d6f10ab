//! The gate of a host: what is in is counted, and a closed gate lets nobody in.

use {
    bayplank::host::{GateEntry, StopGate},
    bolero::check,
};

/// Requests that the gate of the test lets in at once.
const MOST: u64 = 5;

#[test]
fn whoever_is_let_in_is_counted_and_nobody_after_the_close() {
    check!().with_type::<Vec<u8>>().for_each(|steps| {
        let gate = StopGate::new(MOST);
        let mut inside: Vec<GateEntry> = Vec::new();
        let mut closed = false;
        for step in steps {
            match step % 8 {
                0..=3 => {
                    let room = (inside.len() as u64) < MOST;
                    let entry = gate.enter();
                    assert_eq!(entry.is_ok(), room && !closed);
                    inside.extend(entry);
                }
                4 | 5 => drop(inside.pop()),
                6 => gate.begin_stop(),
                _ => {
                    gate.close();
                    closed = true;
                }
            }
            assert_eq!(gate.in_flight(), inside.len() as u64);
        }
        inside.clear();
        assert_eq!(gate.in_flight(), 0, "a stop never waits for nobody");
    });
}
