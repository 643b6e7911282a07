# Found by search after 322 runs: rule 4 at 69719.1 ms, event 93762: a cold server was pushed over (fell request 0, router -1, server 7, attempt 0).
# Play it with --from 15400853298462911872 --seeds 1.
service(name = "found 4", version = 1, seconds = 71, servers = 10, routers = 3, demand = 0.6588562243186888, swing = 0.25, cold_from = 0.3, cold_ms = 8100, origin_cores = 8)
fault("drain", at_s = 62, for_s = 5, who = 6, to = 0)
fault("stop", at_s = 56.61571888835662, for_s = 12.7095709773783, who = 0, to = 0)
fault("restart", at_s = 16.474276078537187, for_s = 11.427842572048272, who = 1, to = 0)
fault("stop", at_s = 38.74052625910942, for_s = 0.5770374606981166, who = 0, to = 0)
fault("drain", at_s = 49.64191388877069, for_s = 14.651433288657136, who = 7, to = 0)
