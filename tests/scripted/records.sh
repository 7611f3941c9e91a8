# The checkers of callers and targets notice every broken promise.
exec python3 tests/integration/check_records.py
