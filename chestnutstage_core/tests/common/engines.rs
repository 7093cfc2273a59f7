//! Engines on virtual time, with the detail that replays of load patterns need.
//!
//! An engine runs scheduling passes: it admits waiting requests while slots are free, prefills their prompts,
//! and emits one event for each decoding request at the end of the pass. A prompt that no other engine shares
//! starts to decode in the same pass.

pub use costs::COSTS;

#[path = "costs.rs"]
mod costs;

/// Work of one request on one engine.
#[derive(Debug, Clone)]
struct Job {
    request: usize,
    prefill: f64,
    context: u64,
    /// Events to emit; zero on engines that only prefill a part.
    events: u32,
    started: bool,
    /// Whether this engine prefills the whole prompt.
    alone: bool,
}

/// Result of a pass for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A part of the prompt was prefilled.
    Prefilled(usize),
    /// An event was emitted.
    Emitted(usize),
    /// The last event was emitted.
    Ended(usize),
}

#[derive(Debug, Default)]
pub struct Engine {
    jobs: Vec<Job>,
    waiting: Vec<Job>,
    /// Requests whose parts are all prefilled.
    ready: Vec<usize>,
    busy_until: f64,
    /// Factor by which its passes take longer than published, if above one.
    pub slowdown: f64,
    pending: Vec<Event>,
}

impl Engine {
    /// Queues a part of a prompt; `events` are emitted here once all parts are prefilled.
    pub fn enqueue(&mut self, request: usize, prefill: f64, context: u64, events: u32, alone: bool) {
        self.waiting.push(Job { request, prefill, context, events, started: false, alone });
    }

    /// Marks a request as prefilled on all its engines.
    pub fn set_ready(&mut self, request: usize) {
        self.ready.push(request);
    }

    /// Starts a pass at `now` if the previous one is over, and returns the events of the previous one.
    pub fn run(&mut self, now: f64) -> Vec<Event> {
        if now < self.busy_until {
            return Vec::new();
        }
        let events = std::mem::take(&mut self.pending);
        let room = (COSTS.slots as usize).saturating_sub(self.jobs.len());
        self.jobs.extend(self.waiting.drain(..room.min(self.waiting.len())));
        if self.jobs.is_empty() {
            return events;
        }
        self.busy_until = now + self.pass() * self.slowdown.max(1.0);
        events
    }

    /// Runs one pass and returns its length in milliseconds.
    fn pass(&mut self) -> f64 {
        let mut total = 0.0;
        for job in self.jobs.iter_mut().filter(|j| j.prefill > 0.0) {
            total += job.prefill;
            job.prefill = 0.0;
            job.started = true;
            self.pending.push(Event::Prefilled(job.request));
            if job.alone {
                self.ready.push(job.request);
            }
        }
        let ready = &self.ready;
        let decodes = |j: &Job| j.events > 0 && ready.contains(&j.request);
        let count = self.jobs.iter().filter(|j| decodes(j)).count() as u32;
        let context = self.jobs.iter().filter(|j| decodes(j)).map(|j| j.context).sum();
        let length = if count > 0 { COSTS.pass_ms(count, context) } else { COSTS.step };
        for job in self.jobs.iter_mut().filter(|j| decodes(j)) {
            job.events -= 1;
            let end = job.events == 0;
            self.pending.push(if end { Event::Ended(job.request) } else { Event::Emitted(job.request) });
        }
        let pending = &self.pending;
        self.jobs.retain(|j| {
            let helped = j.events == 0 && j.started;
            !helped && !pending.contains(&Event::Ended(j.request))
        });
        length + total
    }
}
