//! Findings of the settings verifier.

/// One fault of a settings document, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{file}: {path}: {expected}")]
pub struct Finding {
    /// Name of the file, as the caller gave it.
    pub file: String,
    /// Path of the value in the document, for example `seeds[1]`; `line 3 column 7` for a syntax error.
    pub path: String,
    /// What was expected there, and what was found.
    pub expected: String,
}
