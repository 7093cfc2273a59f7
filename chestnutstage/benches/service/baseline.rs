//! Baselines on the same engines: round robin, and least outstanding requests by each entry's own count.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chestnutstage_core::ids::RequestId;
use chestnutstage_core::length::{Class, Tokens};
use chestnutstage_fakes::engine::Job;
use tokio::time::{Instant, sleep};

use crate::engines::{EnginePark, VirtualEngine};
use crate::fleet::Served;

/// How the baseline chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    RoundRobin,
    LeastOutstanding,
    /// The same, with the engines' priorities by length.
    Prioritised,
}

/// A balancer before the engines, one an entry.
pub(crate) struct Baseline {
    park: Arc<EnginePark>,
    choice: Choice,
    turn: Vec<AtomicUsize>,
    outstanding: Vec<Mutex<HashMap<usize, usize>>>,
    next: AtomicUsize,
}

impl Baseline {
    pub(crate) fn new(park: Arc<EnginePark>, choice: Choice, entries: usize) -> Self {
        Self {
            park,
            choice,
            turn: (0..entries).map(AtomicUsize::new).collect(),
            outstanding: (0..entries).map(|_| Mutex::default()).collect(),
            next: AtomicUsize::new(1),
        }
    }

    fn choose(&self, entry: usize) -> (usize, Arc<VirtualEngine>) {
        let engines: Vec<_> = self.park.all().cloned().collect();
        let turn = self.turn[entry].fetch_add(1, Ordering::Relaxed);
        let index = match self.choice {
            Choice::RoundRobin => turn % engines.len(),
            Choice::LeastOutstanding | Choice::Prioritised => {
                let counts = self.outstanding[entry].lock().expect("no panic under the lock");
                let count = |i: &usize| (counts.get(i).copied().unwrap_or(0), (i + turn) % engines.len());
                (0..engines.len()).min_by_key(count).unwrap_or(0)
            }
        };
        (index, engines[index].clone())
    }

    fn count(&self, entry: usize, engine: usize, by: isize) {
        let mut counts = self.outstanding[entry].lock().expect("no panic under the lock");
        let count = counts.entry(engine).or_default();
        *count = count.saturating_add_signed(by);
    }

    pub(crate) async fn complete(&self, entry: usize, prompt: usize, output: u64) -> Served {
        let (index, engine) = self.choose(entry);
        self.count(entry, index, 1);
        let asked = Instant::now();
        sleep(Duration::from_millis(2)).await;
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed) as u128);
        let class = Class::of(Tokens(prompt as u64));
        let priority = if self.choice == Choice::Prioritised { class.priority() } else { 0 };
        let job = Job { id, priority, prompt: Tokens(prompt as u64), output: Tokens(output), prefix: None };
        let mut pieces = engine.submit(job);
        let mut served = Served::new(prompt, asked);
        while let Some(Ok(piece)) = pieces.recv().await {
            served.token();
            if piece.piece.last {
                served.failure = None;
                break;
            }
        }
        self.count(entry, index, -1);
        served.took = asked.elapsed();
        served
    }
}
