//! Names of resource kinds in documents and paths, and the syntax of resource names and change ids.

/// A kind of resource.
#[derive(Clone, Copy, Debug)]
pub struct KindName {
    /// `kind` in documents.
    pub kind: &'static str,
    /// Path segment below `/v1/`.
    pub path: &'static str,
}

/// The kinds that the resource API serves.
pub const KINDS: [KindName; 5] = [
    KindName {
        kind: "Service",
        path: "services",
    },
    KindName {
        kind: "Class",
        path: "classes",
    },
    KindName {
        kind: "Chain",
        path: "chains",
    },
    KindName {
        kind: "Tenant",
        path: "tenants",
    },
    KindName {
        kind: "Daemon",
        path: "daemons",
    },
];

/// Returns the kind that a text names: `Service`, `service` and `services` are the same.
pub fn find(text: &str) -> Result<KindName, String> {
    let text = text.to_lowercase();
    let kind = KINDS
        .into_iter()
        .find(|name| name.path == text || name.kind.to_lowercase() == text);
    kind.ok_or_else(|| "expected one of services, classes, chains, tenants, daemons".to_owned())
}

/// Longest resource name; names are part of the context header, which holds at most 1,024 bytes.
const MAX_NAME_BYTES: usize = 63;
/// Longest change id.
const MAX_CHANGE_ID_BYTES: usize = 128;

/// Returns the text if it is a syntactically valid resource name.
pub fn check_name(text: &str) -> Result<String, String> {
    let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(valid) {
        return Err(format!("expected 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and '-'"));
    }
    Ok(text.to_owned())
}

/// Returns the text if it is a syntactically valid change id.
pub fn check_change_id(text: &str) -> Result<String, String> {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > MAX_CHANGE_ID_BYTES || !text.bytes().all(valid) {
        return Err(format!(
            "expected 1 to {MAX_CHANGE_ID_BYTES} characters of A-Z, a-z, 0-9, '-', '_' and '.'"
        ));
    }
    Ok(text.to_owned())
}
