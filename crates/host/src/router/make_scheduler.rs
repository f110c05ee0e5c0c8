//! Creates the scheduler from the settings.

use grebecleat_scheduler::api::DiscoveryPolicy;
use grebecleat_scheduler::scheduler::Scheduler;
use grebecleat_settings::Settings;

/// Creates the scheduler of a host with these settings. `seed` seeds its random numbers.
pub(super) fn scheduler(settings: &Settings, seed: u64) -> Scheduler {
    let classes = settings.traffic_classes.iter();
    let plans = settings.plans.iter();
    let rules = &settings.rules;
    Scheduler::new(
        seed,
        classes.map(|class| class.facts.clone()).collect(),
        plans.map(|plan| plan.facts.clone()).collect(),
        settings.units.clone(),
        settings.host_limits.clone(),
    )
    .with_policies(
        rules.cold.clone(),
        // The scheduler always polls. If the discovery service pushes changes, each poll opens one
        // watch.
        DiscoveryPolicy {
            polled: true,
            ..settings.list.rule.clone()
        },
        rules.attempts.clone(),
        rules.key_cool_down,
    )
}
