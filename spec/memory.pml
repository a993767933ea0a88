// Orders to one engine by three agents that own its target one after the other. Each agent can be
// paused between any two steps, since processes interleave freely; an order that it has sent arrives
// at once, late, several times or never, and its answer can be lost. The engine restarts once.
// Property: the engine never holds more than its memory.
//
// Two items of one unit, memory for one; each predecessor sends at most one order, all agents send at
// most four, and they read the state or the stream again at most once, in total. Both kinds of engine are explored: `checks` says whether it checks fencing
// tokens. A late unload only frees memory, so unloads are never late here.
//
// Step of the model                  C++
//   append the epoch                   OrderManager::QueueEpoch, TargetLog::ApplyEpoch
//   read the epoch back                OrderManager::ApplyRecord
//   read the state                     OrderManager::OnState, ResetForIncarnation, ApplyState
//   fence                              OrderManager::OnState, AddOrder, Send
//   charge the open intents            OrderManager::ResetForIncarnation, AddPin
//   intent, read back                  OrderManager::PlanLoad, AddOrder, TargetLog::Apply
//   send on the connection of a run    OrderManager::Send
//   answered, lost                     OrderManager::EndLoad, EndUnload, OnOrderUnanswered
//   settle, read a settle record       OrderManager::SettleOrder, ApplySettle
//
// variant: NO_FENCE
// variant: NO_FENCE_AFTER_RESTART
// variant: NO_INTENT_CHARGE
// variant: NO_READ_BACK
// variant: NO_CONNECTION_RULE
// variant: UNPIN_WHEN_LOADED
// variant: SETTLE_BEFORE_STATE

#define AGENTS 3
#define RUNS 2
#define MEMORY 1
#define ORDERS 4
#define READS 1
#define BIT(i) (1 << (i))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1))
#define SLOT(a, r) ((a) * RUNS + (r))
// The epochs are in the order of the agents.
#define TOKEN(a) ((a) + 1)

// An order reaches only the run of the engine whose state came over the same connection.
#ifdef NO_CONNECTION_RULE
#define REACHES(r) true
#else
#define REACHES(r) ((r) == engine_run)
#endif

bool checks;
// The engine.
byte engine_run;
byte held;
byte fenced_by;
// The log: the newest epoch, and the open intents by agent and run.
byte epoch;
byte intents[6];
// Load orders that may still arrive, by agent and run.
byte under_way[6];
// What the agents have used of ORDERS and READS.
byte orders;
byte reads;
// Items are alike, so they are first used in ascending order.
byte used;

inline arrive(i, t) {
  if
  :: checks && t < fenced_by -> skip
  :: else ->
    if
    :: checks -> fenced_by = t
    :: else -> skip
    fi;
    held = held | BIT(i);
    assert(COUNT(held) <= MEMORY)
  fi
}

#define LATE(a, r, i) \
  :: d_step { (under_way[SLOT(a, r)] & BIT(i)) && !(held & BIT(i)) && REACHES(r) && \
              (!checks || TOKEN(a) >= fenced_by) -> arrive(i, TOKEN(a)) }
#define LATE_ITEMS(a, r) LATE(a, r, 0) LATE(a, r, 1)

active proctype Network() {
end:
  do
  LATE_ITEMS(0, 0)
  LATE_ITEMS(0, 1)
  LATE_ITEMS(1, 0)
  LATE_ITEMS(1, 1)
  LATE_ITEMS(2, 0)
  LATE_ITEMS(2, 1)
  od
}

active proctype Restart() {
  if
  :: d_step {
      engine_run = 1; held = 0; fenced_by = 0;
#ifndef NO_CONNECTION_RULE
      under_way[SLOT(0, 0)] = 0; under_way[SLOT(1, 0)] = 0; under_way[SLOT(2, 0)] = 0
#endif
    }
  :: true
  fi
}

#define OTHERS_OPEN(r) \
  ((me == 0 -> 0 : intents[SLOT(0, r)]) | (me == 1 -> 0 : intents[SLOT(1, r)]) | \
   (me == 2 -> 0 : intents[SLOT(2, r)]))

// Each atomic block ends where the agent depends on another process next, so that a pause between
// two blocks is a pause at any step between them.
proctype Agent(byte me) {
  byte seen_run, seen_held, inherited[RUNS];
  byte pinned, lost, item;
  bool synced, refused;
  byte orders_sent;
  byte synced_run;

  // Append the epoch; read it back together with every valid intent before it.
  epoch == me -> epoch = TOKEN(me);
  atomic {
    if
    :: epoch != TOKEN(me) -> goto stop
    :: else
    fi;
    inherited[0] = OTHERS_OPEN(0);
    inherited[1] = OTHERS_OPEN(1)
  };

read_state:
  true;
  atomic {
    seen_run = engine_run;
    seen_held = held;
    if
    :: checks && fenced_by > TOKEN(me) -> goto stop
#ifndef NO_FENCE
#ifdef NO_FENCE_AFTER_RESTART
    :: checks && fenced_by < TOKEN(me) && !synced -> goto fence
#else
    :: checks && fenced_by < TOKEN(me) -> goto fence
#endif
#endif
    :: else
    fi;
    if
    :: !synced || synced_run != seen_run ->
      synced = true;
      synced_run = seen_run;
      lost = 0;
      pinned = 0;
#ifndef NO_INTENT_CHARGE
      if
      :: !checks -> pinned = inherited[seen_run]
      :: else
      fi;
      inherited[0] = 0;
      inherited[1] = (seen_run == 0 -> inherited[1] : 0)
#endif
    :: else
    fi;
#ifdef UNPIN_WHEN_LOADED
    pinned = pinned & ~seen_held;
#endif
    seen_run = 0
  };

work:
  true;
  atomic {
    if
    :: orders < ORDERS && (me == AGENTS - 1 || orders_sent == 0) ->
      orders++;
      orders_sent = 1;
      if
      :: item = 0
      :: used >= 1 -> item = 1
      fi;
      if
      :: item == used -> used++
      :: else
      fi;
      if
      :: !(seen_held & BIT(item)) && COUNT(seen_held | pinned | lost | BIT(item)) <= MEMORY -> skip
      :: (seen_held & BIT(item)) && !((pinned | lost) & BIT(item)) -> goto unload
      :: else -> goto stop
      fi;
      if
      :: checks
      :: !checks && epoch == TOKEN(me) ->
        intents[SLOT(me, synced_run)] = intents[SLOT(me, synced_run)] | BIT(item)
      // The intent is void, which reading it back shows.
      :: !checks && epoch != TOKEN(me) ->
#ifndef NO_READ_BACK
        goto stop
#endif
      fi
    :: reads < READS -> reads++; goto read_state
    :: !checks && reads < READS && pinned ->
      // Read settle records; the charge stays until a later state read.
      reads++;
      pinned = pinned & OTHERS_OPEN(synced_run);
#ifdef SETTLE_BEFORE_STATE
      goto work
#else
      goto read_state
#endif
    :: goto stop
    fi
  };

  // Send. An order that arrives before its answer is lost is one that arrives late.
  atomic {
    refused = false;
    if
    :: REACHES(synced_run) ->
      refused = checks && TOKEN(me) < fenced_by;
      arrive(item, TOKEN(me));
      if
      :: refused -> goto stop
      :: else
      fi;
      seen_held = seen_held | BIT(item)
    :: true ->
      under_way[SLOT(me, synced_run)] = under_way[SLOT(me, synced_run)] | BIT(item);
      lost = lost | BIT(item);
      goto work
    fi
  };
  // Settle, unless a copy that was lost before can still arrive.
  atomic {
    if
    :: !checks && !(lost & BIT(item)) ->
      intents[SLOT(me, synced_run)] = intents[SLOT(me, synced_run)] & ~BIT(item)
    :: else
    fi;
    goto work
  };

fence:
  // A lost fence is followed by the next state read.
  atomic {
    if
    :: REACHES(seen_run) && TOKEN(me) >= fenced_by -> fenced_by = TOKEN(me); goto read_state
    :: REACHES(seen_run) && TOKEN(me) < fenced_by -> goto stop
    :: !REACHES(seen_run) -> goto read_state
    fi
  };

unload:
  atomic {
    if
    :: REACHES(synced_run) && !(checks && TOKEN(me) < fenced_by) ->
      held = held & ~BIT(item);
      seen_held = seen_held & ~BIT(item);
      goto work
    :: REACHES(synced_run) && checks && TOKEN(me) < fenced_by -> goto stop
    :: goto work
    fi
  };

stop:
  atomic {
    seen_run = 0; seen_held = 0; inherited[0] = 0; inherited[1] = 0;
    pinned = 0; lost = 0; item = 0; synced = false;
    refused = false; synced_run = 0; orders_sent = 0
  }
}

init {
  if
  :: checks = true
  :: checks = false
  fi;
  atomic { run Agent(0); run Agent(1); run Agent(2) }
}
