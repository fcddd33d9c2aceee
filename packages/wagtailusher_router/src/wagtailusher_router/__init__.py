"""The decider of one entry VM, composed of the other deciders, without sockets."""
