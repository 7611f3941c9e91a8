# Keys are rotated in running daemons without a broken flow; other changes say what they need.
exec python3 tests/integration/reload.py
