"""Seeded experiments; ``run`` of each module in `__main__` returns a list of figures."""
