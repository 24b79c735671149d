//! Scenario tests and measurements on virtual time.
//!
//! [`scenario_file`] reads a case, [`call_world`] runs it with the production code of admission, routing and the retry
//! ledger, and [`world_tally`] holds the requests and computes figures. Only the interfaces are fakes: backend servers,
//! network delay and callers.

pub mod call_world;
pub mod control_arm;
pub mod fake_backend;
pub mod measure_cases;
pub mod scenario_file;
pub mod world_node;
pub mod world_tally;
