//! Instruments of a daemon.

use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider;
use prometheus::Encoder;

use crate::call_class;

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
    pub fn new() -> Result<Self, MetricsError> {
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
