//! The thread that writes to the disk, so that the event loop never waits for a sync.

use std::sync::mpsc;
use std::thread;
use std::time;

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::store;
use crate::store::folder;
use crate::telemetry::metrics;

/// A request to the writer.
enum Request {
    Write(entry::Batch),
    SaveSnapshot(entry::Snapshot, Bytes),
}

/// A result of the writer.
pub(super) enum Completion {
    /// Batches up to this sequence number are durable.
    Persisted(u64),
    /// A snapshot is durable.
    SnapshotSaved(entry::Snapshot),
    /// The store has failed and accepts no more requests.
    Failed(store::Error),
}

/// The event loop's handle to the writer thread. When dropped, the thread ends once it has processed
/// all requests.
pub(super) struct Writer {
    requests: Option<mpsc::Sender<Request>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. Without `group_commit`, each batch is synced on its own.
    pub(super) fn start(
        mut store: folder::Store,
        group_commit: bool,
        completions: tokio::sync::mpsc::UnboundedSender<Completion>,
    ) -> Self {
        let (requests, queue) = mpsc::channel();
        let thread = thread::spawn(move || run(&mut store, group_commit, &queue, &completions));
        Self { requests: Some(requests), thread: Some(thread) }
    }

    /// Queues a batch to be written.
    pub(super) fn write(&self, batch: entry::Batch) {
        self.queue(Request::Write(batch));
    }

    /// Queues a snapshot to be saved.
    pub(super) fn save_snapshot(&self, snapshot: entry::Snapshot, bytes: Bytes) {
        self.queue(Request::SaveSnapshot(snapshot, bytes));
    }

    fn queue(&self, request: Request) {
        if let Some(requests) = &self.requests {
            // If the thread has ended, it has already reported the cause.
            let _ = requests.send(request);
        }
    }

    /// Waits until the thread has processed all requests and ended.
    pub(super) async fn stop(mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

fn run(
    store: &mut folder::Store,
    group_commit: bool,
    queue: &mpsc::Receiver<Request>,
    completions: &tokio::sync::mpsc::UnboundedSender<Completion>,
) {
    while let Ok(first) = queue.recv() {
        let mut requests = vec![first];
        if group_commit {
            requests.extend(queue.try_iter());
        }
        if let Err(error) = process(store, requests, completions) {
            let _ = completions.send(Completion::Failed(error));
            return;
        }
    }
}

/// Processes requests in order; batches between two snapshots are written together.
fn process(
    store: &mut folder::Store,
    requests: Vec<Request>,
    completions: &tokio::sync::mpsc::UnboundedSender<Completion>,
) -> Result<(), store::Error> {
    let mut batches = Vec::new();
    for request in requests {
        match request {
            Request::Write(batch) => batches.push(batch),
            Request::SaveSnapshot(snapshot, bytes) => {
                flush(store, &mut batches, completions)?;
                store.save_snapshot(&snapshot, &bytes)?;
                let _ = completions.send(Completion::SnapshotSaved(snapshot));
            }
        }
    }
    flush(store, &mut batches, completions)
}

fn flush(
    store: &mut folder::Store,
    batches: &mut Vec<entry::Batch>,
    completions: &tokio::sync::mpsc::UnboundedSender<Completion>,
) -> Result<(), store::Error> {
    let Some(last) = batches.last() else { return Ok(()) };
    let sequence = last.sequence;
    let started = time::Instant::now();
    store.write(batches)?;
    metrics::observe(metrics::SYNC_SECONDS, started.elapsed());
    batches.clear();
    let _ = completions.send(Completion::Persisted(sequence));
    Ok(())
}
