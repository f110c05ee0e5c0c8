# Many faults at a small site: all nodes of a zone restart while the endpoint list is stale, nodes return errors at
# once, responses get lost, a host is killed and another is stopped, and a few volumes far exceed their share.
#
# Run it with: grebecleat scenario examples/bad-day.star

deployment(name = "bad-day")

for z in ["room-a", "room-b", "room-c"]:
    zone(name = z)

stream_type(name = "slot-read", slo = ms(300), expiry = ms(1500), repeat = "repeatable", benefit = 2,
            late_part = 0.1, share = 0.5, unit_work = ms(5))
stream_type(name = "booking-write", slo = ms(400), expiry = ms(2000),
            repeat = keyed(group = "cell", remembered = ms(1500)), ordered = True, write = True, benefit = 2,
            late_part = 0.2, share = 0.25, unit_work = ms(6))
stream_type(name = "ledger-write", slo = ms(400), expiry = ms(2000), repeat = "unrepeatable", write = True,
            benefit = 3, late_part = 0.2, share = 0.1, unit_work = ms(6))
stream_type(name = "drive-export", slo = ms(1000), expiry = ms(3000), repeat = "repeatable", benefit = 1,
            late_part = 0.2, share = 0.15, unit_work = ms(8))

plan(name = "basic", rate = 12, reservation = 0, weight = 1, price = 0.7)
plan(name = "standard", rate = 24, reservation = 20, weight = 3, price = 0.9)
plan(name = "priority", rate = 36, reservation = 36, weight = 3, price = 1.4)
plan(name = "capped", rate = 12, reservation = 6, limit = 14, limit_burst = 80, limit_slack = 6)

for i in range(9):
    node(id = i + 1, zone = ["room-a", "room-b", "room-c"][i % 3], cores = 2 + i % 2,
         speed = 0.8 + 0.05 * (i % 5), queue = 48, pause_every = s(5), pause = ms(60), put_off = 0.3)

for name in ["host-1", "host-2", "host-3"]:
    host(name = name)

plans = ["basic", "standard", "basic", "priority", "standard", "capped"]
for i in range(30):
    volume(id = 100 + i, plan = plans[i % 6], cells = [1 + i % 9, 1 + (i + 4) % 9],
           asks = 2.0 if i % 7 == 0 else 0.9)

node_list(lag = ms(900), fails = 0.1)
units(mean = 2, largest = 8)
legs(most = 3)
rules(drain_grace = ms(500), cold_units = 30, cold_from = 0.25, warm_within = s(6), fall_multiple = 3,
      further_share = 0.25, further_floor = 3, key_rest = ms(200), answer_margin = ms(40))

rehearsal(seed = 20, length = s(24))
load_of(retries = 1)

trouble(kind = "fast_errors", at = s(3), len = s(5), part = 0.2, size = 0.8)
trouble(kind = "hot_key", at = s(5), len = s(6), part = 0.3, size = 6)
trouble(kind = "discovery_stale", at = s(6), len = s(8), size = 3)
trouble(kind = "mass_restart", at = s(8), zone = "room-b", part = 1.0)
trouble(kind = "answer_lost", at = s(9), len = s(4), part = 0.25, size = 0.6)
trouble(kind = "balancer_crash", at = s(12), len = ms(1500), hosts = ["host-2"])
trouble(kind = "balancer_stall", at = s(15), len = ms(1800), hosts = ["host-3"])
trouble(kind = "hang", at = s(16), len = s(3), part = 0.12)
trouble(kind = "drain", at = s(18), len = s(4), nodes = [5])
