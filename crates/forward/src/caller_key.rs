//! Keys by which callers identify their tenant. Neither type prints its contents.

use std::fmt;
use std::hash;

use hyper::header;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// Key of a caller, as a request carries it.
#[derive(Clone)]
pub struct CallerKey(header::HeaderValue);

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerKey").finish_non_exhaustive()
    }
}

impl CallerKey {
    /// Returns the digest under which a [`crate::tenant_config::TenantTable`] lists the key.
    #[must_use]
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(self.0.as_bytes())
    }
}

/// SHA-256 digest of a key. Not printed, since short keys can be guessed from their digest.
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        bool::from(self.0.ct_eq(&other.0))
    }
}

impl hash::Hash for KeyDigest {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyDigest").finish_non_exhaustive()
    }
}

/// Key that a request carries.
#[derive(Clone, Debug)]
pub enum CarriedKey {
    /// The request has no key.
    None,
    /// The request has one key.
    One(CallerKey),
    /// The request has several keys, which identify no tenant.
    Several,
}

impl CarriedKey {
    /// Removes the key from the headers of a request and returns it.
    pub fn take(headers: &mut header::HeaderMap, name: &header::HeaderName) -> Self {
        let several = headers.get_all(name).iter().nth(1).is_some();
        match headers.remove(name) {
            Some(_first) if several => Self::Several,
            Some(value) => Self::One(CallerKey(value)),
            None => Self::None,
        }
    }
}
