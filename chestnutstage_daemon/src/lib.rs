//! Code shared by both daemons of chestnutstage: logging, and TLS for links between instances.

#![warn(missing_docs)]

pub mod logging;
pub mod tls;
