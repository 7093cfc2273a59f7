//! HTTP API for operators: configuration, changes, status, state dumps and explanations of requests.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use chestnutstage_config::fleet::{Change, LogEntry};
use chestnutstage_config::key::KeyHash;
use chestnutstage_config::settings::Operator;
use chestnutstage_core::ids::{InstanceId, RequestId, Version};
use chestnutstage_core::outcome::Outcome;
use chestnutstage_core::rollout::Progress;
use futures::future::join_all;
use kameo::actor::ActorRef;
use kameo::error::SendError;
use log::info;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::actor::committer::{Commit, CommitError, Committer};
use crate::actor::owner::OwnerActor;
use crate::caller::bearer;
use crate::dump;
use crate::failure::{Failure, Stage};
use crate::link::message::{Reply, Request, Target};
use crate::rollout;
use crate::shared::Shared;

/// Timeout of a query to a peer on behalf of an operator.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum length of the reason of a change.
const REASON_BYTES_MAX: usize = 2_000;

/// State shared by the routes for operators.
#[derive(Clone)]
pub(crate) struct OperatorApi {
    pub(crate) shared: Arc<Shared>,
    pub(crate) committer: ActorRef<Committer>,
    pub(crate) owner: ActorRef<OwnerActor>,
}

/// Returns the routes for operators.
pub(crate) fn routes(api: OperatorApi) -> Router {
    Router::new()
        .route("/operator/config", get(config))
        .route("/operator/history", get(history))
        .route("/operator/change", post(change))
        .route("/operator/status", get(status))
        .route("/operator/explain/{request}", get(explain))
        .route("/debug/state", get(state))
        .with_state(api)
}

/// Change of the configuration, as requested by an operator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wanted {
    base: Version,
    #[serde(default)]
    reason: String,
    change: Change,
}

/// Version of a committed change, and how far its rollout got.
#[derive(Debug, Serialize)]
struct ChangeResponse {
    version: Version,
    progress: Progress,
}

/// Status of one instance.
#[derive(Debug, Serialize)]
struct InstanceStatus {
    instance: InstanceId,
    zone: String,
    health: String,
    version: Option<Version>,
    ready: bool,
}

impl OperatorApi {
    /// Authenticates the operator by the request's token.
    fn authenticate(&self, headers: &HeaderMap) -> Result<&Operator, Failure> {
        let matches = |hash: KeyHash| self.shared.settings.operators.iter().find(|o| o.token.matches(&hash));
        let found = bearer(headers).map(KeyHash::of).and_then(matches);
        found.ok_or_else(|| {
            let failure =
                Failure::not_run(Stage::Authentication, "invalid_token", "the token is missing or unknown");
            failure.with_status(StatusCode::UNAUTHORIZED)
        })
    }

    fn peers(&self) -> Vec<Target> {
        let roster = self.shared.roster.borrow().clone();
        let others = roster.members.iter().filter(|m| m.id != *self.shared.me());
        others.map(|m| Target { id: m.id.clone(), address: m.address }).collect()
    }
}

async fn config(State(api): State<OperatorApi>, headers: HeaderMap) -> Result<Response, Failure> {
    api.authenticate(&headers)?;
    Ok(Json(&api.shared.config.snapshot().config).into_response())
}

#[derive(Debug, Deserialize)]
struct HistoryQuery {
    #[serde(default)]
    after: u64,
}

async fn history(
    State(api): State<OperatorApi>,
    headers: HeaderMap,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Vec<LogEntry>>, Failure> {
    api.authenticate(&headers)?;
    let key = format!("{:020}", query.after);
    let rows = api.shared.adapters.tables.scan("config", &key).await;
    let rows = rows.map_err(|e| unavailable(&e.to_string()))?;
    Ok(Json(rows.into_iter().filter_map(|r| serde_json::from_value(r.value).ok()).collect()))
}

fn unavailable(message: &str) -> Failure {
    Failure::not_run(Stage::Change, "store_unavailable", message)
        .with_status(StatusCode::SERVICE_UNAVAILABLE)
        .retry_after(Duration::from_secs(2))
}

async fn change(
    State(api): State<OperatorApi>,
    headers: HeaderMap,
    body: Result<Json<Wanted>, axum::extract::rejection::JsonRejection>,
) -> Result<Json<ChangeResponse>, Failure> {
    let operator = api.authenticate(&headers)?.clone();
    let Json(request) = body.map_err(|e| Failure::not_run(Stage::Change, "invalid_change", e.body_text()))?;
    if request.reason.len() > REASON_BYTES_MAX {
        return Err(Failure::not_run(
            Stage::Change,
            "invalid_change",
            format!("the reason exceeds {REASON_BYTES_MAX} bytes"),
        ));
    }
    let commit = Commit {
        base: request.base,
        author: operator.name,
        office: operator.office,
        reason: request.reason,
        change: request.change,
    };
    let entry = api.committer.ask(commit).await.map_err(change_failed)?;
    info!(version:% = entry.version, author = entry.author, office = entry.office; "change committed");
    let progress = rollout::roll_out(&api.shared, &entry).await;
    Ok(Json(ChangeResponse { version: entry.version, progress }))
}

fn change_failed<M>(error: SendError<M, CommitError>) -> Failure {
    let SendError::HandlerError(error) = error else {
        return unavailable("the instance is shutting down");
    };
    let message = error.to_string();
    match error {
        CommitError::Conflict(..) => {
            Failure::not_run(Stage::Change, "conflict", message).with_status(StatusCode::CONFLICT)
        }
        CommitError::Invalid(_) => Failure::not_run(Stage::Change, "invalid_change", message)
            .with_status(StatusCode::UNPROCESSABLE_ENTITY),
        CommitError::Store(_) | CommitError::Encoding(_) | CommitError::Raced => unavailable(&message),
        CommitError::Unknown { .. } => Failure {
            outcome: Outcome::Unknown,
            ..unavailable(&message).with_status(StatusCode::BAD_GATEWAY)
        },
    }
}

async fn status(State(api): State<OperatorApi>, headers: HeaderMap) -> Result<Json<Value>, Failure> {
    api.authenticate(&headers)?;
    let shared = &api.shared;
    let roster = shared.roster.borrow().clone();
    let statuses = roster.members.iter().map(|m| async {
        let (version, ready) = if m.id == *shared.me() {
            (Some(shared.config.version()), shared.check_current().is_ok() && !shared.is_leaving())
        } else {
            let target = Target { id: m.id.clone(), address: m.address };
            match shared.adapters.links.call(&target, Request::Version, PEER_TIMEOUT).await {
                Ok(Reply::Version { version, ready }) => (Some(version), ready),
                _ => (None, false),
            }
        };
        let (zone, health) = (m.zone.to_string(), m.health.to_string());
        InstanceStatus { instance: m.id.clone(), zone, health, version, ready }
    });
    let instances = join_all(statuses).await;
    let config = shared.config.snapshot();
    let listing = shared.listing.borrow().clone();
    let endpoints: Vec<_> = listing
        .endpoints
        .iter()
        .map(|e| {
            json!({
                "endpoint": e.id,
                "zone": e.zone,
                "models": e.models,
                "leaving": e.leaving,
                "in_service": config.config.in_service(&e.id, &e.zone),
            })
        })
        .collect();
    let zones_out = &config.config.zones;
    let version = shared.config.version();
    Ok(Json(
        json!({"version": version, "instances": instances, "zones_out": zones_out, "endpoints": endpoints}),
    ))
}

async fn explain(
    State(api): State<OperatorApi>,
    headers: HeaderMap,
    Path(request): Path<String>,
) -> Result<Json<Value>, Failure> {
    api.authenticate(&headers)?;
    let Ok(id) = u128::from_str_radix(&request, 16) else {
        return Err(Failure::not_run(
            Stage::Request,
            "invalid_request_id",
            "a request id is a hexadecimal number",
        ));
    };
    let request = RequestId(id);
    let shared = &api.shared;
    let peers = api.peers();
    let queries = peers.iter().map(|peer| fetch_document(shared, peer, Request::Explain { request }));
    let mut found: Vec<Value> = join_all(queries).await.into_iter().flatten().collect();
    found.push(dump::explain(shared, request));
    found.retain(|v| v["decisions"].as_array().is_some_and(|d| !d.is_empty()));
    Ok(Json(json!({"request": request.to_string(), "instances": found})))
}

async fn fetch_document(shared: &Shared, peer: &Target, request: Request) -> Option<Value> {
    match shared.adapters.links.call(peer, request, PEER_TIMEOUT).await {
        Ok(Reply::Document(text)) => serde_json::from_str(&text).ok(),
        _ => None,
    }
}

#[derive(Debug, Deserialize)]
struct StateQuery {
    instance: Option<InstanceId>,
}

async fn state(
    State(api): State<OperatorApi>,
    headers: HeaderMap,
    Query(query): Query<StateQuery>,
) -> Result<Json<Value>, Failure> {
    api.authenticate(&headers)?;
    let shared = &api.shared;
    let Some(instance) = query.instance.filter(|i| i != shared.me()) else {
        return Ok(Json(dump::state(shared, &api.owner).await));
    };
    let unknown_instance = |message: String| {
        Failure::not_run(Stage::Request, "unknown_instance", message).with_status(StatusCode::NOT_FOUND)
    };
    let target = shared.roster.borrow().target(&instance);
    let Some(target) = target else {
        return Err(unknown_instance(format!("there is no instance {instance}")));
    };
    let dump = fetch_document(shared, &target, Request::State).await;
    dump.map(Json).ok_or_else(|| unknown_instance(format!("instance {instance} does not answer")))
}
