//! Handles the signals that end the process.
//!
//! A program calls it once at its start. The only state is the thread that waits for signals.

use super::Handle;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::warn;

/// The exit code of a process that a second signal has ended. It tells operators' scripts that the
/// shutdown was not graceful.
const EXIT_SECOND_SIGNAL: i32 = 3;

/// Shuts the host down gracefully on SIGTERM or SIGINT. A second signal ends the process with code 3.
pub fn shut_down_on_signals(handle: Handle) {
    call_on_signals(move || handle.drain());
}

/// Calls `end` on SIGTERM or SIGINT. A second signal ends the process with code 3.
pub fn call_on_signals(end: impl Fn() + Send + 'static) {
    std::thread::spawn(move || {
        let Ok(mut signals) = Signals::new([SIGTERM, SIGINT]) else {
            return;
        };
        for (earlier, _) in signals.forever().enumerate() {
            if earlier > 0 {
                warn!(
                    exit_code = EXIT_SECOND_SIGNAL,
                    "second signal: process ends without waiting for open requests"
                );
                std::process::exit(EXIT_SECOND_SIGNAL);
            }
            end();
        }
    });
}
