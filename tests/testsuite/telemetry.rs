//! Tests of the trace context, metrics, the catalogue of events and the log's queue.

use std::collections::BTreeSet;
use std::time;

use hemlockcleat::settings;
use hemlockcleat::telemetry;
use hemlockcleat::telemetry::event;
use hemlockcleat::telemetry::metrics;
use hemlockcleat::telemetry::trace;
use hemlockcleat::wire::common;
use rstest::rstest;

const SAMPLE: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[test]
fn traceparent_round_trip() {
    let context: trace::Context = SAMPLE.parse().expect("the sample is valid");
    assert_eq!(context.trace, 0x4bf9_2f35_77b3_4da6_a3ce_929d_0e0e_4736);
    assert_eq!(context.span, 0x00f0_67aa_0ba9_02b7);
    assert_eq!(context.to_string(), SAMPLE);
    let wire = common::TraceContext::from(context);
    assert_eq!(trace::Context::try_from(wire).expect("the same context"), context);
}

#[rstest]
#[case::empty("", trace::Error::Digits("version"))]
#[case::short("00-4bf92f3577b34da6a3ce929d0e0e4736", trace::Error::Form)]
#[case::upper(
    "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
    trace::Error::Digits("trace")
)]
#[case::signed(
    "00-+bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
    trace::Error::Digits("trace")
)]
#[case::span_length(
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b-01",
    trace::Error::Digits("span")
)]
#[case::zero_trace(
    "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
    trace::Error::Zero("trace")
)]
#[case::zero_span(
    "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
    trace::Error::Zero("span")
)]
#[case::extra("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x", trace::Error::Form)]
#[case::version_ff("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", trace::Error::Form)]
fn traceparent_fault(#[case] text: &str, #[case] expected: trace::Error) {
    assert_eq!(text.parse::<trace::Context>(), Err(expected));
    assert_eq!(trace::Context::from_header(Some(text)), trace::Context::NONE);
}

#[test]
fn traceparent_later_version() {
    let text = "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more";
    let context: trace::Context = text.parse().expect("later versions may append fields");
    assert_eq!(context.to_string(), SAMPLE);
}

#[rstest]
#[case::no_span(1, 0)]
#[case::no_trace(0, 1)]
fn trace_wire_fault(#[case] trace: u128, #[case] span: u64) {
    assert!(
        trace::Context::try_from(common::TraceContext { trace_id: trace, parent_span: span })
            .is_err()
    );
}

#[test]
fn hop_preserves_trace() {
    let parent = SAMPLE.parse::<trace::Context>().expect("the sample is valid");
    let first = trace::Hop::start("first", parent);
    let second = trace::Hop::start("second", first.context());
    assert_eq!(second.context().trace, parent.trace);
    assert_ne!(first.context().span, parent.span);
    assert_ne!(first.context().span, second.context().span);
    assert_ne!(trace::Hop::start("new", trace::Context::NONE).context().trace, 0);
}

#[test]
fn metrics_render() {
    telemetry::start(&settings::telemetry::Telemetry::default());
    telemetry::start(&settings::telemetry::Telemetry::default());
    metrics::observe(metrics::SYNC_SECONDS, time::Duration::from_millis(3));
    let text = metrics::render();
    assert!(text.contains("# TYPE hemlockcleat_sync_seconds histogram"), "{text}");
    assert!(text.contains("hemlockcleat_sync_seconds_bucket{le=\"0.005\"}"), "{text}");
}

#[test]
fn metrics_names_unique() {
    let names: BTreeSet<_> = metrics::ALL.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), metrics::ALL.len());
}

#[test]
fn event_numbers_unique() {
    let numbers: BTreeSet<_> = event::all().map(|event| event.number).collect();
    assert_eq!(numbers.len(), event::all().count());
}

#[rstest]
#[case::general(event::general::ALL, 100)]
#[case::control(event::control::ALL, 200)]
#[case::store(event::store::ALL, 300)]
#[case::entry(event::entry::ALL, 400)]
#[case::agent(event::agent::ALL, 500)]
fn event_numbers_range(#[case] events: &[event::Event], #[case] first: u16) {
    for event in events {
        assert!((first..first + 100).contains(&event.number), "{event:?}");
    }
}

/// Returns the rows of the catalogue: number, level and title.
fn catalogue() -> BTreeSet<(u16, String, String)> {
    let text = include_str!("../../docs/EVENTS.md");
    let rows = text.lines().filter_map(|line| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let number = cells.next()?.parse().ok()?;
        Some((number, cells.next()?.to_owned(), cells.next()?.to_owned()))
    });
    rows.collect()
}

#[test]
fn events_catalogue() {
    let row = |event: &event::Event| {
        (event.number, event.level.as_str().to_lowercase(), event.title.to_owned())
    };
    let events: BTreeSet<_> = event::all().map(row).collect();
    let rows = catalogue();
    let missing: Vec<_> = events.difference(&rows).collect();
    let extra: Vec<_> = rows.difference(&events).collect();
    assert!(missing.is_empty() && extra.is_empty(), "missing {missing:?}, extra {extra:?}");
}

/// Output that blocks until the gate opens, and then stores what is written to it.
struct BlockedOutput {
    gate: std::sync::mpsc::Receiver<()>,
    written: std::sync::Arc<std::sync::Mutex<Vec<u8>>>,
    open: bool,
}

impl std::io::Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.open {
            // A closed channel opens the gate as well.
            let _ = self.gate.recv();
            self.open = true;
        }
        self.written.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_drops_lines_instead_of_blocking() {
    let (open, gate) = std::sync::mpsc::channel();
    let written = std::sync::Arc::<std::sync::Mutex<Vec<u8>>>::default();
    let output = BlockedOutput { gate, written: written.clone(), open: false };
    let sink = hemlockcleat::telemetry::sink::Sink::start(output).expect("a thread");
    // Sends far more lines than the queue holds; this must not block although none is read.
    let line = vec![b'x'; 512];
    for _ in 0..20_000 {
        sink.send(line.clone());
    }
    open.send(()).expect("the writing thread waits");
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
    loop {
        sink.send(b"after\n".to_vec());
        sink.flush();
        let text = String::from_utf8_lossy(&written.lock().expect("no panic")).into_owned();
        if text.contains("E108 lines left out: count=") && text.contains("after") {
            return;
        }
        assert!(std::time::Instant::now() < deadline, "the dropped lines are not reported");
    }
}

#[test]
fn log_limits_each_event_separately() {
    let mut limiter = hemlockcleat::telemetry::sink::RateLimiter::default();
    let limit = hemlockcleat::telemetry::sink::MAX_EVENT_LINES;
    let admitted = (0..limit + 50).filter(|_| limiter.admit(214, 1).0).count();
    assert_eq!(admitted, limit as usize);
    assert!(limiter.admit(215, 1).0, "another event has its own limit");
    assert_eq!(limiter.admit(214, 2), (true, vec![(214, 50)]));
}
