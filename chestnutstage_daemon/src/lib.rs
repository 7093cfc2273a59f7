//! What both daemons of chestnutstage do alike: log lines, and the TLS of links between instances.

#![warn(missing_docs)]

pub mod logging;
pub mod tls;
