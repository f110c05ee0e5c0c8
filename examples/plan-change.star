# Plans change under load: volumes change plans, limits are lowered, raised and introduced, volumes change hosts and
# are retired, while hosts lose the state service or get its updates late, it is killed, then restored from a
# snapshot, and a host is killed. The audit checks the limit in force from the nodes' frames alone.
#
# Run it with: grebecleat scenario examples/plan-change.star

deployment(name = "plan-change")
zone(name = "room-a")
zone(name = "room-b")

stream_type(name = "slot-read", slo = ms(300), expiry = ms(1500), repeat = "repeatable", benefit = 2,
            late_part = 0.1, share = 0.6, unit_work = ms(5))
stream_type(name = "booking-write", slo = ms(400), expiry = ms(2000),
            repeat = keyed(group = "cell", remembered = ms(1500)), ordered = True, write = True, benefit = 2,
            late_part = 0.2, share = 0.4, unit_work = ms(6))

plan(name = "basic", rate = 20, reservation = 0, weight = 1, price = 0.7)
plan(name = "standard", rate = 24, reservation = 16, weight = 3)
plan(name = "priority", rate = 40, reservation = 40, weight = 6, price = 1.6)
plan(name = "capped", rate = 20, reservation = 4, limit = 16, limit_burst = 40, limit_slack = 8)

for i in range(6):
    node(id = i + 1, zone = "room-a" if i < 3 else "room-b", cores = 1, speed = 0.45, queue = 48, capacity = 75,
         pause_every = s(5), pause = ms(40))
for name in ["host-1", "host-2", "host-3"]:
    host(name = name)
plans = ["basic", "standard", "capped", "basic", "priority", "capped"]
for i in range(18):
    volume(id = 100 + i, plan = plans[i % 6], cells = [1 + i % 6, 1 + (i + 3) % 6],
           asks = 3.0 if plans[i % 6] in ["capped", "basic"] else 1.0)

node_list(lag = ms(400))
units(mean = 2, largest = 8)
legs(most = 3)
rules(drain_grace = ms(500), cold_units = 30, warm_within = s(5), further_share = 0.25, answer_margin = ms(60))
state_service(lease = s(3), margin = ms(500))

rehearsal(seed = 12, length = s(34))
load_of(retries = 1)

change(at = s(4), words = ["volume 100 plan=priority", "volume 103 plan=standard"], who = "clerk")
change(at = s(6), words = ["plan capped limit=8 burst=16 slack=4"], who = "clerk")
change(at = s(9), words = ["plan capped limit=20 burst=40 slack=8"], who = "clerk")
trouble(kind = "feed_cut", at = s(8), len = s(6), hosts = ["host-3"])
# This lowers a limit while host-3 is disconnected, so it does not complete before that host reconnects.
change(at = s(10), words = ["plan basic limit=30 burst=60 slack=10"], who = "clerk")
change(at = ms(11500), words = ["volume 102 hosts=host-1,host-2", "volume 105 hosts=host-3"], who = "other clerk")
trouble(kind = "state_crash", at = s(15), len = ms(1500))
trouble(kind = "feed_late", at = s(17), len = s(4), hosts = ["host-2"], size = 1.2)
change(at = s(18), words = ["plan capped limit=6 burst=12 slack=4"], who = "clerk")
change(at = s(19), words = ["volume 107 retire"], who = "clerk")
trouble(kind = "balancer_crash", at = s(20), len = ms(1500), hosts = ["host-1"])
change(at = s(21), words = ["volume 104 plan=basic", "volume 100 plan=basic"], who = "clerk")
trouble(kind = "state_restored", at = s(24), len = s(2))
change(at = s(25), words = ["plan capped limit=40 burst=80 slack=16"], who = "clerk")
change(at = s(31), words = ["plan capped limit=10 burst=20 slack=4"], who = "clerk")
