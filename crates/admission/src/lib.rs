//! Admission control at the callee: concurrency limits, queues, admission levels and tenant shares.
//!
//! The crate does no I/O and reads no clock: every state changes only through method calls, and methods that depend on
//! time take `now`. [`admission_gate::AdmissionGate`] combines the parts for one backend server;
//! [`level_view::LevelView`] holds the reported levels at the daemons that send calls.

pub mod admission_gate;
pub mod admission_policy;
pub mod class_queue;
pub mod concurrency_limit;
pub mod gate_report;
pub mod level_controller;
pub mod level_view;
pub mod pressure_throttle;
pub mod service_estimate;
pub mod start_rate;
pub mod tenant_share;
