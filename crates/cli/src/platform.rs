//! `grebecleat platform`: one host on the users' platform; `grebecleat account`: what such hosts
//! rejected.

use crate::exit::{invalid, CommandError};
use grebecleat_platform::{config::Config, run as platform, statistics::StatisticsTable};
use std::path::{Path, PathBuf};
use tracing::info;

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

/// Adds up the statistics lines of the logs: a row for each `every` seconds, causes by their first
/// `parts` parts.
pub fn account(logs: &[PathBuf], every: u64, parts: usize) -> Result<(), CommandError> {
    let mut table = StatisticsTable::default();
    let mut lines = 0;
    for log in logs {
        let text = read_log(log)?;
        lines += text.lines().filter(|line| table.read(line)).count();
    }
    if lines == 0 {
        return Err(invalid(
            "no account in these logs; a host tells it at debug level",
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
