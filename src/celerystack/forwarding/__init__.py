"""Queue owners: for each server one entry VM owns its queue, and the others forward calls to it."""
