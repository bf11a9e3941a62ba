"""Functions that only read the state of a stand-in."""
