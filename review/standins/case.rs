//! What all scenarios share: the record, the clock, and the processes that were started.

use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::process::Instance;

pub enum Outcome {
    Held,
    Broken(usize),
    NotRun(String),
}

pub struct Case {
    record: Mutex<File>,
    pub directory: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
    instances: Mutex<Vec<Instance>>,
}

impl Case {
    pub fn new(record: &str) -> io::Result<Self> {
        let directory = std::env::temp_dir().join(format!("chestnutstage-review-{}", std::process::id()));
        _ = crate::http::clock();
        std::fs::create_dir_all(&directory)?;
        Ok(Self {
            record: Mutex::new(File::create(record)?),
            directory,
            trouble: std::env::var("TROUBLE").map_or(true, |v| v != "0"),
            instances: Mutex::default(),
        })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        crate::http::clock()
    }

    pub fn log(&self, text: &str) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        _ = writeln!(record, "{:9.3} s  {text}", self.now().as_secs_f64());
    }

    pub fn sleep_until(&self, time: Duration) {
        std::thread::sleep(time.saturating_sub(self.now()));
    }

    pub fn keep(&self, instance: Instance) {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner).push(instance);
    }

    pub fn with<T>(&self, name: &str, run: impl FnOnce(&mut Instance) -> T) -> Option<T> {
        let mut all = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter_mut().find(|i| i.name == name).map(run)
    }

    pub fn stop_all(&self) {
        for instance in self.instances.lock().unwrap_or_else(PoisonError::into_inner).iter_mut() {
            instance.kill();
        }
        _ = std::fs::remove_dir_all(&self.directory);
    }
}
