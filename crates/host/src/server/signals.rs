//! Signals that end the process.

use super::Handle;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::warn;

/// The exit code of a process that a second signal has ended.
const EXIT_SECOND_SIGNAL: i32 = 3;

/// SIGTERM or SIGINT shuts the host down gracefully; a second one ends the process with code 3.
pub fn on_signals(handle: Handle) {
    on_signals_do(move || handle.drain());
}

/// The same for any process: the first signal calls `end`.
pub fn on_signals_do(end: impl Fn() + Send + 'static) {
    std::thread::spawn(move || {
        let Ok(mut signals) = Signals::new([SIGTERM, SIGINT]) else {
            return;
        };
        for (earlier, _) in signals.forever().enumerate() {
            if earlier > 0 {
                warn!("ended by a second signal");
                std::process::exit(EXIT_SECOND_SIGNAL);
            }
            end();
        }
    });
}
