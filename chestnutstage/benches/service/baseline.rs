//! Baseline balancers on the same engines: round robin, and least outstanding requests as counted by each entry.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chestnutstage_core::ids::RequestId;
use chestnutstage_core::length::{Class, Tokens};
use chestnutstage_fakes::engine::Job;
use tokio::time::{Instant, sleep};

use crate::engines::{EnginePool, VirtualEngine};
use crate::fleet::Completion;

/// Policy by which a baseline chooses engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    RoundRobin,
    LeastOutstanding,
    /// Least outstanding, with engine priorities by prompt length.
    Prioritised,
}

/// Balancers in front of the engines; each entry has its own counts.
pub(crate) struct Baseline {
    pool: Arc<EnginePool>,
    policy: Policy,
    turn: Vec<AtomicUsize>,
    outstanding: Vec<Mutex<HashMap<usize, usize>>>,
    next_id: AtomicUsize,
}

impl Baseline {
    pub(crate) fn new(pool: Arc<EnginePool>, policy: Policy, entries: usize) -> Self {
        Self {
            pool,
            policy,
            turn: (0..entries).map(AtomicUsize::new).collect(),
            outstanding: (0..entries).map(|_| Mutex::default()).collect(),
            next_id: AtomicUsize::new(1),
        }
    }

    fn choose(&self, entry: usize) -> (usize, Arc<VirtualEngine>) {
        let engines: Vec<_> = self.pool.all().cloned().collect();
        let turn = self.turn[entry].fetch_add(1, Ordering::Relaxed);
        let index = match self.policy {
            Policy::RoundRobin => turn % engines.len(),
            Policy::LeastOutstanding | Policy::Prioritised => {
                let counts = self.outstanding[entry].lock().expect("no panic under the lock");
                let count = |i: &usize| (counts.get(i).copied().unwrap_or(0), (i + turn) % engines.len());
                (0..engines.len()).min_by_key(count).unwrap_or(0)
            }
        };
        (index, engines[index].clone())
    }

    fn add_outstanding(&self, entry: usize, engine: usize, change: isize) {
        let mut counts = self.outstanding[entry].lock().expect("no panic under the lock");
        let count = counts.entry(engine).or_default();
        *count = count.saturating_add_signed(change);
    }

    pub(crate) async fn complete(&self, entry: usize, prompt: usize, output: u64) -> Completion {
        let (index, engine) = self.choose(entry);
        self.add_outstanding(entry, index, 1);
        let started = Instant::now();
        sleep(Duration::from_millis(2)).await;
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed) as u128);
        let class = Class::of(Tokens(prompt as u64));
        let priority = if self.policy == Policy::Prioritised { class.priority() } else { 0 };
        let job = Job { id, priority, prompt: Tokens(prompt as u64), output: Tokens(output), prefix: None };
        let mut pieces = engine.submit(job);
        let mut completion = Completion::new(prompt, started);
        while let Some(Ok(piece)) = pieces.recv().await {
            completion.record_token();
            if piece.piece.last {
                completion.failure = None;
                break;
            }
        }
        self.add_outstanding(entry, index, -1);
        completion.duration = started.elapsed();
        completion
    }
}
