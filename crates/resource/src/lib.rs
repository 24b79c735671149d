//! Declared resources, their verifier, revisions and change log.
