//! Source text of a configuration.

use std::fmt;

use bytes::Bytes;

/// Source text of a configuration. Not printed, since it contains the keys of the tenants.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct ConfigText(Bytes);

impl ConfigText {
    /// Creates a text from its bytes.
    #[must_use]
    pub fn new(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the text.
    #[must_use]
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }
}

impl fmt::Debug for ConfigText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let length = self.0.len();
        f.debug_struct("ConfigText")
            .field("length", &length)
            .finish_non_exhaustive()
    }
}
