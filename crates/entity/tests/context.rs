//! Text forms of contexts and request ids.

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

/// Guards against names with separators breaking the header.
#[test]
fn context_survives_its_header() {
    let context = context();
    let parsed = call_context::CallContext::from_header(context.to_header().as_bytes());
    assert_eq!(parsed, Ok(context));
}

/// Guards against a forged or cut header being read with defaults.
#[test]
fn faulty_headers_are_refused() {
    let good = context().to_header();
    for cut in 1..good.len() {
        let parsed = call_context::CallContext::from_header(&good.as_bytes()[..cut]);
        assert!(parsed.is_err() || cut > good.len() - 3, "cut at {cut}: {parsed:?}");
    }
    let high = good.replace("level=15.", "level=16.");
    let parsed = call_context::CallContext::from_header(high.as_bytes());
    assert_eq!(parsed, Err(call_context::ContextError::Invalid { key: "level" }));
}

/// Guards against an id with a typing error naming an owner.
#[test]
fn bound_ids_name_their_owner() {
    let owner = request_identity::RequestOwner {
        daemon_id: Bytes::from_static(b"d.1"),
        incarnation: 7,
    };
    let id = request_identity::bound_id(&owner, 41);
    let expected = request_identity::RequestIdentity::Bound { owner, sequence: 41 };
    assert_eq!(request_identity::parse(&id), expected);
    let mut typo = id.to_vec();
    typo[5] ^= 1;
    assert_eq!(
        request_identity::parse(&typo),
        request_identity::RequestIdentity::Opaque
    );
}
