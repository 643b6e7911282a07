# A day of a large vessel: the load swells to the fleet's capacity, a fifth of the servers die, one falls silent, one hangs, and routers are
# restarted in a wave. BRIEF, "Incident record".
service(name = "vessel day", version = 1, seconds = 90, demand = 0.7, swing = 0.3, wave_ms = 60000)
draw("kill", number = 2, from_s = 20, to_s = 25, longest_s = 22)
draw("silence", number = 1, from_s = 30, to_s = 60, longest_s = 27)
draw("hang", number = 1, from_s = 30, to_s = 70, longest_s = 18)
for i in range(3):
    fault("restart", at_s = 40 + 8 * i, for_s = 3, who = i)
variant("as many servers again", servers = 20, demand = 0.35)
variant("impatient clients", backoff_ms = 0)
