//! Log lines with key-value fields.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use env_logger::{Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use metrics::counter;

/// Capacity of the queue of log lines.
const QUEUE_LINES_MAX: usize = 2_048;

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard error, written synchronously.
    StandardError,
    /// Standard output through a bounded queue. When it is full, lines are dropped and counted, so that no request waits
    /// for logging.
    Queue,
}

/// Writes the fields of a log line.
struct Fields<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::boxed)
    }
}

/// Writer that puts log lines into the queue.
struct QueueWriter(SyncSender<Vec<u8>>);

impl Write for QueueWriter {
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
/// The writer thread can't be started.
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

fn start_queue() -> io::Result<QueueWriter> {
    let (queue, lines) = sync_channel(QUEUE_LINES_MAX);
    std::thread::Builder::new().name("log".into()).stack_size(64 << 10).spawn(move || write_lines(&lines))?;
    Ok(QueueWriter(queue))
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // Standard output is closed, so the error can't be reported either.
        if out.write_all(&line).is_err() {
            return;
        }
    }
}
