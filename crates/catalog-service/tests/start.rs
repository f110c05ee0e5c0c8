//! Tests of the start of a state service with a new store. The service accepts connections only after
//! the first revision is stored; otherwise the first client reads version 0.

use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::client::Client;
use grebecleat_catalog_service::service::{serve, Options};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::query::What;
use grebecleat_wire::trace::Tracer;
use std::sync::mpsc;
use std::sync::Arc;

const SETTINGS: &str = r#"
zone(name = "a")
stream_type(name = "read", slo = ms(200), expiry = s(2), repeat = "repeatable")
plan(name = "p", rate = 10)
host(name = "h")
node(id = 1, zone = "a")
volume(id = 5, plan = "p")
state_service(lease = s(2), margin = ms(500))
"#;
/// Number of starts of a service. A single start may pass by chance.
const STARTS: usize = 20;

/// Starts a service on a new store, and returns the version that its first client reads at once.
fn version_read_by_first_client() -> Version {
    let directory = tempfile::tempdir().unwrap();
    let settings = Settings::read("start.star".as_ref(), SETTINGS.into()).expect("good settings");
    let options = Options {
        settings: Arc::new(settings),
        file: "start.star".into(),
        store: directory.path().join("state.store"),
        listen: "127.0.0.1:0".parse().unwrap(),
        tracer: Tracer::default(),
    };
    let (done, version) = mpsc::channel();
    serve(options, move |address, handle| {
        std::thread::spawn(move || {
            let mut client = Client::connect(address, "operator").unwrap();
            let state = client.query(What::State, 0, 0, Vec::new()).unwrap();
            done.send(state.version).unwrap();
            handle.stop();
        });
    })
    .expect("the service runs");
    version.recv().unwrap()
}

#[test]
fn the_first_client_reads_the_first_revision() {
    for start in 0..STARTS {
        assert_eq!(version_read_by_first_client(), Version(1), "start {start}");
    }
}
