"""Request path of an entry VM: routing, admission control, forwarding and replies."""
