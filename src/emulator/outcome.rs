//! Measures of an emulation, and the bound that no schedule exceeds.

use std::collections::BTreeMap;
use std::time;

use crate::core::workflow::job;
use crate::emulator::fleet;
use crate::emulator::load;

/// The number of objectives after which a job is of no use to its caller.
const USEFUL_OBJECTIVES: u64 = 3;

/// What was played.
pub struct Played<'a> {
    /// The load.
    pub load: &'a load::Load,
    /// The jobs.
    pub jobs: &'a [load::Job],
    /// The times and phases in which jobs ended, by the job's index.
    pub ended: &'a BTreeMap<usize, (u64, job::Phase)>,
    /// The starts, by the job's index.
    pub starts: &'a BTreeMap<usize, Starts>,
    /// The workers.
    pub fleet: &'a fleet::Fleet,
    /// The number of passes of the leader.
    pub decisions: u64,
    /// The time that the passes took.
    pub decision_time: time::Duration,
}

/// The starts of a job's tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Starts {
    /// The time of the first, in milliseconds.
    pub first: u64,
    /// The highest number of a run.
    pub runs: u32,
}

/// The causes for which jobs did not complete within their objectives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Misses {
    /// No task started in the time that the objective leaves.
    pub waited: usize,
    /// A task had to run again.
    pub ran_again: usize,
    /// All started in time, but took longer: on slow workers, across racks, or one after another.
    pub ran_slowly: usize,
}

/// The service of some jobs.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// The number of jobs that were to be served.
    pub owed: usize,
    /// The number that completed within their objectives.
    pub in_time: usize,
    /// The number that completed later, within three objectives.
    pub late: usize,
    /// The worth that was earned, and the worth of all.
    pub worth: (f64, f64),
    /// Why the others were not in time.
    pub misses: Misses,
}

impl Service {
    /// Returns the part of the worth that was earned.
    pub fn earned(&self) -> f64 {
        self.worth.0 / self.worth.1.max(f64::MIN_POSITIVE)
    }

    /// Returns the part of the jobs that were served, in time or late.
    pub fn served(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.owed.max(1) as f64
    }
}

/// The measures of an emulation.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The service of all jobs.
    pub all: Service,
    /// The service of each kind.
    pub kinds: Vec<Service>,
    /// The service of the largest tenth of each kind.
    pub largest: Vec<Service>,
    /// The least part of the worth that a client account earned.
    pub worst_account: f64,
    /// The part of the worth that a schedule could earn at most, if room were divisible.
    pub bound: f64,
    /// The work of all jobs relative to what the workers can do while jobs arrive.
    pub demand: f64,
    /// The work that was thrown away, in seconds of whole workers.
    pub wasted: f64,
    /// The numbers of ends of runs, by reason.
    pub ends: BTreeMap<&'static str, u64>,
    /// The median and the 95th percentile of the wait for the first start, in milliseconds.
    pub waits: (u64, u64),
    /// The number of passes and their mean time.
    pub decisions: (u64, time::Duration),
}

impl Outcome {
    /// Computes the measures.
    pub fn new(played: Played<'_>) -> Self {
        let Played { load, jobs, ended, .. } = played;
        let mut all = Service::default();
        let mut kinds = vec![Service::default(); load.kinds.len()];
        let mut largest = vec![Service::default(); load.kinds.len()];
        let mut accounts: BTreeMap<u32, Service> = BTreeMap::new();
        let thresholds: Vec<f64> = (0..load.kinds.len()).map(|kind| tenth(jobs, kind)).collect();
        for (number, job) in jobs.iter().enumerate() {
            let end = ended.get(&number);
            if job.cancelled.is_some() {
                continue;
            }
            let mut groups = vec![&mut all, &mut kinds[job.kind]];
            if job.work >= thresholds[job.kind] {
                groups.push(&mut largest[job.kind]);
            }
            groups.push(accounts.entry(job.account).or_default());
            for group in groups {
                group.add(job, end, played.starts.get(&number));
            }
        }
        let mut waits: Vec<u64> =
            played.starts.iter().map(|(job, starts)| starts.first - jobs[*job].arrives).collect();
        waits.sort_unstable();
        let percentile = |percent: usize| {
            waits.get(waits.len().saturating_sub(1) * percent / 100).copied().unwrap_or(0)
        };
        let speed: f64 = load.speeds.iter().sum::<f64>() / load.speeds.len() as f64;
        let room = f64::from(load.workers) * speed;
        let work: f64 = jobs.iter().map(|job| job.work).sum();
        Self {
            bound: bound(jobs, room * load.length as f64) / all.worth.1.max(f64::MIN_POSITIVE),
            worst_account: accounts.values().map(Service::earned).fold(1.0, f64::min),
            all,
            kinds,
            largest,
            demand: work / (room * load.arrivals as f64),
            wasted: played.fleet.wasted / 1000.0,
            ends: played.fleet.ends.clone(),
            waits: (percentile(50), percentile(95)),
            decisions: (
                played.decisions,
                played.decision_time / u32::try_from(played.decisions.max(1)).unwrap_or(u32::MAX),
            ),
        }
    }
}

impl Service {
    fn add(&mut self, job: &load::Job, end: Option<&(u64, job::Phase)>, starts: Option<&Starts>) {
        self.owed += 1;
        self.worth.1 += job.worth.0;
        let took = match end {
            Some((at, job::Phase::Completed)) => at - job.arrives,
            _ => u64::MAX,
        };
        if took <= job.objective {
            self.in_time += 1;
            self.worth.0 += job.worth.0;
            return;
        }
        let slack = job.objective.saturating_sub(job.chain);
        match starts {
            Some(starts) if starts.first - job.arrives <= slack => match starts.runs {
                1 => self.misses.ran_slowly += 1,
                _ => self.misses.ran_again += 1,
            },
            _ => self.misses.waited += 1,
        }
        if took <= job.objective.saturating_mul(USEFUL_OBJECTIVES) {
            self.late += 1;
            self.worth.0 += job.worth.1;
        }
    }
}

/// Returns the work from which a job is among the largest tenth of its kind.
fn tenth(jobs: &[load::Job], kind: usize) -> f64 {
    let own = jobs.iter().filter(|job| job.kind == kind);
    let mut works: Vec<f64> = own.map(|job| job.work).collect();
    works.sort_by(f64::total_cmp);
    works.get(works.len() * 9 / 10).copied().unwrap_or(f64::INFINITY)
}

/// Returns the most worth that jobs can earn within some work, as milliseconds of whole workers.
fn bound(jobs: &[load::Job], room: f64) -> f64 {
    let mut owed: Vec<&load::Job> = jobs.iter().filter(|job| job.cancelled.is_none()).collect();
    owed.sort_by(|a, b| (b.worth.0 / b.work).total_cmp(&(a.worth.0 / a.work)));
    let (mut left, mut worth) = (room, 0.0);
    for job in owed {
        let part = (left / job.work.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        worth += job.worth.0 * part;
        left -= job.work * part;
    }
    worth
}
