//! Shared by the tests of this folder.

pub mod capacity_world;
