//! Checks of a catalog before it is published.
//!
//! A [`Catalog`] is published by operators and takes effect at once. The checks find entries that can't take effect and values that
//! contradict each other; [`compare`] tells what a catalog changes. Keys of customers are never part of a finding.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::catalog::{Account, Catalog, Route, ServiceSpec};
use crate::engine::Costs;
use crate::ids::ModelId;

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requests fail, or a value is out of range.
    #[display("error")]
    Error,
    /// An entry has no effect, or values contradict each other.
    #[display("warning")]
    Warning,
    /// The value differs from that in force.
    #[display("change")]
    Change,
}

/// One result of a check.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[display("{severity}: {place}: {message}")]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// Entry that it is about.
    pub place: String,
    /// What was found, as a sentence.
    pub message: String,
}

impl Finding {
    /// Creates an error.
    pub fn error(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self { severity: Severity::Error, place: place.into(), message: message.into() }
    }

    /// Creates a warning.
    pub fn warning(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, ..Self::error(place, message) }
    }

    /// Creates a difference.
    pub fn change(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self { severity: Severity::Change, ..Self::error(place, message) }
    }

    /// Whether it is an error or a warning; a difference alone is no fault.
    pub fn is_fault(&self) -> bool {
        self.severity != Severity::Change
    }
}

/// Finds entries that can't take effect, values out of range and values that contradict each other.
pub fn check(catalog: &Catalog) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, route) in catalog.routes.iter().enumerate() {
        check_route(catalog, index, route, &mut findings);
    }
    for (id, service) in &catalog.services {
        check_service(id, service, &mut findings);
        if !catalog.routes.iter().any(|route| route.shares.iter().any(|share| share.service == *id)) {
            findings.push(Finding::warning(service_place(id), "no route leads to it."));
        }
    }
    check_customers(&catalog.customers, &mut findings);
    let limits = &catalog.limits;
    let values = [
        ("header size", limits.headers == 0),
        ("body size", limits.body == 0),
        ("header time", limits.header_time.is_zero()),
        ("idle time", limits.idle_time.is_zero()),
    ];
    let zeros = values.iter().filter(|(_, is_zero)| *is_zero);
    findings.extend(zeros.map(|(name, _)| Finding::error("limits", format!("the {name} is zero."))));
    findings
}

/// Place of a route in findings.
pub fn route_place(index: usize, name: &str) -> String {
    format!("route {} `{name}`", index + 1)
}

fn service_place(id: &ModelId) -> String {
    format!("service `{id}`")
}

fn check_route(catalog: &Catalog, index: usize, route: &Route, findings: &mut Vec<Finding>) {
    let place = route_place(index, &route.name);
    let mut warn = |message: String| findings.push(Finding::warning(&place, message));
    if route.host.is_empty() {
        warn("it can never match: the host is empty.".into());
    }
    if !route.prefix.starts_with('/') {
        warn(format!("it can never match: the prefix `{}` does not begin with a slash.", route.prefix));
    }
    // Only an equal prefix hides a route, since the longest one wins.
    let hides = |other: &&Route| other.host.eq_ignore_ascii_case(&route.host) && other.prefix == route.prefix;
    if let Some(earlier) = catalog.routes[..index].iter().position(|other| hides(&other)) {
        let earlier = route_place(earlier, &catalog.routes[earlier].name);
        warn(format!("it can never match: {earlier} has the same host and prefix."));
    }
    if route.timeout < route.target.first {
        let (timeout, target) = (route.timeout, route.target.first);
        warn(format!("the timeout of {timeout:?} is below the target of {target:?}."));
    }
    if route.repeat.is_stream() && route.timeout < route.target.gap {
        let (timeout, gap) = (route.timeout, route.target.gap);
        warn(format!("the timeout of {timeout:?} is below the target gap of {gap:?}."));
    }
    for share in route.shares.iter().filter(|share| share.weight == 0) {
        warn(format!("no request goes to service `{}`: its weight is zero.", share.service));
    }
    let mut fail = |message: String| findings.push(Finding::error(&place, message));
    if route.timeout == Duration::ZERO {
        fail("the timeout is zero.".into());
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        fail("it leads to no service.".into());
    }
    for share in route.shares.iter().filter(|share| !catalog.services.contains_key(&share.service)) {
        fail(format!("there is no service `{}`.", share.service));
    }
}

fn check_service(id: &ModelId, service: &ServiceSpec, findings: &mut Vec<Finding>) {
    let place = service_place(id);
    let mut fail = |message: String| findings.push(Finding::error(&place, message));
    if !is_valid(service.cold.per_second) {
        fail(format!("the cold rate is {}.", service.cold.per_second));
    }
    if service.connections == 0 {
        fail("its endpoints accept no connections.".into());
    }
    let Some(engine) = &service.engine else { return };
    if service.connections < engine.slots {
        let (connections, slots) = (service.connections, engine.slots);
        fail(format!("{connections} connections are fewer than the {slots} slots of an endpoint."));
    }
    for (name, value, may_be_zero) in costs(engine) {
        if !is_valid(value) || (value == 0.0 && !may_be_zero) {
            fail(format!("the engine's {name} is {value}."));
        }
    }
}

fn is_valid(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Costs of an engine by name, and whether they may be zero.
const fn costs(engine: &Costs) -> [(&'static str, f64, bool); 10] {
    [
        ("step time", engine.step, false),
        ("step time per sequence", engine.writer, true),
        ("step time per context", engine.context, true),
        ("prefill rate", engine.rate, false),
        ("time per pairs", engine.pairs, true),
        ("hop time", engine.hop, true),
        ("chunk", engine.chunk as f64, false),
        ("stride", engine.stride as f64, false),
        ("slots", engine.slots as f64, false),
        ("memory", engine.memory as f64, false),
    ]
}

fn check_customers(customers: &[Account], findings: &mut Vec<Finding>) {
    let mut ids = BTreeSet::new();
    let mut owners: BTreeMap<&str, &Account> = BTreeMap::new();
    for customer in customers {
        let place = format!("customer `{}`", customer.id);
        if !ids.insert(&customer.id) {
            findings.push(Finding::error(&place, "it is listed more than once."));
        }
        if customer.keys.is_empty() {
            findings.push(Finding::warning(&place, "it can never match: it has no keys."));
        }
        for (index, key) in customer.keys.iter().enumerate() {
            let number = index + 1;
            if key.is_empty() {
                findings.push(Finding::error(&place, format!("key {number} is empty.")));
            }
            match owners.insert(key, customer) {
                Some(other) if other.id != customer.id => {
                    let message = format!("key {number} is also a key of customer `{}`.", other.id);
                    findings.push(Finding::error(&place, message));
                }
                Some(_) => {
                    let message = format!("key {number} is listed more than once.");
                    findings.push(Finding::warning(&place, message));
                }
                None => {}
            }
        }
    }
}

/// Tells how a catalog differs from the one in force.
pub fn compare(new: &Catalog, in_force: &Catalog) -> Vec<Finding> {
    let mut findings = Vec::new();
    let routes = |catalog: &Catalog| -> BTreeMap<String, Route> {
        // The first of equal ones is in effect.
        let routes = catalog.routes.iter().rev();
        routes
            .map(|route| (format!("{}{}", route.host.to_ascii_lowercase(), route.prefix), route.clone()))
            .collect()
    };
    compare_entries("route", &routes(new), &routes(in_force), route_changes, &mut findings);
    let services = |catalog: &Catalog| -> BTreeMap<String, ServiceSpec> {
        catalog.services.iter().map(|(id, service)| (id.to_string(), service.clone())).collect()
    };
    compare_entries("service", &services(new), &services(in_force), service_changes, &mut findings);
    let customers = |catalog: &Catalog| -> BTreeMap<String, Account> {
        catalog.customers.iter().map(|customer| (customer.id.to_string(), customer.clone())).collect()
    };
    compare_entries("customer", &customers(new), &customers(in_force), customer_changes, &mut findings);
    let (limits, old) = (&new.limits, &in_force.limits);
    let changes = [
        changed("header size", &limits.headers, &old.headers),
        changed("body size", &limits.body, &old.body),
        changed("header time", &limits.header_time, &old.header_time),
        changed("idle time", &limits.idle_time, &old.idle_time),
    ];
    findings.extend(changes.into_iter().flatten().map(|message| Finding::change("limits", message)));
    if !findings.is_empty() && new.version <= in_force.version {
        let message = format!(
            "the changes would be ignored: version {} does not follow version {}, which is in force.",
            new.version, in_force.version
        );
        findings.push(Finding::error("version", message));
    }
    findings
}

fn compare_entries<T: PartialEq>(
    kind: &str,
    new: &BTreeMap<String, T>,
    in_force: &BTreeMap<String, T>,
    changes: fn(&T, &T) -> Vec<String>,
    findings: &mut Vec<Finding>,
) {
    for name in new.keys().chain(in_force.keys()).collect::<BTreeSet<_>>() {
        let place = format!("{kind} `{name}`");
        let messages = match (new.get(name), in_force.get(name)) {
            (Some(_), None) => vec!["it is new.".into()],
            (None, Some(_)) => vec!["it is removed.".into()],
            (Some(new), Some(old)) => changes(new, old),
            (None, None) => Vec::new(),
        };
        findings.extend(messages.into_iter().map(|message| Finding::change(&place, message)));
    }
}

fn changed<T: PartialEq + Debug>(name: &str, new: &T, old: &T) -> Option<String> {
    (new != old).then(|| format!("the {name} is {new:?} instead of {old:?}."))
}

fn route_changes(new: &Route, old: &Route) -> Vec<String> {
    let shares = |route: &Route| -> Vec<String> {
        route.shares.iter().map(|share| format!("{}: {}", share.service, share.weight)).collect()
    };
    let changes = [
        changed("name", &new.name, &old.name),
        changed("retry rule", &new.repeat, &old.repeat),
        changed("timeout", &new.timeout, &old.timeout),
        changed("target", &new.target.first, &old.target.first),
        changed("target gap", &new.target.gap, &old.target.gap),
        changed("rank", &new.rank, &old.rank),
        changed("list of services", &shares(new), &shares(old)),
        changed("number of attempts", &new.attempts, &old.attempts),
        changed("access without a key", &new.anonymous, &old.anonymous),
    ];
    changes.into_iter().flatten().collect()
}

fn service_changes(new: &ServiceSpec, old: &ServiceSpec) -> Vec<String> {
    let mut changes = vec![
        changed("connection limit", &new.connections, &old.connections),
        changed("cold rate", &new.cold.per_second, &old.cold.per_second),
    ];
    match (&new.engine, &old.engine) {
        (Some(new), Some(old)) => {
            let pairs = costs(new).into_iter().zip(costs(old));
            changes.extend(
                pairs.map(|((name, new, _), (_, old, _))| changed(&format!("engine's {name}"), &new, &old)),
            );
        }
        (None, None) => {}
        (new, old) => changes.push(changed("presence of engine costs", &new.is_some(), &old.is_some())),
    }
    changes.into_iter().flatten().collect()
}

fn customer_changes(new: &Account, old: &Account) -> Vec<String> {
    let (new_keys, old_keys): (BTreeSet<_>, BTreeSet<_>) =
        (new.keys.iter().collect(), old.keys.iter().collect());
    let (added, removed) = (new_keys.difference(&old_keys).count(), old_keys.difference(&new_keys).count());
    let keys = (added + removed > 0).then(|| format!("{added} keys are new, {removed} are removed."));
    [keys, changed("rank", &new.rank, &old.rank)].into_iter().flatten().collect()
}
