@0xb5d3f0a87c1e42d9;
# What the nodes of the service say to each other. One message a frame; a frame is its length in
# four bytes, little-endian, and the flat message.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eiderreel::wire");

struct Envelope {
  from @0 :Text;
  union {
    ask @1 :Ask;
    answer @2 :Answer;
    status @3 :Status;
    move @4 :Move;
    promiseRequest @5 :PromiseRequest;
    promise @6 :Promise;
    gone @7 :Machines;
    shed @8 :Shed;
  }
}

struct Ask {                      # a user's request, passed on to the owner of its part
  number @0 :UInt64;
  cancel @1 :Bool;                # else a poll
  job @2 :Text;
}

struct Answer {
  number @0 :UInt64;
  status @1 :UInt16;              # 0: the asked node is not entitled to answer
  body @2 :Text;
}

struct Status {                   # news of load for the leader
  parts @0 :List(Need);
  requests @1 :Float64;           # of the state service, a second, that the sender takes
  changes @2 :Float64;
  hears @3 :Bool = true;          # whether the sender hears of workers
  features @4 :UInt64;            # of the sender's build; 0: from before there were any
  conversion @5 :Conversion;      # null: the sender takes no part in cluster versions
}

struct Conversion {               # of stored progress, in the sender's parts
  valuesLeft @0 :UInt64;
  valuesConverted @1 :UInt64;
  unreadable @2 :UInt64;
  valuesPerS @3 :Float64;
}

struct Need {
  part @0 :UInt16;
  waitingCpus @1 :Float64;
  waitingSpotCpus @2 :Float64;
  waitingServiceCpus @3 :Float64;
  usedCpus @4 :Float64;
  usedServiceCpus @5 :Float64;
  totalCpus @6 :Float64;
  idleCpus @7 :Float64;
  waitingCoreS @8 :Float64;
  slackS @9 :Float64;
  idleSpotCpus @10 :Float64;
  restedCpus @11 :Float64;
  restedSpotCpus @12 :Float64;
  idleMachines @13 :UInt32;
  spotCpus @14 :Float64;
  waitS @15 :Float64;
  unplaceable @16 :List(Unplaceable);   # jobs bound to a place that has too little room for them
  waitedS @17 :Float64;
}

struct Unplaceable {
  job @0 :Text;
  cpus @1 :Float64;
}

struct Move {                     # the leader's advice: give idle machines to another part
  part @0 :UInt16;
  to @1 :Int16;                   # -1: release them, to be returned
  cpus @2 :Float64;               # up to so many; the owner chooses which
  spot @3 :Bool;                  # of this kind
}

struct Shed {                     # the leader's advice: let machines of this part run empty
  part @0 :UInt16;
  cpus @1 :Float64;               # about so many; holds for a few seconds
  drain @2 :Bool;                 # also machines with services, which move to others
}

struct Machines {
  machines @0 :List(Text);
}

struct PromiseRequest {                # not to claim these parts of the sender's for so long
  number @0 :UInt64;
  lifeMs @1 :Int64;
  parts @2 :List(OwnedPart);
  ledger @3 :UInt64;              # all changes up to here are in the sender's view
}

struct OwnedPart {
  part @0 :UInt16;
  stamp @1 :UInt64;
}

struct Promise {
  number @0 :UInt64;
  given @1 :Bool;
  closed @2 :List(ClosedJob);     # all jobs that ended after the asker's ledger, as far as known
}

struct ClosedJob {
  job @0 :Text;
  stamp @1 :UInt64;
  cancelled @2 :Bool;             # else done
}
