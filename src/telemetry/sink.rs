//! Where log lines go: a bounded queue that a thread of its own writes out.
//!
//! Logging never waits for whoever reads the log. While the reader is slow, lines are left out and
//! counted; each event has a bound on its lines a second as well. What was left out is said in the
//! log itself, with event 108.

use std::collections::BTreeMap;
use std::io;
use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Lines that may wait to be written; some 200 bytes each.
const QUEUE: usize = 4096;

/// Lines of one event in one second: several times what a decision a request comes to.
pub const EVENT_LINES: u32 = 200;

/// How long the end of a process waits for its last lines.
const FLUSH_WAIT: time::Duration = time::Duration::from_millis(500);

enum Message {
    Line(Vec<u8>),
    Flush(mpsc::Sender<()>),
}

/// A log's way out of the process.
pub struct Sink {
    queue: mpsc::SyncSender<Message>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes to `out`. It ends with the process.
    pub fn start(out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (queue, messages) = mpsc::sync_channel(QUEUE);
        let dropped = sync::Arc::<atomic::AtomicU64>::default();
        let counted = dropped.clone();
        let write = move || write_all(io::BufWriter::new(out), &messages, &counted);
        thread::Builder::new().name("log".to_owned()).spawn(write)?;
        Ok(Self { queue, dropped })
    }

    /// Takes a line, with its end, or counts it as left out.
    pub fn send(&self, line: Vec<u8>) {
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Waits until what was sent is written, but not for a reader that does not read.
    pub fn flush(&self) {
        let (sender, written) = mpsc::channel();
        if self.queue.try_send(Message::Flush(sender)).is_ok() {
            // Either way the process goes on.
            let _ = written.recv_timeout(FLUSH_WAIT);
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
        // There is nobody to tell that the log itself can't be written.
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

/// Bounds the lines of each event in each second.
#[derive(Debug, Default)]
pub struct Bound {
    second: u64,
    lines: BTreeMap<u64, u32>,
}

impl Bound {
    /// Whether one more line of an event may be written at this second. At the first line of a new
    /// second, tells how many of each event were left out in the last one.
    pub fn admit(&mut self, event: u64, second: u64) -> (bool, Vec<(u64, u32)>) {
        let mut left_out = Vec::new();
        if second != self.second {
            self.second = second;
            let last = std::mem::take(&mut self.lines);
            let over = last.into_iter().filter(|(_, lines)| *lines > EVENT_LINES);
            left_out = over.map(|(event, lines)| (event, lines - EVENT_LINES)).collect();
        }
        let lines = self.lines.entry(event).or_default();
        *lines += 1;
        (*lines <= EVENT_LINES, left_out)
    }
}
