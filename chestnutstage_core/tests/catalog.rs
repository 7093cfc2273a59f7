//! Routes, customers and versions of the catalog.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutstage_core::catalog::{
    Account, CallerLimits, Catalog, ColdRate, Directory, Repeat, Route, ServiceSpec, Share, Target,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(1),
        target: Target { first: Duration::from_millis(120), gap: Duration::ZERO },
        rank: 1,
        shares: vec![Share { service: "s".into(), weight: 1 }],
        attempts: 1,
        anonymous: false,
    }
}

fn directory(version: u64, routes: Vec<Route>) -> Directory {
    let customers = vec![Account { id: "town".into(), keys: vec!["k1".into(), "k2".into()], rank: None }];
    let limits = CallerLimits {
        headers: 8_192,
        body: 1_024,
        header_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    Directory::from(Catalog { version, routes, services: BTreeMap::new(), customers, limits })
}

fn route_name<'a>(directory: &'a Directory, host: &str, path: &str) -> Option<&'a str> {
    directory.route(host, path).map(|r| r.name.as_str())
}

#[test]
fn longest_prefix() {
    let routes =
        vec![route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/c/")];
    let directory = directory(1, routes);
    assert_eq!(route_name(&directory, "h", "/a/b/c/x"), Some("long"));
    assert_eq!(route_name(&directory, "h", "/a/x"), Some("short"));
    assert_eq!(route_name(&directory, "h", "/a"), None, "a prefix ends with a slash");
    assert_eq!(route_name(&directory, "g", "/a/x"), None);
}

#[test]
fn host_case_port() {
    let directory = directory(1, vec![route("r", "Some.Example", "/")]);
    assert_eq!(route_name(&directory, "some.example", "/x"), Some("r"));
    assert_eq!(route_name(&directory, "SOME.example:8080", "/x"), Some("r"));
    assert_eq!(route_name(&directory, "else.example", "/x"), None);
}

#[test]
fn customer_keys() {
    let directory = directory(1, Vec::new());
    assert!(directory.requires_key());
    assert_eq!(directory.customer("k2").map(|c| c.id.as_str()), Some("town"));
    assert!(directory.customer("k3").is_none());
}

#[test]
fn weighted_shares() {
    let mut route = route("r", "h", "/");
    route.shares = vec![Share { service: "a".into(), weight: 90 }, Share { service: "b".into(), weight: 10 }];
    let to_b = |n: &u32| route.service(format!("request-{n}").as_bytes()).unwrap().as_str() == "b";
    let count = (0..10_000).filter(to_b).count();
    assert!(
        (900..1_100).contains(&count),
        "{count} of 10,000 requests go to the service with weight 10 of 100"
    );
    let stable = |id: &str| route.service(id.as_bytes()) == route.service(id.as_bytes());
    assert!(stable("x"), "a request keeps its service");
    route.shares.clear();
    assert!(route.service(b"x").is_none());
}

#[test]
fn newer_version_supersedes() {
    let (old, new) = (directory(3, Vec::new()), directory(7, Vec::new()));
    assert!(new.supersedes(&old));
    assert!(!old.supersedes(&new));
    assert!(!new.supersedes(&new));
}

#[test]
fn repeatable_requests() {
    assert!(Repeat::Idempotent.is_repeatable() && Repeat::Resumable.is_repeatable());
    assert!(!Repeat::Once.is_repeatable() && !Repeat::Stream.is_repeatable());
}

/// The idle connections of all instances and the connections in use stay within an endpoint's limit.
#[test]
fn idle_connection_limit() {
    for (connections, slots, instances) in [(110, 6, 72), (49, 6, 7), (434, 16, 9), (268, 12, 72), (10, 6, 9)]
    {
        let spec = ServiceSpec { connections, cold: ColdRate::default(), engine: None };
        let idle = spec.idle_share(slots, instances) * instances;
        assert!(idle == 0 || idle + 2 * slots as usize <= connections as usize, "{connections} {instances}");
    }
    let spec = ServiceSpec { connections: 110, cold: ColdRate::default(), engine: None };
    assert_eq!(spec.idle_share(6, 72), 1);
}
