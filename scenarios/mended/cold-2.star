# Found by search after 287 runs: rule 4 at 71604.7 ms, event 87162: a cold server was pushed over (fell request 0, router -1, server 6, attempt 0).
# Play it with --from 4294012145263501422 --seeds 1.
service(name = "found 3", version = 1, seconds = 73, servers = 10, routers = 3, demand = 0.5625809260490079, swing = 0.25, cold_from = 0.3, cold_ms = 8100, origin_cores = 8)
fault("drain", at_s = 17, for_s = 5, who = 1, to = 0)
fault("drain", at_s = 27.20275014281908, for_s = 5, who = 2, to = 0)
fault("drain", at_s = 44, for_s = 5, who = 4, to = 0)
fault("drain", at_s = 53, for_s = 5, who = 5, to = 0)
fault("drain", at_s = 62, for_s = 5, who = 6, to = 0)
fault("stop", at_s = 63.48249828550464, for_s = 5.730789819575022, who = 0, to = 0)
fault("kill", at_s = 51.03599051136809, for_s = 12.47003011865337, who = 7, to = 0)
