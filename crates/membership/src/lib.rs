//! Membership of daemons: member table, gossip and anti-entropy.
//!
//! No type does I/O or reads a clock: the caller passes events and the current time, and sends what the types return:
//! datagrams of [`gossip_context`], exchanges of [`anti_entropy`] over HTTP, and calls to the table service of
//! [`join_plan`].

pub mod anti_entropy;
pub mod config_rumour;
pub mod gossip_context;
mod gossip_detector;
mod gossip_merge;
pub mod gossip_message;
pub mod join_plan;
pub mod member_record;
pub mod member_row;
pub mod member_table;
pub mod row_filter;
pub mod server_departure;
pub mod traffic_count;
pub mod update_queue;
