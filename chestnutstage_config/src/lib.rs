//! Settings of an instance and operators' configuration of the fleet.
//!
//! [`settings`] is what one instance reads at its start; [`fleet`] is what operators change while all instances run.

#![warn(missing_docs)]

pub mod fleet;
pub mod key;
pub mod load;
pub mod settings;
pub mod units;
