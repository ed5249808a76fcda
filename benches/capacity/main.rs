//! Measures the resource usage of each role with 10, 50 and 200 workers, and its growth per worker.
//!
//! Every daemon is a separate process on loopback; the stand-in backend servers and the relays
//! that count bytes run in this process. `cargo bench --bench capacity` prints the tables of
//! `docs/CAPACITY.md`. Arguments that are numbers replace the sizes.

use std::collections::BTreeSet;
use std::env;
use std::time;

use serde_json::json;

mod process;

#[allow(dead_code)]
#[path = "../../tests/testsuite/support"]
mod support {
    pub mod deployment;
}

use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;

/// Number of workers in each run.
const SIZES: [usize; 3] = [10, 50, 200];

/// Idle time of a cluster before it is measured.
const WARM_UP: time::Duration = time::Duration::from_secs(5);

/// Duration of each measurement.
const MEASUREMENT: time::Duration = time::Duration::from_secs(15);

/// Rate of requests under load.
const REQUESTS_PER_SECOND: u32 = 40;

/// Number of tickets whose propagation is timed.
const TICKETS: u64 = 5;

/// Average usage of a process of one role during a measurement.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Processor time, in percent of a core.
    cpu: f64,
    /// Resident memory at the end, in MiB.
    memory: f64,
    /// Bytes per second from and to its peers.
    bytes: f64,
}

/// Costs of every role in one measurement.
#[derive(Clone, Copy, Debug, Default)]
struct Costs {
    leader: Cost,
    follower: Cost,
    entry: Cost,
    agent: Cost,
}

/// Results for one number of workers.
struct Run {
    workers: usize,
    idle: Costs,
    load: Costs,
    answered_count: usize,
    propagation: Vec<time::Duration>,
}

fn main() {
    let sizes: Vec<usize> = env::args().filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { SIZES.to_vec() } else { sizes };
    let runs: Vec<Run> =
        sizes.into_iter().map(|workers| actix_rt::System::new().block_on(run(workers))).collect();
    print_costs("At rest", &runs, |run| &run.idle);
    print_costs(&format!("At {REQUESTS_PER_SECOND} requests a second"), &runs, |run| &run.load);
    print_propagation(&runs);
    print_slopes(&runs);
}

async fn run(workers: usize) -> Run {
    let cluster = Cluster::start(cluster::Size { entries: 1, workers }).await;
    tokio::time::sleep(WARM_UP).await;
    let idle = measure(&cluster, tokio::time::sleep(MEASUREMENT)).await;
    let mut answered_count = 0;
    let load = measure(&cluster, async { answered_count = send_load(&cluster).await }).await;
    let propagation = propagation(&cluster).await;
    Run { workers, idle, load, answered_count, propagation }
}

/// Measures the usage of every process while `work` runs.
async fn measure(cluster: &Cluster, work: impl Future<Output = ()>) -> Costs {
    let leader = cluster.leader().await;
    let leaders = vec![cluster.controls[leader].id()];
    let others = (0..cluster.controls.len()).filter(|index| *index != leader);
    let followers: Vec<u32> = others.map(|index| cluster.controls[index].id()).collect();
    let entries: Vec<u32> = cluster.entries.iter().map(cluster::Node::id).collect();
    let agents: Vec<u32> = cluster.agents.iter().map(cluster::Node::id).collect();
    let groups = [leaders, followers, entries, agents];
    let before = all_usage(cluster, &groups).await;
    let started = time::Instant::now();
    work.await;
    let elapsed = started.elapsed().as_secs_f64();
    let after = all_usage(cluster, &groups).await;
    let cost = |index: usize| {
        let count = groups[index].len() as f64;
        Cost {
            cpu: (after[index].cpu - before[index].cpu) / elapsed / count * 100.0,
            memory: after[index].memory / count / f64::from(1 << 20),
            bytes: (after[index].bytes - before[index].bytes) / elapsed / count,
        }
    };
    Costs { leader: cost(0), follower: cost(1), entry: cost(2), agent: cost(3) }
}

async fn all_usage(cluster: &Cluster, groups: &[Vec<u32>; 4]) -> [Cost; 4] {
    let mut costs = [Cost::default(); 4];
    for (cost, group) in costs.iter_mut().zip(groups) {
        *cost = usage(cluster, group).await;
    }
    costs
}

/// Returns the total usage of a group of processes so far. Bytes include the connections that a
/// process opened and, for control replicas, also those that it accepted.
async fn usage(cluster: &Cluster, group: &[u32]) -> Cost {
    let members: BTreeSet<u32> = group.iter().copied().collect();
    let mut total = Cost::default();
    for process in group {
        let usage = process::usage(*process);
        total.cpu += usage.cpu;
        total.memory += usage.memory as f64;
    }
    for (index, relay) in cluster.relays.iter().enumerate() {
        let dialled = members.contains(&cluster.controls[index].id());
        for (source, traffic) in relay.traffic().await {
            if dialled || members.contains(&source) {
                total.bytes += (traffic.up + traffic.down) as f64;
            }
        }
    }
    total
}

/// Sends requests at a constant rate for one measurement, and returns how many were answered.
async fn send_load(cluster: &Cluster) -> usize {
    let caller = cluster.caller();
    let request = json!({
        "service": cluster::SERVICE,
        "kind": cluster::REPEATABLE,
        "accelerators": 1,
        "run_time_ms": 20,
    });
    let count = REQUESTS_PER_SECOND * MEASUREMENT.as_secs() as u32;
    let started = tokio::time::Instant::now();
    let requests = (0..count).map(|number| {
        let (caller, request) = (caller.clone(), request.clone());
        async move {
            tokio::time::sleep_until(started + MEASUREMENT * number / count).await;
            let key = format!("load-{number}");
            let response = caller.submit(0, &key, &request, time::Duration::from_secs(10)).await;
            response.is_some_and(|response| response.status == 200)
        }
    });
    let answered = futures_util::future::join_all(requests).await;
    answered.into_iter().filter(|answered| *answered).count()
}

/// Returns the times from the acceptance of a ticket until every agent has reported its revision.
async fn propagation(cluster: &Cluster) -> Vec<time::Duration> {
    let mut delays = Vec::new();
    for number in 0..TICKETS {
        let ticket = json!({
            "number": 100 + number,
            "accounts": {cluster::ACCOUNT: cluster::account(500 + number as u32)},
        });
        let response = cluster.ticket(0, &ticket).await.expect("a response");
        let revision = response.json()["revision"].as_u64().expect("a revision");
        let started = time::Instant::now();
        cluster
            .wait_until("every agent shows it", async || all_at_revision(cluster, revision).await)
            .await;
        delays.push(started.elapsed());
    }
    delays
}

async fn all_at_revision(cluster: &Cluster, revision: u64) -> bool {
    let Some(answer) = cluster.get(0, "/v1/workers").await else { return false };
    let workers = answer["workers"].as_array().cloned().unwrap_or_default();
    workers.iter().all(|worker| worker["revision"].as_u64() >= Some(revision))
}

fn roles(costs: &Costs) -> [(&'static str, Cost); 4] {
    [
        ("control, leading", costs.leader),
        ("control, following", costs.follower),
        ("entry", costs.entry),
        ("agent", costs.agent),
    ]
}

fn print_costs(title: &str, runs: &[Run], costs: impl Fn(&Run) -> &Costs) {
    println!("\n{title}, each process:\n");
    println!("| role | workers | CPU, % of a core | memory, MiB | bytes/s |");
    println!("| --- | --- | --- | --- | --- |");
    for index in 0..4 {
        for run in runs {
            let (role, cost) = roles(costs(run))[index];
            println!(
                "| {role} | {} | {:.2} | {:.1} | {:.0} |",
                run.workers, cost.cpu, cost.memory, cost.bytes
            );
        }
    }
}

fn print_propagation(runs: &[Run]) {
    println!("\nRequests answered under load, and the spread of a ticket to every agent:\n");
    println!("| workers | answered | of | median, ms | worst, ms |");
    println!("| --- | --- | --- | --- | --- |");
    for run in runs {
        let mut delays: Vec<u128> = run.propagation.iter().map(time::Duration::as_millis).collect();
        delays.sort_unstable();
        let offered = u64::from(REQUESTS_PER_SECOND) * MEASUREMENT.as_secs();
        println!(
            "| {} | {} | {offered} | {} | {} |",
            run.workers,
            run.answered_count,
            delays[delays.len() / 2],
            delays[delays.len() - 1]
        );
    }
}

fn print_slopes(runs: &[Run]) {
    println!("\nStraight lines through the sizes, at rest:\n");
    println!("| role | measure | base | for each worker |");
    println!("| --- | --- | --- | --- |");
    for index in 0..4 {
        let role = roles(&runs[0].idle)[index].0;
        let fit_cost = |pick: fn(Cost) -> f64| {
            let points =
                runs.iter().map(|run| (run.workers as f64, pick(roles(&run.idle)[index].1)));
            fit(&points.collect::<Vec<_>>())
        };
        let (base, slope) = fit_cost(|cost| cost.cpu);
        println!("| {role} | CPU, % of a core | {base:.3} | {slope:.5} |");
        let (base, slope) = fit_cost(|cost| cost.memory);
        println!("| {role} | memory, MiB | {base:.2} | {slope:.4} |");
        let (base, slope) = fit_cost(|cost| cost.bytes);
        println!("| {role} | bytes/s | {base:.0} | {slope:.1} |");
    }
}

/// Fits a line by least squares; returns its value at 0 and its slope.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    (mean_y - slope * mean_x, slope)
}
