"""Decisions of lavenderway: pure functions over state, events and time.

Read in this order: `events`, `effects`, `state`, `reducer`, then one module a decision:
`identification`, `entry`, `tokens`, `hosting`, `admission`, `leasing`, `gossip`,
`configuration` and `upkeep`. `assembly` puts them together.
"""
