//! Operators, their roles, and the authentication of their keys.

use std::fmt;

use sha2::Digest;
use subtle::ConstantTimeEq as _;

/// Role of an operator. Each role includes the permissions of the roles before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OperatorRole {
    /// May read resources, changes, status and daemons.
    Viewer,
    /// May create and change resources.
    Editor,
    /// May delete resources.
    Admin,
}

/// Kind of an API request, which determines the needed role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ApiAction {
    /// Get, list, watch, status.
    Read,
    /// Create, change, apply without deletes; also as a dry run.
    Write,
    /// Delete, or apply with deletes; also as a dry run.
    Delete,
}

/// SHA-256 digest of an operator's key. The `Debug` form omits the bytes, since short keys can be recovered from them
/// by trying candidates.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

/// Operator from the settings.
#[derive(Clone, Debug)]
pub struct OperatorEntry {
    /// Name, which is recorded in changes and logs.
    pub name: String,
    /// Role that bounds the API requests of the operator.
    pub role: OperatorRole,
    /// Digest of the operator's key.
    pub key_digest: KeyDigest,
}

/// Declared operators.
#[derive(Clone, Debug)]
pub struct OperatorAccess {
    operators: Vec<OperatorEntry>,
}

/// Result of authenticating and authorising a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessStep {
    /// The key is valid and the role permits the action.
    Allowed {
        /// Name of the operator.
        operator: String,
    },
    /// The key is valid but the role does not permit the action: respond with 403.
    Forbidden {
        /// Name of the operator.
        operator: String,
        /// Lowest role that permits the action.
        needed: OperatorRole,
    },
    /// The key is missing or unknown: respond with 401.
    Unauthenticated,
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl KeyDigest {
    /// Creates a digest from its bytes.
    #[must_use]
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Parses 64 hexadecimal digits; `None` for any other text.
    #[must_use]
    pub fn from_hexadecimal(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(text.get(index * 2..index * 2 + 2)?, 16).ok()?;
        }
        Some(Self(bytes))
    }

    fn of_key(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }
}

impl ApiAction {
    /// Returns the lowest role that permits the action.
    #[must_use]
    pub fn needed_role(self) -> OperatorRole {
        match self {
            Self::Read => OperatorRole::Viewer,
            Self::Write => OperatorRole::Editor,
            Self::Delete => OperatorRole::Admin,
        }
    }
}

impl OperatorAccess {
    /// Creates the access check for the declared operators.
    #[must_use]
    pub fn new(operators: Vec<OperatorEntry>) -> Self {
        Self { operators }
    }

    /// Authenticates the value of an `Authorization` header, and checks that the role permits the action.
    #[must_use]
    pub fn check(&self, authorization: Option<&[u8]>, action: ApiAction) -> AccessStep {
        let Some(operator) = authorization.and_then(bearer_key).and_then(|key| self.find(key)) else {
            return AccessStep::Unauthenticated;
        };
        let needed = action.needed_role();
        if operator.role < needed {
            return AccessStep::Forbidden {
                operator: operator.name.clone(),
                needed,
            };
        }
        AccessStep::Allowed {
            operator: operator.name.clone(),
        }
    }

    /// Compares the key with those of all operators in constant time, so that timing reveals neither a digest nor the
    /// position of an operator.
    fn find(&self, key: &[u8]) -> Option<&OperatorEntry> {
        let presented = KeyDigest::of_key(key);
        let mut found = None;
        for operator in &self.operators {
            if bool::from(operator.key_digest.0.ct_eq(&presented.0)) {
                found = Some(operator);
            }
        }
        found
    }
}

/// Returns the key of `Bearer <key>`. The scheme is case-insensitive.
fn bearer_key(authorization: &[u8]) -> Option<&[u8]> {
    let (scheme, rest) = authorization.split_at_checked(7)?;
    let key = rest.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"Bearer ") && !key.is_empty()).then_some(key)
}
