//! Settings of a daemon for tests of its core.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_forward::forward_settings::ForwardSettings;
use damasktrack_forward::header_names::HeaderNames;
use damasktrack_forward::process_limits::ProcessLimits;
use damasktrack_forward::retry_share::RetryBounds;
use hyper::header::HeaderName;

/// Header that carries the key of a caller.
pub const CREDENTIAL: HeaderName = HeaderName::from_static("credential");

/// Returns the settings of daemon `vm-0` of service `alpha`, in data centre `a` of region `north`, without limits.
pub fn settings(peer_listen: SocketAddr) -> ForwardSettings {
    let header = HeaderName::from_static;
    let with_port = |port| SocketAddr::new(peer_listen.ip(), port);
    ForwardSettings {
        daemon_id: Bytes::from_static(b"vm-0"),
        location: ServerLocation {
            region: Bytes::from_static(b"north"),
            data_centre: Bytes::from_static(b"a"),
        },
        service: Bytes::from_static(b"alpha"),
        entry_listen: with_port(1_000),
        ready_listen: with_port(1_001),
        peer_listen,
        metrics_listen: None,
        server_address: with_port(1_002),
        seeds: Vec::new(),
        stop_grace: Duration::from_secs(6),
        retry_bounds: RetryBounds {
            ratio: 0.2,
            extra: 50.0,
            window: Duration::from_secs(10),
        },
        quota_bounds: None,
        revoke_limit: None,
        hear_limit: Duration::from_secs(4),
        quarantine: damasktrack_quarantine::quarantine_table::QuarantinePolicy::default(),
        process_limits: ProcessLimits {
            memory_mb: None,
            max_fds: None,
        },
        headers: HeaderNames {
            attempt_id: header("attempt-id"),
            deadline_ms: header("deadline-ms"),
            response_seal: header("response-seal"),
            target_instance: header("target-instance"),
            caller_service: header("caller-service"),
            not_executed: header("not-executed"),
            request_limit: header("request-limit"),
            credential: CREDENTIAL,
            tenant: header("tenant"),
            leaving: header("leaving"),
        },
    }
}
