//! Dependency order of the folders of this crate.

use std::fs;
use std::path::{Path, PathBuf};

/// A module may import only from its own folder and from folders before it.
const ORDER: [&str; 12] = [
    "call",
    "transport",
    "store",
    "peer",
    "backend",
    "core",
    "shared",
    "members",
    "run",
    "entry",
    "api",
    "process",
];

fn rank(folder: &str) -> Option<usize> {
    ORDER.iter().position(|name| *name == folder)
}

/// Returns the folders that the code of `folder` uses in violation of the order.
fn violations(folder: &str, code: &str) -> Vec<String> {
    let lines = code.lines().filter(|line| !line.trim_start().starts_with("//"));
    let uses = lines.flat_map(|line| line.split("crate::").skip(1));
    let names = uses.filter_map(|rest| {
        rest.split(|letter: char| !letter.is_alphanumeric() && letter != '_')
            .next()
    });
    names
        .filter(|name| rank(name) > rank(folder) || rank(name).is_none())
        .map(str::to_owned)
        .collect()
}

fn sources(folder: &Path) -> Vec<PathBuf> {
    fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect()
}

/// Guards against dependency cycles between the parts of the daemon, such as a former cycle of fifteen modules around
/// the core.
#[test]
fn folders_depend_one_way() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    for folder in sources(&root).iter().filter(|path| path.is_dir()) {
        let name = folder.file_name().unwrap().to_str().unwrap();
        assert!(rank(name).is_some(), "folder {name} is missing from the order");
        for path in sources(folder) {
            let code = fs::read_to_string(&path).unwrap();
            found.extend(
                violations(name, &code)
                    .into_iter()
                    .map(|other| format!("{}: {other}", path.display())),
            );
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against a check that detects no violation.
#[test]
fn import_against_the_order_is_detected() {
    assert_eq!(
        violations("core", "use crate::members::member_jobs;\nuse crate::call::call_class;"),
        ["members"]
    );
    assert!(violations("members", "use crate::core::member_sync;").is_empty());
}
