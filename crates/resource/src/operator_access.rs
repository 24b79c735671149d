//! Operators, their roles and the check of their keys.

use std::fmt;

use sha2::Digest;
use subtle::ConstantTimeEq as _;

/// What an operator may do; each role may do all that those before it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OperatorRole {
    /// Reads resources, changes, status and daemons.
    Viewer,
    /// Creates and changes resources.
    Editor,
    /// Deletes resources.
    Admin,
}

/// Kind of request to the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ApiAction {
    /// Get, list, watch, status.
    Read,
    /// Create, change, apply without deletes; also as a dry run.
    Write,
    /// Delete, or apply with deletes; also as a dry run.
    Delete,
}

/// Digest of an operator's key. It is not printed either, since short keys can be guessed from it.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

/// Operator as the settings declare it.
#[derive(Clone, Debug)]
pub struct OperatorEntry {
    /// Name; it appears in changes and logs.
    pub name: String,
    /// Role.
    pub role: OperatorRole,
    /// Digest of the key.
    pub key_digest: KeyDigest,
}

/// Declared operators.
#[derive(Clone, Debug)]
pub struct OperatorAccess {
    operators: Vec<OperatorEntry>,
}

/// Answer to a request's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessStep {
    /// The request may go on.
    Allowed {
        /// Name of the operator.
        operator: String,
    },
    /// The key is good and the role is not: answer 403.
    Forbidden {
        /// Name of the operator.
        operator: String,
        /// Lowest role that may do it.
        needed: OperatorRole,
    },
    /// No key, or none that is declared: answer 401.
    Unauthenticated,
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl KeyDigest {
    /// Wraps the bytes of a digest.
    #[must_use]
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Reads 64 hexadecimal digits.
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
    /// Returns the lowest role that may do it.
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
    /// Wraps the declared operators.
    #[must_use]
    pub fn new(operators: Vec<OperatorEntry>) -> Self {
        Self { operators }
    }

    /// Checks the value of an `Authorization` header.
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

    /// Compares with every operator in constant time, so that the time tells neither a digest nor a position.
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

/// Returns the key of `Bearer <key>`; the scheme's case does not matter.
fn bearer_key(authorization: &[u8]) -> Option<&[u8]> {
    let (scheme, rest) = authorization.split_at_checked(7)?;
    let key = rest.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"Bearer ") && !key.is_empty()).then_some(key)
}
