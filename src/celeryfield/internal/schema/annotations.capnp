@0xb8c2a1f04e5d6a71;
# Annotations that tools/generate_schema.py evaluates.

annotation doc @0xf1d0d1b1a3b5c7e1 (field, struct, enum) :Text;
annotation unit @0xf1d0d1b1a3b5c7e2 (field) :Text;
annotation minimum @0xf1d0d1b1a3b5c7e3 (field) :Float64;
annotation maximum @0xf1d0d1b1a3b5c7e4 (field) :Float64;
annotation required @0xf1d0d1b1a3b5c7e5 (field) :Void;
annotation settings @0xf1d0d1b1a3b5c7e6 (file) :Void;
