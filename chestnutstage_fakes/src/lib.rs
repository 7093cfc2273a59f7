//! Fakes of the systems that chestnutstage talks to, and a load driver.
//!
//! Nothing here is linked into the daemon. Each fake runs inside a test or as a process of `chestnut-fake`.

pub mod demo;
pub mod endpoint;
pub mod engine;
pub mod load;
pub mod measurements;
pub mod platform;
pub mod service;
pub mod world;
