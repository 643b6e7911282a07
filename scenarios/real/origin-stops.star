# The origin stops for four seconds.
service(name = "origin stops", version = 1, seconds = 20, servers = 6)
fault("stop", at_s = 8, for_s = 4)
