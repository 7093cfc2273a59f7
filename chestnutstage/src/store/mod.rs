//! The platform's services, as the system uses them.
//!
//! What must last or be agreed on lives in the platform's table service and object store. The traits stand for them, so
//! that another platform is one more adapter.

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

/// What was being done with the platform.
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
    /// The platform did not carry it out.
    #[display("not carried out")]
    None,
    /// The answer was lost.
    #[display("answer lost")]
    Unknown,
}

/// A call to the platform failed.
#[derive(Debug, Clone, Error)]
#[error("{step} with {peer}: {reason} ({effect})")]
pub struct StoreError {
    /// What was being done.
    pub step: Step,
    /// The service's address.
    pub peer: String,
    /// What went wrong.
    pub reason: String,
    /// Whether it may have taken effect.
    pub effect: Effect,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Write<V> {
    /// The row's key.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub expect: u64,
    /// Its new value.
    pub value: V,
}

/// A row as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Row<V> {
    /// The row's key; empty where the question named it.
    #[serde(default)]
    pub key: String,
    /// Its version.
    pub version: u64,
    /// Its value.
    pub value: V,
    /// Milliseconds since it was written.
    #[serde(default)]
    pub age_ms: u64,
}

impl<V> Row<V> {
    /// Time since it was written.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// Result of one conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult<V> {
    /// The row was written and has this version.
    Done(u64),
    /// The row did not have the version expected; this is what it has.
    Conflict(Option<Row<V>>),
}

/// The platform's transactional table service.
pub trait TableStore: Send + Sync {
    /// Value of a row.
    type Value;

    /// Writes rows, each under its own condition, in one call.
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

    /// Reads the rows after a key, in order; not more than the service gives at a time.
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

/// An instance of the system on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listed {
    /// Its name.
    pub id: InstanceId,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The list of live and leaving instances, which lags.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct Listing {
    /// The system's own instances.
    pub instances: Vec<Listed>,
    /// Endpoints.
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
    /// What a read gives.
    type List;

    /// Reads the list.
    fn list(&self) -> BoxFuture<'_, Result<Self::List, StoreError>>;
}

/// Tables as the system uses them.
pub type Tables = dyn TableStore<Value = serde_json::Value>;
/// Objects as the system uses them.
pub type Objects = dyn ObjectStore<Content = Vec<u8>>;
/// The list as the system uses it.
pub type Instances = dyn InstanceList<List = Listing>;
