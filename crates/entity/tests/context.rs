//! Tests of the text forms of contexts and request ids.

use std::time::Duration;

use bytes::Bytes;
use damasktrack_entity::{admission_level, call_context, request_identity};

fn context() -> call_context::CallContext {
    call_context::CallContext {
        request_id: Bytes::from_static(b"a;b=c%\xff"),
        attempt: 2,
        class: Bytes::from_static(b"filing"),
        tenant: Bytes::from_static(b"default"),
        remaining: Duration::from_millis(900),
        retry_allowance: 1,
        depth: 3,
        parent_call: 0xbeef,
        level: admission_level::AdmissionLevel {
            importance: 15,
            cohort: 127,
        },
    }
}

/// Guards against names with separators that corrupt the header.
#[test]
fn context_round_trips_through_its_header() {
    let context = context();
    let parsed = call_context::CallContext::from_header(context.to_header().as_bytes());
    assert_eq!(parsed, Ok(context));
}

/// Guards against a truncated or forged header that is accepted with default values.
#[test]
fn malformed_headers_are_rejected() {
    let valid = context().to_header();
    for length in 1..valid.len() {
        let parsed = call_context::CallContext::from_header(&valid.as_bytes()[..length]);
        assert!(
            parsed.is_err() || length > valid.len() - 3,
            "truncated to {length} bytes: {parsed:?}"
        );
    }
    let out_of_range = valid.replace("level=15.", "level=16.");
    let parsed = call_context::CallContext::from_header(out_of_range.as_bytes());
    assert_eq!(parsed, Err(call_context::ContextError::Invalid { key: "level" }));
}

/// Guards against a mistyped id that is parsed as a bound id with an owner.
#[test]
fn bound_ids_name_their_owner() {
    let owner = request_identity::RequestOwner {
        daemon_id: Bytes::from_static(b"d.1"),
        incarnation: 7,
    };
    let id = request_identity::bound_id(&owner, 41);
    let expected = request_identity::RequestIdentity::Bound { owner, sequence: 41 };
    assert_eq!(request_identity::parse(&id), expected);
    let mut mistyped = id.to_vec();
    mistyped[5] ^= 1;
    assert_eq!(
        request_identity::parse(&mistyped),
        request_identity::RequestIdentity::Opaque
    );
}
