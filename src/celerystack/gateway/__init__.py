"""Request path of an entry VM: routes, admission, forwarding and answers."""
