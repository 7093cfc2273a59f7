//! An in-memory platform.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chestnutstage::store::{
    InstanceList, Listing, ObjectStore, Row, StoreError, TableStore, Write, WriteResult,
};
use futures::FutureExt;
use futures::future::BoxFuture;
use serde_json::Value;
use tokio::time::sleep;

/// Simulated delay of a table or instance-list call.
const CALL_DELAY: Duration = Duration::from_millis(3);

/// In-memory table service, object store and instance list.
#[derive(Default)]
pub(crate) struct MemoryPlatform {
    tables: Mutex<BTreeMap<(String, String), (u64, Value)>>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    pub(crate) listing: Mutex<Listing>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryPlatform {
    pub(crate) fn set_listing(&self, listing: Listing) {
        *lock(&self.listing) = listing;
    }
}

fn row(key: &str, (version, value): &(u64, Value)) -> Row<Value> {
    Row { key: key.to_owned(), version: *version, value: value.clone(), age_ms: 0 }
}

impl TableStore for MemoryPlatform {
    type Value = Value;

    fn write<'a>(
        &'a self,
        table: &'a str,
        writes: Vec<Write<Value>>,
    ) -> BoxFuture<'a, Result<Vec<WriteResult<Value>>, StoreError>> {
        async move {
            sleep(CALL_DELAY).await;
            let mut rows = lock(&self.tables);
            let write = |w: Write<Value>| {
                let key = (table.to_owned(), w.key.clone());
                let current = rows.get(&key);
                let version = current.map_or(0, |r| r.0);
                if version != w.expect {
                    return WriteResult::Conflict(current.map(|r| row(&w.key, r)));
                }
                rows.insert(key, (version + 1, w.value));
                WriteResult::Done(version + 1)
            };
            Ok(writes.into_iter().map(write).collect())
        }
        .boxed()
    }

    fn read<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Row<Value>>, StoreError>> {
        async move {
            sleep(CALL_DELAY).await;
            let rows = lock(&self.tables);
            Ok(rows.get(&(table.to_owned(), key.to_owned())).map(|r| row(key, r)))
        }
        .boxed()
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        after: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Row<Value>>, StoreError>> {
        async move {
            sleep(CALL_DELAY).await;
            let rows = lock(&self.tables);
            let found = rows.iter().filter(|((t, k), _)| t == table && k.as_str() > after);
            Ok(found.map(|((_, k), r)| row(k, r)).collect())
        }
        .boxed()
    }
}

impl ObjectStore for MemoryPlatform {
    type Content = Vec<u8>;

    fn put<'a>(&'a self, name: &'a str, content: Vec<u8>) -> BoxFuture<'a, Result<(), StoreError>> {
        async move {
            lock(&self.objects).insert(name.to_owned(), content);
            Ok(())
        }
        .boxed()
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, StoreError>> {
        async move { Ok(lock(&self.objects).get(name).cloned()) }.boxed()
    }
}

impl InstanceList for MemoryPlatform {
    type List = Listing;

    fn list(&self) -> BoxFuture<'_, Result<Listing, StoreError>> {
        async move {
            sleep(CALL_DELAY).await;
            Ok(lock(&self.listing).clone())
        }
        .boxed()
    }
}
