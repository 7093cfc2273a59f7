//! Engines on virtual time, as far as the replays of load patterns need them.
//!
//! An engine works in passes: it admits what waits while slots are free, reads the waiting prompts, and gives each writer
//! one event at the end of the pass. A prompt that it reads alone is written in the same pass.

pub use costs::COSTS;

#[path = "costs.rs"]
mod costs;

/// Work of one request on one engine.
#[derive(Debug, Clone)]
struct Job {
    request: usize,
    read: f64,
    context: u64,
    /// Events to write; none on engines that only help.
    events: u32,
    started: bool,
    /// Whether no other engine reads a part of the prompt.
    alone: bool,
}

/// What a pass gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A part of the prompt was read.
    Read(usize),
    /// An event was written.
    Written(usize),
    /// The last event was written.
    Ended(usize),
}

/// One engine.
#[derive(Debug, Default)]
pub struct Engine {
    jobs: Vec<Job>,
    waiting: Vec<Job>,
    /// Requests whose other parts are read, too.
    ready: Vec<usize>,
    busy_until: f64,
    pending: Vec<Event>,
}

impl Engine {
    /// Takes a part of a prompt; `events` are written here once all parts are read.
    pub fn take(&mut self, request: usize, read: f64, context: u64, events: u32, alone: bool) {
        self.waiting.push(Job { request, read, context, events, started: false, alone });
    }

    /// All parts of a request are read.
    pub fn set_ready(&mut self, request: usize) {
        self.ready.push(request);
    }

    /// Runs a pass that begins at `now` if the last one is over; gives what the last one wrote.
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
        self.busy_until = now + self.pass();
        events
    }

    /// Works one pass through; gives its length in milliseconds.
    fn pass(&mut self) -> f64 {
        let mut reading = 0.0;
        for job in self.jobs.iter_mut().filter(|j| j.read > 0.0) {
            reading += job.read;
            job.read = 0.0;
            job.started = true;
            self.pending.push(Event::Read(job.request));
            if job.alone {
                self.ready.push(job.request);
            }
        }
        let ready = &self.ready;
        let writes = |j: &Job| j.events > 0 && ready.contains(&j.request);
        let count = self.jobs.iter().filter(|j| writes(j)).count() as u32;
        let context = self.jobs.iter().filter(|j| writes(j)).map(|j| j.context).sum();
        let length = if count > 0 { COSTS.pass(count, context) } else { COSTS.step };
        for job in self.jobs.iter_mut().filter(|j| writes(j)) {
            job.events -= 1;
            let end = job.events == 0;
            self.pending.push(if end { Event::Ended(job.request) } else { Event::Written(job.request) });
        }
        let pending = &self.pending;
        self.jobs.retain(|j| {
            let read = j.events == 0 && j.started;
            !read && !pending.contains(&Event::Ended(j.request))
        });
        length + reading
    }
}
