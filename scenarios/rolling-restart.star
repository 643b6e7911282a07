# Every server drains in turn and comes back cold, as when a new version is rolled out.
service(name = "rolling restart", version = 1, seconds = 100, demand = 0.45)
for i in range(10):
    fault("drain", at_s = 8 + 9 * i, for_s = 5, who = i)
variant("twice as fast", cold_ms = 4000)
variant("a busy fleet", demand = 0.65)
