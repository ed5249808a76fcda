//! Bounded queue of log lines, written out by a dedicated thread.
//!
//! Logging never blocks on the log's reader. While the reader is too slow, lines are dropped and
//! counted; the lines of each event are also limited per second. Event 108 in the log itself
//! reports the number of dropped lines.

use std::collections::BTreeMap;
use std::io;
use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Capacity of the queue, in lines of some 200 bytes each.
const QUEUE_LINES: usize = 4096;

/// Limit of the lines of one event in one second: several times the rate of an event that is logged
/// for a decision on each request.
pub const MAX_EVENT_LINES: u32 = 200;

/// How long an exiting process waits for its last lines to be written.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

enum Message {
    Line(Vec<u8>),
    Flush(mpsc::Sender<()>),
}

/// Non-blocking writer of log lines.
pub struct Sink {
    queue: mpsc::SyncSender<Message>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes to `out`; the thread runs until the process exits.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the thread can't be started.
    pub fn start(out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (queue, messages) = mpsc::sync_channel(QUEUE_LINES);
        let dropped = sync::Arc::<atomic::AtomicU64>::default();
        let counted = dropped.clone();
        let write = move || write_all(io::BufWriter::new(out), &messages, &counted);
        thread::Builder::new().name("log".to_owned()).spawn(write)?;
        Ok(Self { queue, dropped })
    }

    /// Queues a line, which includes its line feed, or counts it as dropped if the queue is full.
    pub fn send(&self, line: Vec<u8>) {
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Waits until the queued lines are written, for at most 500 ms, so that a stalled reader does
    /// not block the process.
    pub fn flush(&self) {
        let (sender, written) = mpsc::channel();
        if self.queue.try_send(Message::Flush(sender)).is_ok() {
            // The caller continues whether or not the lines were written in time.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_all(
    mut out: io::BufWriter<impl io::Write>,
    messages: &mpsc::Receiver<Message>,
    dropped: &atomic::AtomicU64,
) {
    let mut next = messages.recv().ok();
    while let Some(message) = next {
        // An error in writing the log itself can't be reported anywhere.
        let _ = match message {
            Message::Line(line) => out.write_all(&line),
            Message::Flush(done) => {
                let flushed = out.flush();
                let _ = done.send(());
                flushed
            }
        };
        let lost = dropped.swap(0, atomic::Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(
                out,
                r#"{{"event":108,"level":"warn","message":"E108 lines left out: count={lost} why=slow reader"}}"#
            );
        }
        next = match messages.try_recv() {
            Ok(message) => Some(message),
            Err(_) => {
                let _ = out.flush();
                messages.recv().ok()
            }
        };
    }
}

/// Limits the lines of each event in each second.
#[derive(Debug, Default)]
pub struct RateLimiter {
    second: u64,
    lines: BTreeMap<u64, u32>,
}

impl RateLimiter {
    /// Returns whether one more line of an event may be written in this second. The first call in a
    /// new second also returns the number of dropped lines of each event in the previous one.
    pub fn admit(&mut self, event: u64, second: u64) -> (bool, Vec<(u64, u32)>) {
        let mut dropped = Vec::new();
        if second != self.second {
            self.second = second;
            let last = std::mem::take(&mut self.lines);
            let exceeded = last.into_iter().filter(|(_, lines)| *lines > MAX_EVENT_LINES);
            dropped = exceeded.map(|(event, lines)| (event, lines - MAX_EVENT_LINES)).collect();
        }
        let lines = self.lines.entry(event).or_default();
        *lines += 1;
        (*lines <= MAX_EVENT_LINES, dropped)
    }
}
