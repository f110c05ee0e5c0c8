//! `grebecleat platform`: one host on the users' platform; `grebecleat shed-report`: the requests
//! that such hosts rejected, by cause.

use crate::exit::{invalid, CommandError};
use grebecleat_platform::{config::Config, run as platform, statistics::StatisticsTable};
use std::path::{Path, PathBuf};
use tracing::info;

/// Runs the host until it has shut down.
pub fn run() -> Result<(), CommandError> {
    let (file, config) = Config::from_env().map_err(invalid)?;
    let name = config.name.clone();
    let options = platform::Options {
        config,
        file: Some(file),
    };
    let counts = platform::run(options, |address| info!(host = %name, %address, "up"))?;
    info!(host = %name, ?counts, "ended");
    Ok(())
}

/// Prints the sums of the statistics lines in these logs: one row per `every` seconds and cause, where
/// causes are grouped by the first `parts` parts of their names.
pub fn shed_report(logs: &[PathBuf], every: u64, parts: usize) -> Result<(), CommandError> {
    let mut table = StatisticsTable::default();
    let mut lines = 0;
    for log in logs {
        let text = read_log(log)?;
        lines += text.lines().filter(|line| table.read(line)).count();
    }
    if lines == 0 {
        return Err(invalid(
            "no statistics in these logs; a host logs them at debug level",
        ));
    }
    print!("{}", table.format(every, parts));
    Ok(())
}

fn read_log(log: &Path) -> Result<String, CommandError> {
    match std::fs::read(log) {
        Ok(bytes) => Ok(String::from_utf8_lossy(&bytes).into_owned()),
        Err(error) => Err(invalid(format!("{}: cannot read: {error}", log.display()))),
    }
}
