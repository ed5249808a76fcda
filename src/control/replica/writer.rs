//! The thread that writes and syncs, so that the loop stays live while the disk works.

use std::sync::mpsc;
use std::thread;
use std::time;

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::store;
use crate::store::folder;
use crate::telemetry::metrics;

/// What the writer is asked.
enum Job {
    Write(entry::Batch),
    Save(entry::Snapshot, Bytes),
}

/// What the writer has done.
pub(super) enum Done {
    /// Batches up to this number are durable.
    Persisted(u64),
    /// A snapshot is durable.
    Saved(entry::Snapshot),
    /// The store is of no use any more.
    Failed(store::Error),
}

/// The writer's end at the loop. Dropping it ends the thread once all jobs are done.
pub(super) struct Writer {
    jobs: Option<mpsc::Sender<Job>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. Without `grouped`, each batch has a sync of its own.
    pub(super) fn start(
        mut store: folder::Store,
        grouped: bool,
        done: tokio::sync::mpsc::UnboundedSender<Done>,
    ) -> Self {
        let (jobs, queue) = mpsc::channel();
        let thread = thread::spawn(move || run(&mut store, grouped, &queue, &done));
        Self { jobs: Some(jobs), thread: Some(thread) }
    }

    /// Queues a write.
    pub(super) fn write(&self, batch: entry::Batch) {
        self.queue(Job::Write(batch));
    }

    /// Queues a snapshot.
    pub(super) fn save(&self, snapshot: entry::Snapshot, bytes: Bytes) {
        self.queue(Job::Save(snapshot, bytes));
    }

    fn queue(&self, job: Job) {
        if let Some(jobs) = &self.jobs {
            // A writer that has ended has reported why.
            let _ = jobs.send(job);
        }
    }

    /// Ends the thread once all jobs are done, and waits for it.
    pub(super) async fn stop(mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

fn run(
    store: &mut folder::Store,
    grouped: bool,
    queue: &mpsc::Receiver<Job>,
    done: &tokio::sync::mpsc::UnboundedSender<Done>,
) {
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        if grouped {
            jobs.extend(queue.try_iter());
        }
        if let Err(error) = work(store, jobs, done) {
            let _ = done.send(Done::Failed(error));
            return;
        }
    }
}

/// Writes the batches up to the next snapshot together.
fn work(
    store: &mut folder::Store,
    jobs: Vec<Job>,
    done: &tokio::sync::mpsc::UnboundedSender<Done>,
) -> Result<(), store::Error> {
    let mut batches = Vec::new();
    for job in jobs {
        match job {
            Job::Write(batch) => batches.push(batch),
            Job::Save(snapshot, bytes) => {
                flush(store, &mut batches, done)?;
                store.save_snapshot(&snapshot, &bytes)?;
                let _ = done.send(Done::Saved(snapshot));
            }
        }
    }
    flush(store, &mut batches, done)
}

fn flush(
    store: &mut folder::Store,
    batches: &mut Vec<entry::Batch>,
    done: &tokio::sync::mpsc::UnboundedSender<Done>,
) -> Result<(), store::Error> {
    let Some(last) = batches.last() else { return Ok(()) };
    let sequence = last.sequence;
    let began = time::Instant::now();
    store.write(batches)?;
    metrics::observe(metrics::SYNC_SECONDS, began.elapsed());
    batches.clear();
    let _ = done.send(Done::Persisted(sequence));
    Ok(())
}
