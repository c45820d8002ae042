"""Adapters to the users' platform: its headers, formats and HTTP calls.

This package only translates; it makes no routing or scheduling decisions. The
platform's wire names appear in no other package.
"""
