//! Findings of the settings verifier.

/// Error in a settings document, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{file}: {path}: {expected}")]
pub struct Finding {
    /// File name that was passed to the reader.
    pub file: String,
    /// Path of the value in the document, for example `seeds[1]`; `line 3 column 7` for a syntax error.
    pub path: String,
    /// Message: what was expected and, in most cases, what was found.
    pub expected: String,
}
