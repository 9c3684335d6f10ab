//! The budget of callers' bodies: who gets room, who is evicted, and that all of it comes back.

use {
    bayplank::web::{BodyRead, BudgetFull, BudgetLimits, BudgetMetrics, CallerBudget, HeldBytes},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{rc::Rc, time::Duration},
    tokio::{task::LocalSet, time},
};

const MEMORY: u64 = 64 << 20;
const BODY: usize = 4 << 20;

fn budget() -> Rc<CallerBudget> {
    CallerBudget::new(
        BudgetLimits::of_process(MEMORY, 4_100),
        BudgetMetrics::default(),
    )
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

async fn fill(budget: &Rc<CallerBudget>) -> Vec<BodyRead> {
    let mut reads = Vec::new();
    loop {
        let mut read = BodyRead::new(budget);
        if read.reserve(BODY).await.is_err() {
            return reads;
        }
        reads.push(read);
    }
}

fn held(budget: &CallerBudget) -> i64 {
    budget.metrics().held_bytes.get()
}

// Guards against limits that a client within those of the configuration meets.
#[test]
fn the_usual_host_has_room_for_ordinary_callers() {
    let limits = BudgetLimits::of_process(110 << 20, 4_100);
    assert!(limits.held_bytes >= 6 * BODY);
    assert!(limits.connections >= 1_700);
}

#[test]
fn what_has_no_room_is_refused_at_once_and_small_bodies_need_none() {
    run(async {
        let budget = budget();
        let reads = fill(&budget).await;
        assert_eq!(reads.len(), 4);
        let before = time::Instant::now();
        let mut another = BodyRead::new(&budget);
        assert_eq!(another.reserve(BODY).await, Err(BudgetFull));
        assert_eq!(another.reserve(16 << 10).await, Ok(()));
        assert_eq!(before.elapsed(), Duration::ZERO);
        assert_eq!(budget.metrics().evicted_bodies.get(), 0);
    });
}

// Guards against bodies that stop short and hold the budget for good, and against the eviction of one that arrives.
#[test]
fn a_body_that_has_stopped_makes_room_and_one_that_arrives_does_not() {
    run(async {
        let budget = budget();
        let mut reads = fill(&budget).await;
        for _ in 0..4 {
            time::sleep(Duration::from_millis(500)).await;
            for read in &reads[1..] {
                read.record(256 << 10);
            }
        }
        let stopped = reads.remove(0);
        let evicted = tokio::task::spawn_local(async move {
            stopped.evicted().await;
        });
        let mut another = BodyRead::new(&budget);
        assert_eq!(another.reserve(BODY).await, Ok(()));
        evicted.await.expect("it is evicted");
        assert_eq!(budget.metrics().evicted_bodies.get(), 1);
    });
}

// Guards against a body that keeps its room by single bytes.
#[test]
fn a_body_that_trickles_makes_room() {
    run(async {
        let budget = budget();
        let reads = fill(&budget).await;
        for _ in 0..6 {
            time::sleep(Duration::from_millis(500)).await;
            reads.iter().for_each(|read| read.record(1));
        }
        for read in reads {
            tokio::task::spawn_local(async move { read.evicted().await });
        }
        let mut another = BodyRead::new(&budget);
        assert_eq!(another.reserve(BODY).await, Ok(()));
    });
}

// Guards against bytes that are counted twice, or never given back, in any order of reads, growths and ends.
#[test]
fn all_bytes_come_back_and_the_limit_holds() {
    run(async {
        for seed in 0..100 {
            let mut random = StdRng::seed_from_u64(seed);
            let budget = budget();
            let (mut reads, mut answers) = (Vec::new(), Vec::new());
            for _ in 0..300 {
                match random.random_range(0..6) {
                    0 => reads.push(BodyRead::new(&budget)),
                    1 => answers.push(HeldBytes::new(budget.quota())),
                    2 if !reads.is_empty() => {
                        let index = random.random_range(0..reads.len());
                        let size = random.random_range(1..BODY);
                        let _ = reads[index].reserve(size).await;
                    }
                    3 if !answers.is_empty() => {
                        let index = random.random_range(0..answers.len());
                        answers[index].grow_to(random.random_range(1..BODY));
                    }
                    4 if !reads.is_empty() => {
                        let index = random.random_range(0..reads.len());
                        answers.push(reads.swap_remove(index).finish());
                    }
                    5 if !answers.is_empty() => {
                        let index = random.random_range(0..answers.len());
                        answers.swap_remove(index);
                    }
                    _ => time::sleep(Duration::from_millis(100)).await,
                }
                let answered: usize = answers.iter().map(HeldBytes::bytes).sum();
                assert!(answered as i64 <= held(&budget), "seed {seed}");
                assert!(held(&budget) <= (MEMORY / 4) as i64, "seed {seed}");
            }
            drop((reads, answers));
            assert_eq!(held(&budget), 0, "seed {seed}");
        }
    });
}
