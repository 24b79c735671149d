//! Test tools: stand-ins for the platform store, backend servers and callers.
