//! Helpers shared by several test files.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use chestnutstage_core::endpoint::{Endpoint, Kind, Report, Size, Speed};
use chestnutstage_core::ids::{BootId, EndpointId, RequestId, Ticket};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::owner::{Action, GrantRequest};
use chestnutstage_core::time::Time;
use chestnutstage_core::window::{Capacity, Load};

pub const MODEL: &str = "m";

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn ticket(n: u64) -> Ticket {
    Ticket { request: RequestId(u128::from(n) << 16), attempt: 0 }
}

pub fn capacity() -> Capacity {
    Capacity {
        cold: Load { requests: 2, tokens: Tokens(16_000) },
        warm: Load { requests: 16, tokens: Tokens(120_000) },
    }
}

pub fn engine(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        zone: "a".into(),
        address: format!("{id}:1"),
        kind: Kind::Engine,
        models: vec![MODEL.into()],
        capacity: capacity(),
        speed: Speed { prefill: 60_000, step: 20_000 },
        memory: Tokens(450_000),
        fenced: true,
        leaving: false,
    }
}

pub fn report(boot: u64, cold: bool, running: u32) -> Report {
    Report { boot: BootId(boot), cold, running, held: Tokens(0) }
}

pub fn request(n: u64, prompt: u64) -> GrantRequest {
    request_of(n, "c1", prompt)
}

pub fn request_of(n: u64, customer: &str, prompt: u64) -> GrantRequest {
    GrantRequest {
        ticket: ticket(n),
        customer: customer.into(),
        weight: 1,
        model: MODEL.into(),
        size: Size { prompt: Tokens(prompt), output: Tokens(50) },
        prefix: None,
        may_queue: true,
        avoid: Vec::new(),
    }
}

/// Returns the grants in `actions`: attempts and their endpoints.
pub fn grants(actions: &[Action]) -> Vec<(Ticket, EndpointId)> {
    let grant = |a: &Action| match a {
        Action::Grant { ticket, endpoint, .. } => Some((*ticket, endpoint.clone())),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}
