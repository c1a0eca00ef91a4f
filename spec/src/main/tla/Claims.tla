------------------------------- MODULE Claims -------------------------------
(* At-most-once execution of keyed requests by claims on an append-only log. *)
(*                                                                           *)
(* Each entry serves one request. An append in "flight" takes effect at any  *)
(* later time, once, twice or never, so no entry may rely on the response to *)
(* an append. An entry that pauses or fails is one that takes no further     *)
(* step. Several entries may recover the same claim concurrently.            *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Entries,        \* entries, one request each
    Agents,         \* agents, one for each upstream
    Keys,           \* idempotency keys
    KeyOf,          \* key of each entry's request
    MaxOffset,      \* maximum number of records
    MaxClaims,      \* maximum number of claims an entry makes
    MaxRestarts,    \* maximum number of agent restarts
    MaxForgets,     \* maximum number of claims that agents evict
    MaxCopies,      \* maximum number of records that are appended twice
    IncarnationCheck,   \* side that compares the incarnation of a call and the agent: "agent" or "entry"
    RememberIds,    \* whether a record with an already applied id is ignored
    Bug             \* name of a deliberate fault, or "none"

VARIABLES
    ledger,     \* state after the log: applied ids, current assignment and outcome of each key
    next,       \* offset of the next record
    flight,     \* records sent to the log that may still be appended
    copies,     \* number of records that have been appended a second time
    entry,      \* state of each entry's request
    frames,     \* claimed calls in transit to agents
    agent,      \* state of each agent
    restarts,   \* number of agent restarts
    forgets,    \* number of claims that agents have evicted
    effects,    \* number of effects for each key
    ranFor      \* entries whose request has had an effect

vars ==
    <<ledger, next, flight, copies, entry, frames, agent, restarts, forgets, effects, ranFor>>

Offsets == 1..MaxOffset
NoAssignment == [ref |-> 0]
NotSeen == [state |-> "none"]

IdleEntry ==
    [step |-> "idle", claims |-> 0, target |-> NoAssignment, wait |-> <<>>, connection |-> 0,
     answer |-> "none", value |-> "none"]

Ended(answer, value) == [IdleEntry EXCEPT !.step = "end", !.answer = answer, !.value = value]

FreshAgent(n) == [incarnation |-> n, seen |-> [o \in Offsets |-> NotSeen], forgotten |-> 0]

Init ==
    /\ ledger = [ids |-> {}, current |-> [k \in Keys |-> NoAssignment],
                 outcome |-> [k \in Keys |-> "none"]]
    /\ next = 1
    /\ flight = {}
    /\ copies = 0
    /\ entry = [e \in Entries |-> IdleEntry]
    /\ frames = {}
    /\ agent = [a \in Agents |-> FreshAgent(1)]
    /\ restarts = 0
    /\ forgets = 0
    /\ effects = [k \in Keys |-> 0]
    /\ ranFor = {}

-----------------------------------------------------------------------------
(* The log and the state machine that applies its records. *)

Assignment(r, offset, root) ==
    [ref |-> offset, root |-> root, claim |-> r.claim, id |-> r.id, agent |-> r.agent,
     incarnation |-> r.incarnation, by |-> r.by]

Releases(r, current) ==
    CASE Bug = "release_by_key" -> current.ref # 0
      [] Bug = "release_names_claim" -> current.ref # 0 /\ current.root = r.root
      [] OTHER -> current.ref = r.ref

Fold(l, r, offset) ==
    LET current == l.current[r.key] IN
    IF r.id \in l.ids /\ RememberIds THEN l
    ELSE [ids |-> l.ids \cup {r.id},
          current |->
            [l.current EXCEPT ![r.key] =
                CASE r.type = "claim" /\ (current.ref = 0 \/ Bug = "last_claim_wins") ->
                        Assignment(r, offset, offset)
                  [] r.type = "handover" /\ current.ref = r.ref ->
                        Assignment(r, offset, current.root)
                  [] r.type = "release" /\ Releases(r, current) -> NoAssignment
                  [] OTHER -> current],
          outcome |->
            IF r.type = "outcome" THEN [l.outcome EXCEPT ![r.key] = r.value] ELSE l.outcome]

Land(r) ==
    /\ r \in flight
    /\ next <= MaxOffset
    /\ ledger' = Fold(ledger, r, next)
    /\ next' = next + 1
    /\ \/ flight' = flight \ {r} /\ copies' = copies
       \/ copies < MaxCopies /\ flight' = flight /\ copies' = copies + 1
    /\ UNCHANGED <<entry, frames, agent, restarts, forgets, effects, ranFor>>

ClaimRecord(e, a) ==
    LET id == <<e, entry[e].claims + 1, "claim">> IN
    [type |-> "claim", id |-> id, claim |-> id, key |-> KeyOf[e], agent |-> a,
     incarnation |-> agent[a].incarnation, by |-> e]

HandoverRecord(e, a) ==
    LET t == entry[e].target IN
    [type |-> "handover", id |-> <<e, t.ref, "handover">>, claim |-> t.claim, key |-> KeyOf[e],
     ref |-> t.ref, agent |-> a, incarnation |-> agent[a].incarnation, by |-> e]

ReleaseRecord(e, t) ==
    [type |-> "release", id |-> <<e, t.ref, "release">>, key |-> KeyOf[e], ref |-> t.ref,
     root |-> t.root]

OutcomeRecord(e, t, v) ==
    [type |-> "outcome", id |-> <<e, t.ref, "outcome">>, key |-> KeyOf[e], value |-> v]

-----------------------------------------------------------------------------
(* An entry claims a key, sends the call and answers its caller. *)

Current(e) == ledger.current[KeyOf[e]]

Claim(e, a) ==
    /\ entry[e].step = "idle"
    /\ entry[e].claims < MaxClaims
    /\ Current(e).ref = 0
    /\ LET r == ClaimRecord(e, a) IN
        /\ flight' = flight \cup {r}
        /\ entry' = [entry EXCEPT ![e].step = "claiming", ![e].wait = r.id, ![e].claims = @ + 1,
                                  ![e].target = [ref |-> 0, agent |-> a,
                                                 incarnation |-> r.incarnation]]
    /\ UNCHANGED <<ledger, next, copies, frames, agent, restarts, forgets, effects, ranFor>>

ReadBack(e) ==
    /\ entry[e].step = "claiming"
    /\ entry[e].wait \in ledger.ids
    /\ IF Current(e).ref # 0 /\ Current(e).claim = entry[e].wait
       THEN entry' = [entry EXCEPT ![e].step = "won", ![e].target = Current(e)]
       ELSE entry' = [entry EXCEPT ![e] = [IdleEntry EXCEPT !.claims = entry[e].claims]]
    /\ UNCHANGED <<ledger, next, flight, copies, frames, agent, restarts, forgets, effects, ranFor>>

ReadHandover(e) ==
    /\ entry[e].step = "handing"
    /\ entry[e].wait \in ledger.ids
    /\ IF Current(e).ref # 0 /\ Current(e).id = entry[e].wait
       THEN entry' = [entry EXCEPT ![e].step = "won", ![e].target = Current(e)]
       ELSE entry' = [entry EXCEPT ![e] = Ended("not run", "none")]
    /\ UNCHANGED <<ledger, next, flight, copies, frames, agent, restarts, forgets, effects, ranFor>>

\* The log does not respond in time, and no call has been sent for this assignment.
GiveUp(e) ==
    /\ entry[e].step \in {"claiming", "handing"}
    /\ entry' = [entry EXCEPT ![e].step = "gave up", ![e].answer = "not run"]
    /\ UNCHANGED <<ledger, next, flight, copies, frames, agent, restarts, forgets, effects, ranFor>>

\* The record of a request that was given up becomes the current assignment.
ReleaseAfterGiveUp(e) ==
    /\ entry[e].step = "gave up"
    /\ Current(e).ref # 0
    /\ Current(e).id = entry[e].wait
    /\ IF Bug = "send_after_give_up"
       THEN /\ entry' = [entry EXCEPT ![e].step = "won", ![e].target = Current(e)]
            /\ flight' = flight
       ELSE /\ entry' = [entry EXCEPT ![e] = Ended("not run", "none")]
            /\ flight' = flight \cup {ReleaseRecord(e, Current(e))}
    /\ UNCHANGED <<ledger, next, copies, frames, agent, restarts, forgets, effects, ranFor>>

\* The deadline passes between the read-back and the first byte.
Withdraw(e) ==
    /\ entry[e].step = "won"
    /\ entry' = [entry EXCEPT ![e] = Ended("not run", "none")]
    /\ flight' = flight \cup {ReleaseRecord(e, entry[e].target)}
    /\ UNCHANGED <<ledger, next, copies, frames, agent, restarts, forgets, effects, ranFor>>

Send(e) ==
    /\ entry[e].step = "won"
    /\ LET t == entry[e].target
           c == agent[t.agent].incarnation
       IN /\ IncarnationCheck = "entry" => c = t.incarnation
          /\ frames' = frames \cup
                {[ref |-> t.ref, to |-> t.agent, incarnation |-> t.incarnation,
                  key |-> KeyOf[e], by |-> e]}
          /\ entry' = [entry EXCEPT ![e].step = "sent", ![e].connection = c]
    /\ UNCHANGED <<ledger, next, flight, copies, agent, restarts, forgets, effects, ranFor>>

Connected(e) == agent[entry[e].target.agent].incarnation = entry[e].connection
SeenState(e) == agent[entry[e].target.agent].seen[entry[e].target.ref]
FrameReceived(e) == ~ \E f \in frames : f.by = e /\ f.ref = entry[e].target.ref

ReceiveResult(e) ==
    /\ entry[e].step = "sent"
    /\ Connected(e)
    /\ SeenState(e).state = "done"
    /\ entry' = [entry EXCEPT ![e] = Ended("done", SeenState(e).key)]
    /\ flight' = flight \cup {OutcomeRecord(e, entry[e].target, SeenState(e).key)}
    /\ UNCHANGED <<ledger, next, copies, frames, agent, restarts, forgets, effects, ranFor>>

Refused(e) ==
    /\ entry[e].step = "sent"
    /\ Connected(e)
    /\ FrameReceived(e)
    /\ SeenState(e).state \in {"refused", "fenced"}

AnswerNotRun(e) ==
    /\ Refused(e)
    /\ entry' = [entry EXCEPT ![e] = Ended("not run", "none")]
    /\ flight' = flight \cup {ReleaseRecord(e, entry[e].target)}
    /\ UNCHANGED <<ledger, next, copies, frames, agent, restarts, forgets, effects, ranFor>>

HandOver(e, a) ==
    /\ \/ Refused(e)
       \/ Bug = "handover_after_break" /\ entry[e].step = "sent"
    /\ a # entry[e].target.agent
    /\ entry[e].target.ref = entry[e].target.root   \* at most one handover a claim
    /\ LET r == HandoverRecord(e, a) IN
        /\ flight' = flight \cup {r}
        /\ entry' = [entry EXCEPT ![e].step = "handing", ![e].wait = r.id]
    /\ UNCHANGED <<ledger, next, copies, frames, agent, restarts, forgets, effects, ranFor>>

\* The connection is lost or the result is late; the frame may still arrive.
Break(e) ==
    /\ entry[e].step = "sent"
    /\ entry' = [entry EXCEPT ![e] =
           Ended(IF Bug = "not_run_after_break" THEN "not run" ELSE "unknown", "none")]
    /\ UNCHANGED <<ledger, next, flight, copies, frames, agent, restarts, forgets, effects, ranFor>>

-----------------------------------------------------------------------------
(* An entry finds the claim of another entry. *)

AnswerFromLedger(e) ==
    /\ entry[e].step = "idle"
    /\ Current(e).ref # 0
    /\ IF ledger.outcome[KeyOf[e]] # "none"
       THEN entry' = [entry EXCEPT ![e] = Ended("done", ledger.outcome[KeyOf[e]])]
       ELSE entry' = [entry EXCEPT ![e] = Ended("unknown", "none")]
    /\ UNCHANGED <<ledger, next, flight, copies, frames, agent, restarts, forgets, effects, ranFor>>

StartRecovery(e) ==
    /\ entry[e].step = "idle"
    /\ Current(e).ref # 0
    /\ Current(e).by # e
    /\ ledger.outcome[KeyOf[e]] = "none"
    /\ entry' = [entry EXCEPT ![e].step = "asking", ![e].target = Current(e)]
    /\ UNCHANGED <<ledger, next, flight, copies, frames, agent, restarts, forgets, effects, ranFor>>

\* What the agent reports about an assignment.
Vouch(t) ==
    LET a == agent[t.agent] IN
    CASE a.incarnation # t.incarnation /\ Bug # "vouch_after_restart" -> "unknown"
      [] a.seen[t.ref].state # "none" -> a.seen[t.ref].state
      [] t.ref <= a.forgotten /\ Bug # "forget_without_mark" -> "unknown"
      [] OTHER -> "never seen"

ReplayKey(t) ==
    IF Bug = "replay_any_outcome"
    THEN {agent[t.agent].seen[o].key :
               o \in {p \in Offsets : agent[t.agent].seen[p].state = "done"}}
    ELSE {agent[t.agent].seen[t.ref].key}

AskDone(e) ==
    /\ entry[e].step = "asking"
    /\ Vouch(entry[e].target) = "done"
    /\ \E k \in ReplayKey(entry[e].target) :
        /\ entry' = [entry EXCEPT ![e] = Ended("done", k)]
        /\ flight' = flight \cup {OutcomeRecord(e, entry[e].target, k)}
    /\ UNCHANGED <<ledger, next, copies, frames, agent, restarts, forgets, effects, ranFor>>

AskUnknown(e) ==
    /\ entry[e].step = "asking"
    /\ Vouch(entry[e].target) \in {"unknown", "running"}
    /\ entry' = [entry EXCEPT ![e] = Ended("unknown", "none")]
    /\ UNCHANGED <<ledger, next, flight, copies, frames, agent, restarts, forgets, effects, ranFor>>

AskNotRun(e) ==
    /\ entry[e].step = "asking"
    /\ Vouch(entry[e].target) \in {"never seen", "refused", "fenced"}
    /\ LET t == entry[e].target
           fenced == [state |-> "fenced", key |-> KeyOf[e]]
           r == ReleaseRecord(e, t)
       IN /\ agent' = IF Vouch(t) = "never seen" /\ Bug # "no_fence"
                      THEN [agent EXCEPT ![t.agent].seen[t.ref] = fenced]
                      ELSE agent
          /\ flight' = flight \cup {r}
          /\ entry' = [entry EXCEPT ![e].step = "releasing", ![e].wait = r.id]
    /\ UNCHANGED <<ledger, next, copies, frames, restarts, forgets, effects, ranFor>>

ReadRelease(e) ==
    /\ entry[e].step = "releasing"
    /\ entry[e].wait \in ledger.ids
    /\ entry' = [entry EXCEPT ![e] = [IdleEntry EXCEPT !.claims = entry[e].claims]]
    /\ UNCHANGED <<ledger, next, flight, copies, frames, agent, restarts, forgets, effects, ranFor>>

-----------------------------------------------------------------------------
(* Agents. *)

Acceptable(f) ==
    LET a == agent[f.to] IN
    /\ \/ f.incarnation = a.incarnation
       \/ IncarnationCheck = "entry"
       \/ Bug = "no_incarnation_check"
    /\ a.seen[f.ref].state = "none"
    /\ f.ref > a.forgotten \/ Bug = "forget_without_mark"

Receive(f) ==
    /\ f \in frames
    /\ frames' = frames \ {f}
    /\ LET s == agent[f.to].seen[f.ref].state
           Put(state) == [agent EXCEPT ![f.to].seen[f.ref] =
                             [state |-> state, key |-> f.key, by |-> f.by]]
       IN IF Acceptable(f) THEN agent' = Put("running") \/ agent' = Put("refused")
          ELSE IF s = "none" /\ f.ref > agent[f.to].forgotten THEN agent' = Put("refused")
          ELSE agent' = agent
    /\ UNCHANGED <<ledger, next, flight, copies, entry, restarts, forgets, effects, ranFor>>

Run(a, o) ==
    /\ agent[a].seen[o].state = "running"
    /\ agent' = [agent EXCEPT ![a].seen[o].state = "done"]
    /\ effects' = [effects EXCEPT ![agent[a].seen[o].key] = @ + 1]
    /\ ranFor' = ranFor \cup {agent[a].seen[o].by}
    /\ UNCHANGED <<ledger, next, flight, copies, entry, frames, restarts, forgets>>

Forget(a, o) ==
    /\ forgets < MaxForgets
    /\ forgets' = forgets + 1
    /\ agent[a].seen[o].state \in {"done", "fenced"}
    /\ agent' = [agent EXCEPT ![a].seen[o] = NotSeen,
                              ![a].forgotten = IF o > @ THEN o ELSE @]
    /\ UNCHANGED <<ledger, next, flight, copies, entry, frames, restarts, effects, ranFor>>

Restart(a) ==
    /\ restarts < MaxRestarts
    /\ restarts' = restarts + 1
    /\ agent' = [agent EXCEPT ![a] = FreshAgent(agent[a].incarnation + 1)]
    /\ frames' = {f \in frames : f.to # a}    \* its connections are lost
    /\ UNCHANGED <<ledger, next, flight, copies, entry, forgets, effects, ranFor>>

-----------------------------------------------------------------------------

EntryStep(e) ==
    \/ \E a \in Agents : Claim(e, a) \/ HandOver(e, a)
    \/ ReadBack(e) \/ ReadHandover(e) \/ GiveUp(e) \/ ReleaseAfterGiveUp(e) \/ Withdraw(e)
    \/ Send(e) \/ ReceiveResult(e) \/ AnswerNotRun(e) \/ Break(e)
    \/ AnswerFromLedger(e) \/ StartRecovery(e)
    \/ AskDone(e) \/ AskUnknown(e) \/ AskNotRun(e) \/ ReadRelease(e)

AgentStep(a) == Restart(a) \/ \E o \in Offsets : Run(a, o) \/ Forget(a, o)

Next ==
    \/ \E r \in flight : Land(r)
    \/ \E f \in frames : Receive(f)
    \/ \E e \in Entries : EntryStep(e)
    \/ \E a \in Agents : AgentStep(a)

Spec == Init /\ [][Next]_vars

Symmetry == Permutations(Entries) \cup Permutations(Agents)
AgentSymmetry == Permutations(Agents)

-----------------------------------------------------------------------------
(* Invariants. *)

AtMostOnce == \A k \in Keys : effects[k] <= 1

TrueNotRun == \A e \in Entries : entry[e].answer = "not run" => e \notin ranFor

NoWrongReplay ==
    \A e \in Entries :
        entry[e].answer = "done" => entry[e].value = KeyOf[e] /\ effects[KeyOf[e]] = 1

(* Witnesses: TLC must find each one violated, which shows that the case is reachable. *)

NeverRunsAfterRelease ==
    \A e \in ranFor : \A f \in Entries \ {e} :
        ~(KeyOf[e] = KeyOf[f] /\ entry[f].step = "sent")

NeverHandedOver ==
    \A e \in Entries : ~(entry[e].step = "sent" /\ entry[e].target.ref # entry[e].target.root)

NeverRecoversOutcome ==
    \A e \in Entries : ~(entry[e].answer = "done" /\ e \notin ranFor)
=============================================================================
