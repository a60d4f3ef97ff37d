"""Core logic of lavenderway, free of input and output.

Event handlers change the state of a node and return effects; time and randomness are
inputs. `events`, `effects`, `state` and `reducer` define the structure. The other
modules implement the functions of the node, such as `identification`, `entry`,
`tokens`, `hosting`, `admission`, `leasing`, `gossip`, `configuration` and
`maintenance`. `assembly` imports all handlers.
"""
