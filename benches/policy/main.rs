//! Measures of the scheduling policy: this scheduler and two baselines on five seeds of each user's
//! workload. `cargo bench --bench policy` prints the tables of docs/MEASURES.md.

mod baseline;
mod driver;
mod workload;

use hemlockcleat::core::account;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::placement::planner;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Bound on the start of urgent jobs, in milliseconds.
const START_BOUND_MS: u64 = 1600;

/// The measures of one simulation.
struct Measures {
    done_p50: f64,
    done_p99: f64,
    not_idle_p50: f64,
    not_idle_p99: f64,
    class_p50: [f64; 4],
    class_p99: [f64; 4],
    deadlines_met: f64,
    placeable: f64,
    busy: f64,
    urgent_p99: f64,
    urgent_in_time: f64,
    short_p50: f64,
    short_p99: f64,
    longest: [f64; 4],
    claims: f64,
    claim_longest: f64,
    refused: f64,
    preemptions: f64,
}

/// A user's name and the generator of its workload.
type User = (&'static str, fn(u64) -> workload::Workload);

const POLICIES: [&str; 3] = ["fifo", "fifo+backfill", "hemlockcleat"];

fn main() {
    let users: [User; 2] =
        [("cooperative evening", workload::cooperative), ("franchise day", workload::franchise)];
    for (user, generate) in users {
        println!("## {user}\n");
        let mut all: Vec<Vec<Measures>> = vec![Vec::new(), Vec::new(), Vec::new()];
        for seed in SEEDS {
            let workload = generate(seed);
            for (policy, measures) in all.iter_mut().enumerate() {
                measures.push(measure(&workload, policy));
            }
        }
        print_table(&all);
        print_targets(&all);
    }
}

fn measure(workload: &workload::Workload, policy: usize) -> Measures {
    let mut scheduler: Box<dyn baseline::Scheduler> = match policy {
        0 => Box::new(baseline::Fifo::new(false)),
        1 => Box::new(baseline::Fifo::new(true)),
        _ => Box::new(planner::Planner::new()),
    };
    let result = driver::simulate(workload, scheduler.as_mut());
    measures(workload, &result)
}

fn measures(workload: &workload::Workload, result: &driver::SimulationResult) -> Measures {
    let mut done = Vec::new();
    let mut not_idle = Vec::new();
    let mut classes = [const { Vec::new() }; 4];
    let mut short = Vec::new();
    let mut urgent = Vec::new();
    let mut longest = [0.0_f64; 4];
    let (mut deadlines_met, mut refused, mut preemptions, mut submitted_jobs) = (0, 0, 0, 0);
    for (arrival, outcome) in workload.arrivals.iter().zip(&result.outcomes) {
        let queued = &arrival.queued;
        let submitted = queued.submitted.0;
        let class = workload.config.kind(&queued.service, &queued.kind).unwrap().class as usize;
        refused += u32::from(outcome.refused);
        preemptions += outcome.preemptions;
        submitted_jobs += 1;
        deadlines_met += u32::from(outcome.done.is_some_and(|done| done <= queued.deadline.0));
        let Some(started) = outcome.started else { continue };
        let wait = started - submitted;
        longest[class] = longest[class].max(wait as f64);
        let completion = outcome.done.map_or(0, |done| done - submitted);
        done.push(completion);
        classes[class].push(completion);
        if class < 3 {
            not_idle.push(completion);
        }
        if arrival.short {
            short.push(wait);
        }
        if class == 0 {
            urgent.push(wait);
        }
    }
    let mut claims = claim_waits(workload, result);
    let in_time = urgent.iter().filter(|wait| **wait <= START_BOUND_MS).count();
    Measures {
        urgent_in_time: 100.0 * in_time as f64 / urgent.len().max(1) as f64,
        done_p50: quantile(&mut done, 50),
        done_p99: quantile(&mut done, 99),
        not_idle_p50: quantile(&mut not_idle, 50),
        not_idle_p99: quantile(&mut not_idle, 99),
        class_p50: classes.each_mut().map(|class| quantile(class, 50)),
        class_p99: classes.each_mut().map(|class| quantile(class, 99)),
        deadlines_met: 100.0 * f64::from(deadlines_met) / f64::from(submitted_jobs),
        placeable: 100.0 * result.placeable,
        busy: 100.0 * result.busy,
        urgent_p99: quantile(&mut urgent, 99),
        short_p50: quantile(&mut short, 50),
        short_p99: quantile(&mut short, 99),
        longest,
        claims: claims.len() as f64,
        claim_longest: quantile(&mut claims, 100),
        refused: f64::from(refused),
        preemptions: f64::from(preemptions),
    }
}

/// The waiting times of the claims on guarantees, in milliseconds.
///
/// A claim is an urgent or scheduled job of exactly a guaranteed shape, submitted while its account
/// has fewer other such jobs unfinished than the guarantee counts.
fn claim_waits(workload: &workload::Workload, result: &driver::SimulationResult) -> Vec<u64> {
    let may_claim = |queued: &plan::Queued| {
        let kind = workload.config.kind(&queued.service, &queued.kind).unwrap();
        kind.class <= account::Class::Scheduled
    };
    let jobs: Vec<_> = workload
        .arrivals
        .iter()
        .zip(&result.outcomes)
        .filter(|(arrival, _)| may_claim(&arrival.queued))
        .map(|(arrival, outcome)| (&arrival.queued, outcome))
        .collect();
    let mut waits = Vec::new();
    for (queued, outcome) in &jobs {
        let guarantees = &workload.config.accounts[&queued.account].guarantees;
        let exact = guarantees.iter().find(|guarantee| guarantee.shape == queued.shape);
        let Some(guarantee) = exact else { continue };
        let others = jobs.iter().filter(|(other, outcome)| {
            other.account == queued.account
                && other.job < queued.job
                && outcome.done.is_none_or(|done| done > queued.submitted.0)
        });
        if others.count() < guarantee.count as usize {
            waits.extend(outcome.started.map(|started| started - queued.submitted.0));
        }
    }
    waits
}

/// A quantile in seconds of values in milliseconds.
fn quantile(values: &mut [u64], percent: usize) -> f64 {
    values.sort_unstable();
    let index = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(index).map_or(0.0, |value| *value as f64 / 1000.0)
}

/// A row of the tables: its name, the measure, and whether less is better.
type Row = (&'static str, fn(&Measures) -> f64, bool);

const ROWS: [Row; 25] = [
    ("completion p50, s", |measures| measures.done_p50, true),
    ("completion p99, s", |measures| measures.done_p99, true),
    ("completion p50 but idle, s", |measures| measures.not_idle_p50, true),
    ("completion p99 but idle, s", |measures| measures.not_idle_p99, true),
    ("urgent p50, s", |measures| measures.class_p50[0], true),
    ("scheduled p50, s", |measures| measures.class_p50[1], true),
    ("deferred p50, s", |measures| measures.class_p50[2], true),
    ("scheduled p99, s", |measures| measures.class_p99[1], true),
    ("deferred p99, s", |measures| measures.class_p99[2], true),
    ("idle p50, s", |measures| measures.class_p50[3], true),
    ("deadlines met, %", |measures| measures.deadlines_met, false),
    ("largest placeable gang over free, %", |measures| measures.placeable, false),
    ("accelerators busy, %", |measures| measures.busy, false),
    ("urgent start p99, s", |measures| measures.urgent_p99, true),
    ("urgent starts within 1.6 s, %", |measures| measures.urgent_in_time, false),
    ("short work's wait p50, s", |measures| measures.short_p50, true),
    ("short work's wait p99, s", |measures| measures.short_p99, true),
    ("longest wait urgent, s", |measures| measures.longest[0] / 1000.0, true),
    ("longest wait scheduled, s", |measures| measures.longest[1] / 1000.0, true),
    ("longest wait deferred, s", |measures| measures.longest[2] / 1000.0, true),
    ("longest wait idle, s", |measures| measures.longest[3] / 1000.0, true),
    ("guarantee claims", |measures| measures.claims, false),
    ("slowest start of a claim, s", |measures| measures.claim_longest, true),
    ("refused", |measures| measures.refused, true),
    ("runs stopped for others", |measures| measures.preemptions, true),
];

fn print_table(all: &[Vec<Measures>]) {
    println!("| measure | policy | seeds 1 to 5 | median | worst |");
    println!("|---|---|---|---|---|");
    for (name, read, less) in ROWS {
        for (policy, measures) in POLICIES.iter().zip(all) {
            let values: Vec<_> = measures.iter().map(read).collect();
            let mut sorted = values.clone();
            sorted.sort_by(f64::total_cmp);
            let worst = if less { sorted[sorted.len() - 1] } else { sorted[0] };
            let seeds: Vec<_> = values.iter().map(|value| format!("{value:.1}")).collect();
            let median = sorted[sorted.len() / 2];
            println!("| {name} | {policy} | {} | {median:.1} | {worst:.1} |", seeds.join(" "));
        }
    }
    println!();
}

/// A target: its name, the measure, whether less is better, and the bound. Without a bound, this
/// scheduler is compared with the better baseline.
struct Target {
    name: &'static str,
    read: fn(&Measures) -> f64,
    less: bool,
    bound: Option<f64>,
}

const fn against_baseline(name: &'static str, read: fn(&Measures) -> f64, less: bool) -> Target {
    Target { name, read, less, bound: None }
}

const TARGETS: [Target; 11] = [
    Target {
        name: "claims start within 1.6 s and the longest grace (2 s)",
        read: |measures| measures.claim_longest,
        less: true,
        bound: Some(3.6),
    },
    Target {
        name: "urgent start p99 within 1.6 s",
        read: |measures| measures.urgent_p99,
        less: true,
        bound: Some(1.6),
    },
    against_baseline("deadlines met", |measures| measures.deadlines_met, false),
    against_baseline("largest placeable gang over free", |measures| measures.placeable, false),
    against_baseline("completion p50", |measures| measures.done_p50, true),
    against_baseline("completion p99", |measures| measures.done_p99, true),
    against_baseline("completion p50 but idle", |measures| measures.not_idle_p50, true),
    against_baseline("completion p99 but idle", |measures| measures.not_idle_p99, true),
    against_baseline("longest wait urgent", |measures| measures.longest[0], true),
    against_baseline("longest wait scheduled", |measures| measures.longest[1], true),
    against_baseline("longest wait deferred", |measures| measures.longest[2], true),
];

/// Prints on how many seeds each target is met, and how the medians compare.
fn print_targets(all: &[Vec<Measures>]) {
    println!("| target | seeds on which it is met | median against the better baseline's |");
    println!("|---|---|---|");
    for target in TARGETS {
        let sign = if target.less { 1.0 } else { -1.0 };
        let value = |policy: usize, seed: usize| sign * (target.read)(&all[policy][seed]);
        let seeds = 0..SEEDS.len();
        let bound = |seed: usize| target.bound.unwrap_or(value(0, seed).min(value(1, seed)));
        let met = seeds.clone().filter(|&seed| value(2, seed) <= bound(seed)).count();
        let median = |policy: usize| {
            let mut values: Vec<_> = seeds.clone().map(|seed| value(policy, seed)).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        let limit = target.bound.unwrap_or(median(0).min(median(1)));
        let word = match median(2).total_cmp(&limit) {
            std::cmp::Ordering::Less => "better",
            std::cmp::Ordering::Equal => "equal",
            std::cmp::Ordering::Greater => "worse",
        };
        println!("| {} | {met} of {} | {word} |", target.name, SEEDS.len());
    }
    println!();
}
