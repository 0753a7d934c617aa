"""Directory of registered servers and entry VMs, and the messages between entry VMs.

For the users' platform; the packages `gateway` and `ranges` use it.
"""
