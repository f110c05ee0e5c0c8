//! Structured logging to standard error or to a file.

use crate::args::{Format, Logs};
use std::fs::OpenOptions;
use std::io;
use std::sync::Mutex;
use tracing_subscriber::fmt::writer::BoxMakeWriter;
use tracing_subscriber::EnvFilter;

/// Installs the global log subscriber. Fails if the filter is invalid or the file cannot be opened.
pub fn start(logs: &Logs) -> io::Result<()> {
    let filter = EnvFilter::try_new(&logs.log_level)
        .map_err(|error| io::Error::other(format!("--log-level {}: {error}", logs.log_level)))?;
    let writer = match &logs.log_file {
        None => BoxMakeWriter::new(io::stderr),
        Some(path) => {
            let file = OpenOptions::new().create(true).append(true).open(path);
            let file = file.map_err(|error| {
                io::Error::other(format!("--log-file {}: {error}", path.display()))
            })?;
            BoxMakeWriter::new(Mutex::new(file))
        }
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    match logs.log {
        Format::Text => builder.init(),
        Format::Json => builder.json().init(),
    }
    Ok(())
}
