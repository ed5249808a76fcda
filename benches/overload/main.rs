//! Service of a fleet under more work than it can do, in virtual time.
//!
//! `cargo bench --bench overload` plays a cooperative's load, with a burst of urgent jobs, at several
//! sizes and rates with three seeds each, and prints the table of docs/MEASURES.md. Two numbers as
//! arguments play one row: the number of workers, and the factor of the rates.

use hemlockcleat::emulator::load;
use hemlockcleat::emulator::outcome;
use hemlockcleat::emulator::world;

const SEEDS: [u64; 3] = [1, 2, 3];

/// The numbers of workers.
const SIZES: [u32; 3] = [15, 60, 240];

/// The factors of the rates; at 1 the work is about what the workers can do.
const FACTORS: [f64; 3] = [0.5, 1.0, 2.0];

/// The urgent kind of the load, and the span and factor of its burst.
const URGENT_KIND: usize = 1;
const BURST_SPAN: (u64, u64) = (2000, 8000);
const BURST_FACTOR: f64 = 2.3;

fn main() {
    println!(
        "| workers | factor | demand | bound | earned | by kind | largest tenth | worst account \
         | wasted, s | waits, ms | waited | ran again | ran slowly | pass, us |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let arguments: Vec<f64> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    let sizes = arguments.first().map_or(SIZES.to_vec(), |workers| vec![*workers as u32]);
    let factors = arguments.get(1).map_or(FACTORS.to_vec(), |factor| vec![*factor]);
    for workers in sizes {
        for factor in factors.iter().copied() {
            let load = load::Load::cooperative(workers, factor);
            let load = load.with_burst(URGENT_KIND, BURST_SPAN, BURST_FACTOR);
            let outcomes: Vec<_> = SEEDS.iter().map(|seed| world::run(&load, *seed)).collect();
            print_row(workers, factor, &outcomes);
        }
    }
}

fn print_row(workers: u32, factor: f64, outcomes: &[outcome::Outcome]) {
    let mean = |of: &dyn Fn(&outcome::Outcome) -> f64| {
        outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64
    };
    let kinds = |of: &dyn Fn(&outcome::Outcome, usize) -> f64| {
        let each = (0..outcomes[0].kinds.len()).map(|kind| mean(&|outcome| of(outcome, kind)));
        each.map(|value| format!("{value:.2}")).collect::<Vec<_>>().join(" ")
    };
    let misses = |of: &dyn Fn(&outcome::Misses) -> usize| {
        kinds(&|outcome, kind| {
            let service = &outcome.kinds[kind];
            of(&service.misses) as f64 / service.owed.max(1) as f64
        })
    };
    println!(
        "| {workers} | {factor} | {:.2} | {:.3} | {:.3} | {} | {} | {:.2} | {:.0} | {:.0} {:.0} | {} | {} | {} | {:.0} |",
        mean(&|outcome| outcome.demand),
        mean(&|outcome| outcome.bound),
        mean(&|outcome| outcome.all.earned()),
        kinds(&|outcome, kind| outcome.kinds[kind].earned()),
        kinds(&|outcome, kind| outcome.largest[kind].served()),
        mean(&|outcome| outcome.worst_account),
        mean(&|outcome| outcome.wasted),
        mean(&|outcome| outcome.waits.0 as f64),
        mean(&|outcome| outcome.waits.1 as f64),
        misses(&|misses| misses.waited),
        misses(&|misses| misses.ran_again),
        misses(&|misses| misses.ran_slowly),
        mean(&|outcome| outcome.decisions.1.as_secs_f64() * 1e6),
    );
}
