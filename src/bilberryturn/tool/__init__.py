"""Provide the command-line tool for operators."""
