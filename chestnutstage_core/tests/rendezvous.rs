//! Selection of the few instances that perform a duty for the whole fleet.

use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::rendezvous::is_among_top;

fn ids(count: usize) -> Vec<InstanceId> {
    (0..count).map(|n| format!("front-{n}").as_str().into()).collect()
}

fn selected(ids: &[InstanceId]) -> usize {
    let others = |me: &InstanceId| ids.iter().filter(|id| *id != me).cloned().collect::<Vec<_>>();
    ids.iter().filter(|me| is_among_top(8, "store", me, &others(me))).count()
}

#[test]
fn selects_requested_count() {
    assert_eq!(selected(&ids(70)), 8);
    assert_eq!(selected(&ids(8)), 8);
    assert_eq!(selected(&ids(3)), 3);
}

/// After a network partition, each part selects among its own instances.
#[test]
fn each_partition_selects() {
    let all = ids(66);
    for part in all.chunks(22) {
        assert_eq!(selected(part), 8);
    }
}
