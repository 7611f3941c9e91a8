# docs/PROOF.md has a row with a result for every case of the tables, and no others.
exec python3 tests/integration/proof.py --check-page
