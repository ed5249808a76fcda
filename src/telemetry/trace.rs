//! Tracing: the W3C trace context of a request, and a span for each of its hops.
//!
//! Each hop starts a [`Hop`] from the context that it received, and passes [`Hop::context`] to the
//! next one. A finished hop is logged as event 103; its duration is measured in this process.

use std::fmt;
use std::future;
use std::str;
use std::sync;
use std::sync::atomic;
use std::time;

use quick_error::quick_error;
use tracing::Instrument as _;
use tracing::field;
use tracing::span;
use tracing_subscriber::layer;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::registry;

use crate::macros;
use crate::telemetry::event::general;
use crate::wire::codec;
use crate::wire::common;

/// The name of the header that carries a [`Context`].
pub const HEADER: &str = "traceparent";

macros::copy_types! {
    /// W3C trace context: a trace, and the span that is the parent of the next one.
    #[derive(Default)]
    pub struct Context {
        /// The trace's identifier of 16 bytes, or zero if there is no trace.
        pub trace: u128,
        /// The parent span's identifier of 8 bytes, or zero if there is no parent.
        pub span: u64,
    }
}

quick_error! {
    /// A fault of a `traceparent` header. The request is processed without the header.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The header is not of the form `00-TRACE-SPAN-FLAGS`.
        Form {
            display("traceparent is not of the form 00-TRACE-SPAN-FLAGS")
        }
        /// A field is not lower-case hexadecimal of the expected length.
        Digits(field: &'static str) {
            display("traceparent: {} is not lower-case hexadecimal of its length", field)
        }
        /// The identifier of the trace or the span is zero.
        Zero(field: &'static str) {
            display("traceparent: {} is zero", field)
        }
    }
}

impl Context {
    /// The context of a request that carries none.
    pub const NONE: Context = Context { trace: 0, span: 0 };

    /// Parses a `traceparent` header; [`Context::NONE`] if it is missing or malformed.
    pub fn from_header(value: Option<&str>) -> Self {
        value.and_then(|text| text.parse().ok()).unwrap_or(Self::NONE)
    }
}

/// Formats the context as a `traceparent` header with the `sampled` flag.
impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}

impl str::FromStr for Context {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut fields = text.split('-');
        let version = hex(fields.next(), 2, "version")?;
        let trace = hex(fields.next(), 32, "trace")?;
        let span = hex(fields.next(), 16, "span")?;
        hex(fields.next(), 2, "flags")?;
        // Later versions may append fields; version 00 has none, and ff is not a version.
        if version == 0xff || (version == 0 && fields.next().is_some()) {
            return Err(Error::Form);
        }
        if trace == 0 {
            return Err(Error::Zero("trace"));
        }
        if span == 0 {
            return Err(Error::Zero("span"));
        }
        let span = u64::try_from(span).map_err(|_| Error::Digits("span"))?;
        Ok(Self { trace, span })
    }
}

fn hex(text: Option<&str>, length: usize, field: &'static str) -> Result<u128, Error> {
    let text = text.ok_or(Error::Form)?;
    let digits = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if text.len() != length || !digits {
        return Err(Error::Digits(field));
    }
    u128::from_str_radix(text, 16).map_err(|_| Error::Digits(field))
}

impl From<Context> for common::TraceContext {
    fn from(context: Context) -> Self {
        Self { trace_id: context.trace, parent_span: context.span }
    }
}

impl TryFrom<common::TraceContext> for Context {
    type Error = codec::Error;

    fn try_from(trace: common::TraceContext) -> Result<Self, codec::Error> {
        // Both identifiers are set, or neither is.
        if (trace.trace_id == 0) != (trace.parent_span == 0) {
            return Err(codec::Error::OutOfRange("trace"));
        }
        Ok(Self { trace: trace.trace_id, span: trace.parent_span })
    }
}

/// One hop of a request. Its span ends when the hop and all futures that it runs are dropped.
#[derive(Clone, Debug)]
pub struct Hop {
    span: tracing::Span,
    context: Context,
}

impl Hop {
    /// Starts a hop such as `entry.submit` as a child of `parent`, or a new trace if `parent` is
    /// [`Context::NONE`].
    pub fn start(name: &'static str, parent: Context) -> Self {
        let trace = if parent.trace == 0 { random_u128() } else { parent.trace };
        let context = Context { trace, span: random_u64() };
        let span = tracing::info_span!(
            target: "hemlockcleat",
            "hop",
            name,
            trace,
            span = context.span,
            parent = parent.span,
            outcome = field::Empty,
        );
        Self { span, context }
    }

    /// The context for the next hop.
    pub fn context(&self) -> Context {
        self.context
    }

    /// Records the hop's outcome, such as `done` or `not-run`.
    pub fn outcome(&self, outcome: &str) {
        self.span.record("outcome", outcome);
    }

    /// Runs a future as part of this hop.
    pub fn run<F: future::Future>(&self, future: F) -> impl future::Future<Output = F::Output> {
        future.instrument(self.span.clone())
    }
}

fn random_u64() -> u64 {
    // A failure of the random generator makes the trace ambiguous but does not fail the request.
    getrandom::u64().unwrap_or(1).max(1)
}

fn random_u128() -> u128 {
    (u128::from(random_u64()) << 64) | u128::from(random_u64())
}

/// Whether finished spans are logged.
static SPANS_ENABLED: atomic::AtomicBool = atomic::AtomicBool::new(false);

static STARTED: sync::Once = sync::Once::new();

/// Installs the layer. Only the first call in a process has an effect.
pub fn start(spans: bool) {
    STARTED.call_once(|| {
        SPANS_ENABLED.store(spans, atomic::Ordering::Relaxed);
        let subscriber = registry::Registry::default().with(Layer);
        // Fails if the program has already installed its own subscriber, which then stays in use.
        let _ = tracing::subscriber::set_global_default(subscriber);
    });
}

/// Logs each finished hop, and this crate's `tracing` events as connection errors.
struct Layer;

/// State of an open span.
struct SpanRecord {
    name: String,
    context: Context,
    parent: u64,
    outcome: String,
    started: time::Instant,
}

impl SpanRecord {
    fn new() -> Self {
        Self {
            name: String::new(),
            context: Context::NONE,
            parent: 0,
            outcome: String::new(),
            started: time::Instant::now(),
        }
    }
}

impl field::Visit for SpanRecord {
    fn record_debug(&mut self, _field: &field::Field, _value: &dyn fmt::Debug) {}

    fn record_u128(&mut self, field: &field::Field, value: u128) {
        if field.name() == "trace" {
            self.context.trace = value;
        }
    }

    fn record_u64(&mut self, field: &field::Field, value: u64) {
        match field.name() {
            "span" => self.context.span = value,
            "parent" => self.parent = value,
            _ => {}
        }
    }

    fn record_str(&mut self, field: &field::Field, value: &str) {
        match field.name() {
            "name" => value.clone_into(&mut self.name),
            "outcome" => value.clone_into(&mut self.outcome),
            _ => {}
        }
    }
}

impl<S> layer::Layer<S> for Layer
where
    S: tracing::Subscriber + for<'a> registry::LookupSpan<'a>,
{
    fn enabled(&self, metadata: &tracing::Metadata<'_>, _ctx: layer::Context<'_, S>) -> bool {
        metadata.target().starts_with("hemlockcleat") && *metadata.level() <= tracing::Level::INFO
    }

    fn on_new_span(&self, attrs: &span::Attributes<'_>, id: &span::Id, ctx: layer::Context<'_, S>) {
        let Some(span) = ctx.span(id) else { return };
        let mut record = SpanRecord::new();
        attrs.record(&mut record);
        span.extensions_mut().insert(record);
    }

    fn on_record(&self, id: &span::Id, values: &span::Record<'_>, ctx: layer::Context<'_, S>) {
        let Some(span) = ctx.span(id) else { return };
        if let Some(record) = span.extensions_mut().get_mut::<SpanRecord>() {
            values.record(record);
        }
    }

    fn on_event(&self, event: &tracing::Event<'_>, _ctx: layer::Context<'_, S>) {
        let mut text = EventText(String::new());
        event.record(&mut text);
        general::CONNECTION_ERROR.log(format_args!("{}", text.0.trim_start()));
    }

    fn on_close(&self, id: span::Id, ctx: layer::Context<'_, S>) {
        let Some(span) = ctx.span(&id) else { return };
        if let Some(record) = span.extensions().get::<SpanRecord>() {
            log_hop(record);
        }
    }
}

/// Formats the fields of a `tracing` event as text.
struct EventText(String);

impl field::Visit for EventText {
    fn record_debug(&mut self, field: &field::Field, value: &dyn fmt::Debug) {
        use fmt::Write as _;
        // Writing to a string can't fail.
        let _ = match field.name() {
            "message" => write!(self.0, " {value:?}"),
            name => write!(self.0, " {name}={value:?}"),
        };
    }
}

fn log_hop(record: &SpanRecord) {
    if !SPANS_ENABLED.load(atomic::Ordering::Relaxed) {
        return;
    }
    let trace = format!("{:032x}", record.context.trace);
    let span = format!("{:016x}", record.context.span);
    let parent = format!("{:016x}", record.parent);
    let micros = u64::try_from(record.started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let pairs = [
        ("trace", log::kv::Value::from(trace.as_str())),
        ("span", log::kv::Value::from(span.as_str())),
        ("parent", log::kv::Value::from(parent.as_str())),
        ("name", log::kv::Value::from(record.name.as_str())),
        ("outcome", log::kv::Value::from(record.outcome.as_str())),
        ("duration_us", log::kv::Value::from(micros)),
    ];
    general::HOP_ENDED.log_pairs(&pairs);
}
