// variant: NO_BASE_CHECK
// variant: NO_SETTLING_READ
// variant: NO_OLDER_CHECK
// variant: NO_GAP_CHECK
// variant: SNAPSHOT_OF_TAIL
//
// Configuration versions on the stream `config`: racing operators, lost answers,
// retention with snapshots, a region that reads only from a peer, and a restart
// with nothing.
//
// NO_BASE_CHECK     a change is accepted whatever base it names
// NO_SETTLING_READ  an operator whose answer was lost appends again with a new
//                   base, without looking for its record first
// NO_OLDER_CHECK    a process takes what a peer has even if it is older
// NO_GAP_CHECK      a reader continues behind missing records
// SNAPSHOT_OF_TAIL  a snapshot claims the tail of the log instead of what its
//                   writer has read
//
// Size: 2 operators with one change each (at most one retry), 3 processes (one
// cut off from the log until the end), LEN records.

#define LEN 4
#define PROCS 3
#define CUT 2
#define NONE 255

// Record kinds.
#define CHANGE 1
#define SNAP 2

byte kind[LEN];
byte base[LEN];      // base version of a change
byte change[LEN];    // which change of which operator; the record id
byte through[LEN];   // snapshot: records before this offset are in it
byte snap_version[LEN];
byte tail = 0;       // next offset of the log
byte first = 0;      // oldest record that is still kept

// Versions are offsets plus one, 0 is the empty start.
byte next[PROCS];    // next offset to judge
byte version[PROCS];
byte highest[PROCS]; // the highest version that this process has had in force
bool restarted = false;

// The verdicts that the first process to judge each offset reached; 0 unknown,
// 1 rejected, 2 accepted.
byte verdict[LEN];
byte winner[LEN + 1]; // offset plus one of the change accepted on this base
byte accepted_of[2];  // accepted records of each operator's change

// ConfigLog::OnLogRecords -> detail::ApplyChange -> CheckBase
inline judge(p, o) {
  if
  :: kind[o] == CHANGE ->
     if
#ifdef NO_BASE_CHECK
     :: true ->
#else
     :: base[o] == version[p] ->
#endif
        // All processes agree on the verdict.
        assert(verdict[o] != 1);
        if
        :: verdict[o] == 0 ->
           verdict[o] = 2;
           // At most one winner for each base version.
           assert(winner[base[o]] == 0);
           winner[base[o]] = o + 1;
           accepted_of[change[o]]++;
           // One intended change takes effect at most once.
           assert(accepted_of[change[o]] <= 1)
        :: else
        fi;
        version[p] = o + 1
#ifndef NO_BASE_CHECK
     :: else ->
        assert(verdict[o] != 2);
        verdict[o] = 1
#endif
     fi
  :: else
  fi;
  next[p] = o + 1;
  check_forward(p)
}

// No process reverts, except that a restart begins with nothing.
inline check_forward(p) {
  assert(version[p] >= highest[p]);
  highest[p] = version[p]
}

// ConfigLog::OnSnapshotRecord -> ConfigLog::InstallSnapshot; only a snapshot that reaches
// beyond the own state is installed.
inline install(p, o) {
  if
  :: kind[o] == SNAP && through[o] > next[p] ->
     next[p] = through[o];
     version[p] = snap_version[o];
     check_forward(p)
  :: else
  fi
}

// Looks through the snapshots that the log keeps, oldest first: while records are
// missing, ConfigLog::NextReadOffset() moves on to the tail. A later snapshot may
// contain less, if its writer was paused; `install` then skips it.
inline scan(p, o) {
  o = first;
  do
  :: o < tail -> install(p, o); o++
  :: else -> break
  od
}

// One process: reads the log, or a peer while it is cut off.
proctype Process(byte p) {
  byte o;
  byte q;
end:
  do
  // OnLogRecords with the next record at hand.
  :: atomic { p != CUT && next[p] < tail && next[p] >= first ->
       o = next[p]; judge(p, o); o = 0 }
  // The next record is gone: RecordsMissing, then a scan for a snapshot.
  :: atomic { p != CUT && next[p] < first ->
#ifdef NO_GAP_CHECK
       next[p] = first
#else
       scan(p, o);
       // Retention keeps what the newest snapshot does not replace.
       assert(next[p] >= first);
       o = 0
#endif
     }
  // ConfigLog::OnPeerUpdate(peer.UpdateSince(version)).
  :: atomic { (p == CUT || version[p] == 0) ->
       if
       :: q = 0
       :: q = 1
       fi;
       if
#ifdef NO_OLDER_CHECK
       :: q != p && next[q] != next[p] ->
#else
       :: q != p && next[q] > next[p] ->
#endif
          next[p] = next[q];
          version[p] = version[q];
          check_forward(p)
       :: else
       fi;
       q = 0 }
  // ConfigLog::SnapshotIfDue reads its state; the append takes effect later,
  // after other records may have landed.
  :: atomic { p != CUT && version[p] != 0 && tail < LEN - 1 -> o = next[p]; q = version[p] };
     atomic {
       if
       :: tail < LEN ->
          kind[tail] = SNAP;
#ifdef SNAPSHOT_OF_TAIL
          through[tail] = tail;
#else
          through[tail] = o;
#endif
          snap_version[tail] = q;
          tail++
       :: else
       fi;
       o = 0; q = 0
     }
  // A host is replaced: the process starts with nothing.
  :: atomic { !restarted && p == 1 && version[p] != 0 ->
       restarted = true;
       next[p] = 0; version[p] = 0; highest[p] = 0 }
  od
}

// pimentosparctl config propose: ProposeChange. The operator reads through
// process 0's records (any reader gives the same result), then appends.
proctype Operator(byte id) {
  byte my_base;
  byte tries = 0;
  byte at;
  bool found;
retry:
  atomic { my_base = version[0]; tries++ };
  atomic {
    if
    :: tail < LEN ->
       kind[tail] = CHANGE; base[tail] = my_base; change[tail] = id; tail++;
       my_base = 0
    :: else -> goto done
    fi
  };
  // The append took effect; its answer arrives or is lost.
  if
  :: goto done
  :: tries < 2 ->
     atomic {
       found = false;
#ifndef NO_SETTLING_READ
       // SettleAppend: looks for the record id in the stream.
       at = first;
       do
       :: at < tail ->
          if
          :: kind[at] == CHANGE && change[at] == id -> found = true; break
          :: else -> at++
          fi
       :: else -> break
       od;
       at = 0;
       // A record that is gone is too old to settle: the outcome is unknown and
       // the operator stops.
       if
       :: first > 0 -> found = true
       :: else
       fi
#endif
     };
     if
     :: found -> goto done
     :: else -> goto retry
     fi
  fi;
done:
  skip
}

// The log forgets old records once a snapshot replaces them; the retention is
// twice the age at which a snapshot is due, and ConfigLog::OnSnapshotComplete
// counts only what a snapshot really contains.
proctype Retention() {
  byte o;
end:
  do
  :: atomic { first + 1 < tail ->
       o = tail;
       do
       :: o > first + 1 ->
          o--;
          if
          :: kind[o] == SNAP && through[o] >= first + 1 -> first++; break
          :: else
          fi
       :: else -> break
       od;
       o = 0 }
  od
}

init {
  atomic {
    run Process(0);
    run Process(1);
    run Process(2);
    run Operator(0);
    run Operator(1);
    run Retention()
  }
}
