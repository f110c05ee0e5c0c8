# Faults under iSCSI load: several sessions write and read through a portal while nodes return errors at once, lose
# responses, hang and restart, and the host itself is killed and restarted.
#
# Run it with: grebecleat scenario examples/iscsi-path.star

deployment(name = "iscsi-path")
zone(name = "a")
zone(name = "b")

stream_type(name = "read", slo = ms(300), expiry = ms(1500), repeat = "repeatable", benefit = 2, share = 0.6,
            unit_work = ms(2))
stream_type(name = "write", slo = ms(400), expiry = ms(2000), repeat = "repeatable", ordered = True,
            write = True, benefit = 2, share = 0.4, unit_work = ms(2))

plan(name = "standard", rate = 100, reservation = 60)
plan(name = "priority", rate = 160, reservation = 160, weight = 3, price = 1.4)

for i in range(6):
    node(id = i + 1, zone = "a" if i < 3 else "b", cores = 3, queue = 64, pause_every = s(4), pause = ms(40))
for name in ["host-1", "host-2"]:
    host(name = name)
for i in range(4):
    volume(id = 200 + i, plan = "priority" if i % 2 else "standard", blocks = 65536,
           hosts = ["host-1"], asks = 0.1)
volume(id = 300, plan = "standard", hosts = ["host-2"], asks = 0.5)

node_list(lag = ms(700), fails = 0.1)
units(mean = 2, largest = 8)
rules(drain_grace = ms(500), cold_units = 40, cold_from = 0.25, warm_within = s(5), answer_margin = ms(60))

portal(listen = "127.0.0.1:3260", host = "host-1", read = "read", write = "write", large_read = "read")
target(name = "iqn.2026-12.org.example:bookings", volumes = [200, 201], chap_name = "clerk",
       chap_secret = "a secret of sixteen")
target(name = "iqn.2026-12.org.example:paperwork", volumes = [202, 203])

rehearsal(seed = 11, length = s(16))
load_of(retries = 1, sessions = 5)

trouble(kind = "fast_errors", at = s(2), len = s(4), part = 0.3, size = 0.9)
trouble(kind = "answer_lost", at = s(4), len = s(3), part = 0.3, size = 0.5)
trouble(kind = "hang", at = s(6), len = s(2), part = 0.2)
trouble(kind = "mass_restart", at = s(8), zone = "b", part = 0.4)
trouble(kind = "balancer_crash", at = s(11), len = ms(1200), hosts = ["host-1"])
