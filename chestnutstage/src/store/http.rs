//! HTTP client of the platform's services; bodies are JSON.

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::{
    Effect, InstanceList, Listing, ObjectStore, Row, Step, StoreError, TableStore, Write, WriteResult,
};

/// Idle timeout of pooled connections, shorter than that of any middlebox.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the platform's services.
#[derive(Debug, Clone)]
pub(crate) struct HttpPlatform {
    pooled: Client,
    /// Opens a new connection for each call; used for retries after a timeout.
    unpooled: Client,
    base: String,
    token: Option<String>,
}

/// Response to a batch of writes.
#[derive(Deserialize)]
struct WriteResponse {
    results: Vec<RowOutcome>,
}

/// Result of one conditional write, as the service returns it.
#[derive(Deserialize)]
struct RowOutcome {
    ok: bool,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    current: Option<Row<Value>>,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row<Value>>,
}

impl HttpPlatform {
    /// Creates a client of the service at `base`; each attempt of a call times out after `limit`.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be created.
    pub(crate) fn new(base: &str, token: Option<String>, limit: Duration) -> Result<Self, reqwest::Error> {
        let builder = || Client::builder().timeout(limit).connect_timeout(limit / 2).no_proxy();
        Ok(Self {
            pooled: builder().pool_idle_timeout(IDLE_TIMEOUT).build()?,
            unpooled: builder().pool_max_idle_per_host(0).build()?,
            base: base.trim_end_matches('/').to_owned(),
            token,
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.base)
    }

    /// Sends a request; a read is retried once on a new connection after a timeout.
    async fn send(&self, step: Step, request: RequestBuilder) -> Result<Response, StoreError> {
        let request = match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        };
        let retry =
            matches!(step, Step::Read | Step::Get | Step::List).then(|| request.try_clone()).flatten();
        let result = match (request.send().await, retry) {
            (Err(e), Some(retry)) if e.is_timeout() => match retry.build() {
                Ok(retry) => self.unpooled.execute(retry).await,
                Err(e) => Err(e),
            },
            (result, _) => result,
        };
        let response = result.map_err(|e| self.error(step, &e))?;
        if response.status().is_success() || response.status() == StatusCode::NOT_FOUND {
            return Ok(response);
        }
        // The service sends 503 and client errors before it executes anything. After any other error the effect is
        // unknown.
        let refused =
            response.status() == StatusCode::SERVICE_UNAVAILABLE || response.status().is_client_error();
        let effect = if refused { Effect::None } else { Effect::Unknown };
        Err(StoreError { step, peer: self.base.clone(), reason: response.status().to_string(), effect })
    }

    async fn json<T: DeserializeOwned>(&self, step: Step, response: Response) -> Result<T, StoreError> {
        response.json().await.map_err(|e| self.error(step, &e))
    }

    fn error(&self, step: Step, error: &reqwest::Error) -> StoreError {
        let effect = if error.is_connect() || error.is_builder() { Effect::None } else { Effect::Unknown };
        StoreError { step, peer: self.base.clone(), reason: error.to_string(), effect }
    }
}

impl TableStore for HttpPlatform {
    type Value = Value;

    fn write<'a>(
        &'a self,
        table: &'a str,
        writes: Vec<Write<Value>>,
    ) -> BoxFuture<'a, Result<Vec<WriteResult<Value>>, StoreError>> {
        async move {
            let request = self.pooled.post(self.url(&format!("tables/{table}/write")));
            let response = self.send(Step::Write, request.json(&json!({"writes": writes}))).await?;
            let response: WriteResponse = self.json(Step::Write, response).await?;
            let write_result = |o: RowOutcome| {
                if o.ok { WriteResult::Done(o.version) } else { WriteResult::Conflict(o.current) }
            };
            Ok(response.results.into_iter().map(write_result).collect())
        }
        .boxed()
    }

    fn read<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Row<Value>>, StoreError>> {
        async move {
            let request = self.pooled.get(self.url(&format!("tables/{table}/rows/{key}")));
            let response = self.send(Step::Read, request).await?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            self.json(Step::Read, response).await.map(Some)
        }
        .boxed()
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        after: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Row<Value>>, StoreError>> {
        async move {
            let request = self.pooled.get(self.url(&format!("tables/{table}/rows?after={after}")));
            let response = self.send(Step::Read, request).await?;
            self.json::<Rows>(Step::Read, response).await.map(|r| r.rows)
        }
        .boxed()
    }
}

impl ObjectStore for HttpPlatform {
    type Content = Vec<u8>;

    fn put<'a>(&'a self, name: &'a str, content: Vec<u8>) -> BoxFuture<'a, Result<(), StoreError>> {
        async move {
            let request = self.pooled.put(self.url(&format!("objects/{name}"))).body(content);
            self.send(Step::Put, request).await.map(drop)
        }
        .boxed()
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, StoreError>> {
        async move {
            let response =
                self.send(Step::Get, self.pooled.get(self.url(&format!("objects/{name}")))).await?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            let body = response.bytes().await.map_err(|e| self.error(Step::Get, &e))?;
            Ok(Some(body.to_vec()))
        }
        .boxed()
    }
}

impl InstanceList for HttpPlatform {
    type List = Listing;

    fn list(&self) -> BoxFuture<'_, Result<Listing, StoreError>> {
        async move {
            let response = self.send(Step::List, self.pooled.get(self.url("instances"))).await?;
            self.json(Step::List, response).await
        }
        .boxed()
    }
}
