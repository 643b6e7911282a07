# Found by search after 184 runs: rule 4 at 41542.7 ms, event 54564: a cold server was pushed over (fell request 0, router -1, server 3, attempt 0).
# Play it with --from 7511930038870345484 --seeds 1.
service(name = "found 1", version = 1, seconds = 43, servers = 9, routers = 3, demand = 0.6014089172180539, swing = 0.25, cold_from = 0.3, cold_ms = 8100, origin_cores = 6)
fault("kill", at_s = 15, for_s = 12, who = 2, to = 0)
fault("kill", at_s = 15, for_s = 12, who = 5, to = 0)
fault("stop", at_s = 30.481869921143733, for_s = 12.7095709773783, who = 0, to = 0)
fault("drain", at_s = 35.00584019275439, for_s = 1.5455596206481783, who = 3, to = 0)
