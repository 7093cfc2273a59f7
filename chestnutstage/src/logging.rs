//! Logs, with key-value fields, to standard error.

use std::io::Write;

use env_logger::Env;
use log::kv::{Error, Key, Value, VisitSource};

/// Writes the fields of a log line.
struct Fields<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::boxed)
    }
}

/// Starts logging at the level in `CHESTNUTSTAGE_LOG`, `info` by default.
pub fn start(instance: &str) {
    let name = instance.to_owned();
    env_logger::Builder::from_env(Env::new().filter_or("CHESTNUTSTAGE_LOG", "info"))
        .format(move |buffer, record| {
            let time = buffer.timestamp_millis();
            write!(buffer, "{time} {:5} {name} {}", record.level(), record.args())?;
            record.key_values().visit(&mut Fields(buffer)).map_err(std::io::Error::other)?;
            writeln!(buffer)
        })
        .init();
}
