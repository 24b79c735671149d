//! Test tools: stand-ins for the platform store, backend servers and callers. Never a dependency of the product.

pub mod answer_body;
pub mod backend_call;
pub mod backend_faults;
pub mod backend_server;
pub mod backend_slots;
pub mod backend_state;
pub mod demo_check;
pub mod demo_plan;
pub mod demo_processes;
pub mod http_exchange;
pub mod http_query;
pub mod load_mix;
pub mod load_run;
pub mod load_summary;
pub mod next_call;
pub mod store_faults;
pub mod store_server;
pub mod table_store;
pub mod token_bucket;
