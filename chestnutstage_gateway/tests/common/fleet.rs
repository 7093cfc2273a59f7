//! A deployment in which a few planners place the requests of all instances.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::catalog::Catalog;
use chestnutstage_core::ids::{InstanceId, ZoneId};
use chestnutstage_core::planners::{Candidate, Planners};
use chestnutstage_core::pool::Listing;
use chestnutstage_gateway::external::{Fact, Topic};
use tokio::time::sleep;

use super::backend::{Backend, Reply};
use super::external::FakeStore;
use super::{Harness, listing, settings};

const INSTANCES: usize = 20;

/// Instances, of which a few are planners, with one endpoint for all services.
pub struct Fleet {
    pub backend: Arc<Backend>,
    /// Instances with their names; `None` after a shutdown.
    pub harnesses: Vec<(InstanceId, Option<Harness>)>,
    pub planners: Planners,
}

impl Fleet {
    /// Starts instances with an engine of so many slots.
    pub async fn start(catalog: Catalog, slots: u32, replies: Vec<Reply>) -> Self {
        let backend = Backend::start(replies).await;
        let store = Arc::new(FakeStore::default());
        store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog))]);
        let desk = Listing { slots: 200, ..listing("d1", "desk", backend.address) };
        let engine = Listing { slots, ..listing("e1", "llm", backend.address) };
        let endpoints = [engine, desk];
        store.publish(Topic::Endpoints, endpoints.into_iter().map(Fact::Listed).collect());
        let mut harnesses = Vec::new();
        for number in 0..INSTANCES {
            let name = format!("i{number}");
            let mut settings = settings(&name);
            settings.bounds.grace_s = 0.6;
            let harness = Harness::with_settings(settings, store.clone()).await;
            harnesses.push((InstanceId::from(name.as_str()), Some(harness)));
        }
        let zone = ZoneId::from("a");
        let candidates = harnesses.iter().map(|(id, _)| Candidate { id, zone: &zone, capacity: 1_000 });
        let planners = Planners::select(candidates);
        let fleet = Self { backend, harnesses, planners };
        for (_, harness) in &fleet.harnesses {
            harness.as_ref().unwrap().until_ready().await;
        }
        // Requests are placed by planners once the links are open.
        while state(fleet.entry()).await.matches("Member {").count() < INSTANCES {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(600)).await;
        fleet
    }

    /// An instance that is not a planner.
    pub fn entry(&self) -> &Harness {
        let entry = self.harnesses.iter().find(|(id, _)| !self.planners.contains(id));
        entry.unwrap().1.as_ref().unwrap()
    }

    pub fn planners(&self) -> impl Iterator<Item = &Harness> {
        let planners = self.harnesses.iter().filter(|(id, _)| self.planners.contains(id));
        planners.filter_map(|(_, harness)| harness.as_ref())
    }

    /// Number of planners that know of a brief grant.
    pub async fn informed(&self) -> usize {
        let mut informed = 0;
        for planner in self.planners() {
            informed += usize::from(state(planner).await.contains("work: Brief"));
        }
        informed
    }

    pub async fn until_informed(&self, count: usize) {
        while self.informed().await != count {
            sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn stop_planners(&mut self, count: usize) {
        let planners = self.planners.clone();
        let stopped = self.harnesses.iter_mut().filter(|(id, h)| h.is_some() && planners.contains(id));
        for (_, harness) in stopped.take(count) {
            harness.take().unwrap().gateway.shutdown().await;
        }
    }
}

pub async fn state(harness: &Harness) -> String {
    let url = format!("http://{}/state", harness.gateway.listen_addresses().checks);
    harness.http.get(url).send().await.unwrap().text().await.unwrap()
}
