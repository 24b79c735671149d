//! Tests of individual rules of the resource crate.

use bytes::Bytes;
use damasktrack_entity::server_location;
use damasktrack_resource::change_log::{ConfigSnapshot, ResourceEdit, VersionedResource};
use damasktrack_resource::change_plan::{ChangeAttempt, ChangeRequest, ExpectedVersion, PlanReads, PlanStep};
use damasktrack_resource::change_plan::{RequestedEdit, VersionConflict};
use damasktrack_resource::operator_access::{AccessStep, ApiAction, KeyDigest, OperatorAccess};
use damasktrack_resource::operator_access::{OperatorEntry, OperatorRole};
use damasktrack_resource::resource_set::ResourceSet;
use damasktrack_resource::store_rows::{ChangeIdRow, HeadRow, StoredRow};
use damasktrack_resource::{change_status, resource_document, resource_verifier};

const VALID_DOCUMENTS: [&str; 5] = [
    r#"{"kind":"Service","name":"permits","slots":35}"#,
    r#"{"kind":"Chain","name":"filing","max_depth":18,"deadline_ms":2000}"#,
    r#"{"kind":"Class","name":"filing","importance":15,"critical":true,"idempotent":false,"chain":"filing",
        "routes":[{"service":"permits","method":"POST","path_prefix":"/file"}]}"#,
    r#"{"kind":"Class","name":"ledger","importance":3,"idempotent":true,"lane":"long","chain":"filing",
        "routes":[{"service":"permits","method":"*","path_prefix":"/"},
                  {"service":"permits","method":"GET","path_prefix":"/file/old/"}]}"#,
    r#"{"kind":"Tenant","name":"lahore","weight":2}"#,
];

fn set(documents: &[&str]) -> ResourceSet {
    let versioned = |text: &&str| VersionedResource {
        version: 4,
        resource: resource_document::read(text.as_bytes()).unwrap(),
    };
    ResourceSet::from_snapshot(&ConfigSnapshot {
        revision: 4,
        resources: documents.iter().map(versioned).collect(),
    })
}

/// Guards against mistyped keys that are ignored, and against documents that change when they are written and read
/// back.
#[test]
fn documents_reject_unknown_keys_and_round_trip() {
    for text in VALID_DOCUMENTS {
        let document = resource_document::read(text.as_bytes()).unwrap();
        let written = serde_json::to_vec(&document).unwrap();
        assert_eq!(resource_document::read(&written).unwrap(), document);
        let unknown = text.replacen("\"name\"", "\"colour\":1,\"name\"", 1);
        let error = resource_document::read(unknown.as_bytes()).unwrap_err();
        assert!(error.to_string().contains("colour"), "{error}");
    }
    let nested = VALID_DOCUMENTS[2].replace("\"method\"", "\"verb\":1,\"method\"");
    assert!(resource_document::read(nested.as_bytes()).is_err());
    let kind = VALID_DOCUMENTS[0].replace("Service", "Servant");
    assert!(resource_document::read(kind.as_bytes()).is_err());
}

/// Guards against a call that is assigned to a less important class than that of its longest matching route.
#[test]
fn class_is_that_of_the_longest_prefix_in_whole_segments() {
    let set = set(&VALID_DOCUMENTS);
    let class = |method: &str, path: &str| {
        let found = set.class_of(&Bytes::from_static(b"permits"), method.as_bytes(), path.as_bytes());
        found.map(|class| String::from_utf8(class.name.to_vec()).unwrap())
    };
    let table = [
        ("POST", "/file", Some("filing")),
        ("POST", "/file?draft=/x", Some("filing")),
        ("POST", "/file/7/x", Some("filing")),
        ("POST", "/files", Some("ledger")),
        ("GET", "/file", Some("ledger")),
        ("GET", "/file/old", Some("ledger")),
        ("POST", "/file/old/1", Some("filing")),
        ("GET", "/", Some("ledger")),
        ("GET", "no-slash", None),
        ("POST", "/x/../file", None),
        ("POST", "//file", None),
        ("POST", "/%66ile", None),
        ("POST", "/x%2ffile", None),
        ("POST", "/x\\file", None),
        ("POST", "/file%", None),
        ("POST", "/file/a%20b/", Some("filing")),
    ];
    for (method, path, expected) in table {
        assert_eq!(class(method, path).as_deref(), expected, "{method} {path}");
    }
    assert!(set.class_of(&Bytes::from_static(b"tags"), b"GET", b"/").is_none());
}

/// Guards against a verifier that stops at the first fault or does not detect a fault.
#[test]
fn verifier_reports_all_findings_with_their_places() {
    assert_eq!(resource_verifier::verify(&set(&VALID_DOCUMENTS)), []);
    let faulty = [
        r#"{"kind":"Service","name":"Permits","slots":0}"#,
        r#"{"kind":"Service","name":"damasktrack","slots":1}"#,
        r#"{"kind":"Chain","name":"c","max_depth":65,"deadline_ms":0,"retry_allowance":17}"#,
        r#"{"kind":"Class","name":"a","importance":14,"critical":true,"idempotent":true,"lane":"long","chain":"x",
            "routes":[{"service":"tags","method":"get","path_prefix":"f?x"},
                      {"service":"tags","method":"GET","path_prefix":"/f"}]}"#,
        r#"{"kind":"Class","name":"b","importance":15,"idempotent":true,"chain":"c",
            "routes":[{"service":"tags","method":"GET","path_prefix":"/f/"}]}"#,
        r#"{"kind":"Class","name":"c","importance":16,"idempotent":true,"chain":"c","routes":[]}"#,
        r#"{"kind":"Tenant","name":"","weight":0}"#,
    ];
    let findings = resource_verifier::verify(&set(&faulty));
    let places: Vec<_> = findings.iter().map(|finding| finding.place.as_str()).collect();
    let expected = [
        "Service/Permits.name",
        "Service/Permits.slots",
        "Service/damasktrack.name",
        "Class/a.importance",
        "Class/a.lane",
        "Class/a.chain",
        "Class/a.routes[0].service",
        "Class/a.routes[0].method",
        "Class/a.routes[0].path_prefix",
        "Class/a.routes[0].path_prefix",
        "Class/a.routes[1].service",
        "Class/b.importance",
        "Class/b.routes[0].service",
        "Class/b.routes[0].path_prefix",
        "Class/c.importance",
        "Class/c.routes",
        "Chain/c.max_depth",
        "Chain/c.deadline_ms",
        "Chain/c.retry_allowance",
        "Tenant/.name",
        "Tenant/.weight",
    ];
    assert_eq!(places, expected, "{findings:#?}");
}

fn attempt(expected: ExpectedVersion, resource: Option<&str>, dry_run: bool) -> ChangeAttempt {
    let edited = resource_document::read(resource.unwrap_or(VALID_DOCUMENTS[1]).as_bytes()).unwrap();
    ChangeAttempt::new(ChangeRequest {
        change_id: "c-1".to_owned(),
        operator: "asha".to_owned(),
        edits: vec![RequestedEdit {
            edit: ResourceEdit {
                key: edited.key(),
                resource: resource.map(|_| edited),
            },
            expected,
        }],
        dry_run,
    })
}

fn reads(revision: u64) -> PlanReads {
    PlanReads {
        head: Some(StoredRow {
            value: HeadRow { revision },
            version: 90,
        }),
        row_versions: vec![77],
        change_id: None,
    }
}

/// Guards against a change that invalidates references to the resource, and against a dry run or a conflict that
/// writes.
#[test]
fn plans_verify_the_resulting_configuration() {
    let set = set(&VALID_DOCUMENTS);
    let delete = attempt(ExpectedVersion::Exactly(4), None, false);
    let PlanStep::Invalid(findings) = delete.plan(&set, &reads(4)) else {
        panic!("a chain in use was deleted");
    };
    assert_eq!(findings.len(), 2);
    let stale = attempt(ExpectedVersion::Exactly(3), Some(VALID_DOCUMENTS[4]), false);
    let PlanStep::Conflict(conflicts) = stale.plan(&set, &reads(4)) else {
        panic!("a stale version was accepted");
    };
    assert!(matches!(conflicts[..], [VersionConflict { current: 4, .. }]));
    let dry = attempt(ExpectedVersion::Any, Some(VALID_DOCUMENTS[4]), true);
    assert_eq!(dry.plan(&set, &reads(4)), PlanStep::DryRun { revision: 5 });
    let change = attempt(ExpectedVersion::Any, Some(VALID_DOCUMENTS[4]), false);
    assert_eq!(change.plan(&set, &reads(5)), PlanStep::CatchUp(5));
    assert_eq!(change.plan(&set, &reads(3)), PlanStep::Reread);
    let PlanStep::Commit(planned) = change.plan(&set, &reads(4)) else {
        panic!("the change was not planned");
    };
    let conditions: Vec<_> = planned
        .commit
        .conditions
        .iter()
        .map(|row| (row.table.as_str(), row.version))
        .collect();
    assert_eq!(
        conditions,
        [("config", 90), ("changes", 0), ("change_ids", 0), ("resources", 77)]
    );
    let other = PlanReads {
        change_id: Some(StoredRow {
            value: ChangeIdRow {
                revision: 2,
                digest: "00".to_owned(),
            },
            version: 3,
        }),
        ..reads(4)
    };
    assert_eq!(change.plan(&set, &other), PlanStep::IdReused);
}

/// Guards against keys in logs, and against actions that the role of the operator does not permit.
#[test]
fn keys_are_checked_and_never_printed() {
    // SHA-256 of "abc", from FIPS 180-2, appendix B.1.
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    let entry = OperatorEntry {
        name: "asha".to_owned(),
        role: OperatorRole::Editor,
        key_digest: KeyDigest::from_hexadecimal(digest).unwrap(),
    };
    let access = OperatorAccess::new(vec![entry]);
    let printed = format!("{access:?}");
    assert!(
        printed.contains("asha") && !printed.contains("186") && !printed.contains("ba78"),
        "{printed}"
    );
    let operator = "asha".to_owned();
    let allowed = AccessStep::Allowed {
        operator: operator.clone(),
    };
    let forbidden = AccessStep::Forbidden {
        operator,
        needed: OperatorRole::Admin,
    };
    let table: [(Option<&[u8]>, _, _); 8] = [
        (Some(b"Bearer abc"), ApiAction::Read, allowed.clone()),
        (Some(b"bearer abc "), ApiAction::Write, allowed),
        (Some(b"Bearer abc"), ApiAction::Delete, forbidden),
        (Some(b"Bearer abd"), ApiAction::Read, AccessStep::Unauthenticated),
        (Some(b"Bearer "), ApiAction::Read, AccessStep::Unauthenticated),
        (Some(b"Basic abc"), ApiAction::Read, AccessStep::Unauthenticated),
        (Some(b"abc"), ApiAction::Read, AccessStep::Unauthenticated),
        (None, ApiAction::Read, AccessStep::Unauthenticated),
    ];
    for (header, action, expected) in table {
        assert_eq!(access.check(header, action), expected, "{header:?} {action:?}");
    }
    assert!(KeyDigest::from_hexadecimal(&digest[1..]).is_none());
    assert!(KeyDigest::from_hexadecimal(&digest.replace('b', "+")).is_none());
}

/// Guards against a status that reports a partitioned region as up to date.
#[test]
fn status_distinguishes_reachable_members_from_all() {
    let member = |name: &'static str, region: &'static str, revision, reachable| change_status::MemberRevision {
        daemon_id: Bytes::from_static(name.as_bytes()),
        location: server_location::ServerLocation {
            region: Bytes::from_static(region.as_bytes()),
            data_centre: Bytes::from_static(b"dc-1"),
        },
        revision,
        reachable,
    };
    let mut members = vec![member("d1", "lahore", 7, true), member("d2", "multan", 6, false)];
    let status = change_status::status(7, &members);
    assert!(status.in_force_on_reachable && !status.in_force_everywhere);
    assert_eq!(status.locations["multan/dc-1"].unreachable, 1);
    assert_eq!(status.lagging.len(), 1);
    members[1] = member("d2", "multan", 6, true);
    let status = change_status::status(7, &members);
    assert!(!status.in_force_on_reachable);
    assert_eq!(status.lowest_reachable, Some(6));
    assert!(!change_status::status(7, &[]).in_force_everywhere);
}
