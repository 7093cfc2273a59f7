//! Customer rates, retry budgets, pause detection, routing and backoff.

mod common;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use chestnutstage_core::budget::RetryBudget;
use chestnutstage_core::contract::{Bucket, Contract};
use chestnutstage_core::ids::{InstanceId, ModelId, ZoneId};
use chestnutstage_core::length::{Class, Tokens};
use chestnutstage_core::members::ModelSet;
use chestnutstage_core::owner::Summary;
use chestnutstage_core::pause::PauseDetector;
use chestnutstage_core::rendezvous;
use chestnutstage_core::route::{Peer, Router};
use common::{MODEL, at};

fn contract() -> Contract {
    Contract { rate: 1_000, ..Contract::default() }
}

#[test]
fn rate_over_instances() {
    // Eight instances each spend as much as they are allowed; together they stay within the contract's rate.
    let contract = contract();
    let mut home = Bucket::home(at(0), &contract);
    let mut local: Vec<_> = (0..8).map(|_| Bucket::local(at(0), &contract, 8)).collect();
    let mut spent = 0;
    for second in 0..100 {
        for bucket in &mut local {
            for _ in 0..20 {
                let now = at(second * 1_000);
                if let Err(short) = bucket.spend(now, Tokens(50), &contract) {
                    let lent = home.lend(now, short.borrow);
                    bucket.credit(lent);
                    if bucket.spend(now, Tokens(50), &contract).is_err() {
                        break;
                    }
                }
                spent += 50;
            }
        }
    }
    let most = 1_000 * (99 + 10) + 8 * 1_000;
    assert!(spent <= most, "{spent} of {most}");
    assert!(spent >= 1_000 * 99, "the full rate is used: {spent}");
}

#[test]
fn single_busy_instance() {
    let contract = contract();
    let mut home = Bucket::home(at(0), &contract);
    let mut local = Bucket::local(at(0), &contract, 8);
    let mut spent = 0;
    for tick in 0..1_000 {
        let now = at(tick * 100);
        if let Err(short) = local.spend(now, Tokens(100), &contract) {
            local.credit(home.lend(now, short.borrow));
            if local.spend(now, Tokens(100), &contract).is_err() {
                continue;
            }
        }
        spent += 100;
    }
    assert!(spent >= 90_000, "a single instance can use most of the rate: {spent}");
}

#[test]
fn request_above_burst() {
    let contract = contract();
    let mut home = Bucket::home(at(0), &contract);
    let mut local = Bucket::local(at(0), &contract, 1);
    let short = local.spend(at(0), Tokens(50_000), &contract).unwrap_err();
    local.credit(home.lend(at(0), short.borrow));
    assert!(
        local.spend(at(0), Tokens(50_000), &contract).is_ok(),
        "a full bucket covers a request that exceeds its capacity"
    );
    let short = local.spend(at(1_000), Tokens(500), &contract).unwrap_err();
    assert_eq!(home.lend(at(1_000), short.borrow), Tokens(0), "the debt is repaid before more is lent");
}

#[test]
fn changed_contract() {
    let contract = contract();
    let mut home = Bucket::home(at(0), &contract);
    assert!(home.lend(at(0), Tokens(8_000)).0 == 8_000);
    home.update_rate(&Bucket::home(at(0), &contract));
    assert!(home.lend(at(0), Tokens(8_000)).0 <= 1_000, "a configuration change does not refill the bucket");
    let double = Contract { rate: 2_000, ..contract };
    home.update_rate(&Bucket::home(at(1_000), &double));
    let lent = home.lend(at(11_000), Tokens(100_000)).0;
    assert!(lent >= 17_000, "the new rate applies after the change: {lent}");
}

#[test]
fn credit_survives_retune() {
    let contract = contract();
    let mut local = Bucket::local(at(0), &contract, 8);
    let short = local.spend(at(0), Tokens(5_000), &contract).unwrap_err();
    local.credit(short.borrow);
    local.update_rate(&Bucket::local(at(0), &contract, 8));
    assert!(local.spend(at(0), Tokens(5_000), &contract).is_ok(), "the borrowed tokens can still be spent");
}

#[test]
fn retry_budget_exhausted() {
    let mut budget = RetryBudget::new(1);
    let granted = (0..100).filter(|_| budget.retry(0).is_some()).count();
    assert_eq!(granted, 20);
    for _ in 0..10 {
        budget.earn();
    }
    assert!(budget.retry(0).is_some(), "ten first attempts add one retry to the budget");
    assert!(budget.retry(0).is_none());
}

#[test]
fn growing_backoff() {
    let mut budget = RetryBudget::new(1);
    let (first, late) = (budget.retry(0).unwrap(), budget.retry(10).unwrap());
    assert!(first <= Duration::from_millis(20) && late >= Duration::from_millis(500), "{first:?} {late:?}");
}

#[test]
fn pause_detected() {
    let mut watch = PauseDetector::new(at(0));
    assert_eq!(watch.tick(at(100)), None);
    assert_eq!(watch.tick(at(9_100)), Some(Duration::from_secs(9)));
    assert_eq!(watch.tick(at(9_200)), None);
}

fn router(count: usize) -> (Router, Vec<(InstanceId, ZoneId)>) {
    let mut router = Router::new("a".into(), 1);
    let zones = ["a", "b", "c"];
    let peers: Vec<(InstanceId, ZoneId)> =
        (0..count).map(|i| (format!("i{i}").as_str().into(), zones[i % 3].into())).collect();
    let model: ModelId = MODEL.into();
    let models = ModelSet::of([&model]);
    let views = peers.iter().map(|(id, zone)| Peer { id, zone, models });
    router.set_peers(views, &BTreeSet::from([model.clone()]));
    (router, peers)
}

#[test]
fn own_zone_first() {
    let (mut router, peers) = router(9);
    for prefix in 0..50 {
        let first = router.candidates(at(0), &MODEL.into(), Class::Short, Some(prefix))[0].clone();
        assert!(peers.iter().any(|(id, zone)| *id == first && zone.as_str() == "a"));
    }
}

#[test]
fn spill_when_busy() {
    let (mut router, peers) = router(9);
    let busy = Summary { free: 0, wait: Duration::from_millis(400) };
    for (id, _) in peers.iter().filter(|(_, z)| z.as_str() == "a") {
        router.record_summary(at(0), id, &MODEL.into(), busy);
    }
    let first = router.candidates(at(100), &MODEL.into(), Class::Short, None)[0].clone();
    assert!(peers.iter().any(|(id, zone)| *id == first && zone.as_str() != "a"));
}

#[test]
fn prefix_affinity() {
    let (mut router, _) = router(30);
    let first: BTreeSet<_> =
        (0..20).map(|_| router.candidates(at(0), &MODEL.into(), Class::Short, Some(42))[0].clone()).collect();
    assert_eq!(first.len(), 1);
}

#[test]
fn unreachable_owner_avoided() {
    let (mut router, _) = router(9);
    let first = router.candidates(at(0), &MODEL.into(), Class::Short, Some(42))[0].clone();
    router.avoid(at(0), &first);
    assert_ne!(router.candidates(at(100), &MODEL.into(), Class::Short, Some(42))[0], first);
}

#[test]
fn removed_instance_keys() {
    let zone = ZoneId::from("a");
    let instances: Vec<InstanceId> = (0..8).map(|i| format!("i{i}").as_str().into()).collect();
    let owner = |key: &str, skip: Option<&InstanceId>| {
        rendezvous::owner(key, &zone, instances.iter().filter(|i| Some(*i) != skip).map(|i| (i, &zone)))
            .cloned()
            .unwrap()
    };
    let mut counts = HashMap::<InstanceId, u32>::new();
    for n in 0..800 {
        let key = format!("e{n}");
        let before = owner(&key, None);
        let after = owner(&key, Some(&instances[0]));
        assert!(before == after || before == instances[0]);
        *counts.entry(before).or_default() += 1;
    }
    assert!(counts.values().all(|c| (60..140).contains(c)), "{counts:?}");
}

/// The retries of any number of instances that share a budget stay within the ratio plus the fixed extra.
#[test]
fn shared_budget() {
    let (ratio, extra, first_attempts) = (0.2, 106.0, 300);
    for instances in [1, 7, 9, 65] {
        let mut retries = 0;
        for seed in 0..instances {
            let mut budget = RetryBudget::with_limits(seed, ratio, 20.0);
            budget.set_max_saved(extra / instances as f64);
            for _ in 0..first_attempts {
                budget.earn();
                retries += u64::from(budget.retry(0).is_some());
            }
        }
        let allowed = ratio * (instances * first_attempts) as f64 + extra;
        assert!(retries as f64 <= allowed, "{retries} of {allowed} from {instances} instances");
    }
}
