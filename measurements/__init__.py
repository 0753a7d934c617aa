"""Seeded experiments; each module's ``run`` returns a list of figures."""
