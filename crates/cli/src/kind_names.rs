//! Names of resource kinds in JSON documents and API paths, and parsers of the arguments for kinds, resource names and
//! change ids.

/// Names of one kind of resource.
#[derive(Clone, Copy, Debug)]
pub struct KindName {
    /// Value of the field `kind` in JSON documents, for example `Service`.
    pub kind: &'static str,
    /// Segment after `/v1/` in API paths, for example `services`.
    pub path: &'static str,
}

/// All kinds of the resource API. `Daemon` is read-only.
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

/// Parses the name of a kind. `Service`, `service` and `services` give the same kind; case is ignored.
pub fn parse_kind(text: &str) -> Result<KindName, String> {
    let text = text.to_lowercase();
    let kind = KINDS
        .into_iter()
        .find(|name| name.path == text || name.kind.to_lowercase() == text);
    kind.ok_or_else(|| "expected one of services, classes, chains, tenants, daemons".to_owned())
}

/// Maximum length of a resource name, in bytes. Names are part of the context header, which is limited to 1,024 bytes.
const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a change id, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;

/// Returns the text if it has the syntax of a resource name: 1 to [`MAX_NAME_BYTES`] of `a-z`, `0-9` and `-`.
pub fn parse_name(text: &str) -> Result<String, String> {
    let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(valid) {
        return Err(format!("expected 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and '-'"));
    }
    Ok(text.to_owned())
}

/// Returns the text if it has the syntax of a change id: 1 to [`MAX_CHANGE_ID_BYTES`] of `A-Z`, `a-z`, `0-9`, `-`, `_`
/// and `.`.
pub fn parse_change_id(text: &str) -> Result<String, String> {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > MAX_CHANGE_ID_BYTES || !text.bytes().all(valid) {
        return Err(format!(
            "expected 1 to {MAX_CHANGE_ID_BYTES} characters of A-Z, a-z, 0-9, '-', '_' and '.'"
        ));
    }
    Ok(text.to_owned())
}
