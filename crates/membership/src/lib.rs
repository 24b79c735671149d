//! Membership of daemons: member table, gossip and anti-entropy.
