//! What operators see: the configuration, its changes, status, dumps and explanations.

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
use crate::shared::Shared;
use crate::spread;

/// Time limit of a peer's answer to an operator's question.
const PEER_LIMIT: Duration = Duration::from_secs(1);
/// Longest written reason, in bytes.
const REASON_MAX: usize = 2_000;

/// What the operators' routes share.
#[derive(Clone)]
pub(crate) struct OperatorApi {
    pub(crate) shared: Arc<Shared>,
    pub(crate) committer: ActorRef<Committer>,
    pub(crate) owner: ActorRef<OwnerActor>,
}

/// Routes for operators.
pub(crate) fn routes(operators: OperatorApi) -> Router {
    Router::new()
        .route("/operator/config", get(config))
        .route("/operator/history", get(history))
        .route("/operator/change", post(change))
        .route("/operator/status", get(status))
        .route("/operator/explain/{request}", get(explain))
        .route("/debug/state", get(state))
        .with_state(operators)
}

/// A change as an operator sends it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wanted {
    base: Version,
    #[serde(default)]
    reason: String,
    change: Change,
}

/// What became of a change.
#[derive(Debug, Serialize)]
struct Committed {
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
    /// Finds the operator that the request's token belongs to.
    fn authenticate(&self, headers: &HeaderMap) -> Result<&Operator, Failure> {
        let matches = |hash: KeyHash| self.shared.settings.operators.iter().find(|o| o.token.matches(&hash));
        let found = bearer(headers).map(KeyHash::of).and_then(matches);
        found.ok_or_else(|| {
            let failure =
                Failure::bad(Stage::Authentication, "invalid_token", "the token is missing or unknown");
            failure.with_status(StatusCode::UNAUTHORIZED)
        })
    }

    fn peers(&self) -> Vec<Target> {
        let roster = self.shared.roster.borrow().clone();
        let others = roster.members.iter().filter(|m| m.id != *self.shared.me());
        others.map(|m| Target { id: m.id.clone(), address: m.address }).collect()
    }
}

async fn config(State(operators): State<OperatorApi>, headers: HeaderMap) -> Result<Response, Failure> {
    operators.authenticate(&headers)?;
    Ok(Json(&operators.shared.config.snapshot().config).into_response())
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

async fn history(
    State(operators): State<OperatorApi>,
    headers: HeaderMap,
    Query(q): Query<After>,
) -> Result<Json<Vec<LogEntry>>, Failure> {
    operators.authenticate(&headers)?;
    let key = format!("{:020}", q.after);
    let rows = operators.shared.adapters.tables.scan("config", &key).await;
    let rows = rows.map_err(|e| unavailable(&e.to_string()))?;
    Ok(Json(rows.into_iter().filter_map(|r| serde_json::from_value(r.value).ok()).collect()))
}

fn unavailable(message: &str) -> Failure {
    Failure::bad(Stage::Change, "store_unavailable", message)
        .with_status(StatusCode::SERVICE_UNAVAILABLE)
        .retry_after(Duration::from_secs(2))
}

async fn change(
    State(operators): State<OperatorApi>,
    headers: HeaderMap,
    body: Result<Json<Wanted>, axum::extract::rejection::JsonRejection>,
) -> Result<Json<Committed>, Failure> {
    let operator = operators.authenticate(&headers)?.clone();
    let Json(wanted) = body.map_err(|e| Failure::bad(Stage::Change, "invalid_change", e.body_text()))?;
    if wanted.reason.len() > REASON_MAX {
        return Err(Failure::bad(
            Stage::Change,
            "invalid_change",
            format!("the reason exceeds {REASON_MAX} bytes"),
        ));
    }
    let commit = Commit {
        base: wanted.base,
        author: operator.name,
        office: operator.office,
        reason: wanted.reason,
        change: wanted.change,
    };
    let entry = operators.committer.ask(commit).await.map_err(change_failed)?;
    info!(version:% = entry.version, author = entry.author, office = entry.office; "change committed");
    let progress = spread::accept(&operators.shared, &entry).await;
    Ok(Json(Committed { version: entry.version, progress }))
}

fn change_failed<M>(error: SendError<M, CommitError>) -> Failure {
    let SendError::HandlerError(error) = error else {
        return unavailable("the instance is shutting down");
    };
    let message = error.to_string();
    match error {
        CommitError::Conflict(..) => {
            Failure::bad(Stage::Change, "conflict", message).with_status(StatusCode::CONFLICT)
        }
        CommitError::Invalid(_) => Failure::bad(Stage::Change, "invalid_change", message)
            .with_status(StatusCode::UNPROCESSABLE_ENTITY),
        CommitError::Store(_) | CommitError::Encoding(_) | CommitError::Raced => unavailable(&message),
        CommitError::Unknown { .. } => Failure {
            outcome: Outcome::Unknown,
            ..unavailable(&message).with_status(StatusCode::BAD_GATEWAY)
        },
    }
}

async fn status(State(operators): State<OperatorApi>, headers: HeaderMap) -> Result<Json<Value>, Failure> {
    operators.authenticate(&headers)?;
    let shared = &operators.shared;
    let roster = shared.roster.borrow().clone();
    let asked = roster.members.iter().map(|m| async {
        let (version, ready) = if m.id == *shared.me() {
            (Some(shared.config.version()), shared.check_current().is_ok() && !shared.is_leaving())
        } else {
            let target = Target { id: m.id.clone(), address: m.address };
            match shared.adapters.links.call(&target, Request::Version, PEER_LIMIT).await {
                Ok(Reply::Version { version, ready }) => (Some(version), ready),
                _ => (None, false),
            }
        };
        let (zone, health) = (m.zone.to_string(), m.health.to_string());
        InstanceStatus { instance: m.id.clone(), zone, health, version, ready }
    });
    let instances = join_all(asked).await;
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
    State(operators): State<OperatorApi>,
    headers: HeaderMap,
    Path(request): Path<String>,
) -> Result<Json<Value>, Failure> {
    operators.authenticate(&headers)?;
    let Ok(id) = u128::from_str_radix(&request, 16) else {
        return Err(Failure::bad(
            Stage::Request,
            "invalid_request_id",
            "a request id is a hexadecimal number",
        ));
    };
    let request = RequestId(id);
    let shared = &operators.shared;
    let peers = operators.peers();
    let asked = peers.iter().map(|peer| document(shared, peer, Request::Explain { request }));
    let mut found: Vec<Value> = join_all(asked).await.into_iter().flatten().collect();
    found.push(dump::explain(shared, request));
    found.retain(|v| v["decisions"].as_array().is_some_and(|d| !d.is_empty()));
    Ok(Json(json!({"request": request.to_string(), "instances": found})))
}

async fn document(shared: &Shared, peer: &Target, request: Request) -> Option<Value> {
    match shared.adapters.links.call(peer, request, PEER_LIMIT).await {
        Ok(Reply::Document(text)) => serde_json::from_str(&text).ok(),
        _ => None,
    }
}

#[derive(Debug, Deserialize)]
struct Which {
    instance: Option<InstanceId>,
}

async fn state(
    State(operators): State<OperatorApi>,
    headers: HeaderMap,
    Query(q): Query<Which>,
) -> Result<Json<Value>, Failure> {
    operators.authenticate(&headers)?;
    let shared = &operators.shared;
    let Some(instance) = q.instance.filter(|i| i != shared.me()) else {
        return Ok(Json(dump::state(shared, &operators.owner).await));
    };
    let missing = |message: String| {
        Failure::bad(Stage::Request, "unknown_instance", message).with_status(StatusCode::NOT_FOUND)
    };
    let target = shared.roster.borrow().target(&instance);
    let Some(target) = target else {
        return Err(missing(format!("there is no instance {instance}")));
    };
    let dump = document(shared, &target, Request::State).await;
    dump.map(Json).ok_or_else(|| missing(format!("instance {instance} does not answer")))
}
