//! Tests of the commands that read logs.

use std::env;
use std::fs;
use std::path;
use std::process;

const ENTRY_LOG: &str = r#"{"timestamp":"2026-07-22T08:00:02.300000+00:00","level":"INFO","message":"request answered","kvs":{"request":"a1","class":"r-browse","outcome":"500","elapsed_ms":500}}
{"timestamp":"2026-07-22T08:00:02.400000+00:00","level":"INFO","message":"request answered","kvs":{"request":"a11","class":"r-browse","outcome":"200","elapsed_ms":90}}
{"timestamp":"2026-07-22T08:00:02.500000+00:00","level":"INFO","message":"member changed","kvs":{"peer":"b"}}
not a log line
"#;
const CALLEE_LOG: &str = r#"12.5 vm-b {"timestamp":"2026-07-22T08:00:02.100000+00:00","level":"INFO","message":"call refused before the backend server","kvs":{"request":"a1.c7","class":"r-room","outcome":"queue full","queued":9}}
"#;

/// Runs a command on both logs; returns whether it succeeded, and its standard output and error. The name makes the
/// folder of the log files unique.
fn run(name: &str, arguments: &[&str]) -> (bool, String) {
    let folder = env::temp_dir().join(format!("damasktrack-logs-{}-{name}", process::id()));
    fs::create_dir_all(&folder).unwrap();
    let files: Vec<path::PathBuf> = [("entry.log", ENTRY_LOG), ("callee.log", CALLEE_LOG)]
        .map(|(file, text)| {
            let path = folder.join(file);
            fs::write(&path, text).unwrap();
            path
        })
        .to_vec();
    let output = process::Command::new(env!("CARGO_BIN_EXE_damasktrack"))
        .args(arguments)
        .args(&files)
        .output()
        .unwrap();
    fs::remove_dir_all(&folder).unwrap();
    let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    (output.status.success(), text)
}

/// Guards against output that omits the inner call that caused the failure, that is not ordered by timestamp, or that
/// includes another request whose id has the same prefix.
#[test]
fn request_is_explained_across_daemons_in_order() {
    let (success, text) = run("explain", &["explain-request", "a1"]);
    assert!(success, "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[0].contains("vm-b: inner call c7") && lines[0].contains("queue full"),
        "{text}"
    );
    assert!(lines[1].contains("request answered: 500"), "{text}");
}

/// Guards against empty output with exit code 0 for an id that no log contains.
#[test]
fn unknown_request_is_an_error() {
    let (success, text) = run("unknown", &["explain-request", "zz"]);
    assert!(!success && text.contains("no line about request zz"), "{text}");
}

/// Guards against successful requests that are counted as failures, and against failures counted under another cause or
/// second.
#[test]
fn refusals_are_counted_by_cause_and_second() {
    let (success, text) = run("refusals", &["refusals"]);
    assert!(success, "{text}");
    assert!(
        text.contains("call refused before the backend server: queue full (1)"),
        "{text}"
    );
    assert!(text.contains("2026-07-22T08:00:02      1 #"), "{text}");
    assert!(!text.contains("200"), "{text}");
}
