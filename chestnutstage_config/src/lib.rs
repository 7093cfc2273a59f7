//! Settings of an instance and operators' configuration of the fleet.
//!
//! [`settings`] are read by one instance at startup; [`fleet`] is configuration that operators change at run time.

#![warn(missing_docs)]

pub mod fleet;
pub mod key;
pub mod load;
pub mod settings;
pub mod units;
