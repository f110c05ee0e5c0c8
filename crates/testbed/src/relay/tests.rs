use super::*;

#[test]
fn bytes_are_forwarded_delayed_and_cut() {
    let echo = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::to(echo.local_addr().unwrap()).unwrap();
    std::thread::spawn(move || {
        for mut s in echo.incoming().flatten() {
            std::thread::spawn(move || {
                let mut b = [0; 64];
                while let Ok(n) = s.read(&mut b) {
                    if n == 0 || s.write_all(&b[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let mut c = TcpStream::connect(relay.address()).unwrap();
    let mut b = [0; 5];
    c.write_all(b"hello").unwrap();
    c.read_exact(&mut b).unwrap();
    assert_eq!(&b, b"hello");
    relay.set_delay(Duration::from_millis(100));
    let begun = Instant::now();
    c.write_all(b"again").unwrap();
    c.read_exact(&mut b).unwrap();
    assert!(
        begun.elapsed() >= Duration::from_millis(200),
        "expected the delay in both directions"
    );
    relay.set_cut(true);
    assert!(matches!(c.read(&mut b), Ok(0) | Err(_)));
    relay.set_cut(false);
    relay.set_delay(Duration::ZERO);
    let mut c = TcpStream::connect(relay.address()).unwrap();
    c.write_all(b"later").unwrap();
    c.read_exact(&mut b).unwrap();
}
