# One server dies and comes back cold.
service(name = "kill", version = 1, seconds = 20, servers = 6)
fault("kill", at_s = 8, for_s = 4, who = 2)
