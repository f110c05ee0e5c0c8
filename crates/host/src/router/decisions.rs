//! The decisions, as the settings ask for them.

use grebecleat::control::Control;
use grebecleat::interface::DiscoveryPolicy;
use grebecleat_settings::Settings;

/// The decisions of a host with these settings. `seed`: of their random choices.
pub(super) fn control(settings: &Settings, seed: u64) -> Control {
    let classes = settings.traffic_classes.iter();
    let plans = settings.plans.iter();
    let rules = &settings.rules;
    Control::new(
        seed,
        classes.map(|class| class.facts.clone()).collect(),
        plans.map(|plan| plan.facts.clone()).collect(),
        settings.units.clone(),
        settings.host_limits.clone(),
    )
    .with_rules(
        rules.cold.clone(),
        // Discovery is asked in either case: where it pushes, one watch is the asking.
        DiscoveryPolicy {
            polled: true,
            ..settings.list.rule.clone()
        },
        rules.attempts.clone(),
        rules.key_rest,
    )
}
