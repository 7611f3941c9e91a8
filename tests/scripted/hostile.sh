# Malformed bytes on every port: counted and dropped; nothing ends, leaks or grows.
exec python3 tests/integration/hostile.py
