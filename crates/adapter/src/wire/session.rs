//! The session of one simulation: its hosts, and the batch of events that is being read.
//!
//! Memory is bounded by the hosts that were created and not detached, and by the events of one batch.

use super::actions::write_action;
use super::error::WireError;
use super::events::{is_event, parse_endpoint, parse_event, parse_update_kind, MessageScope};
use super::values::Values;
use grebecleat_adapter::settings::{self, SettingValues};
use grebecleat_scheduler::api::{Endpoint, EndpointUpdateKind, Event};
use grebecleat_scheduler::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// A simulated host.
struct Host {
    scheduler: Scheduler,
    scope: MessageScope,
    /// Events of the batch that is being read.
    events: Vec<Event>,
}

/// A batch that has begun and not ended.
struct Batch {
    /// Time of all events of the batch.
    now: Duration,
    /// Serial number of the batch, which its reply repeats.
    serial: String,
}

/// An endpoint update whose entries are being read.
struct PendingUpdate {
    host: String,
    kind: EndpointUpdateKind,
    /// Number of entries still to be read.
    remaining: usize,
    endpoints: Vec<Endpoint>,
}

/// The state of one simulation. [`Session::handle_line`] is called with each line of the input.
#[derive(Default)]
pub struct Session {
    hosts: BTreeMap<String, Host>,
    batch: Option<Batch>,
    pending_update: Option<PendingUpdate>,
}

impl Session {
    /// Handles one line. Returns the reply to a batch if the line ends the batch.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        let mut values = Values::new(line);
        if self.pending_update.is_some() {
            self.read_endpoint(&mut values)?;
            return Ok(None);
        }
        match (values.message(), self.batch.is_some()) {
            ("", _) => {}
            ("BEGIN_BATCH", false) => self.begin_batch(&mut values)?,
            ("BEGIN_BATCH", true) => return Err(WireError::NestedBatch),
            (message, false) => return Err(WireError::OutsideBatch(message.to_string())),
            ("END", true) => {
                values.end()?;
                return Ok(self.end_batch());
            }
            ("CREATE", true) => self.create_host(line, &values)?,
            ("DETACH", true) => self.detach_host(&mut values)?,
            ("SYNC", true) => self.begin_endpoint_update(&mut values)?,
            (_, true) => self.read_event(&mut values)?,
        }
        Ok(None)
    }

    /// Checks, at the end of the input, that the last batch has ended.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err(WireError::UnfinishedBatch),
        }
    }

    fn begin_batch(&mut self, values: &mut Values) -> Result<(), WireError> {
        let now = values.duration("time-ms")?;
        let serial = values.text("serial")?.to_string();
        values.end()?;
        self.batch = Some(Batch { now, serial });
        Ok(())
    }

    /// Steps the hosts that have events in the batch; the protocol allows actions of these hosts only.
    fn end_batch(&mut self) -> Option<String> {
        let Batch { now, serial } = self.batch.take()?;
        let mut reply = String::new();
        for (name, host) in &mut self.hosts {
            if host.events.is_empty() {
                continue;
            }
            for action in host.scheduler.step(now, std::mem::take(&mut host.events)) {
                write_action(&mut reply, name, &action);
            }
        }
        writeln!(reply, "OK {serial}").expect("writing to a String succeeds");
        Some(reply)
    }

    /// Creates a host from a line with its name, seed and start-up settings.
    fn create_host(&mut self, line: &str, values: &Values) -> Result<(), WireError> {
        const SEED: &str = "nonce64";
        let mut parts = line.splitn(4, ' ').skip(1);
        let name = parts.next().filter(|name| !name.is_empty());
        let name = name.ok_or_else(|| values.missing("host"))?;
        let seed = parts.next().ok_or_else(|| values.missing(SEED))?;
        let seed = parse_seed(seed).ok_or_else(|| WireError::BadEncoding {
            message: values.message().to_string(),
            field: SEED,
        })?;
        let pairs = SettingValues::read(parts.next().unwrap_or_default())?;
        self.hosts.insert(name.to_string(), new_host(seed, &pairs)?);
        Ok(())
    }

    fn detach_host(&mut self, values: &mut Values) -> Result<(), WireError> {
        let name = values.text("host")?;
        values.end()?;
        match self.hosts.remove(name) {
            Some(_) => Ok(()),
            None => Err(values.unknown_host(name)),
        }
    }

    fn begin_endpoint_update(&mut self, values: &mut Values) -> Result<(), WireError> {
        let host = values.text("host")?;
        if !self.hosts.contains_key(host) {
            return Err(values.unknown_host(host));
        }
        let kind = parse_update_kind(values)?;
        values.optional::<i64>("revision")?;
        let remaining = values.optional("items")?.unwrap_or(0);
        values.end()?;
        self.pending_update = Some(PendingUpdate {
            host: host.to_string(),
            kind,
            remaining,
            endpoints: Vec::new(),
        });
        self.finish_endpoint_update();
        Ok(())
    }

    fn read_endpoint(&mut self, values: &mut Values) -> Result<(), WireError> {
        let Some(update) = &mut self.pending_update else {
            return Ok(());
        };
        if values.message() != "ENTRY" {
            return Err(WireError::MissingEntries {
                remaining: update.remaining,
                found: values.message().to_string(),
            });
        }
        update.endpoints.push(parse_endpoint(values)?);
        update.remaining -= 1;
        self.finish_endpoint_update();
        Ok(())
    }

    /// Passes the update to its host once all entries have been read.
    fn finish_endpoint_update(&mut self) {
        let complete = self.pending_update.take_if(|update| update.remaining == 0);
        let Some(update) = complete else {
            return;
        };
        let host = self.hosts.get_mut(&update.host);
        let host = host.expect("the host existed when the update began, and no host is detached while entries are read");
        host.events.push(Event::EndpointUpdate {
            kind: update.kind,
            endpoints: update.endpoints,
        });
    }

    fn read_event(&mut self, values: &mut Values) -> Result<(), WireError> {
        if !is_event(values.message()) {
            return Err(WireError::UnknownMessage(values.message().to_string()));
        }
        let name = values.text("host")?;
        let Some(host) = self.hosts.get_mut(name) else {
            return Err(values.unknown_host(name));
        };
        host.events.push(parse_event(values, host.scope)?);
        Ok(())
    }
}

/// Parses a signed or unsigned 64-bit seed.
fn parse_seed(text: &str) -> Option<u64> {
    let unsigned = text.parse::<u64>().ok();
    unsigned.or_else(|| text.parse::<i64>().ok().map(|seed| seed as u64))
}

fn new_host(seed: u64, pairs: &SettingValues) -> Result<Host, WireError> {
    let traffic_classes = settings::traffic_classes(pairs)?;
    let plans = settings::plans(pairs)?;
    let scope = MessageScope {
        traffic_classes: traffic_classes.len(),
        plans: plans.len(),
        busy_index: settings::report_index(pairs, "utilization"),
    };
    let units = settings::units(pairs)?;
    let limits = settings::host_limits(pairs)?;
    let scheduler = Scheduler::new(seed, traffic_classes, plans, units, limits).with_policies(
        settings::slow_start_policy(pairs)?,
        settings::discovery_policy(pairs)?,
        settings::retry_budget(pairs)?,
        settings::key_cooldown(pairs)?,
    );
    Ok(Host {
        scheduler,
        scope,
        events: Vec::new(),
    })
}
