//! Reads the configuration again on SIGHUP. Only where discovery is may change; a bad file changes
//! nothing.

use super::Owner;
use crate::config::Config;
use grebecleat_discovery::long_polling::Event as PollingEvent;
use grebecleat_host::router::Input;
use tracing::info;

impl Owner {
    pub(super) fn reload(&mut self) {
        let Some(file) = &self.config_file else {
            return;
        };
        match Config::load(file) {
            Ok(new) if new.name != self.config.name => {
                if self.may_log() {
                    let name = new.name;
                    info!("configuration not taken: it is {name}'s, the last good one stays");
                }
            }
            Ok(new) => {
                if new.discovery != self.polling.address() {
                    let address = new.discovery;
                    self.step_polling(PollingEvent::Moved { address });
                    self.inputs.push(Input::DiscoveryMoved);
                }
                if self.may_log() {
                    info!("configuration read again");
                }
            }
            Err(error) => {
                if self.may_log() {
                    info!("configuration not taken, the last good one stays: {error}");
                }
            }
        }
    }
}
