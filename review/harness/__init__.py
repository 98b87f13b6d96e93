"""Processes, stand-ins and records that the scripts of the review share."""

from __future__ import annotations
