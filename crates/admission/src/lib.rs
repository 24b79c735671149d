//! Admission of calls at the callee: limits, queue, levels and tenant shares.
//!
//! Everything here is a plain function over (state, event, `now`). [`admission_gate::AdmissionGate`] combines the parts
//! for one backend server; [`level_view::LevelView`] is the side of the daemons that send calls.

pub mod admission_gate;
pub mod admission_policy;
pub mod class_queue;
pub mod concurrency_limit;
pub mod gate_report;
pub mod level_controller;
pub mod level_view;
pub mod pressure_throttle;
pub mod service_estimate;
pub mod tenant_share;
