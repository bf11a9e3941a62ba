"""Functions that change the state of a stand-in."""
