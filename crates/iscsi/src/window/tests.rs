use super::*;

#[test]
fn commands_are_delivered_in_order_whatever_order_they_come_in() {
    for first in [0, 1, u32::MAX - 2, u32::MAX, 0x7fff_ffff] {
        let mut w = Window::new(SerialNumber(first), 4);
        let at = |n: u32| SerialNumber(first).plus(n);
        assert_eq!(w.arrive(at(2), 2), Arrived::Waits);
        assert_eq!(w.arrive(at(4), 4), Arrived::Outside);
        assert_eq!(w.arrive(at(2), 9), Arrived::Repeat);
        assert_eq!((w.gap(), w.waiting()), (Some(at(0)), 1));
        assert_eq!(w.arrive(at(0), 0), Arrived::Deliver(vec![0]));
        assert_eq!(w.arrive(at(0), 9), Arrived::Repeat);
        assert_eq!(w.arrive(at(1), 1), Arrived::Deliver(vec![1, 2]));
        assert_eq!((w.expected(), w.room(), w.gap()), (at(3), 1, None));
    }
}

#[test]
fn the_window_closes_and_opens_and_never_takes_back_what_it_granted() {
    let mut w = Window::new(SerialNumber(u32::MAX), 2);
    assert_eq!(
        w.arrive(SerialNumber(u32::MAX), ()),
        Arrived::Deliver(vec![()])
    );
    w.grant(0);
    assert_eq!((w.room(), w.most()), (1, SerialNumber(0)), "granted before");
    assert_eq!(w.arrive(SerialNumber(0), ()), Arrived::Deliver(vec![()]));
    w.grant(0);
    assert_eq!(w.room(), 0, "closed: MaxCmdSN is ExpCmdSN less one");
    assert_eq!(w.arrive(SerialNumber(1), ()), Arrived::Outside);
    w.grant(3);
    assert_eq!(
        (w.room(), w.arrive(SerialNumber(1), ())),
        (3, Arrived::Deliver(vec![()]))
    );
}
