"""Adapter to the users' platform: their names and encodings, turned into this project's types.

Nothing outside this package knows the platform's headers, paths, fields or words, and nothing in
it decides what happens to a call.
"""
