//! The log: lines on standard output, as text or as one JSON object each.

use std::io;
use std::sync;

use flexi_logger::DeferredNow;
use flexi_logger::writers;
use log::kv;

use crate::settings::telemetry;
use crate::telemetry::sink;

/// Keeps the logger alive until the process exits.
static HANDLE: sync::OnceLock<Option<flexi_logger::LoggerHandle>> = sync::OnceLock::new();

/// Starts the log. Only the first call in a process has an effect.
pub fn start(options: &telemetry::Log) {
    HANDLE.get_or_init(|| start_logger(options));
}

/// Writes out the queued lines before the process exits.
pub fn flush() {
    if let Some(Some(handle)) = HANDLE.get() {
        handle.flush();
    }
}

fn start_logger(options: &telemetry::Log) -> Option<flexi_logger::LoggerHandle> {
    let level = log::LevelFilter::from(options.level);
    // Only this crate's lines are written; those of libraries are not meant for operators.
    let filter = flexi_logger::LogSpecification::builder()
        .default(log::LevelFilter::Off)
        .module("hemlockcleat", level)
        .build();
    let format = match options.format {
        telemetry::Format::Plain => write_plain,
        telemetry::Format::Json => write_json,
    };
    let sink = sink::Sink::start(io::stdout()).ok()?;
    let writer = Writer { sink, format, limiter: sync::Mutex::default(), level };
    let started = flexi_logger::Logger::with(filter).log_to_writer(Box::new(writer)).start();
    started.ok()
}

type Format = fn(&mut dyn io::Write, &mut DeferredNow, &log::Record<'_>) -> Result<(), io::Error>;

/// Passes lines to the sink, within the rate limit of each event.
struct Writer {
    sink: sink::Sink,
    format: Format,
    limiter: sync::Mutex<sink::RateLimiter>,
    level: log::LevelFilter,
}

impl Writer {
    fn line(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        self.sink.send(line);
        Ok(())
    }
}

impl writers::LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let event = kv::Key::from_str("event");
        let event = record.key_values().get(event).and_then(|number| number.to_u64()).unwrap_or(0);
        let second = now.now().timestamp().unsigned_abs();
        let admitted = self.limiter.lock().map(|mut limiter| limiter.admit(event, second));
        let (admitted, dropped) = admitted.unwrap_or((true, Vec::new()));
        for (event, count) in dropped {
            let details = format_args!("E108 lines left out: of={event} count={count} why=rate");
            let pairs = [("event", 108)];
            let notice = log::Record::builder()
                .target("hemlockcleat")
                .level(log::Level::Warn)
                .key_values(&pairs)
                .args(details)
                .build();
            self.line(now, &notice)?;
        }
        if admitted { self.line(now, record) } else { Ok(()) }
    }

    fn flush(&self) -> io::Result<()> {
        self.sink.flush();
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        self.level
    }
}

/// Writes `TIME LEVEL MESSAGE`.
fn write_plain(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let at = now.format_rfc3339();
    write!(out, "{at} {:<5} {}", record.level(), record.args())
}

/// Writes one JSON object: `at`, `level`, `message`, and the record's own fields.
fn write_json(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let mut line = Line::default();
    line.insert("at", now.format_rfc3339());
    line.insert("level", record.level().as_str().to_lowercase());
    line.insert("message", record.args().to_string());
    // A field that can't be formatted must not prevent the line from being written.
    let _ = record.key_values().visit(&mut line);
    serde_json::to_writer(out, &line.fields).map_err(io::Error::from)
}

/// The fields of one JSON line, in the order in which they are inserted.
#[derive(Default)]
struct Line {
    fields: serde_json::Map<String, serde_json::Value>,
}

impl Line {
    fn insert(&mut self, key: &str, value: impl Into<serde_json::Value>) {
        self.fields.insert(key.to_owned(), value.into());
    }
}

impl<'kvs> kv::VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        match value.to_u64() {
            Some(number) => self.insert(key.as_str(), number),
            None => self.insert(key.as_str(), value.to_string()),
        }
        Ok(())
    }
}
