//! Repeats: what one host takes of the allowance, and what all hosts take together.

use {
    bayplank::relay::{DemandCounts, FleetDemand, RetryAllowance, WindowBudget},
    bolero::check,
    std::time::Duration,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn repeats_stay_within_the_hosts_share_of_the_window() {
    check!().with_type::<Vec<(u8, bool)>>().for_each(|steps| {
        let allowance = RetryAllowance {
            share: 0.2,
            extra: 58.0,
            window: millis(10_000),
        };
        let alone = FleetDemand {
            hosts: 9,
            others: None,
        };
        let (mut budget, mut now) = (WindowBudget::default(), Duration::ZERO);
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            now += millis(u64::from(*pause) * 10);
            if *is_request {
                budget.earn(allowance.window, now);
                requests.push(now);
            } else if budget.allows(allowance, &alone, now) {
                budget.count(now);
                repeats.push(now);
            }
            let recent = |times: &[Duration]| {
                let since = now.saturating_sub(allowance.window);
                times.iter().filter(|at| **at >= since).count() as f64
            };
            let most = 0.2 * recent(&requests) + 58.0 / 9.0;
            assert!(recent(&repeats) <= most);
        }
    });
}

// Hosts that share an allowance, each of which hears of the others after a lag.
struct BudgetFleet {
    allowance: RetryAllowance,
    budgets: Vec<WindowBudget>,
    // What all counted at each step.
    told: Vec<Vec<DemandCounts>>,
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl BudgetFleet {
    const HOSTS: usize = 12;
    const STEP: Duration = Duration::from_millis(300);

    fn new() -> Self {
        Self {
            allowance: RetryAllowance {
                share: 0.2,
                extra: 58.0,
                window: millis(10_000),
            },
            budgets: (0..Self::HOSTS).map(|_| WindowBudget::default()).collect(),
            told: Vec::new(),
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    // What a host knows of the others; none is told before the lag is over.
    fn fleet(&self, host: usize, lag: usize) -> FleetDemand {
        let seen = self.told.len().checked_sub(1 + lag);
        let others = seen.map(|step| {
            let counts = self.told[step].iter().enumerate();
            let others = counts.filter(|(other, _)| *other != host);
            others.fold(DemandCounts::default(), |sum, (_, one)| DemandCounts {
                requests: sum.requests + one.requests,
                repeats: sum.repeats + one.repeats,
            })
        });
        FleetDemand {
            hosts: Self::HOSTS,
            others,
        }
    }

    // Each host that is asked takes one request, and as many repeats as it may, up to six.
    fn step(&mut self, asked: u16, needy: u16, lag: usize, now: Duration) {
        for host in 0..Self::HOSTS {
            let fleet = self.fleet(host, lag);
            let budget = &mut self.budgets[host];
            if asked & (1 << host) != 0 {
                budget.earn(self.allowance.window, now);
                self.requests.push(now);
            }
            let wanted = if needy & (1 << host) != 0 { 6 } else { 0 };
            for _ in 0..wanted {
                if budget.allows(self.allowance, &fleet, now) {
                    budget.count(now);
                    self.repeats.push(now);
                }
            }
        }
        let window = self.allowance.window;
        let counts = self.budgets.iter_mut();
        let counts = counts.map(|budget| budget.counts(window, now)).collect();
        self.told.push(counts);
    }

    fn recent(times: &[Duration], until: Duration, window: Duration) -> usize {
        let since = until.saturating_sub(window);
        let recent = times.iter().filter(|at| **at >= since && **at <= until);
        recent.count()
    }

    // Operators count the requests over the window, or over one that lies a half or a whole window earlier.
    fn assert_within(&self, now: Duration) {
        let window = self.allowance.window;
        let ends = [now, now - window / 2, now - window];
        let requests = ends.map(|end| Self::recent(&self.requests, end, window));
        let requests = requests.into_iter().max().unwrap_or_default() as f64;
        let repeats = Self::recent(&self.repeats, now, window) as f64;
        let most = self.allowance.share * requests + self.allowance.extra;
        assert!(repeats <= most, "{repeats} repeats of {most} at {now:?}");
    }
}

#[test]
fn hosts_that_hear_of_each_other_late_stay_within_the_allowance_together() {
    check!()
        .with_type::<(u8, Vec<(u16, u16)>)>()
        .for_each(|(lag, steps)| {
            let mut fleet = BudgetFleet::new();
            // After the first window of their run, in which hosts take less.
            let mut now = millis(10_000);
            for (asked, needy) in steps.iter().cycle().take(steps.len().min(40) * 3) {
                now += BudgetFleet::STEP;
                fleet.step(*asked, *needy, usize::from(lag % 5), now);
                fleet.assert_within(now);
            }
        });
}

#[test]
fn a_host_in_need_takes_what_others_leave_and_not_more_than_the_allowance() {
    let mut fleet = BudgetFleet::new();
    let alone = 0.65 * (0.2 * 33.0 + 58.0 / BudgetFleet::HOSTS as f64);
    let mut now = millis(10_000);
    for _ in 0..33 {
        now += BudgetFleet::STEP;
        fleet.step(0xfff, 1, 1, now);
        fleet.assert_within(now);
    }
    let taken = fleet.repeats.len() as f64;
    assert!(taken > 2.0 * alone, "{taken}, alone {alone}");
}

#[test]
fn a_host_that_was_just_started_leaves_room_for_the_repeats_of_its_last_run() {
    let allowance = BudgetFleet::new().allowance;
    let alone = FleetDemand {
        hosts: 1,
        others: None,
    };
    let allowed = |start: Duration| {
        let mut budget = WindowBudget::default();
        let mut count = 0;
        while budget.allows(allowance, &alone, start) {
            budget.count(start);
            count += 1;
        }
        count
    };
    assert!(allowed(millis(100)) + allowed(millis(20_000)) <= 58);
}

#[test]
fn a_budget_that_nobody_asks_remembers_only_its_window() {
    let allowance = RetryAllowance {
        share: 0.2,
        extra: 58.0,
        window: millis(10_000),
    };
    let mut budget = WindowBudget::default();
    for second in 0..1_000 {
        budget.earn(allowance.window, millis(second * 1_000));
    }
    assert!(budget.remembered() <= 11, "{}", budget.remembered());
}
