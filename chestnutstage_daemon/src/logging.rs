//! Log lines with key-value fields.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use env_logger::{Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use metrics::counter;

/// Lines that wait to be written, at the most.
const QUEUE: usize = 2_048;

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// To standard error, each before the code goes on.
    StandardError,
    /// To standard output, through a bounded queue: a full one drops lines and counts them, and no request waits for a log.
    Queue,
}

/// Writes the fields of a log line.
struct Fields<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::boxed)
    }
}

/// Sending end of the queue.
struct Queue(SyncSender<Vec<u8>>);

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.try_send(line.to_vec()).is_err() {
            counter!("chestnutstage_log_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging at the level in `CHESTNUTSTAGE_LOG`, `info` by default.
///
/// # Errors
///
/// The writing thread can't be started.
pub fn start(instance: &str, output: Output) -> io::Result<()> {
    let target = match output {
        Output::StandardError => Target::Stderr,
        Output::Queue => Target::Pipe(Box::new(start_queue()?)),
    };
    let name = instance.to_owned();
    env_logger::Builder::from_env(Env::new().filter_or("CHESTNUTSTAGE_LOG", "info"))
        .target(target)
        .format(move |buffer, record| {
            let time = buffer.timestamp_millis();
            write!(buffer, "{time} {:5} {name} {}", record.level(), record.args())?;
            record.key_values().visit(&mut Fields(buffer)).map_err(io::Error::other)?;
            writeln!(buffer)
        })
        .init();
    Ok(())
}

fn start_queue() -> io::Result<Queue> {
    let (queue, lines) = sync_channel(QUEUE);
    std::thread::Builder::new().name("log".into()).stack_size(64 << 10).spawn(move || write_lines(&lines))?;
    Ok(Queue(queue))
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // Standard output that is gone leaves nothing to tell it to.
        if out.write_all(&line).is_err() {
            return;
        }
    }
}
