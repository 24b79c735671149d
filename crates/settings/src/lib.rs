//! Daemon settings: declaration, JSON reading and verification.
