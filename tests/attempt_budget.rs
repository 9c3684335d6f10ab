//! On how many servers an attempt may run, whatever the outcomes of its sends.

use {
    bayplank::relay::{AttemptBudget, EndedRuns, EngineKey},
    bolero::{TypeGenerator, check},
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Servers that attempts of the play may be sent to.
const SERVERS: u32 = 6;

/// What becomes of a server that an attempt is sent to.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum ServerOutcome {
    /// It ran the attempt, or may have.
    Ran,
    /// It declined.
    Declined,
    /// It began to answer and stopped.
    Stalled,
    /// It ran the attempt and ended.
    Ended,
}

fn server(index: u8) -> EngineKey {
    EngineKey(u32::from(index) % SERVERS)
}

#[test]
fn an_attempt_runs_on_no_more_servers_than_allowed_and_goes_on_while_one_of_them_serves() {
    check!()
        .with_type::<(u8, Vec<(u8, ServerOutcome)>)>()
        .for_each(|(servers_max, steps)| {
            let servers_max = u32::from(servers_max % 4);
            let mut budget = AttemptBudget::new(servers_max);
            let (mut ran, mut ended) = (BTreeSet::new(), BTreeSet::new());
            for (index, outcome) in steps {
                let server = server(*index);
                if ended.contains(&server) || !budget.allows(server) {
                    continue;
                }
                budget.record_send(server);
                match outcome {
                    ServerOutcome::Declined => budget.record_not_run(server),
                    ServerOutcome::Ran | ServerOutcome::Stalled | ServerOutcome::Ended => {
                        budget.record_run(server);
                        ran.insert(server);
                    }
                }
                let has_stalled = matches!(outcome, ServerOutcome::Stalled);
                budget.record_stall(server, has_stalled);
                assert!(!has_stalled || !budget.allows_move(server));
                if let ServerOutcome::Ended = outcome {
                    ended.insert(server);
                    budget.forget_ended(|server| ended.contains(&server));
                }
                let left: Vec<EngineKey> = ran.difference(&ended).copied().collect();
                assert!(left.len() as u32 <= servers_max.max(1));
                assert!(left.iter().all(|server| budget.allows(*server)));
                assert_eq!(budget.servers_used(), ran.len() as u32);
                let used: BTreeSet<EngineKey> = budget.used_servers().into_iter().collect();
                assert_eq!(used, left.iter().copied().collect());
                if !budget.is_used_up() {
                    assert!((0..SERVERS as u8).all(|index| budget.allows(self::server(index))));
                }
            }
        });
}

#[test]
fn a_send_without_an_outcome_counts_until_it_is_known_not_to_have_run() {
    let mut budget = AttemptBudget::new(1);
    budget.record_send(server(0));
    assert!(budget.is_used_up() && !budget.allows(server(1)));
    budget.record_not_run(server(0));
    assert!(budget.allows(server(1)));
    assert_eq!(budget.servers_used(), 0);
}

#[test]
fn a_server_that_ran_an_attempt_counts_although_it_declined_another_send() {
    let mut budget = AttemptBudget::new(1);
    budget.record_send(server(0));
    budget.record_run(server(0));
    budget.record_send(server(0));
    budget.record_not_run(server(0));
    assert!(!budget.allows(server(1)) && budget.allows(server(0)));
}

#[test]
fn a_stopped_stream_moves_to_a_further_server_and_not_back() {
    let mut budget = AttemptBudget::new(2);
    for index in 0..2 {
        budget.record_send(server(index));
        budget.record_run(server(index));
        budget.record_stall(server(index), true);
        assert_eq!(budget.has_moves_left(), index == 0);
    }
    assert!(!budget.allows_move(server(0)) && budget.allows(server(0)));
    assert_eq!(budget.used_servers(), [server(1), server(0)]);
    budget.record_stall(server(1), false);
    assert!(budget.allows_move(server(1)));
}

#[test]
#[should_panic(expected = "an attempt runs on no more servers than its route allows")]
fn a_send_beyond_the_limit_is_a_fault_of_the_program() {
    let mut budget = AttemptBudget::new(1);
    budget.record_send(server(0));
    budget.record_send(server(1));
}

/// Addresses at which servers of the play run, one after the other.
const ADDRESSES: u8 = 4;

/// What happens at an address.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum AddressStep {
    /// The attempt is sent to its server and may have run there.
    Send,
    /// A connection to its server breaks; it runs on, and whether the store lists it or not, nobody can tell.
    Break,
    /// Its server ends, and the host finds that the address refuses connections.
    EndSeen,
    /// Its server ends while nobody looks.
    EndUnseen,
    /// Another server starts there, if none runs.
    Start,
    /// Its server answers a request that names it.
    Answer,
}

/// The server that runs at an address, and the last one that did.
#[derive(Debug, Clone, Copy)]
struct AddressState {
    last: EngineKey,
    is_running: bool,
}

fn address(index: u8) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, u16::from(index) + 1).into()
}

#[test]
fn no_more_servers_run_an_attempt_at_a_time_than_allowed_whatever_shows_that_some_have_ended() {
    check!()
        .with_type::<(u8, Vec<(u8, AddressStep)>)>()
        .for_each(|(servers_max, steps)| {
            let servers_max = u32::from(servers_max % 4);
            let mut budget = AttemptBudget::new(servers_max);
            let mut ends = EndedRuns::default();
            let start = |index: u8| AddressState {
                last: EngineKey(u32::from(index)),
                is_running: true,
            };
            let mut states: Vec<AddressState> = (0..ADDRESSES).map(start).collect();
            let (mut started, mut ran) = (u32::from(ADDRESSES), BTreeSet::new());
            for (now, (index, step)) in (0..).map(Duration::from_millis).zip(steps) {
                let index = index % ADDRESSES;
                let state = &mut states[usize::from(index)];
                let AddressState { last, is_running } = *state;
                match step {
                    AddressStep::Send if is_running && budget.allows(last) => {
                        budget.record_send(last);
                        budget.record_run(last);
                        ran.insert(last);
                    }
                    AddressStep::Break => ends.record_break(last, address(index), now),
                    AddressStep::EndSeen if is_running => {
                        ends.record_end(last, now);
                        state.is_running = false;
                    }
                    AddressStep::EndUnseen => state.is_running = false,
                    AddressStep::Start if !is_running => {
                        *state = start(0);
                        state.last = EngineKey(started);
                        started += 1;
                    }
                    AddressStep::Answer if is_running => {
                        ends.record_answer(last, address(index), now);
                    }
                    _ => {}
                }
                budget.forget_ended(|server| ends.has_ended(server));
                let running = states.iter().filter(|state| state.is_running);
                let running: Vec<EngineKey> = running.map(|state| state.last).collect();
                assert!(running.iter().all(|server| !ends.has_ended(*server)));
                let run = running.iter().filter(|server| ran.contains(server));
                assert!(run.count() as u32 <= servers_max.max(1));
            }
        });
}

#[test]
fn an_end_is_known_until_its_run_answers_and_what_is_known_is_bounded() {
    let mut ends = EndedRuns::default();
    for index in 0..20_000 {
        let now = Duration::from_millis(u64::from(index));
        ends.record_end(EngineKey(index), now);
        ends.record_break(EngineKey(index), (Ipv4Addr::from(index), 80).into(), now);
        assert!(ends.has_ended(EngineKey(index)));
        assert!(ends.has_ended(EngineKey(index.saturating_sub(1_000))));
    }
    assert!(ends.len() <= 10_000, "{}", ends.len());
    // A later run whose start is not known has the same key.
    let last = EngineKey(19_999);
    ends.record_answer(last, address(1), Duration::from_secs(30));
    assert!(!ends.has_ended(last));
}
