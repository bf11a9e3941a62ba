"""Adapter to the users' platform: converts its names and encodings to this project's types.

The platform's headers, paths, fields and terms are confined to this package, which makes no
decisions on calls.
"""
