//! A fleet: hosts, nodes, a discovery service and clients under load.

use super::client::{Client, Load};
use super::counters::Counters;
use super::discovery::DiscoveryService;
use super::host::Host;
use super::node::Node;
use super::{lock, retry};
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Instant;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Waits until no other fleet of this test program runs, since parallel ones would starve each other.
pub fn exclusive_run() -> MutexGuard<'static, ()> {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    lock(&ONE_AT_A_TIME)
}

/// A running fleet.
pub struct Fleet {
    pub hosts: Arc<Vec<Host>>,
    pub nodes: Vec<Node>,
    pub discovery: DiscoveryService,
    /// Nodes that were replaced.
    replaced: Vec<Node>,
    load: Arc<Load>,
    clients: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts hosts and nodes, with node n in zone n modulo three, and the given number of clients per
    /// host. Returns once all hosts are ready.
    pub fn start(hosts: usize, nodes: usize, clients: usize) -> Fleet {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let nodes: Vec<Node> = (0..nodes)
            .map(|index| Node::start(&format!("s-{index}"), index as u32, ZONES[index % 3], None))
            .collect();
        let endpoints: Vec<Value> = nodes.iter().map(|node| node.endpoint("ready")).collect();
        let discovery = DiscoveryService::start(endpoints.clone());
        let hosts: Vec<Host> = (0..hosts).map(|index| Host::new(number, index)).collect();
        for host in &hosts {
            host.write_config(hosts.len(), discovery.address, &endpoints);
            host.spawn();
        }
        for host in &hosts {
            retry(|| host.is_ready().then_some(()));
        }
        let mut fleet = Fleet {
            hosts: Arc::new(hosts),
            nodes,
            discovery,
            replaced: Vec::new(),
            load: Arc::default(),
            clients: Vec::new(),
        };
        fleet.start_clients(clients);
        fleet
    }

    fn start_clients(&mut self, clients: usize) {
        for host in 0..self.hosts.len() {
            for number in 0..clients {
                let client = Client {
                    hosts: self.hosts.clone(),
                    host,
                    number,
                    shards: self.nodes.len() as u32,
                    load: self.load.clone(),
                };
                self.clients.push(std::thread::spawn(move || client.run()));
            }
        }
    }

    /// Limits the requests of all clients to these shards; an empty list removes the limit.
    pub fn focus_clients_on(&self, shards: &[u32]) {
        *lock(&self.load.focus) = shards.to_vec();
    }

    /// Returns the endpoint list.
    pub fn endpoints(&self) -> Vec<Value> {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.endpoint("ready")).collect()
    }

    /// Restarts a host; only the endpoint list that the platform cached survives.
    pub fn start_host(&self, host: usize, discovery: &DiscoveryService, cached: &[Value]) {
        let hosts = self.hosts.len();
        self.hosts[host].write_config(hosts, discovery.address, cached);
        self.hosts[host].spawn();
    }

    /// Writes another discovery service into a host's configuration, and sends SIGHUP to the host.
    pub fn move_discovery(&self, host: usize, discovery: &DiscoveryService) {
        let hosts = self.hosts.len();
        self.hosts[host].write_config(hosts, discovery.address, &[]);
        self.hosts[host].signal("-HUP");
    }

    /// Replaces a node by another one. Discovery reports it at the next
    /// [`Fleet::publish_endpoints`].
    pub fn replace_node(&mut self, index: usize) {
        let old = self.nodes[index].clone();
        let uid = format!("{}+", old.uid);
        self.nodes[index] = Node::start(&uid, old.shard, old.zone, Some(Instant::now()));
        self.replaced.push(old);
    }

    /// Publishes the current endpoint list.
    pub fn publish_endpoints(&self) {
        self.discovery.publish(self.endpoints());
    }

    /// Ends the load and the hosts, and counts what happened.
    pub fn finish(mut self) -> Counters {
        self.load.ended.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.join().unwrap();
        }
        let running = self.hosts.iter().map(Host::is_running);
        let crashed = running.enumerate().filter(|(_, running)| !running);
        let crashed: Vec<usize> = crashed.map(|(index, _)| index).collect();
        let mut log = String::new();
        for host in self.hosts.iter() {
            host.end_process();
            log += &host.take_log();
        }
        let requests = std::mem::take(&mut *lock(&self.load.requests));
        let nodes: Vec<Node> = self.nodes.iter().chain(&self.replaced).cloned().collect();
        Counters::of(requests, &nodes, &self.hosts, crashed, log)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.load.ended.store(true, Ordering::SeqCst);
        for host in self.hosts.iter() {
            host.end_process();
        }
    }
}
