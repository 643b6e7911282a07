# One server says nothing any more, and comes back cold.
service(name = "silence", version = 1, seconds = 20, servers = 6)
fault("silence", at_s = 8, for_s = 5, who = 2)
