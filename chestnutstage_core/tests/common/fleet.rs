//! Instances with a quarantine, and the endpoints that end before them.

use chestnutstage_core::pool::{Key, Listing};
use chestnutstage_core::quarantine::Quarantine;

use crate::common::at;

/// Incarnation `number` of an endpoint.
pub fn endpoint(number: u64) -> Key {
    let listing = Listing {
        id: "e".into(),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: "a".into(),
        service: "llm".into(),
        slots: 16,
        leaving: false,
        born: number,
        cold: 0,
    };
    listing.key()
}

pub fn fleet(count: usize) -> Vec<Quarantine> {
    let ids: Vec<_> = (0..count).map(|i| format!("i{i}").as_str().into()).collect();
    let mut fleet: Vec<_> = ids.iter().cloned().map(Quarantine::new).collect();
    for quarantine in &mut fleet {
        quarantine.set_members(ids.clone());
    }
    fleet
}

/// Sends the reports of each instance, made at `now`, to the others; they arrive 20 ms later.
pub fn exchange(now: u64, fleet: &mut [Quarantine]) {
    let sent: Vec<_> = fleet.iter_mut().map(|q| q.reports(at(now), true)).collect();
    for (i, receiver) in fleet.iter_mut().enumerate() {
        let others = sent.iter().enumerate().filter(|(j, _)| *j != i);
        others.for_each(|(_, reports)| receiver.apply(at(now + 20), reports));
    }
}
