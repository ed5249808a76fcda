//! The log: lines on standard error, as text or as one JSON object each.

use std::io;
use std::sync;

use flexi_logger::DeferredNow;
use log::kv;

use crate::settings::telemetry;

/// Keeps the logger alive for the life of the process.
static HANDLE: sync::OnceLock<Option<flexi_logger::LoggerHandle>> = sync::OnceLock::new();

/// Starts the log. The first call in a process wins; later ones change nothing.
pub fn start(options: &telemetry::Log) {
    HANDLE.get_or_init(|| start_logger(options));
}

fn start_logger(options: &telemetry::Log) -> Option<flexi_logger::LoggerHandle> {
    let level = log::LevelFilter::from(options.level);
    // Only this crate's lines: what libraries log of their own is not for operators.
    let filter = flexi_logger::LogSpecification::builder()
        .default(log::LevelFilter::Off)
        .module("hemlockcleat", level)
        .build();
    let format = match options.format {
        telemetry::Format::Plain => write_plain,
        telemetry::Format::Json => write_json,
    };
    let started = flexi_logger::Logger::with(filter).log_to_stderr().format(format).start();
    started.ok()
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
    // A field that can't be shown must not cost the line.
    let _ = record.key_values().visit(&mut line);
    serde_json::to_writer(out, &line.fields).map_err(io::Error::from)
}

/// The fields of one JSON line, in the order in which they come.
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
