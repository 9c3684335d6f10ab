//! On how many servers an attempt may run, whatever the outcomes of its sends.

use {
    bayplank::{
        operation::RunVerdict,
        relay::{AttemptBudget, EngineKey},
    },
    bolero::{TypeGenerator, check},
    std::collections::{BTreeSet, VecDeque},
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
            let mut budget = AttemptBudget::new(servers_max, true);
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
                        budget.record_run(server, RunVerdict::Ran);
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
    let mut budget = AttemptBudget::new(1, true);
    budget.record_send(server(0));
    assert!(budget.is_used_up() && !budget.allows(server(1)));
    budget.record_not_run(server(0));
    assert!(budget.allows(server(1)));
    assert_eq!(budget.servers_used(), 0);
}

#[test]
fn a_server_that_ran_an_attempt_counts_although_it_declined_another_send() {
    let mut budget = AttemptBudget::new(1, true);
    budget.record_send(server(0));
    budget.record_run(server(0), RunVerdict::Ran);
    budget.record_send(server(0));
    budget.record_not_run(server(0));
    assert!(!budget.allows(server(1)) && budget.allows(server(0)));
}

#[test]
fn a_stopped_stream_moves_to_a_further_server_and_not_back() {
    let mut budget = AttemptBudget::new(2, true);
    for index in 0..2 {
        budget.record_send(server(index));
        budget.record_run(server(index), RunVerdict::Ran);
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
    let mut budget = AttemptBudget::new(1, true);
    budget.record_send(server(0));
    budget.record_send(server(1));
}

/// What becomes of a send, in any order with other sends.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum SendStep {
    /// One more send to a server, as a first try, a retry or a hedge.
    Send(u8),
    /// The oldest open send is known not to have run.
    NotRun,
    /// The oldest open send may have run.
    Lost,
    /// The oldest open send was answered.
    Answered,
}

#[test]
fn an_attempt_that_may_not_be_repeated_is_sent_again_only_if_no_send_may_have_run() {
    check!().with_type::<(u8, bool, Vec<SendStep>)>().for_each(
        |(servers_max, is_repeatable, steps)| {
            let mut budget = AttemptBudget::new(u32::from(servers_max % 4), *is_repeatable);
            let mut open = VecDeque::new();
            let mut known = RunVerdict::NotRun;
            for step in steps {
                if let SendStep::Send(index) = step {
                    let may_run_more = known == RunVerdict::NotRun && open.is_empty();
                    assert_eq!(budget.allows_send(), *is_repeatable || may_run_more);
                    let server = server(*index);
                    if budget.allows_send() && budget.allows(server) {
                        budget.record_send(server);
                        open.push_back(server);
                    }
                } else if let Some(server) = open.pop_front() {
                    let outcome = match step {
                        SendStep::Lost => RunVerdict::MayHaveRun,
                        SendStep::Answered => RunVerdict::Ran,
                        SendStep::NotRun | SendStep::Send(_) => RunVerdict::NotRun,
                    };
                    match outcome {
                        RunVerdict::NotRun => budget.record_not_run(server),
                        _ => budget.record_run(server, outcome),
                    }
                    known = known.max(outcome);
                }
                // At each step the deadline may pass: the verdict then promises no more than is known.
                let promised = budget.verdict();
                assert!(promised >= known);
                assert_eq!(
                    promised == RunVerdict::NotRun,
                    known == RunVerdict::NotRun && open.is_empty()
                );
                assert_eq!(budget.open_sends() as usize, open.len());
                budget.forget_ended(|server| server.0 == 0);
            }
        },
    );
}

#[test]
#[should_panic(expected = "has no other send that ran or may have")]
fn a_second_send_beside_an_open_one_is_a_fault_of_the_program() {
    let mut budget = AttemptBudget::new(3, false);
    budget.record_send(server(0));
    budget.record_send(server(1));
}
