//! Small stand-ins of what chestnutstage talks to, and a load driver.
//!
//! Nothing here is linked into the daemon. Each stand-in can run inside a test or as a process of `chestnut-fake`.

pub mod demo;
pub mod endpoint;
pub mod engine;
pub mod load;
pub mod platform;
pub mod probe;
pub mod service;
pub mod world;
