//! Request ownership: at-most-once action ledger, retry ledger and id issue.
