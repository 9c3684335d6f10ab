//! The bench's table, CSV file and plot.

use {
    super::{
        plan::{BenchFault, BenchScenario, RUN_TIME},
        run::RunResult,
    },
    eyre::{Result, WrapErr, eyre},
    plotters::prelude::*,
    std::{collections::BTreeMap, fmt::Write, path::Path},
};

const CSV_HEAD: &str = "deployment,scenario,load,policy,seed,bound,offered,completed,goodput,\
wasted_prefill,refused_not_run,refused_may_have_run,ttft_p50,ttft_p95,tbt_p95,decode_slot_use";

/// All results, one line each.
pub fn csv(results: &[RunResult]) -> String {
    let mut text = format!("{CSV_HEAD}\n");
    for result in results {
        let RunResult { plan, .. } = result;
        let BenchScenario { name, load, .. } = plan.scenario;
        writeln!(
            text,
            "{},{name},{load},{},{},{:.2},{:.2},{:.2},{:.2},{:.4},{:.2},{:.2},{:.1},{:.1},{:.1},{:.3}",
            plan.deployment.name,
            plan.tuning.policy,
            plan.seed,
            result.bound,
            result.offered,
            result.completed,
            result.goodput,
            result.wasted_prefill,
            result.refused_not_run,
            result.refused_may_have_run,
            result.ttft.0,
            result.ttft.1,
            result.tbt_p95,
            result.decode_slot_use,
        )
        .expect("writing to a string");
    }
    text
}

type Group<'a> = BTreeMap<(usize, &'a str, usize, &'a str, usize), Vec<&'a RunResult>>;

// Results by deployment, scenario and policy, in the order in which they were made.
fn groups(results: &[RunResult]) -> Vec<Vec<&RunResult>> {
    let mut order: Vec<(&str, &str, &str)> = Vec::new();
    let mut groups: Group<'_> = BTreeMap::new();
    for result in results {
        let plan = &result.plan;
        let key = (
            plan.deployment.name,
            plan.scenario.name,
            plan.tuning.policy.as_str(),
        );
        let place = order.iter().position(|known| *known == key);
        let place = place.unwrap_or_else(|| {
            order.push(key);
            order.len() - 1
        });
        let group = groups.entry((place, key.0, 0, key.1, 0)).or_default();
        group.push(result);
    }
    groups.into_values().collect()
}

/// Median, least and most of a figure over seeds.
pub fn spread(group: &[&RunResult], figure: impl Fn(&RunResult) -> f64) -> (f64, f64, f64) {
    let mut values: Vec<f64> = group.iter().map(|result| figure(result)).collect();
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    (median, values[0], values[values.len() - 1])
}

/// The table: medians over seeds, with the spread of goodput.
pub fn table(results: &[RunResult]) -> String {
    let mut text = String::from(
        "| deployment | row | policy | offered/bound | goodput/bound (least-most) | goodput/offered | \
         wasted prefill | refused not-run/s | refused may-have-run/s | first token p50, p95 ms | \
         between p95 ms | slots |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for group in groups(results) {
        let plan = &group[0].plan;
        let median = |figure: fn(&RunResult) -> f64| spread(&group, figure).0;
        let (goodput, least, most) = spread(&group, |result| result.goodput / result.bound);
        writeln!(
            text,
            "| {} | {} | {} | {:.2} | {goodput:.3} ({least:.3}-{most:.3}) | {:.3} | {:.2}% | {:.1} | {:.2} | \
             {:.0}, {:.0} | {:.1} | {:.2} |",
            plan.deployment.name,
            plan.scenario.name,
            plan.tuning.policy,
            median(|result| result.offered / result.bound),
            median(|result| result.goodput / result.offered),
            median(|result| result.wasted_prefill) * 100.0,
            median(|result| result.refused_not_run),
            median(|result| result.refused_may_have_run),
            median(|result| result.ttft.0),
            median(|result| result.ttft.1),
            median(|result| result.tbt_p95),
            median(|result| result.decode_slot_use),
        )
        .expect("writing to a string");
    }
    text
}

/// Seconds after a fault from which its row counts as repaired.
const REPAIR_SECONDS: usize = 5;

/// Goodput over the bound once a fault should be repaired, for the rows that have one.
pub fn repairs(results: &[RunResult]) -> String {
    let mut text = String::new();
    let fault_at = RUN_TIME.as_secs() as usize / 3;
    let after = |result: &RunResult| {
        let seconds = &result.each_second[fault_at + REPAIR_SECONDS..];
        seconds.iter().sum::<f64>() / seconds.len() as f64
    };
    for group in groups(results) {
        let plan = &group[0].plan;
        if !matches!(
            plan.scenario.fault,
            BenchFault::PrefillLost | BenchFault::DecodeSlow
        ) {
            continue;
        }
        let (median, least, most) = spread(&group, after);
        writeln!(
            text,
            "{} {} {}: goodput/bound from {REPAIR_SECONDS} s after the fault: {median:.3} \
             ({least:.3}-{most:.3})",
            plan.deployment.name, plan.scenario.name, plan.tuning.policy,
        )
        .expect("writing to a string");
    }
    text
}

/// A plot of goodput over the bound, a bar for each group of a deployment.
pub fn plot(results: &[RunResult], deployment: &str, file: &Path) -> Result<()> {
    let groups: Vec<Vec<&RunResult>> = groups(results)
        .into_iter()
        .filter(|group| group[0].plan.deployment.name == deployment)
        .collect();
    let height = 60 + 18 * groups.len() as u32;
    let area = SVGBackend::new(file, (900, height)).into_drawing_area();
    draw(&area, &groups, deployment).map_err(|error| eyre!("plot: {error}"))?;
    area.present().wrap_err("plot")
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(
    area: &Area<'_>,
    groups: &[Vec<&RunResult>],
    deployment: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let font = ("sans-serif", 12).into_font();
    area.fill(&WHITE)?;
    let title = format!("{deployment}: goodput over the engines' bound, median of seeds");
    area.draw(&Text::new(title, (10, 10), ("sans-serif", 15).into_font()))?;
    for (index, group) in groups.iter().enumerate() {
        let y = 40 + 18 * index as i32;
        let plan = &group[0].plan;
        let goodput = spread(group, |result| result.goodput / result.bound).0;
        let waste = spread(group, |result| result.wasted_prefill).0 * 100.0;
        let name = format!("{} {}", plan.scenario.name, plan.tuning.policy);
        let end = 210 + (goodput * 480.0) as i32;
        let color = match plan.tuning.policy.queues_requests() {
            true => RGBColor(40, 110, 60),
            false => RGBColor(150, 150, 150),
        };
        area.draw(&Text::new(name, (10, y), font.clone()))?;
        area.draw(&Rectangle::new([(210, y), (end, y + 12)], color.filled()))?;
        let figures = format!("{goodput:.3}, wasted {waste:.2}%");
        area.draw(&Text::new(figures, (end + 6, y), font.clone()))?;
    }
    Ok(())
}
