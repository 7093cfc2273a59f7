//! HTTP routes for readiness, metrics and the state dump.

use std::fmt::Write as _;
use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::dispatcher::Dump;
use crate::shared::Shared;

#[derive(Clone)]
struct Checks {
    shared: Arc<Shared>,
    metrics: PrometheusHandle,
}

/// Routes of the checks address; each path except `/metrics` and `/state` returns the readiness.
pub(crate) fn router(shared: Arc<Shared>, metrics: PrometheusHandle) -> Router {
    Router::new()
        .route("/metrics", get(show_metrics))
        .route("/state", get(show_state))
        .fallback(show_readiness)
        .with_state(Checks { shared, metrics })
}

async fn show_readiness(State(checks): State<Checks>) -> (StatusCode, &'static str) {
    if checks.shared.is_ready() {
        return (StatusCode::OK, "ready\n");
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

async fn show_metrics(State(checks): State<Checks>) -> String {
    checks.metrics.render()
}

async fn show_state(State(checks): State<Checks>) -> String {
    let shared = &checks.shared;
    let mut text = String::new();
    let version = shared.store_cache.directory().map(|d| d.catalog().version);
    // Writing to a string can't fail.
    _ = writeln!(text, "ready = {}", shared.is_ready());
    _ = writeln!(text, "catalog = {version:?}");
    _ = writeln!(text, "rules_age = {:?}", shared.store_cache.rules_age());
    _ = writeln!(text, "members = {:?}", shared.store_cache.members());
    _ = writeln!(text, "planner = {}", shared.store_cache.is_planner());
    _ = writeln!(text, "watches_store = {}", shared.store_cache.watches_store());
    _ = writeln!(text, "cut_off = {}", shared.is_cut_off());
    _ = writeln!(text, "cuts = {}", shared.cuts());
    _ = writeln!(text, "planners = {:?}", shared.store_cache.planners());
    _ = writeln!(text, "asked_planners = {:?}", shared.planners_to_ask());
    _ = write!(text, "quarantine:\n{}", shared.dump_quarantine());
    text + &shared.dispatcher.ask(Dump).await.unwrap_or_default()
}
