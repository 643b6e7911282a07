# Each site is cut off from the other's servers for 10 s, one way and then the other, while a router starts with an old list.
# ROADMAP, "Open on the bench": wide+reset+stale.
service(name = "site cut off", version = 1, seconds = 60, demand = 0.5)
fault("cut", at_s = 15, for_s = 10, who = 0, to = 1)
fault("cut", at_s = 15, for_s = 10, who = 1, to = 0)
fault("restart", at_s = 20, for_s = 2, who = 0)
variant("patient clients", try_share = 0.9)
variant("no retries", retries = 0)
