//! Interfaces to the platform's services.
//!
//! State that must be durable or agreed on is kept in the platform's table service and object store. They are accessed
//! through traits, so that another platform needs only another adapter.

mod http;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutstage_core::endpoint::Endpoint;
use chestnutstage_core::ids::{InstanceId, ZoneId};
use derive_more::Display;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use thiserror::Error;

pub(crate) use self::http::HttpPlatform;

/// Operation on the platform, as named in errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// Write of rows.
    #[display("write of rows")]
    Write,
    /// Read of rows.
    #[display("read of rows")]
    Read,
    /// Write of an object.
    #[display("write of an object")]
    Put,
    /// Read of an object.
    #[display("read of an object")]
    Get,
    /// Read of the instance list.
    #[display("read of the instance list")]
    List,
}

/// Whether a failed call may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Effect {
    /// The platform did not execute it.
    #[display("not carried out")]
    None,
    /// The response was lost, so it may have been executed.
    #[display("answer lost")]
    Unknown,
}

/// A call to the platform failed.
#[derive(Debug, Clone, Error)]
#[error("{step} with {peer}: {reason} ({effect})")]
pub struct StoreError {
    /// Operation that failed.
    pub step: Step,
    /// The service's address.
    pub peer: String,
    /// Cause of the failure.
    pub reason: String,
    /// Whether the call may have taken effect.
    pub effect: Effect,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Write<V> {
    /// The row's key.
    pub key: String,
    /// Version that the row must have; 0 if the row must not exist.
    pub expect: u64,
    /// New value.
    pub value: V,
}

/// A stored row.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Row<V> {
    /// The row's key; empty in the response to a read of a single key.
    #[serde(default)]
    pub key: String,
    /// Its version.
    pub version: u64,
    /// Its value.
    pub value: V,
    /// Milliseconds since the row was written.
    #[serde(default)]
    pub age_ms: u64,
}

impl<V> Row<V> {
    /// Time since the row was written.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// Result of one conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult<V> {
    /// The row was written and now has this version.
    Done(u64),
    /// The row did not have the expected version; holds the current row, if there is one.
    Conflict(Option<Row<V>>),
}

/// The platform's transactional table service.
pub trait TableStore: Send + Sync {
    /// Value of a row.
    type Value;

    /// Writes rows in one call, each under its own condition.
    fn write<'a>(
        &'a self,
        table: &'a str,
        writes: Vec<Write<Self::Value>>,
    ) -> BoxFuture<'a, Result<Vec<WriteResult<Self::Value>>, StoreError>>;

    /// Reads one row.
    fn read<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Row<Self::Value>>, StoreError>>;

    /// Reads the rows after a key, in key order, up to the service's page size.
    fn scan<'a>(
        &'a self,
        table: &'a str,
        after: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Row<Self::Value>>, StoreError>>;
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Content of an object.
    type Content;

    /// Writes an object.
    fn put<'a>(&'a self, name: &'a str, content: Self::Content) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Reads an object.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Self::Content>, StoreError>>;
}

/// An instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listed {
    /// Its name.
    pub id: InstanceId,
    /// Address of its link to peers.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is leaving the fleet.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of live and leaving instances; it may be out of date.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct Listing {
    /// Instances of chestnutstage.
    pub instances: Vec<Listed>,
    /// Model engines and replicas of plain services.
    pub endpoints: Vec<Endpoint>,
}

impl Listing {
    /// Addresses of the instances that are not leaving.
    pub(crate) fn roster(&self) -> BTreeMap<InstanceId, SocketAddr> {
        self.instances.iter().filter(|i| !i.leaving).map(|i| (i.id.clone(), i.peer)).collect()
    }
}

/// The platform's list of instances.
pub trait InstanceList: Send + Sync {
    /// The list as read.
    type List;

    /// Reads the list.
    fn list(&self) -> BoxFuture<'_, Result<Self::List, StoreError>>;
}

/// Table service with JSON values.
pub type Tables = dyn TableStore<Value = serde_json::Value>;
/// Object store with binary contents.
pub type Objects = dyn ObjectStore<Content = Vec<u8>>;
/// Instance list with parsed entries.
pub type Instances = dyn InstanceList<List = Listing>;
