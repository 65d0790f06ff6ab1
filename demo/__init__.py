"""Demonstration of the whole path."""
