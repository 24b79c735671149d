//! Scenario files on virtual time, measurements and fuzz targets.
//!
//! [`scenario_file`] reads a case, [`call_world`] runs it over the real decisions of admission, routing and the retry
//! ledger, and [`world_tally`] holds what happened. Fakes stand only at the interfaces: backend servers, network delay
//! and callers.

pub mod call_world;
pub mod control_arm;
pub mod fake_backend;
pub mod measure_cases;
pub mod scenario_file;
pub mod world_node;
pub mod world_tally;
