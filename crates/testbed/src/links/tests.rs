use super::*;
use crate::net::hello;
use grebecleat_wire::frame;

/// Accepts connections like a host, and counts the gossip messages that arrive.
fn host(at: TcpListener, received: Arc<Mutex<usize>>) {
    for mut s in at.incoming().flatten() {
        let received = received.clone();
        std::thread::spawn(move || {
            let mut reader = Reader::new(1 << 16);
            while reader.fill(&mut s).is_ok_and(|n| n > 0) {
                while let Ok(Some(f)) = reader.next::<pb::Frame>() {
                    *received.lock().unwrap() +=
                        usize::from(matches!(f.body, Some(Body::GossipMessage(_))));
                }
            }
        });
    }
}

fn send_gossip(links: &Links, from: &str, to: usize) {
    let Ok(mut s) = TcpStream::connect(links.addresses()[to]) else {
        return;
    };
    let mut bytes = Vec::new();
    let message = Body::GossipMessage(pb::GossipMessage {
        text: b"news".to_vec().into(),
    });
    for body in [Body::Hello(hello(pb::Role::Host, from, 1)), message] {
        frame::write(
            &pb::Frame {
                sent_us: 1,
                body: Some(body),
            },
            &mut bytes,
        );
    }
    let _ = s.write_all(&bytes);
    let _ = (s.shutdown(Shutdown::Write), s.read(&mut [0; 8]));
}

#[test]
fn a_pair_is_cut_one_way_and_the_other_way_still_carries() {
    let links = Links::between(vec!["a".into(), "b".into()]).unwrap();
    let received: Vec<Arc<Mutex<usize>>> = (0..2).map(|_| Arc::default()).collect();
    for (n, received) in received.iter().enumerate() {
        let at = TcpListener::bind("127.0.0.1:0").unwrap();
        links.set_target(n, at.local_addr().unwrap());
        let received = received.clone();
        std::thread::spawn(move || host(at, received));
    }
    let counts = || {
        received
            .iter()
            .map(|h| *h.lock().unwrap())
            .collect::<Vec<_>>()
    };
    let wait_for = |expected: [usize; 2]| {
        let arrived = |_: &i32| {
            std::thread::sleep(Duration::from_millis(10));
            counts() == expected
        };
        assert!(
            (0..300).find(arrived).is_some(),
            "{:?}, expected {expected:?}",
            counts()
        );
    };
    send_gossip(&links, "a", 1);
    send_gossip(&links, "b", 0);
    wait_for([1, 1]);
    links.set_cut([(0, 1)].into());
    for (from, to) in [("a", 1), ("b", 0), ("nobody", 0)] {
        send_gossip(&links, from, to);
    }
    wait_for([2, 1]);
    links.set_cut(BTreeSet::new());
    send_gossip(&links, "a", 1);
    wait_for([2, 2]);
}
