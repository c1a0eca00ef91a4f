-------------------------------- MODULE Jobs --------------------------------
(* Jobs on an append-only log: leases fenced by offset, and one stage with   *)
(* an effect that runs under a claim.                                        *)
(*                                                                           *)
(* The log assigns its time to records; a "take" record is applied only if   *)
(* the previous lease has expired by that time. A holder that pauses or      *)
(* fails is one that takes no further step. Claims follow Claims.tla,        *)
(* reduced to one agent: the first claim of a job wins, and a frame carries  *)
(* the incarnation of the agent.                                             *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Jobs,           \* jobs
    Entries,        \* entries
    MaxRecords,     \* maximum number of records in the log
    MaxTime,        \* maximum time of the log
    Lease,          \* duration of a lease in the time of the log
    MaxRestarts,    \* maximum number of agent restarts
    Bug             \* name of a deliberate fault, or "none"

VARIABLES
    jobs,       \* state of each job after the log
    next,       \* offset of the next record
    now,        \* time of the log
    flight,     \* records that may still be appended
    told,       \* jobs whose caller was told "accepted"
    holder,     \* progress of each entry with each job
    frames,     \* claimed calls in transit to the agent
    agent,      \* incarnation of the agent, the claims it has run and those it has fenced
    effects,    \* number of effects of each job
    finishes    \* applied "finish" records of each job, with their fence and that of the job

vars == <<jobs, next, now, flight, told, holder, frames, agent, effects, finishes>>

NoJob ==
    [state |-> "none", fence |-> 0, expires |-> 0, claim |-> 0, claimIncarnation |-> 0,
     outcome |-> FALSE]

Idle == [step |-> "idle", fence |-> 0, claim |-> 0, incarnation |-> 0]

Init ==
    /\ jobs = [j \in Jobs |-> NoJob]
    /\ next = 1
    /\ now = 0
    /\ flight = {}
    /\ told = {}
    /\ holder = [e \in Entries |-> [j \in Jobs |-> Idle]]
    /\ frames = {}
    /\ agent = [incarnation |-> 1, seen |-> {}, fenced |-> {}]
    /\ effects = [j \in Jobs |-> 0]
    /\ finishes = [j \in Jobs |-> {}]

-----------------------------------------------------------------------------
(* The log and the state machine that applies its records. *)

Open(s) == s.state \in {"accepted", "taken", "held"}

CurrentHolder(s, r) == s.state = "taken" /\ (s.fence = r.fence \/ Bug = "no_fencing")

FoldTake(s, r, offset, time) ==
    IF \/ s.state = "accepted"
       \/ s.state = "taken" /\ (time >= s.expires \/ Bug = "take_before_expiry")
    THEN [s EXCEPT !.state = "taken", !.fence = offset, !.expires = time + Lease]
    ELSE s

FoldFinish(s, r) ==
    IF CurrentHolder(s, r) \/ (Bug = "finish_twice" /\ s.state = "finished")
    THEN [s EXCEPT !.state = "finished"]
    ELSE s

FoldSettle(s, r) ==
    IF s.state # "held" \/ s.claim # r.ref THEN s
    ELSE IF r.done THEN [s EXCEPT !.state = "finished", !.outcome = TRUE]
    ELSE [s EXCEPT !.state = "accepted", !.claim = 0]

Fold(s, r, offset, time) ==
    CASE r.type = "accept" -> IF s.state = "none" THEN [s EXCEPT !.state = "accepted"] ELSE s
      [] r.type = "take" -> FoldTake(s, r, offset, time)
      [] r.type = "renew" ->
            IF CurrentHolder(s, r) THEN [s EXCEPT !.expires = time + Lease] ELSE s
      [] r.type = "claim" ->
            IF s.claim = 0 /\ Open(s)
            THEN [s EXCEPT !.claim = offset, !.claimIncarnation = r.incarnation]
            ELSE s
      [] r.type = "release" -> IF s.claim = r.ref THEN [s EXCEPT !.claim = 0] ELSE s
      [] r.type = "outcome" -> IF s.claim = r.ref THEN [s EXCEPT !.outcome = TRUE] ELSE s
      [] r.type = "hold" -> IF CurrentHolder(s, r) THEN [s EXCEPT !.state = "held"] ELSE s
      [] r.type = "settle" -> FoldSettle(s, r)
      [] OTHER -> FoldFinish(s, r)

Finished(s) == s.state = "finished"

Land(r) ==
    /\ r \in flight
    /\ next <= MaxRecords
    /\ LET before == jobs[r.job]
           after == Fold(before, r, next, now)
       IN /\ jobs' = [jobs EXCEPT ![r.job] = after]
          /\ finishes' = IF r.type = "finish"
                            /\ (CurrentHolder(before, r) \/ Bug = "finish_twice")
                            /\ Finished(after)
                         THEN [finishes EXCEPT ![r.job] =
                                @ \cup {[offset |-> next, by |-> r.fence, fence |-> before.fence]}]
                         ELSE finishes
    /\ next' = next + 1
    /\ flight' = flight \ {r}
    /\ holder' =
        [e \in Entries |->
            [j \in Jobs |->
                IF j = r.job /\ holder[e][j].step = "taking" /\ r.type = "take" /\ r.by = e
                THEN IF jobs'[j].fence = next
                     THEN [Idle EXCEPT !.step = "holding", !.fence = next]
                     ELSE Idle
                ELSE IF /\ j = r.job /\ r.type = "claim" /\ r.by = e
                        /\ holder[e][j].step = "claiming"
                THEN IF jobs'[j].claim = next
                     THEN [holder[e][j] EXCEPT !.step = "claimed", !.claim = next,
                                               !.incarnation = r.incarnation]
                     ELSE [holder[e][j] EXCEPT !.step = "holding"]
                ELSE holder[e][j]]]
    /\ UNCHANGED <<now, told, frames, agent, effects>>

\* An entry sends a record only after its previous record has been read back.
Publish(r) == flight' = flight \cup {r}

Tick ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ UNCHANGED <<jobs, next, flight, told, holder, frames, agent, effects, finishes>>

-----------------------------------------------------------------------------
(* Callers and holders. *)

Accept(j) ==
    /\ jobs[j].state = "none"
    /\ Publish([type |-> "accept", job |-> j])
    /\ told' = IF Bug = "accept_before_read_back" THEN told \cup {j} ELSE told
    /\ UNCHANGED <<jobs, next, now, holder, frames, agent, effects, finishes>>

TellAccepted(j) ==
    /\ jobs[j].state # "none"
    /\ told' = told \cup {j}
    /\ UNCHANGED <<jobs, next, now, flight, holder, frames, agent, effects, finishes>>

Step(e, j, step) == holder' = [holder EXCEPT ![e][j].step = step]
Fence(e, j) == holder[e][j].fence

\* The clock of a holder may lag, so an entry may try to take a job at any time.
TakeJob(e, j) ==
    /\ \/ holder[e][j].step = "idle" /\ jobs[j].state \in {"accepted", "taken"}
       \/ holder[e][j].step = "finishing" /\ jobs[j].state = "accepted"
    /\ Publish([type |-> "take", job |-> j, by |-> e])
    /\ Step(e, j, "taking")
    /\ UNCHANGED <<jobs, next, now, told, frames, agent, effects, finishes>>

Renew(e, j) ==
    /\ holder[e][j].step = "holding"
    /\ Publish([type |-> "renew", job |-> j, fence |-> Fence(e, j)])
    /\ UNCHANGED <<jobs, next, now, told, holder, frames, agent, effects, finishes>>

ClaimStage(e, j) ==
    /\ holder[e][j].step = "holding"
    /\ jobs[j].claim = 0
    /\ IF Bug = "run_without_claim"
       THEN /\ flight' = flight
            /\ holder' = [holder EXCEPT ![e][j].step = "claimed", ![e][j].claim = Fence(e, j),
                                        ![e][j].incarnation = agent.incarnation]
       ELSE /\ Publish([type |-> "claim", job |-> j, by |-> e, incarnation |-> agent.incarnation])
            /\ Step(e, j, "claiming")
    /\ UNCHANGED <<jobs, next, now, told, frames, agent, effects, finishes>>

SendStage(e, j) ==
    /\ holder[e][j].step = "claimed"
    /\ frames' = frames \cup
        {[job |-> j, ref |-> holder[e][j].claim, incarnation |-> holder[e][j].incarnation]}
    /\ Step(e, j, "sent")
    /\ UNCHANGED <<jobs, next, now, flight, told, agent, effects, finishes>>

ReceiveResult(e, j) ==
    /\ holder[e][j].step = "sent"
    /\ holder[e][j].claim \in agent.seen
    /\ flight' = flight \cup
        {[type |-> "outcome", job |-> j, ref |-> holder[e][j].claim],
         [type |-> "finish", job |-> j, fence |-> Fence(e, j)]}
    /\ Step(e, j, "finishing")
    /\ UNCHANGED <<jobs, next, now, told, frames, agent, effects, finishes>>

\* A later holder finds a claim of a previous holder.
RecoverOutcome(e, j) ==
    /\ holder[e][j].step = "holding"
    /\ jobs[j].claim # 0
    /\ jobs[j].outcome \/ jobs[j].claim \in agent.seen
    /\ Publish([type |-> "finish", job |-> j, fence |-> Fence(e, j)])
    /\ Step(e, j, "finishing")
    /\ UNCHANGED <<jobs, next, now, told, frames, agent, effects, finishes>>

RecoverNotRun(e, j) ==
    /\ holder[e][j].step = "holding"
    /\ jobs[j].claim # 0
    /\ ~jobs[j].outcome
    /\ jobs[j].claimIncarnation = agent.incarnation
    /\ jobs[j].claim \notin agent.seen
    /\ agent' = [agent EXCEPT !.fenced = @ \cup {jobs[j].claim}]
    /\ Publish([type |-> "release", job |-> j, ref |-> jobs[j].claim])
    /\ UNCHANGED <<jobs, next, now, told, holder, frames, effects, finishes>>

RecoverUnknown(e, j) ==
    /\ holder[e][j].step = "holding"
    /\ jobs[j].claim # 0
    /\ ~jobs[j].outcome
    /\ jobs[j].claim \notin agent.seen
    /\ jobs[j].claimIncarnation # agent.incarnation
    /\ Publish([type |-> IF Bug = "drop_unknown" THEN "finish" ELSE "hold", job |-> j,
               fence |-> Fence(e, j)])
    /\ Step(e, j, "finishing")
    /\ UNCHANGED <<jobs, next, now, told, frames, agent, effects, finishes>>

\* The agent cannot be reached.
HoldCutOff(e, j) ==
    /\ holder[e][j].step = "holding"
    /\ jobs[j].claim # 0
    /\ ~jobs[j].outcome
    /\ Publish([type |-> "hold", job |-> j, fence |-> Fence(e, j)])
    /\ Step(e, j, "finishing")
    /\ UNCHANGED <<jobs, next, now, told, frames, agent, effects, finishes>>

\* The operator checks the upstream. A job may run again only if the incarnation of its claim has
\* ended.
Settle(j) ==
    /\ jobs[j].state = "held"
    /\ IF effects[j] > 0
       THEN Publish([type |-> "settle", job |-> j, ref |-> jobs[j].claim, done |-> TRUE])
       ELSE /\ jobs[j].claimIncarnation # agent.incarnation \/ Bug = "settle_early"
            /\ Publish([type |-> "settle", job |-> j, ref |-> jobs[j].claim, done |-> FALSE])
    /\ UNCHANGED <<jobs, next, now, told, holder, frames, agent, effects, finishes>>

-----------------------------------------------------------------------------
(* The agent. *)

Receive(f) ==
    /\ f \in frames
    /\ frames' = frames \ {f}
    /\ IF f.incarnation = agent.incarnation /\ f.ref \notin agent.seen \cup agent.fenced
       THEN /\ agent' = [agent EXCEPT !.seen = @ \cup {f.ref}]
            /\ effects' = [effects EXCEPT ![f.job] = @ + 1]
       ELSE UNCHANGED <<agent, effects>>
    /\ UNCHANGED <<jobs, next, now, flight, told, holder, finishes>>

Restart ==
    /\ agent.incarnation <= MaxRestarts
    /\ agent' = [incarnation |-> agent.incarnation + 1, seen |-> {}, fenced |-> {}]
    /\ frames' = {}
    /\ UNCHANGED <<jobs, next, now, flight, told, holder, effects, finishes>>

-----------------------------------------------------------------------------

HolderStep(e, j) ==
    \/ TakeJob(e, j) \/ Renew(e, j) \/ ClaimStage(e, j) \/ SendStage(e, j)
    \/ ReceiveResult(e, j) \/ RecoverOutcome(e, j) \/ RecoverNotRun(e, j)
    \/ RecoverUnknown(e, j) \/ HoldCutOff(e, j)

Next ==
    \/ Tick
    \/ Restart
    \/ \E r \in flight : Land(r)
    \/ \E f \in frames : Receive(f)
    \/ \E j \in Jobs : Accept(j) \/ TellAccepted(j) \/ Settle(j)
    \/ \E e \in Entries, j \in Jobs : HolderStep(e, j)

Spec == Init /\ [][Next]_vars

Symmetry == Permutations(Entries)

-----------------------------------------------------------------------------
(* Invariants. *)

EffectOnce == \A j \in Jobs : effects[j] <= 1

FinishOnce ==
    \A j \in Jobs :
        /\ Cardinality(finishes[j]) <= 1
        /\ jobs[j].state = "finished" => effects[j] >= 1

FencedFinish == \A j \in Jobs : \A f \in finishes[j] : f.by = f.fence

\* A job whose caller was told "accepted" is in the log and open, or finished with its effect.
NoLostJob ==
    \A j \in told :
        \/ Open(jobs[j])
        \/ jobs[j].state = "finished" /\ effects[j] >= 1

(* Witnesses: TLC must find each one violated, which shows that the case is reachable. *)

NeverTakenOverAndFinished ==
    ~ \E j \in Jobs : \E e \in Entries :
        jobs[j].state = "finished" /\ holder[e][j].step = "holding"

NeverSettledAndRun ==
    ~ \E j \in Jobs : effects[j] = 1 /\ agent.incarnation > 1 /\ jobs[j].state = "finished"
=============================================================================
