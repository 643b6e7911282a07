# One server takes requests and answers none.
service(name = "hang", version = 1, seconds = 20, servers = 6)
fault("hang", at_s = 8, for_s = 5, who = 2)
