# Eight hosts exchange their observations of nodes and quota leases while they are partitioned: into two halves, one
# host alone at the interval of the leases, and in one direction only. One host is stopped for longer than its leases
# last, one is killed and restarted, two cannot reach nodes that the others reach, and a node hangs for all hosts.
# The audit checks the limits over all hosts from the nodes' frames alone.
#
# Run it with: grebecleat scenario examples/halves.star

deployment(name = "halves")
zone(name = "room-a")
zone(name = "room-b")

stream_type(name = "slot-read", slo = ms(300), expiry = ms(1500), repeat = "repeatable", benefit = 2,
            late_part = 0.1, share = 0.6, unit_work = ms(3))
stream_type(name = "booking-write", slo = ms(400), expiry = ms(2000),
            repeat = keyed(group = "cell", remembered = ms(1500)), ordered = True, write = True, benefit = 2,
            late_part = 0.2, share = 0.4, unit_work = ms(3))

plan(name = "basic", rate = 20, weight = 1, price = 0.7)
plan(name = "priority", rate = 30, reservation = 30, weight = 6, price = 1.6)
plan(name = "capped", rate = 40, reservation = 8, limit = 32, limit_burst = 96, limit_slack = 16)

for i in range(8):
    node(id = i + 1, zone = "room-a" if i < 4 else "room-b", cores = 2, queue = 48)
names = ["host-%d" % (i + 1) for i in range(8)]
for name in names:
    host(name = name)
plans = ["basic", "priority", "capped"]
for i in range(15):
    volume(id = 100 + i, plan = plans[i % 3], cells = [1 + i % 8, 1 + (i + 3) % 8],
           asks = 3.0 if plans[i % 3] == "capped" else 1.0)

node_list(lag = ms(400))
units(mean = 2, largest = 8)
legs(most = 3)
rules(drain_grace = ms(500), cold_units = 30, warm_within = s(4), further_share = 0.25, answer_margin = ms(60))
fleet(every = ms(200), loan = s(2), margin = ms(250))

rehearsal(seed = 3, length = s(24))
load_of(retries = 1)

# Partitions the hosts into two halves.
trouble(kind = "host_cut", at = s(3), len = s(3), hosts = names[:4])
# Partitions one host alone, twice, at the interval of the quota leases.
trouble(kind = "host_cut", at = s(7), len = s(2), hosts = ["host-2"])
trouble(kind = "host_cut", at = s(11), len = s(2), hosts = ["host-2"])
# Partitions a host in one direction: it receives nothing from the others.
trouble(kind = "host_deaf", at = s(8), len = s(4), hosts = ["host-7"])
# Stops a host for longer than its quota leases last.
trouble(kind = "balancer_stall", at = s(9), len = s(4), hosts = ["host-5"])
trouble(kind = "balancer_crash", at = s(12), len = ms(1500), hosts = ["host-3"])
# Two hosts cannot reach nodes that the others reach; later a node hangs for all hosts and recovers.
trouble(kind = "way_cut", at = s(14), len = s(3), hosts = ["host-1", "host-6"], nodes = [2, 5])
trouble(kind = "hang", at = s(18), len = s(3), nodes = [7])
