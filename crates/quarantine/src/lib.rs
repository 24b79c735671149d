//! Requests that crash the servers that run them.
//!
//! [`request_digest`] identifies a request independent of the attempt, so that a request which a client sends again at
//! another machine is recognized. [`quarantine_table`] relates requests to the crashes of servers: one that was in flight
//! when several servers crashed, and that no server completes, is quarantined. [`completion_log`] has the requests that
//! servers completed lately. All daemons hold the same table, whose
//! merge is commutative and idempotent; [`crash_report`] has the messages.
//!
//! The crate does no I/O and reads no clock. `now` is the time of a clock that includes suspensions of the machine; the
//! clocks of two daemons need not agree.

pub mod completion_log;
pub mod crash_report;
pub mod quarantine_table;
pub mod request_digest;
