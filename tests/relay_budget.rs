//! Retry budget of a single host and of all hosts together.

use {
    bayplank::relay::{FleetDemand, RetryBudget, RetryCounts, RetryWindow},
    bolero::check,
    std::time::Duration,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn retries_stay_within_the_hosts_share_of_the_window() {
    check!().with_type::<Vec<(u8, bool)>>().for_each(|steps| {
        let allowance = RetryBudget {
            share: 0.2,
            extra: 58.0,
            window: millis(10_000),
        };
        let alone = FleetDemand {
            hosts: 9,
            others: None,
        };
        let (mut budget, mut now) = (RetryWindow::default(), Duration::ZERO);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            now += millis(u64::from(*pause) * 10);
            if *is_request {
                budget.count_request(allowance.window, now);
                requests.push(now);
            } else if budget.allows_retry(allowance, &alone, now) {
                budget.count_retry(now);
                retries.push(now);
            }
            let recent = |times: &[Duration]| {
                let since = now.saturating_sub(allowance.window);
                times.iter().filter(|at| **at >= since).count() as f64
            };
            let most = 0.2 * recent(&requests) + 58.0 / 9.0;
            assert!(recent(&retries) <= most);
        }
    });
}

// Hosts that share a retry budget and receive each other's counts after a lag.
struct BudgetFleet {
    allowance: RetryBudget,
    budgets: Vec<RetryWindow>,
    // Counts of all hosts at each step.
    reported: Vec<Vec<RetryCounts>>,
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl BudgetFleet {
    const HOSTS: usize = 12;
    const STEP: Duration = Duration::from_millis(300);

    /// A fleet whose hosts grant parts of a retry.
    fn of_seeds() -> Self {
        let seeds = 0..Self::HOSTS as u64;
        Self {
            budgets: seeds.map(RetryWindow::new).collect(),
            ..Self::new()
        }
    }

    fn new() -> Self {
        Self {
            allowance: RetryBudget {
                share: 0.2,
                extra: 58.0,
                window: millis(10_000),
            },
            budgets: (0..Self::HOSTS).map(|_| RetryWindow::default()).collect(),
            reported: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    // What a host knows of the others: nothing until the lag is over.
    fn fleet(&self, host: usize, lag: usize) -> FleetDemand {
        let seen = self.reported.len().checked_sub(1 + lag);
        let others = seen.map(|step| {
            let counts = self.reported[step].iter().enumerate();
            let others = counts.filter(|(other, _)| *other != host);
            others.fold(RetryCounts::default(), |sum, (_, one)| RetryCounts {
                requests: sum.requests + one.requests,
                retries: sum.retries + one.retries,
            })
        });
        FleetDemand {
            hosts: Self::HOSTS,
            others,
        }
    }

    // Bit masks of hosts: each one in `active` gets a request, each one in `retrying` sends up to six retries, as far
    // as the budget allows.
    fn step(&mut self, active: u16, retrying: u16, lag: usize, now: Duration) {
        for host in 0..Self::HOSTS {
            let fleet = self.fleet(host, lag);
            let budget = &mut self.budgets[host];
            if active & (1 << host) != 0 {
                budget.count_request(self.allowance.window, now);
                self.requests.push(now);
            }
            let wanted = if retrying & (1 << host) != 0 { 6 } else { 0 };
            for _ in 0..wanted {
                if budget.allows_retry(self.allowance, &fleet, now) {
                    budget.count_retry(now);
                    self.retries.push(now);
                }
            }
        }
        let window = self.allowance.window;
        let counts = self.budgets.iter_mut();
        let counts = counts.map(|budget| budget.counts(window, now)).collect();
        self.reported.push(counts);
    }

    fn recent(times: &[Duration], until: Duration, window: Duration) -> usize {
        let since = until.saturating_sub(window);
        let recent = times.iter().filter(|at| **at >= since && **at <= until);
        recent.count()
    }

    // The limit is computed from the requests of the current window or of one that ends half a window or a whole one
    // earlier, whichever has most: operators may count over any of them.
    fn assert_within(&self, now: Duration) {
        let window = self.allowance.window;
        let ends = [now, now - window / 2, now - window];
        let requests = ends.map(|end| Self::recent(&self.requests, end, window));
        let requests = requests.into_iter().max().unwrap_or_default() as f64;
        let retries = Self::recent(&self.retries, now, window) as f64;
        let most = self.allowance.share * requests + self.allowance.extra;
        assert!(retries <= most, "{retries} retries of {most} at {now:?}");
    }
}

#[test]
fn hosts_with_delayed_reports_stay_within_the_budget_together() {
    check!()
        .with_type::<(u8, Vec<(u16, u16)>)>()
        .for_each(|(lag, steps)| {
            for mut fleet in [BudgetFleet::new(), BudgetFleet::of_seeds()] {
                // After the first window of their run, in which hosts have a smaller budget.
                let mut now = millis(10_000);
                for (active, retrying) in steps.iter().cycle().take(steps.len().min(40) * 3) {
                    now += BudgetFleet::STEP;
                    fleet.step(*active, *retrying, usize::from(lag % 5), now);
                    fleet.assert_within(now);
                }
            }
        });
}

// Retries that hosts of a large fleet are granted in a minute, of those that they want, and the most in ten seconds. Each
// host gets a request in five seconds and hears of the others' counts 1.2 s late; a request in `failing` fails.
fn granted(hosts: usize, failing: u64) -> (f64, usize) {
    let allowance = RetryBudget {
        share: 0.2,
        extra: 1.05 * hosts as f64,
        window: millis(10_000),
    };
    let mut budgets: Vec<RetryWindow> = (0..hosts as u64).map(RetryWindow::new).collect();
    let mut sums: Vec<RetryCounts> = Vec::new();
    let (mut wanted, mut most, mut retries) = (0, 0, Vec::new());
    for step in 0..100_u64 {
        let now = millis(20_000 + step * 600);
        let others = sums.len().checked_sub(2).map(|seen| sums[seen]);
        let fleet = FleetDemand { hosts, others };
        for (index, budget) in budgets.iter_mut().enumerate() {
            let turn = step * 600 + index as u64 * 617;
            if turn % 5_000 >= 600 {
                continue;
            }
            budget.count_request(allowance.window, now);
            if !(turn / 5_000 + index as u64 * 7).is_multiple_of(failing) {
                continue;
            }
            wanted += 1;
            if budget.allows_retry(allowance, &fleet, now) {
                budget.count_retry(now);
                retries.push(now);
            }
        }
        let counts = budgets
            .iter_mut()
            .map(|budget| budget.counts(allowance.window, now));
        sums.push(counts.fold(RetryCounts::default(), |sum, one| RetryCounts {
            requests: sum.requests + one.requests,
            retries: sum.retries + one.retries,
        }));
        most = most.max(BudgetFleet::recent(&retries, now, allowance.window));
    }
    (retries.len() as f64 / f64::from(wanted), most)
}

#[test]
fn a_large_fleet_retries_what_fails_now_and_then_and_keeps_its_budget_when_all_fails() {
    for hosts in [100, 1_000, 2_000] {
        let budget = (0.2 * 2.0 + 1.05) * hosts as f64;
        let (share, most) = granted(hosts, 30);
        assert!(share >= 0.8, "{share} of the retries at {hosts} hosts");
        assert!(most as f64 <= budget, "{most} retries of {budget}");
        let (_, most) = granted(hosts, 1);
        assert!(most as f64 <= budget, "{most} retries of {budget}");
    }
}

#[test]
fn a_host_uses_the_budget_that_others_leave_but_no_more_than_the_whole() {
    let mut fleet = BudgetFleet::new();
    let alone = 0.65 * (0.2 * 33.0 + 58.0 / BudgetFleet::HOSTS as f64);
    let mut now = millis(10_000);
    for _ in 0..33 {
        now += BudgetFleet::STEP;
        fleet.step(0xfff, 1, 1, now);
        fleet.assert_within(now);
    }
    let taken = fleet.retries.len() as f64;
    assert!(taken > 2.0 * alone, "{taken}, alone {alone}");
}

#[test]
fn a_restarted_host_leaves_budget_for_the_retries_of_its_previous_run() {
    let allowance = BudgetFleet::new().allowance;
    let alone = FleetDemand {
        hosts: 1,
        others: None,
    };
    let allowed = |start: Duration| {
        let mut budget = RetryWindow::default();
        let mut count = 0;
        while budget.allows_retry(allowance, &alone, start) {
            budget.count_retry(start);
            count += 1;
        }
        count
    };
    assert!(allowed(millis(100)) + allowed(millis(20_000)) <= 58);
}

#[test]
fn an_idle_budget_keeps_only_the_entries_of_its_window() {
    let allowance = RetryBudget {
        share: 0.2,
        extra: 58.0,
        window: millis(10_000),
    };
    let mut budget = RetryWindow::default();
    for second in 0..1_000 {
        budget.count_request(allowance.window, millis(second * 1_000));
    }
    assert!(budget.entry_count() <= 11, "{}", budget.entry_count());
}
