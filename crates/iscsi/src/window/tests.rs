use super::*;

#[test]
fn commands_are_delivered_in_cmd_sn_order_whatever_order_they_arrive_in() {
    for first in [0, 1, u32::MAX - 2, u32::MAX, 0x7fff_ffff] {
        let mut window = Window::new(SerialNumber(first), 4);
        let number = |offset: u32| SerialNumber(first).plus(offset);
        assert_eq!(window.receive(number(2), 2), Arrival::Queued);
        assert_eq!(window.receive(number(4), 4), Arrival::OutsideWindow);
        assert_eq!(window.receive(number(2), 9), Arrival::Duplicate);
        assert_eq!((window.gap(), window.queued()), (Some(number(0)), 1));
        assert_eq!(window.receive(number(0), 0), Arrival::Deliver(vec![0]));
        assert_eq!(window.receive(number(0), 9), Arrival::Duplicate);
        assert_eq!(window.receive(number(1), 1), Arrival::Deliver(vec![1, 2]));
        assert_eq!(
            (window.expected(), window.capacity(), window.gap()),
            (number(3), 1, None)
        );
    }
}

#[test]
fn the_window_closes_and_opens_and_max_cmd_sn_never_decreases() {
    let mut window = Window::new(SerialNumber(u32::MAX), 2);
    assert_eq!(
        window.receive(SerialNumber(u32::MAX), ()),
        Arrival::Deliver(vec![()])
    );
    window.grant(0);
    assert_eq!(
        (window.capacity(), window.max_cmd_sn()),
        (1, SerialNumber(0)),
        "the number granted before stays valid"
    );
    assert_eq!(
        window.receive(SerialNumber(0), ()),
        Arrival::Deliver(vec![()])
    );
    window.grant(0);
    assert_eq!(
        window.capacity(),
        0,
        "a closed window: MaxCmdSN is ExpCmdSN - 1"
    );
    assert_eq!(window.receive(SerialNumber(1), ()), Arrival::OutsideWindow);
    window.grant(3);
    assert_eq!(
        (window.capacity(), window.receive(SerialNumber(1), ())),
        (3, Arrival::Deliver(vec![()]))
    );
}
