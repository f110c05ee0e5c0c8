//! The seven rules, one module for each. Each `check` reads the run and adds the violations to the
//! verdict. `TraceSet::check` calls them in the operators' order. The modules own no state.

pub mod answers;
pub mod drains;
pub mod effects;
pub mod key_order;
pub mod limits;
pub mod retry_budget;
pub mod slow_start;

use crate::run::TracedFrame;
use crate::{Verdict, Violation};
use std::time::Duration;

/// Bounds the time that a stopped host may take, after it continues, to answer requests that are
/// past their deadline. A larger bound accepts late answers; a smaller one reports hosts that are
/// still catching up.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Bounds the violations of one rule that are listed. Further violations of the rule add no
/// information.
const MAX_LISTED: usize = 20;

/// Adds a violation, unless the rule has already been listed `MAX_LISTED` times.
fn add_violation(verdict: &mut Verdict, rule: u8, what: String, frames: &[&TracedFrame]) {
    let listed = verdict.violations.iter().filter(|v| v.rule == rule).count();
    if listed < MAX_LISTED {
        verdict.violations.push(Violation {
            rule,
            what,
            frames: frames.iter().map(|frame| frame.text.clone()).collect(),
        });
    }
}

/// Returns a request's identifier as text.
fn id_text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}
