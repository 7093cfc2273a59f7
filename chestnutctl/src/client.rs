//! HTTP client for an instance's operator routes and a gateway's checks.

use std::time::Duration;

use chestnutstage_config::fleet::{Change, FleetConfig, LogEntry};
use reqwest::{Client as Http, RequestBuilder};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::error::CtlError;

/// Timeout of a request; longer than a rollout, because an instance answers a change only when it is in force
/// everywhere or the rollout has timed out.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Client for one instance.
pub(crate) struct Client {
    http: Http,
    address: String,
    token: String,
}

/// Response to a committed change.
#[derive(Debug, Deserialize)]
pub(crate) struct Committed {
    pub(crate) version: u64,
    pub(crate) progress: Value,
}

impl Client {
    pub(crate) fn new(address: &str, token: &str) -> Result<Self, CtlError> {
        let http = Http::builder().timeout(REQUEST_TIMEOUT).no_proxy().build();
        let http = http.map_err(|e| CtlError::Call { peer: address.to_owned(), reason: e.to_string() })?;
        Ok(Self { http, address: address.trim_end_matches('/').to_owned(), token: token.to_owned() })
    }

    pub(crate) async fn config(&self) -> Result<FleetConfig, CtlError> {
        self.send(self.get("operator/config")).await
    }

    pub(crate) async fn history(&self, after: u64) -> Result<Vec<LogEntry>, CtlError> {
        self.send(self.get(&format!("operator/history?after={after}"))).await
    }

    pub(crate) async fn status(&self) -> Result<Value, CtlError> {
        self.send(self.get("operator/status")).await
    }

    pub(crate) async fn state(&self, instance: &str) -> Result<Value, CtlError> {
        self.send(self.get(&format!("debug/state?instance={instance}"))).await
    }

    pub(crate) async fn explain(&self, request: &str) -> Result<Value, CtlError> {
        self.send(self.get(&format!("operator/explain/{request}"))).await
    }

    pub(crate) async fn change(
        &self,
        base: u64,
        reason: &str,
        change: &Change,
    ) -> Result<Committed, CtlError> {
        let request = self.http.post(format!("{}/operator/change", self.address));
        let body = json!({"base": base, "reason": reason, "change": change});
        self.send(request.json(&body)).await
    }

    /// Returns the text that a gateway serves under `path` of its checks address.
    pub(crate) async fn gateway(&self, path: &str) -> Result<String, CtlError> {
        let failed = |e: reqwest::Error| CtlError::Call { peer: self.address.clone(), reason: e.to_string() };
        let response = self.get(path).send().await.map_err(failed)?;
        let status = response.status();
        let text = response.text().await.map_err(failed)?;
        if status.is_success() {
            return Ok(text);
        }
        let reason = format!("{status}: {}", text.trim_end());
        Err(CtlError::Call { peer: self.address.clone(), reason })
    }

    fn get(&self, path: &str) -> RequestBuilder {
        self.http.get(format!("{}/{path}", self.address))
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, CtlError> {
        let failed = |e: reqwest::Error| CtlError::Call { peer: self.address.clone(), reason: e.to_string() };
        let response = request.bearer_auth(&self.token).send().await.map_err(failed)?;
        if response.status().is_success() {
            return response.json().await.map_err(failed);
        }
        let status = response.status().to_string();
        let body: Value = response.json().await.unwrap_or_default();
        let text = |key: &str| body["error"][key].as_str().unwrap_or(&status).to_owned();
        Err(CtlError::Refused { code: text("code"), outcome: text("outcome"), message: text("message") })
    }
}
