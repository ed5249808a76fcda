//! Measures the replicated log: `cargo bench --bench log`.
//!
//! Each replica runs on its own thread with its own data folder; messages go over loopback.

use std::fs;
use std::path;
use std::time;

use hemlockcleat::control::replica;

mod node;
mod relay;

/// The length of a proposed entry in bytes.
const ENTRY_BYTES: usize = 200;

/// The number of times that the leader is killed.
const KILLS: usize = 12;

fn main() {
    println!("## Commits, three replicas, entries of {ENTRY_BYTES} bytes\n");
    println!("| sync | relay, one way | read p50 ms | callers | commits/s | p50 ms | p99 ms |");
    println!("|---|---|---|---|---|---|---|");
    for (grouped, delay) in [(true, 0), (false, 0), (true, 1), (true, 3)] {
        commits(grouped, delay);
    }
    println!("\n## Reads, three replicas, no delay\n");
    reads();
    println!("\n## Time without a leader after a kill\n");
    kills();
    println!("\n## Start of a single replica against the length of its log\n");
    println!("| entries | bytes on disk | bytes an entry | start to leadership ms |");
    println!("|---|---|---|---|");
    for entries in [1_000, 8_000, 24_000, 64_000] {
        starts(entries);
    }
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

fn commits(grouped: bool, delay: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let options = replica::Options { group_commit: grouped, ..Default::default() };
    let delay_span = time::Duration::from_millis(delay);
    let mut nodes = node::group(folder.path(), 3, delay_span, options);
    for (callers, entries) in [(1, 400), (8, 3200), (64, 12_800)] {
        let leader = node::leader(&nodes);
        // A read takes one round trip and no sync.
        let read = nodes[leader].load(node::Workload { callers: 1, entries: 200, size: 0 });
        let load = nodes[leader].load(node::Workload { callers, entries, size: ENTRY_BYTES });
        println!(
            "| {} | {delay} ms | {:.2} | {callers} | {:.0} | {:.2} | {:.2} |",
            if grouped { "shared" } else { "each" },
            millis(read.latency.value_at_quantile(0.5)),
            load.count as f64 / load.span.as_secs_f64(),
            millis(load.latency.value_at_quantile(0.5)),
            millis(load.latency.value_at_quantile(0.99)),
        );
    }
    nodes.iter_mut().for_each(node::Node::stop);
}

fn reads() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut nodes = node::group(folder.path(), 3, time::Duration::ZERO, Default::default());
    println!("| callers | reads/s | p50 ms | p99 ms |");
    println!("|---|---|---|---|");
    for callers in [1, 64] {
        let leader = node::leader(&nodes);
        let load = nodes[leader].load(node::Workload { callers, entries: 12_800, size: 0 });
        println!(
            "| {callers} | {:.0} | {:.2} | {:.2} |",
            load.count as f64 / load.span.as_secs_f64(),
            millis(load.latency.value_at_quantile(0.5)),
            millis(load.latency.value_at_quantile(0.99)),
        );
    }
    nodes.iter_mut().for_each(node::Node::stop);
}

fn kills() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut nodes = node::group(folder.path(), 3, time::Duration::ZERO, Default::default());
    let mut outages = Vec::new();
    for _ in 0..KILLS {
        let leader = node::leader(&nodes);
        nodes[leader].load(node::Workload { callers: 1, entries: 20, size: ENTRY_BYTES });
        nodes[leader].stop();
        let killed = time::Instant::now();
        node::leader(&nodes);
        outages.push(killed.elapsed().as_millis());
        nodes[leader].start();
        // The restarted node has to catch up before the next kill.
        std::thread::sleep(time::Duration::from_millis(1200));
    }
    nodes.iter_mut().for_each(node::Node::stop);
    outages.sort_unstable();
    println!(
        "{KILLS} kills: shortest {} ms, median {} ms, longest {} ms",
        outages[0],
        outages[KILLS / 2],
        outages[KILLS - 1]
    );
}

fn starts(entries: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut nodes = node::group(folder.path(), 1, time::Duration::ZERO, Default::default());
    node::leader(&nodes);
    nodes[0].load(node::Workload { callers: 64, entries, size: ENTRY_BYTES });
    nodes[0].stop();
    let bytes = size_of(&folder.path().join("replica1"));
    let started = time::Instant::now();
    nodes[0].start();
    node::leader(&nodes);
    let span = started.elapsed();
    nodes[0].stop();
    println!("| {entries} | {bytes} | {} | {} |", bytes / entries, span.as_millis());
}

fn size_of(folder: &path::Path) -> u64 {
    let files = fs::read_dir(folder).expect("a folder");
    files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len())).sum()
}
