//! Runs all scenario files.

use std::{fs, path};

use damasktrack_filetests::{call_world, scenario_file, world_tally};

/// Guards against changes of admission, routing or retries after which a scenario under `filetests/` misses a bound.
///
/// One test runs all files in turn, since only one stakker instance may exist in a process at a time.
#[test]
fn scenario_files_meet_their_expectations() {
    let directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("filetests");
    let mut files: Vec<_> = fs::read_dir(directory)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    assert!(!files.is_empty());
    let mut failures = Vec::new();
    for file in files {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        let scenario = match scenario_file::parse(&fs::read_to_string(&file).unwrap()) {
            Ok(scenario) => scenario,
            Err(findings) => {
                failures.extend(findings.iter().map(|finding| format!("{name}: {finding}")));
                continue;
            }
        };
        println!("{name}: seed {}", scenario.seed);
        let tally = call_world::run(&scenario);
        let unmet = world_tally::unmet(&scenario, &tally);
        failures.extend(
            unmet
                .iter()
                .map(|unmet| format!("{name} (seed {}): {unmet}", scenario.seed)),
        );
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a parser that accepts faulty statements or reports them with a wrong line.
#[test]
fn findings_name_their_lines() {
    let text = "class a importance x\nload b rate 1\nservice s calls t\nspeed 3\nexpect goodput = 1";
    let findings = scenario_file::parse(text).unwrap_err();
    let lines: Vec<_> = findings.iter().map(|finding| finding.line).collect();
    assert_eq!(lines, [1, 2, 4, 5, 3]);
}
