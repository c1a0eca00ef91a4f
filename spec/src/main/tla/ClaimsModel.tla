---------------------------- MODULE ClaimsModel ----------------------------
(* Constants of small instances of Claims for the model checker. *)
EXTENDS Claims

CONSTANTS a1, a2, k1, k2, e1, e2, e3

OneKey == [e \in Entries |-> k1]

TwoKeys == [e \in Entries |-> IF e = e1 THEN k1 ELSE k2]
=============================================================================
