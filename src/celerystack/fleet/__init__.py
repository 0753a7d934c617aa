"""Registered entry VMs and backend servers, and the messages between entry VMs."""
