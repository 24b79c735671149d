//! Instruments of a daemon.

use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider;
use prometheus::Encoder;

use crate::call_class;
use crate::control_traffic;

/// Upper bounds of the latency histogram, in seconds: about three for each factor of ten, from half a millisecond to a
/// minute.
const LATENCY_BOUNDS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Instruments and the registry that they are read from; cheap to clone.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: prometheus::Registry,
    /// Keeps the instruments alive.
    _provider: opentelemetry_sdk::metrics::SdkMeterProvider,
    latency: metrics::Histogram<f64>,
    undispatched: metrics::Counter<u64>,
    context_missing: metrics::Counter<u64>,
}

/// Why the instruments can't be created.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
#[display("metrics can't be set up: {_0}")]
pub struct MetricsError(opentelemetry_sdk::error::OTelSdkError);

/// Commands.
impl NodeMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// Returns an error if the exporter can't be built.
    pub fn new(traffic: &control_traffic::ControlTraffic) -> Result<Self, MetricsError> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = opentelemetry_sdk::metrics::SdkMeterProvider::builder()
            .with_reader(exporter)
            .build();
        let meter = provider.meter("damasktrack");
        observe_control(&meter, traffic);
        observe_process(&meter);
        Ok(Self {
            latency: meter
                .f64_histogram("damasktrack_call_duration")
                .with_unit("s")
                .with_description("Time from the arrival of a call at its entry daemon to the end of its response")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            undispatched: meter
                .u64_counter("damasktrack_calls_undispatched")
                .with_description("Calls that the entry daemon answered without sending them on")
                .build(),
            context_missing: meter
                .u64_counter("damasktrack_context_missing")
                .with_description("Calls on the loopback address without a context header")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Records an ended call under its tenant and class.
    pub fn record_call(&self, class: &call_class::CallClass, outcome: &'static str, duration: time::Duration) {
        let attributes = [
            opentelemetry::KeyValue::new("tenant", ids::text(&class.tenant).into_owned()),
            opentelemetry::KeyValue::new("class", ids::text(&class.name).into_owned()),
            opentelemetry::KeyValue::new("outcome", outcome),
        ];
        self.latency.record(duration.as_secs_f64(), &attributes);
    }

    /// Counts a call that was answered without being sent on.
    pub fn count_undispatched(&self, outcome: call_outcome::CallOutcome) {
        let attribute = opentelemetry::KeyValue::new("outcome", outcome.to_string());
        self.undispatched.add(1, &[attribute]);
    }

    /// Counts a call on the loopback address without a context.
    pub fn count_context_missing(&self) {
        self.context_missing.add(1, &[]);
    }
}

/// Registers the bytes of the control work, by kind.
fn observe_control(meter: &metrics::Meter, traffic: &control_traffic::ControlTraffic) {
    let attribute = |kind| [opentelemetry::KeyValue::new("kind", kind)];
    let counts = traffic.clone();
    let _sent = meter
        .u64_observable_counter("damasktrack_control_bytes_sent")
        .with_description("Bytes of control messages sent, without HTTP and TCP headers")
        .with_callback(move |observer| {
            for (kind, count) in counts.kinds() {
                observer.observe(count.sent(), &attribute(kind));
            }
        })
        .build();
    let counts = traffic.clone();
    let _received = meter
        .u64_observable_counter("damasktrack_control_bytes_received")
        .with_description("Bytes of control messages received, without HTTP and TCP headers")
        .with_callback(move |observer| {
            for (kind, count) in counts.kinds() {
                observer.observe(count.received(), &attribute(kind));
            }
        })
        .build();
}

/// Registers what the process takes of its VM.
fn observe_process(meter: &metrics::Meter) {
    let _cpu = meter
        .f64_observable_counter("damasktrack_process_cpu_seconds")
        .with_description("Processor time of the daemon, user and system")
        .with_callback(|observer| {
            if let Some(seconds) = control_traffic::process_cpu_seconds() {
                observer.observe(seconds, &[]);
            }
        })
        .build();
    let _memory = meter
        .u64_observable_gauge("damasktrack_process_resident_memory")
        .with_unit("By")
        .with_description("Resident memory of the daemon")
        .with_callback(|observer| {
            if let Some(bytes) = control_traffic::resident_bytes() {
                observer.observe(bytes, &[]);
            }
        })
        .build();
}

/// Queries.
impl NodeMetrics {
    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:% = error; "metrics can't be rendered");
        }
        text
    }
}
