//! The few instances of many that do a duty for all.

use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::rendezvous::is_among_top;

fn ids(count: usize) -> Vec<InstanceId> {
    (0..count).map(|n| format!("front-{n}").as_str().into()).collect()
}

fn chosen(ids: &[InstanceId]) -> usize {
    let others = |me: &InstanceId| ids.iter().filter(|id| *id != me).cloned().collect::<Vec<_>>();
    ids.iter().filter(|me| is_among_top(8, "store", me, &others(me))).count()
}

#[test]
fn as_many_as_asked() {
    assert_eq!(chosen(&ids(70)), 8);
    assert_eq!(chosen(&ids(8)), 8);
    assert_eq!(chosen(&ids(3)), 3);
}

/// Instances that are cut off from the others choose among themselves.
#[test]
fn parts_choose_alone() {
    let all = ids(66);
    for part in all.chunks(22) {
        assert_eq!(chosen(part), 8);
    }
}
