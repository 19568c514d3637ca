"""Generation of the measured part of docs/CAPACITY.md from stored results.

The part is generated from stored results only, so that the page always agrees with them. `figures` reads
figures and tracks which of them a table row uses, `requirement` defines a row, `gateway_requirements` and
`requirements` list the rows, `failures` describes the costs of failures, `tables` formats the tables, and
`rendering` assembles the part. The texts are those of the page, in which "hollow" stands for a simulated
gateway and "reckoned" for an estimate.
"""
