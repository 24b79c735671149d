//! OpenTelemetry instruments of a daemon, exported in the text format of Prometheus.

use std::time;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use damasktrack_pipeline::byte_account;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider;
use prometheus::Encoder;

use crate::feed_schedule;
use crate::link_budget;
use crate::server_notice;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: &[f64] = &[0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Counter of requests by tenant.
const TENANT_REQUESTS: &str = "damasktrack_tenant_requests";
/// Histogram of the latency by tenant.
const TENANT_DURATION: &str = "damasktrack_tenant_duration";
/// Largest number of series of an instrument with a label for tenants: those of 1,001 labels with up to seven outcomes,
/// and as many again for tenants that a later configuration replaces. The default of the library is 2,000.
const TENANT_SERIES: usize = 14_000;

/// Instruments and the Prometheus registry that exports them.
#[derive(Clone, Debug)]
pub struct ForwardMetrics {
    registry: prometheus::Registry,
    /// Kept because dropping the last reference shuts the instruments down.
    _provider: opentelemetry_sdk::metrics::SdkMeterProvider,
    duration: metrics::Histogram<f64>,
    tenant_requests: metrics::Counter<u64>,
    tenant_duration: metrics::Histogram<f64>,
    attempts: metrics::Counter<u64>,
    work: metrics::Counter<u64>,
    repeats: metrics::Counter<u64>,
    yielded_repeats: metrics::Counter<u64>,
    rounds: metrics::Counter<u64>,
    rejected: metrics::Counter<u64>,
    feed: FeedInstruments,
    server: ServerInstruments,
    quarantined: metrics::Gauge<u64>,
    quarantine_refusals: metrics::Counter<u64>,
    quotas: QuotaInstruments,
    capacity_spillovers: metrics::Counter<u64>,
    account: AccountInstruments,
    running: metrics::Gauge<u64>,
    queued: metrics::Gauge<u64>,
    config_version: metrics::Gauge<u64>,
    request_limit: metrics::Gauge<f64>,
}

/// Why the instruments can't be created.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
#[display("metrics can't be set up: {_0}")]
pub struct MetricsError(opentelemetry_sdk::error::OTelSdkError);

/// Raises the limit of series for the instruments by tenant.
fn tenant_stream(instrument: &opentelemetry_sdk::metrics::Instrument) -> Option<opentelemetry_sdk::metrics::Stream> {
    if ![TENANT_REQUESTS, TENANT_DURATION].contains(&instrument.name()) {
        return None;
    }
    let stream = opentelemetry_sdk::metrics::Stream::builder();
    stream.with_cardinality_limit(TENANT_SERIES).build().ok()
}

/// Instruments of the quotas.
#[derive(Clone, Debug)]
struct QuotaInstruments {
    refusals: metrics::Counter<u64>,
    holds: metrics::Counter<u64>,
    reports: metrics::Counter<u64>,
    granted: metrics::Gauge<u64>,
    held: metrics::Gauge<u64>,
}

impl QuotaInstruments {
    fn new(meter: &metrics::Meter) -> Self {
        Self {
            refusals: counter(
                meter,
                "damasktrack_quota_refusals",
                "Requests refused since their tenant is above its quota",
            ),
            holds: counter(
                meter,
                "damasktrack_quota_holds",
                "Requests that waited for the end of an outage of the quotas",
            ),
            reports: counter(
                meter,
                "damasktrack_quota_reports",
                "Reports to the coordinators of the quotas",
            ),
            granted: gauge(
                meter,
                "damasktrack_quota_granted",
                "Credits granted as coordinator since the start, by the coordinators in use",
            ),
            held: gauge(
                meter,
                "damasktrack_quota_held",
                "Credits that this daemon holds and has not spent",
            ),
        }
    }
}

/// Instruments of the calls that wait for changes of the configuration.
#[derive(Clone, Debug)]
struct FeedInstruments {
    failures: metrics::Counter<u64>,
    sentinel: metrics::Gauge<u64>,
}

impl FeedInstruments {
    fn new(meter: &metrics::Meter) -> Self {
        Self {
            failures: counter(
                meter,
                "damasktrack_config_feed_failures",
                "Calls to the store for the configuration that failed or got no response in time",
            ),
            sentinel: gauge(
                meter,
                "damasktrack_config_sentinel",
                "Whether this daemon follows the store with short waits",
            ),
        }
    }
}

/// Instruments of the backend server's life.
#[derive(Clone, Debug)]
struct ServerInstruments {
    ends: metrics::Counter<u64>,
    unacknowledged_departures: metrics::Counter<u64>,
}

impl ServerInstruments {
    fn new(meter: &metrics::Meter) -> Self {
        Self {
            ends: counter(
                meter,
                "damasktrack_server_ends",
                "Ends of the backend server with calls in flight, by whether it had announced its departure",
            ),
            unacknowledged_departures: counter(
                meter,
                "damasktrack_unacknowledged_departures",
                "Departure messages of the backend server that were not acknowledged, since the store doesn't have them",
            ),
        }
    }
}

/// Instruments of the account of bytes and connections.
#[derive(Clone, Debug)]
struct AccountInstruments {
    held_bytes: metrics::Gauge<u64>,
    open_connections: metrics::Gauge<u64>,
    given_up: metrics::Gauge<u64>,
    outgoing: metrics::Gauge<u64>,
}

impl AccountInstruments {
    fn new(meter: &metrics::Meter) -> Self {
        Self {
            held_bytes: meter
                .u64_gauge("damasktrack_held_bytes")
                .with_unit("By")
                .with_description("Bytes held for requests and responses, by purpose")
                .build(),
            open_connections: gauge(
                meter,
                "damasktrack_open_connections",
                "Accepted connections that are open, by listener",
            ),
            given_up: gauge(
                meter,
                "damasktrack_given_up",
                "Requests refused, connections closed and calls without a connection at a bound since the start, by kind",
            ),
            outgoing: gauge(
                meter,
                "damasktrack_outgoing_connections",
                "Outgoing connections that are open where they are bounded, by receiver",
            ),
        }
    }
}

fn counter(meter: &metrics::Meter, name: &'static str, description: &'static str) -> metrics::Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn gauge(meter: &metrics::Meter, name: &'static str, description: &'static str) -> metrics::Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

/// Commands.
impl ForwardMetrics {
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
            .with_view(tenant_stream)
            .build();
        let meter = provider.meter("damasktrack");
        Ok(Self {
            registry,
            duration: meter
                .f64_histogram("damasktrack_request_duration")
                .with_unit("s")
                .with_description("Time from the head of a caller's request to its response, by class and outcome")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            tenant_requests: counter(
                &meter,
                TENANT_REQUESTS,
                "Requests of callers with a key, by tenant and outcome",
            ),
            tenant_duration: meter
                .f64_histogram(TENANT_DURATION)
                .with_unit("s")
                .with_description("Time from the head of a request with a key to its response, by tenant")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            attempts: counter(
                &meter,
                "damasktrack_attempts",
                "Requests sent to a server's daemon, by class and distance",
            ),
            work: counter(
                &meter,
                "damasktrack_work",
                "Calls that reached this daemon's backend server or were refused before it, by outcome",
            ),
            repeats: counter(
                &meter,
                "damasktrack_repeats",
                "Requests sent to another server after they may have run or were shed, by class",
            ),
            yielded_repeats: counter(
                &meter,
                "damasktrack_repeats_yielded",
                "Requests not sent to another server since another tenant comes first, by class",
            ),
            rounds: counter(
                &meter,
                "damasktrack_rounds",
                "Further rounds of attempts after all tried servers lacked capacity, by class",
            ),
            rejected: counter(
                &meter,
                "damasktrack_rejected",
                "Heartbeats and deregistrations that failed validation, by kind",
            ),
            feed: FeedInstruments::new(&meter),
            server: ServerInstruments::new(&meter),
            quarantined: gauge(
                &meter,
                "damasktrack_quarantined_requests",
                "Requests that are refused since they crashed the servers that ran them",
            ),
            quarantine_refusals: counter(
                &meter,
                "damasktrack_quarantine_refusals",
                "Requests of callers refused since they crashed the servers that ran them, by class",
            ),
            quotas: QuotaInstruments::new(&meter),
            account: AccountInstruments::new(&meter),
            capacity_spillovers: counter(
                &meter,
                "damasktrack_capacity_spillovers",
                "Requests sent to another region since its servers complete them sooner, by class",
            ),
            running: gauge(&meter, "damasktrack_work_running", "Calls that the backend server runs"),
            queued: gauge(
                &meter,
                "damasktrack_work_queued",
                "Calls that wait for the backend server",
            ),
            config_version: gauge(
                &meter,
                "damasktrack_config_version",
                "Version of the configuration in force",
            ),
            request_limit: meter
                .f64_gauge("damasktrack_server_request_limit")
                .with_description("Requests per second that the backend server takes; +Inf without a limit")
                .build(),
            _provider: provider,
        })
    }

    /// Records the duration of a caller's request, from its arrival to its response.
    pub fn record_request(&self, class: &ids::ClassName, outcome: &'static str, duration: time::Duration) {
        let labels = [
            opentelemetry::KeyValue::new("class", ids::text(class).into_owned()),
            opentelemetry::KeyValue::new("outcome", outcome),
        ];
        self.duration.record(duration.as_secs_f64(), &labels);
    }

    /// Records a request of a tenant, from its arrival to its response.
    pub fn record_tenant(&self, label: String, outcome: &'static str, duration: time::Duration) {
        let labels = [
            opentelemetry::KeyValue::new("tenant", label),
            opentelemetry::KeyValue::new("outcome", outcome),
        ];
        self.tenant_requests.add(1, &labels);
        self.tenant_duration.record(duration.as_secs_f64(), &labels[..1]);
    }

    /// Counts a request that is sent to a server's daemon.
    pub fn count_attempt(&self, class: &ids::ClassName, distance: server_location::ServerDistance) {
        let distance = match distance {
            server_location::ServerDistance::SameDataCentre => "same_data_centre",
            server_location::ServerDistance::SameRegion => "same_region",
            server_location::ServerDistance::CrossRegion => "cross_region",
        };
        let labels = [
            opentelemetry::KeyValue::new("class", ids::text(class).into_owned()),
            opentelemetry::KeyValue::new("distance", distance),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts a call that ended at this daemon's backend server or was refused before it.
    pub fn count_work(&self, outcome: String) {
        self.work.add(1, &[opentelemetry::KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that isn't sent again, since another tenant has the next turn at the retry budget.
    pub fn count_yielded_repeat(&self, class: &ids::ClassName) {
        let class = ids::text(class).into_owned();
        self.yielded_repeats
            .add(1, &[opentelemetry::KeyValue::new("class", class)]);
    }

    /// Counts another attempt of a request after one that a backend server may have run or shed.
    pub fn count_repeat(&self, class: &ids::ClassName) {
        let class = ids::text(class).into_owned();
        self.repeats.add(1, &[opentelemetry::KeyValue::new("class", class)]);
    }

    /// Counts a further round of attempts of a request that all tried servers refused for want of capacity.
    pub fn count_round(&self, class: &ids::ClassName) {
        let class = ids::text(class).into_owned();
        self.rounds.add(1, &[opentelemetry::KeyValue::new("class", class)]);
    }

    /// Counts a message or row that failed validation and changed nothing.
    pub fn count_rejected(&self, kind: &'static str) {
        self.rejected.add(1, &[opentelemetry::KeyValue::new("kind", kind)]);
    }

    /// Counts a call for the configuration that failed.
    pub fn count_feed_failure(&self) {
        self.feed.failures.add(1, &[]);
    }

    /// Sets the gauge of the role in which this daemon follows the store.
    pub fn record_feed_role(&self, role: feed_schedule::FeedRole) {
        self.feed
            .sentinel
            .record(u64::from(role == feed_schedule::FeedRole::Sentinel), &[]);
    }

    /// Counts a message about a departure that was not acknowledged.
    pub fn count_unacknowledged_departure(&self) {
        self.server.unacknowledged_departures.add(1, &[]);
    }

    /// Counts a crash of the backend server with calls in flight.
    pub fn count_server_end(&self, planned: bool) {
        self.server
            .ends
            .add(1, &[opentelemetry::KeyValue::new("planned", planned)]);
    }

    /// Sets the gauge of the quarantined requests.
    pub fn record_quarantine(&self, requests: usize) {
        self.quarantined.record(requests as u64, &[]);
    }

    /// Counts a request of a caller that is refused since it is quarantined.
    pub fn count_quarantine_refusal(&self, class: &ids::ClassName) {
        let class = ids::text(class).into_owned();
        self.quarantine_refusals
            .add(1, &[opentelemetry::KeyValue::new("class", class)]);
    }

    /// Counts a request that is refused because its tenant is above its quota.
    pub fn count_quota_refusal(&self) {
        self.quotas.refusals.add(1, &[]);
    }

    /// Counts a request that waits for the end of an outage of the quotas.
    pub fn count_quota_hold(&self) {
        self.quotas.holds.add(1, &[]);
    }

    /// Counts a report to a coordinator of the quotas.
    pub fn count_quota_report(&self) {
        self.quotas.reports.add(1, &[]);
    }

    /// Sets the gauges of the quotas.
    pub fn record_quota(&self, held: u64, granted: u64) {
        self.quotas.held.record(held, &[]);
        self.quotas.granted.record(granted, &[]);
    }

    /// Counts a request that leaves its region for capacity.
    pub fn count_capacity_spillover(&self, class: &ids::ClassName) {
        let class = ids::text(class).into_owned();
        self.capacity_spillovers
            .add(1, &[opentelemetry::KeyValue::new("class", class)]);
    }

    /// Sets the gauges of the admission gate and of the configuration.
    pub fn record_state(&self, running: u32, queued: usize, config_version: ids::Revision) {
        self.running.record(u64::from(running), &[]);
        self.queued.record(queued as u64, &[]);
        self.config_version.record(config_version, &[]);
    }

    /// Sets the gauges of what callers occupy.
    pub fn record_account(&self, account: &byte_account::ByteAccount) {
        let (connections, forwarded) = account.held_bytes();
        let (refused, closed) = account.given_up();
        let open = |listener| account.open_connections(listener) as u64;
        let set = |gauge: &metrics::Gauge<u64>, value: u64, name: &'static str, label: &'static str| {
            gauge.record(value, &[opentelemetry::KeyValue::new(name, label)]);
        };
        set(&self.account.held_bytes, connections as u64, "purpose", "connections");
        set(&self.account.held_bytes, forwarded as u64, "purpose", "forwarded");
        let callers = open(byte_account::ListenerKind::Caller);
        set(&self.account.open_connections, callers, "listener", "caller");
        let internal = open(byte_account::ListenerKind::Internal);
        set(&self.account.open_connections, internal, "listener", "internal");
        let control = open(byte_account::ListenerKind::Control);
        set(&self.account.open_connections, control, "listener", "control");
        set(&self.account.given_up, refused, "kind", "request");
        set(&self.account.given_up, closed, "kind", "connection");
    }

    /// Sets the gauges of the outgoing connections.
    pub fn record_links(&self, server: &link_budget::LinkBudget, peer: &link_budget::LinkBudget) {
        for (receiver, budget) in [("server", server), ("peer", peer)] {
            let open = budget.open() as u64;
            self.account
                .outgoing
                .record(open, &[opentelemetry::KeyValue::new("receiver", receiver)]);
        }
        let refused = server.refused() + peer.refused();
        self.account
            .given_up
            .record(refused, &[opentelemetry::KeyValue::new("kind", "call")]);
    }

    /// Sets the gauge of the backend server's request limit; `None` if it names none.
    pub fn record_request_limit(&self, limit: Option<server_notice::RequestRate>) {
        self.request_limit.record(limit.unwrap_or(f64::INFINITY), &[]);
    }
}

/// Queries.
impl ForwardMetrics {
    /// Returns all values in the text format of Prometheus.
    ///
    /// # Errors
    /// Returns an error if a value can't be written as text.
    pub fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
