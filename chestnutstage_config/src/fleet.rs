//! Configuration of the whole fleet, set by operators: defaults, exceptions, and what is out of service.
//!
//! The configuration is the result of a log of changes. Each change names the version that its author saw; it conflicts
//! only if a later change touches the same subject, so that two offices can work concurrently without overwriting each
//! other's changes unnoticed.

use std::collections::{BTreeMap, BTreeSet};

use chestnutstage_core::contract::Contract;
use chestnutstage_core::ids::{CustomerId, EndpointId, ModelId, Nonce, Version, ZoneId};
use chestnutstage_core::owner::Limits;
use chestnutstage_core::window::Capacity;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::KeyHash;

/// Minimum length of a reason, in characters.
const REASON_CHARS_MIN: usize = 15;
/// Minimum number of distinct words in a reason.
const REASON_WORDS_MIN: usize = 3;
/// Maximum number of exceptions; the list is meant to be short.
const EXCEPTIONS_MAX: usize = 10_000;

/// Defaults for the whole fleet.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Defaults {
    /// Contract of a customer without an exception.
    pub contract: Contract,
    /// Limits on work by length class.
    pub limits: Limits,
    /// Plain services by name.
    pub services: BTreeMap<ModelId, ServiceRule>,
}

impl Defaults {
    /// Checks that the values are in range.
    ///
    /// # Errors
    ///
    /// [`ChangeError::Invalid`] says which value is out of range.
    pub fn check(&self) -> Result<(), ChangeError> {
        check_contract(&self.contract)?;
        let limits = &self.limits;
        if !(0.0..=1.0).contains(&limits.reserve) {
            return Err(ChangeError::Invalid("limits.reserve must lie between 0 and 1".into()));
        }
        if limits.long == 0 {
            return Err(ChangeError::Invalid("limits.long must be at least 1".into()));
        }
        if !(0.0..=60.0).contains(&limits.affinity) {
            return Err(ChangeError::Invalid("limits.affinity must lie between 0 and 60 seconds".into()));
        }
        Ok(())
    }
}

fn check_contract(contract: &Contract) -> Result<(), ChangeError> {
    if contract.rate == 0 || contract.weight == 0 || contract.deadline == 0 {
        return Err(ChangeError::Invalid("rate, weight and deadline of a contract must be positive".into()));
    }
    Ok(())
}

/// Rules for calls to a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceRule {
    /// Whether calls other than GET and HEAD may be repeated.
    pub repeatable: bool,
}

/// A customer of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Hash of the key with which it authenticates.
    pub key: KeyHash,
}

/// Subject of an exception, and the value that it sets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Rule {
    /// Replaces the default contract for one customer.
    Contract {
        /// The customer.
        customer: CustomerId,
        /// Its contract.
        contract: Contract,
    },
    /// Replaces the capacity that the platform lists for one endpoint.
    Capacity {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its capacity.
        capacity: Capacity,
    },
}

impl Rule {
    fn subject(&self) -> Subject {
        match self {
            Self::Contract { customer, .. } => Subject::Contract(customer.clone()),
            Self::Capacity { endpoint, .. } => Subject::Capacity(endpoint.clone()),
        }
    }
}

/// An override of the defaults, with its reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// What it overrides.
    pub rule: Rule,
    /// Why it exists, for operators in the other office.
    pub reason: String,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Replaces the defaults.
    SetDefaults(Defaults),
    /// Adds a customer or replaces its key.
    PutCustomer(CustomerId, Customer),
    /// Removes a customer.
    RemoveCustomer(CustomerId),
    /// Adds or replaces an exception under a name.
    AddException(String, Exception),
    /// Removes an exception.
    RemoveException(String),
    /// Takes a zone out of service.
    ZoneOut(ZoneId),
    /// Returns a zone to service.
    ZoneIn(ZoneId),
    /// Takes an endpoint out of service.
    EndpointOut(EndpointId),
    /// Returns an endpoint to service.
    EndpointIn(EndpointId),
}

/// What a change touches; two changes to the same subject conflict.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Subject {
    /// The defaults.
    #[display("the defaults")]
    Defaults,
    /// A customer's key.
    #[display("customer {_0}")]
    Customer(CustomerId),
    /// A customer's contract.
    #[display("the contract of customer {_0}")]
    Contract(CustomerId),
    /// An endpoint's capacity.
    #[display("the capacity of endpoint {_0}")]
    Capacity(EndpointId),
    /// An exception by name.
    #[display("exception {_0}")]
    Exception(String),
    /// Whether a zone is in service.
    #[display("zone {_0}")]
    Zone(ZoneId),
    /// Whether an endpoint is in service.
    #[display("endpoint {_0}")]
    Endpoint(EndpointId),
}

impl Change {
    /// Subjects that the change touches.
    pub fn subjects(&self) -> Vec<Subject> {
        match self {
            Self::SetDefaults(_) => vec![Subject::Defaults],
            Self::PutCustomer(id, _) | Self::RemoveCustomer(id) => vec![Subject::Customer(id.clone())],
            Self::AddException(name, e) => vec![Subject::Exception(name.clone()), e.rule.subject()],
            Self::RemoveException(name) => vec![Subject::Exception(name.clone())],
            Self::ZoneOut(zone) | Self::ZoneIn(zone) => vec![Subject::Zone(zone.clone())],
            Self::EndpointOut(id) | Self::EndpointIn(id) => vec![Subject::Endpoint(id.clone())],
        }
    }
}

/// A committed change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Version of the configuration after the change.
    pub version: Version,
    /// Unique id of the change, to find out whether it was committed after a lost response from the store.
    pub id: Nonce,
    /// Who made it.
    pub author: String,
    /// Office of the author.
    pub office: String,
    /// Author's reason.
    pub reason: String,
    /// The change.
    pub change: Change,
}

/// Why a change was rejected.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ChangeError {
    /// A value is out of range.
    #[error("{0}")]
    Invalid(String),
    /// The reason is too short.
    #[error(
        "the reason must tell the other office why, in at least {REASON_WORDS_MIN} words and {REASON_CHARS_MIN} characters"
    )]
    Reason,
    /// Nothing has that name.
    #[error("there is no {0}")]
    Missing(String),
    /// The change does not follow the current version.
    #[error("version {found} does not follow version {present}")]
    Sequence {
        /// Version in force.
        present: Version,
        /// Version of the change.
        found: Version,
    },
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version of the configuration.
    pub version: Version,
    /// Defaults for the whole fleet.
    pub defaults: Defaults,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Overrides of the defaults, by name.
    pub exceptions: BTreeMap<String, Exception>,
    /// Zones out of service.
    pub zones: BTreeSet<ZoneId>,
    /// Endpoints out of service.
    pub endpoints: BTreeSet<EndpointId>,
}

impl FleetConfig {
    /// Checks a change against the current configuration.
    ///
    /// # Errors
    ///
    /// [`ChangeError`] says what is wrong with it; nothing is changed.
    pub fn check(&self, change: &Change, reason: &str) -> Result<(), ChangeError> {
        match change {
            Change::SetDefaults(defaults) => defaults.check(),
            Change::AddException(name, exception) => self.check_exception(name, exception),
            Change::RemoveException(name) if !self.exceptions.contains_key(name) => {
                Err(ChangeError::Missing(format!("exception {name}")))
            }
            Change::RemoveCustomer(id) if !self.customers.contains_key(id) => {
                Err(ChangeError::Missing(format!("customer {id}")))
            }
            Change::ZoneOut(_) | Change::EndpointOut(_) | Change::RemoveException(_) => check_reason(reason),
            Change::PutCustomer(..)
            | Change::RemoveCustomer(_)
            | Change::ZoneIn(_)
            | Change::EndpointIn(_) => Ok(()),
        }
    }

    fn check_exception(&self, name: &str, exception: &Exception) -> Result<(), ChangeError> {
        if name.trim().is_empty() {
            return Err(ChangeError::Invalid("an exception needs a name".into()));
        }
        if self.exceptions.len() >= EXCEPTIONS_MAX && !self.exceptions.contains_key(name) {
            return Err(ChangeError::Invalid(format!("there are {EXCEPTIONS_MAX} exceptions already")));
        }
        let subject = exception.rule.subject();
        let duplicate = self.exceptions.iter().find(|(n, e)| *n != name && e.rule.subject() == subject);
        if let Some((other, _)) = duplicate {
            return Err(ChangeError::Invalid(format!("exception {other} is about {subject} already")));
        }
        if let Rule::Contract { contract, .. } = &exception.rule {
            check_contract(contract)?;
        }
        check_reason(&exception.reason)
    }

    /// Applies the next entry of the log.
    ///
    /// # Errors
    ///
    /// [`ChangeError::Sequence`] if it is not the next one.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), ChangeError> {
        if entry.version != self.version.next() {
            return Err(ChangeError::Sequence { present: self.version, found: entry.version });
        }
        self.version = entry.version;
        match entry.change.clone() {
            Change::SetDefaults(defaults) => self.defaults = defaults,
            Change::PutCustomer(id, customer) => drop(self.customers.insert(id, customer)),
            Change::RemoveCustomer(id) => drop(self.customers.remove(&id)),
            Change::AddException(name, exception) => drop(self.exceptions.insert(name, exception)),
            Change::RemoveException(name) => drop(self.exceptions.remove(&name)),
            Change::ZoneOut(zone) => drop(self.zones.insert(zone)),
            Change::ZoneIn(zone) => drop(self.zones.remove(&zone)),
            Change::EndpointOut(id) => drop(self.endpoints.insert(id)),
            Change::EndpointIn(id) => drop(self.endpoints.remove(&id)),
        }
        Ok(())
    }

    /// Contract of `customer`: that of its exception, else the default.
    pub fn contract(&self, customer: &CustomerId) -> &Contract {
        let exception = self.exceptions.values().find_map(|e| match &e.rule {
            Rule::Contract { customer: id, contract } if id == customer => Some(contract),
            _ => None,
        });
        exception.unwrap_or(&self.defaults.contract)
    }

    /// Whether an endpoint may receive new work.
    pub fn in_service(&self, endpoint: &EndpointId, zone: &ZoneId) -> bool {
        !self.zones.contains(zone) && !self.endpoints.contains(endpoint)
    }
}

/// Returns the first change in `since` that touches a subject of `change`.
pub fn find_conflict<'a>(change: &Change, since: &'a [LogEntry]) -> Option<&'a LogEntry> {
    let subjects = change.subjects();
    since.iter().find(|e| e.change.subjects().iter().any(|s| subjects.contains(s)))
}

fn check_reason(reason: &str) -> Result<(), ChangeError> {
    let words: BTreeSet<_> = reason.split_whitespace().map(str::to_lowercase).collect();
    if reason.trim().len() < REASON_CHARS_MIN || words.len() < REASON_WORDS_MIN {
        return Err(ChangeError::Reason);
    }
    Ok(())
}
