//! Metrics in the Prometheus text format. Their names are constants of this module, each with a
//! help text.
//!
//! Use `metrics::counter!(NAME, ..)` and `metrics::gauge!(NAME, ..)` for counts and values, and
//! [`observe`] for durations: it also bounds the recorder's memory when the metrics are never
//! scraped.

use std::sync;
use std::sync::atomic;
use std::time;

/// Answered requests, by `outcome`: `done` or a verdict.
pub const REQUESTS: &str = "hemlockcleat_requests_total";
/// Time from a request's arrival at the entry to its answer.
pub const REQUEST_SECONDS: &str = "hemlockcleat_request_seconds";
/// HTTP responses, by `status`.
pub const RESPONSES: &str = "hemlockcleat_http_responses_total";
/// Requests that an entry refused on its own, by `reason`.
pub const REFUSALS: &str = "hemlockcleat_refusals_total";
/// Whether an entry has a stream to a leading replica: 1 or 0.
pub const CONTROL_REACHABLE: &str = "hemlockcleat_control_reachable";
/// The revision of the configuration in force.
pub const REVISION: &str = "hemlockcleat_revision";
/// Whether this replica leads: 1 or 0.
pub const LEADER: &str = "hemlockcleat_leader";
/// The term of this replica.
pub const TERM: &str = "hemlockcleat_term";
/// Entries committed.
pub const COMMITTED: &str = "hemlockcleat_committed_entries";
/// Time from a proposal to its commit.
pub const COMMIT_SECONDS: &str = "hemlockcleat_commit_seconds";
/// Duration of one sync to disk.
pub const SYNC_SECONDS: &str = "hemlockcleat_sync_seconds";
/// Bytes of the log and snapshots in the data folder.
pub const STORE_BYTES: &str = "hemlockcleat_store_bytes";
/// Jobs that wait for a placement.
pub const QUEUED: &str = "hemlockcleat_jobs_queued";
/// Jobs released to workers.
pub const RUNNING: &str = "hemlockcleat_jobs_running";
/// Workers whose agents hold a lease.
pub const WORKERS: &str = "hemlockcleat_workers_alive";
/// Duration of one decision of the planner.
pub const DECISION_SECONDS: &str = "hemlockcleat_decision_seconds";
/// Guaranteed accelerators that can't be packed on the current workers.
pub const SHORTFALL: &str = "hemlockcleat_guarantee_shortfall_accelerators";
/// Whether this agent holds a lease: 1 or 0.
pub const LEASE: &str = "hemlockcleat_lease_held";
/// Tasks running at the backend server beside this agent.
pub const TASKS: &str = "hemlockcleat_tasks_running";
/// Attempts that ended at this agent, by `result`.
pub const ATTEMPTS: &str = "hemlockcleat_attempts_total";

/// Entries of other writers that were skipped, whole or in part, by `kind`.
pub const ODD_ENTRIES: &str = "hemlockcleat_odd_entries_total";

/// Workflows that ended, by `phase`.
pub const JOBS_ENDED: &str = "hemlockcleat_workflows_ended_total";
/// Runs of tasks that ended, by `how`.
pub const RUNS_ENDED: &str = "hemlockcleat_runs_ended_total";
/// Runs of tasks that were ordered to stop, by `why`.
pub const RUNS_STOPPED: &str = "hemlockcleat_runs_stopped_total";
/// Runs that a worker listed while another run of their task was placed.
pub const RUNS_DOUBLED: &str = "hemlockcleat_runs_doubled_total";
/// Time from a workflow's acceptance to the first placement of each of its tasks.
pub const PLACE_SECONDS: &str = "hemlockcleat_task_wait_seconds";

/// Time that a step had waited when some of its tasks were placed, by `rank`; the wait starts again
/// after a stop.
pub const STEP_SECONDS: &str = "hemlockcleat_step_wait_seconds";

/// Highest `rank` label; steps of higher rank numbers are counted under it.
const MAX_RANK_LABEL: u32 = 8;

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A count that never decreases.
    Counter,
    /// A value that increases and decreases.
    Gauge,
    /// A distribution of durations, in seconds.
    Histogram,
}

/// A metric's name, kind and help text.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// The name that Prometheus uses.
    pub name: &'static str,
    /// The type of the metric.
    pub kind: Kind,
    /// The help text for operators.
    pub help: &'static str,
}

const fn metric(name: &'static str, kind: Kind, help: &'static str) -> Metric {
    Metric { name, kind, help }
}

/// All metrics.
pub const ALL: &[Metric] = &[
    metric(JOBS_ENDED, Kind::Counter, "Workflows that ended, by phase"),
    metric(RUNS_ENDED, Kind::Counter, "Runs of tasks that ended, by how"),
    metric(RUNS_STOPPED, Kind::Counter, "Runs of tasks ordered to stop, by why"),
    metric(RUNS_DOUBLED, Kind::Counter, "Runs listed while another run of their task was placed"),
    metric(PLACE_SECONDS, Kind::Histogram, "From acceptance to a task's first placement"),
    metric(STEP_SECONDS, Kind::Histogram, "Wait of a step for places, by rank"),
    metric(ODD_ENTRIES, Kind::Counter, "Entries of other writers that were skipped, by kind"),
    metric(REQUESTS, Kind::Counter, "Requests answered, by outcome"),
    metric(REQUEST_SECONDS, Kind::Histogram, "From a request's arrival to its answer"),
    metric(RESPONSES, Kind::Counter, "HTTP responses, by status"),
    metric(REFUSALS, Kind::Counter, "Requests the entry refused on its own, by reason"),
    metric(CONTROL_REACHABLE, Kind::Gauge, "1 with a stream to a leading replica"),
    metric(REVISION, Kind::Gauge, "Revision of the configuration in force"),
    metric(LEADER, Kind::Gauge, "1 where this replica leads"),
    metric(TERM, Kind::Gauge, "Term of this replica"),
    metric(COMMITTED, Kind::Gauge, "Log entries committed"),
    metric(COMMIT_SECONDS, Kind::Histogram, "From a proposal to its commit"),
    metric(SYNC_SECONDS, Kind::Histogram, "One sync to disk"),
    metric(STORE_BYTES, Kind::Gauge, "Bytes in the data folder"),
    metric(QUEUED, Kind::Gauge, "Jobs that wait for a place"),
    metric(RUNNING, Kind::Gauge, "Jobs released to workers"),
    metric(WORKERS, Kind::Gauge, "Workers whose agents hold a lease"),
    metric(DECISION_SECONDS, Kind::Histogram, "One decision of the planner"),
    metric(SHORTFALL, Kind::Gauge, "Guaranteed accelerators that can't be packed now"),
    metric(LEASE, Kind::Gauge, "1 where this agent holds a lease"),
    metric(TASKS, Kind::Gauge, "Tasks running at the backend server"),
    metric(ATTEMPTS, Kind::Counter, "Attempts ended at this agent, by result"),
];

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0, 60.0, 600.0,
];

/// Number of observations between two runs of the recorder's upkeep, which empties its buffers.
const UPKEEP_INTERVAL: u64 = 4096;

static HANDLE: sync::OnceLock<Option<metrics_exporter_prometheus::PrometheusHandle>> =
    sync::OnceLock::new();

static OBSERVATIONS: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Installs the recorder. Only the first call in a process has an effect.
pub fn start() {
    HANDLE.get_or_init(install);
}

fn install() -> Option<metrics_exporter_prometheus::PrometheusHandle> {
    let builder =
        metrics_exporter_prometheus::PrometheusBuilder::new().set_buckets(BUCKET_BOUNDS).ok()?;
    let handle = builder.install_recorder().ok()?;
    for metric in ALL {
        match metric.kind {
            Kind::Counter => metrics::describe_counter!(metric.name, metric.help),
            Kind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
            Kind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
        }
    }
    Some(handle)
}

/// Records one duration in the named histogram.
pub fn observe(name: &'static str, duration: time::Duration) {
    metrics::histogram!(name).record(duration.as_secs_f64());
    count_observation();
}

/// Records how long a step of the given rank had waited for a placement.
pub fn observe_wait(rank: u32, duration: time::Duration) {
    let rank = rank.min(MAX_RANK_LABEL).to_string();
    metrics::histogram!(STEP_SECONDS, "rank" => rank).record(duration.as_secs_f64());
    count_observation();
}

fn count_observation() {
    let observations = OBSERVATIONS.fetch_add(1, atomic::Ordering::Relaxed) + 1;
    if observations.is_multiple_of(UPKEEP_INTERVAL)
        && let Some(Some(handle)) = HANDLE.get()
    {
        handle.run_upkeep();
    }
}

/// Returns all metrics of this process in the Prometheus text format; empty if [`start`] was not
/// called or failed.
pub fn render() -> String {
    match HANDLE.get() {
        Some(Some(handle)) => handle.render(),
        _ => String::new(),
    }
}
