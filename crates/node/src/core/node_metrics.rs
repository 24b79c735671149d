//! Metric instruments of a daemon.

use std::time;

use damasktrack_admission::admission_gate;
use damasktrack_admission::gate_report;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider;
use prometheus::Encoder;

use crate::call::call_class;
use crate::call::control_traffic;

/// Upper bounds of the latency histogram, in seconds: about three for each factor of ten, from half a millisecond to a
/// minute.
const LATENCY_BOUNDS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Instruments, and the registry from which they are read; cheap to clone.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: prometheus::Registry,
    /// Keeps the instruments alive.
    _provider: opentelemetry_sdk::metrics::SdkMeterProvider,
    latency: metrics::Histogram<f64>,
    undispatched: metrics::Counter<u64>,
    context_missing: metrics::Counter<u64>,
    work_admitted: metrics::Counter<u64>,
    work_queued: metrics::Counter<u64>,
    work_refused: metrics::Counter<u64>,
    work_ended: metrics::Counter<u64>,
    work_limit: metrics::Gauge<u64>,
    work_running: metrics::Gauge<u64>,
    work_waiting: metrics::Gauge<u64>,
    level: metrics::Gauge<u64>,
    refused: metrics::Counter<u64>,
    retried: metrics::Counter<u64>,
    hedged: metrics::Counter<u64>,
    ejected: metrics::Counter<u64>,
    cross_region: metrics::Counter<u64>,
}

/// Error of the exporter, because of which the instruments can't be created.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
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
            work_admitted: meter
                .u64_counter("damasktrack_work_admitted")
                .with_description("Calls that were sent to the local backend server without a wait in the queue")
                .build(),
            work_queued: meter
                .u64_counter("damasktrack_work_queued")
                .with_description("Calls that had to wait for the local backend server")
                .build(),
            work_refused: meter
                .u64_counter("damasktrack_work_refused")
                .with_description("Calls for the local backend server that were refused and did not run")
                .build(),
            work_ended: meter
                .u64_counter("damasktrack_work_ended")
                .with_description("Calls at the local backend server that ended, by result")
                .build(),
            work_limit: meter
                .u64_gauge("damasktrack_work_limit")
                .with_description("Calls that the local backend server may run at once")
                .build(),
            work_running: meter
                .u64_gauge("damasktrack_work_running")
                .with_description("Calls that the local backend server runs")
                .build(),
            work_waiting: meter
                .u64_gauge("damasktrack_work_waiting")
                .with_description("Calls that wait for the local backend server")
                .build(),
            refused: meter
                .u64_counter("damasktrack_calls_refused")
                .with_description("Calls that ended as refused at the daemon that sends them, by reason")
                .build(),
            retried: meter
                .u64_counter("damasktrack_calls_retried")
                .with_description("Attempts beyond the first, without hedges")
                .build(),
            hedged: meter
                .u64_counter("damasktrack_calls_hedged")
                .with_description("Second copies of slow calls")
                .build(),
            ejected: meter
                .u64_counter("damasktrack_servers_ejected")
                .with_description("Ejections of servers from routing, by service and cause")
                .build(),
            cross_region: meter
                .u64_counter("damasktrack_cross_region_bytes")
                .with_description("Body bytes of responses from other regions")
                .build(),
            level: meter
                .u64_gauge("damasktrack_level")
                .with_description("Lowest level that the local backend server admits, as importance * 128 + cohort")
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

    /// Counts the admission decision about a call for the local backend server.
    pub fn count_arrival(&self, class: &call_class::CallClass, decision: gate_report::ArrivalDecision) {
        match decision {
            gate_report::ArrivalDecision::Start => self.work_admitted.add(1, &class_attributes(class)),
            gate_report::ArrivalDecision::Queued => self.work_queued.add(1, &class_attributes(class)),
            gate_report::ArrivalDecision::Refuse(reason) => self.count_work_refused(class, reason),
        }
    }

    /// Counts a refused call for the local backend server.
    pub fn count_work_refused(&self, class: &call_class::CallClass, reason: call_outcome::RefusalReason) {
        let [tenant, class] = class_attributes(class);
        let reason = opentelemetry::KeyValue::new("reason", reason.to_string());
        self.work_refused.add(1, &[tenant, class, reason]);
    }

    /// Counts the end of a call at the local backend server.
    pub fn count_work_end(&self, class: &call_class::CallClass, result: gate_report::FinishResult) {
        let [tenant, class] = class_attributes(class);
        let result = match result {
            gate_report::FinishResult::Completed => "completed",
            gate_report::FinishResult::ShedByBackendServer => "shed by backend server",
            gate_report::FinishResult::Failed => "failed",
            gate_report::FinishResult::Cancelled => "cancelled",
        };
        let result = opentelemetry::KeyValue::new("result", result);
        self.work_ended.add(1, &[tenant, class, result]);
    }

    /// Counts a call that ended as refused at the daemon that sends it.
    pub fn count_refused(&self, class: &call_class::CallClass, reason: call_outcome::RefusalReason) {
        let [tenant, class] = class_attributes(class);
        let reason = opentelemetry::KeyValue::new("reason", reason.to_string());
        self.refused.add(1, &[tenant, class, reason]);
    }

    /// Counts an attempt beyond the first.
    pub fn count_retried(&self, class: &call_class::CallClass) {
        self.retried.add(1, &class_attributes(class));
    }

    /// Counts a second copy of a slow call.
    pub fn count_hedged(&self, class: &call_class::CallClass) {
        self.hedged.add(1, &class_attributes(class));
    }

    /// Counts an ejection of a server.
    pub fn count_ejected(&self, service: &ids::ServiceName, cause: &'static str) {
        let service = opentelemetry::KeyValue::new("service", ids::text(service).into_owned());
        let cause = opentelemetry::KeyValue::new("cause", cause);
        self.ejected.add(1, &[service, cause]);
    }

    /// Counts bytes of a response from another region.
    pub fn count_cross_region(&self, class: &call_class::CallClass, bytes: u64) {
        self.cross_region.add(bytes, &class_attributes(class));
    }

    /// Records the state of the admission gate.
    pub fn record_gate(&self, gate: &admission_gate::AdmissionGate) {
        let counts = gate.counts();
        self.work_limit.record(u64::from(gate.limit()), &[]);
        self.work_running.record(u64::from(counts.running), &[]);
        self.work_waiting.record(counts.queued as u64, &[]);
        self.level.record(gate.level().index() as u64, &[]);
    }
}

fn class_attributes(class: &call_class::CallClass) -> [opentelemetry::KeyValue; 2] {
    [
        opentelemetry::KeyValue::new("tenant", ids::text(&class.tenant).into_owned()),
        opentelemetry::KeyValue::new("class", ids::text(&class.name).into_owned()),
    ]
}

/// Registers counters of the bytes of control messages, by kind.
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

/// Registers the processor time and the resident memory of the process.
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
