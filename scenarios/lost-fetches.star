# The origin takes half of the aim for each fetch, and answers of it are lost where a way is cut.
# ROADMAP, "Open on the bench": incident rbd2063.
service(name = "lost fetches", version = 1, seconds = 60, origin_work_ms = 300, origin_cores = 24, keys_per_core = 400)
fault("cut", at_s = 15, for_s = 3, who = 0, to = 0)
fault("cut", at_s = 30, for_s = 3, who = 0, to = 1)
draw("silence", number = 2, from_s = 10, to_s = 45, longest_s = 10)
variant("a quick origin", origin_work_ms = 120)
variant("told at once", news_ms = 1)
variant("all keys fit", keys_per_core = 3000)
variant("wide origin", origin_cores = 200)
