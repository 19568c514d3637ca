"""The measured part of docs/CAPACITY.md, made from stored results alone, so that both always agree.

`figures` reads a figure and notes which ones a row rests on, `requirement` says what a row is,
`gateway_requirements` and `requirements` have the rows, `failures` the costs of failures, `tables` the
tables, `rendering` the whole part. The texts are the page's: some of its words ("hollow" for a simulated
gateway, "reckoned" for an estimate) are those of the stored results.
"""
