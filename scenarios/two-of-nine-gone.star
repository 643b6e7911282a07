# Two of nine servers go at once and come back cold, and the origin is at its limit meanwhile.
# ROADMAP, "Open on the bench": fleet+brisk, seed 101990450591.
service(name = "two of nine gone", version = 1, seconds = 60, servers = 9, demand = 0.6, origin_cores = 6)
for who in [2, 5]:
    fault("kill", at_s = 15, for_s = 12, who = who)
variant("told at once", news_ms = 1)
variant("a wider origin", origin_cores = 12)
variant("a calm load", demand = 0.4)
