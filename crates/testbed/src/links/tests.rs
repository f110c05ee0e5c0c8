use super::*;
use crate::net::hello;
use grebecleat_wire::frame;

/// A host that answers every greeting and counts words.
fn host(at: TcpListener, heard: Arc<Mutex<usize>>) {
    for mut s in at.incoming().flatten() {
        let heard = heard.clone();
        std::thread::spawn(move || {
            let mut reader = Reader::new(1 << 16);
            while reader.fill(&mut s).is_ok_and(|n| n > 0) {
                while let Ok(Some(f)) = reader.next::<pb::Frame>() {
                    *heard.lock().unwrap() +=
                        usize::from(matches!(f.body, Some(Body::GossipMessage(_))));
                }
            }
        });
    }
}

fn say(links: &Links, from: &str, to: usize) {
    let Ok(mut s) = TcpStream::connect(links.addresses()[to]) else {
        return;
    };
    let mut bytes = Vec::new();
    let word = Body::GossipMessage(pb::GossipMessage {
        text: b"news".to_vec().into(),
    });
    for body in [Body::Hello(hello(pb::Role::Host, from, 1)), word] {
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
    let heard: Vec<Arc<Mutex<usize>>> = (0..2).map(|_| Arc::default()).collect();
    for (n, heard) in heard.iter().enumerate() {
        let at = TcpListener::bind("127.0.0.1:0").unwrap();
        links.set_target(n, at.local_addr().unwrap());
        let heard = heard.clone();
        std::thread::spawn(move || host(at, heard));
    }
    let counts = || heard.iter().map(|h| *h.lock().unwrap()).collect::<Vec<_>>();
    let until = |expected: [usize; 2]| {
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
    say(&links, "a", 1);
    say(&links, "b", 0);
    until([1, 1]);
    links.set_cut([(0, 1)].into());
    for (from, to) in [("a", 1), ("b", 0), ("nobody", 0)] {
        say(&links, from, to);
    }
    until([2, 1]);
    links.set_cut(BTreeSet::new());
    say(&links, "a", 1);
    until([2, 2]);
}
