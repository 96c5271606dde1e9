@0xb5d3f0a87c1e42d9;
# What the nodes of the service say to each other. One message a frame; a frame is its length in
# four bytes, little-endian, and the flat message.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eiderreel::wire");

struct Envelope {
  from @0 :Text;
  union {
    jobQuery @1 :JobQuery;
    jobQueryReply @2 :JobQueryReply;
    peerStatus @3 :PeerStatus;
    transferRequest @4 :TransferRequest;
    voteRequest @5 :VoteRequest;
    vote @6 :Vote;
    machinesTerminated @7 :MachineList;
    cordonRequest @8 :CordonRequest;
  }
}

struct JobQuery {                      # a user's request, passed on to the owner of its part
  number @0 :UInt64;
  cancel @1 :Bool;                # else a poll
  job @2 :Text;
}

struct JobQueryReply {
  number @0 :UInt64;
  status @1 :UInt16;              # 0: the asked node is not entitled to answer
  body @2 :Text;
}

struct PeerStatus {                   # news of load for the leader
  partitions @0 :List(PartitionLoad);
  requests @1 :Float64;           # of the state service, a second, that the sender takes
  changes @2 :Float64;
  hearsWorkers @3 :Bool = true;          # whether the sender hears of workers
  features @4 :UInt64;            # of the sender's build; 0: from before there were any
  conversion @5 :Conversion;      # null: the sender takes no part in cluster versions
}

struct Conversion {               # of stored progress, in the sender's parts
  valuesLeft @0 :UInt64;
  valuesConverted @1 :UInt64;
  unreadable @2 :UInt64;
  valuesPerS @3 :Float64;
}

struct PartitionLoad {
  partition @0 :UInt16;
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
  releasableCpus @11 :Float64;
  releasableSpotCpus @12 :Float64;
  idleMachines @13 :UInt32;
  spotCpus @14 :Float64;
  waitS @15 :Float64;
  unschedulable @16 :List(Unschedulable);   # jobs bound to a place that has too little room for them
  waitedS @17 :Float64;
}

struct Unschedulable {
  job @0 :Text;
  cpus @1 :Float64;
}

struct TransferRequest {                     # the leader's advice: give idle machines to another part
  partition @0 :UInt16;
  to @1 :Int16;                   # -1: release them, to be returned
  cpus @2 :Float64;               # up to so many; the owner chooses which
  spot @3 :Bool;                  # of this kind
}

struct CordonRequest {                     # the leader's advice: let machines of this part run empty
  partition @0 :UInt16;
  cpus @1 :Float64;               # about so many; holds for a few seconds
  drain @2 :Bool;                 # also machines with services, which move to others
}

struct MachineList {
  machines @0 :List(Text);
}

struct VoteRequest {                # not to claim these parts of the sender's for so long
  number @0 :UInt64;
  ttlMs @1 :Int64;
  partitions @2 :List(LedPartition);
  storeRevision @3 :UInt64;              # all changes up to here are in the sender's view
}

struct LedPartition {
  partition @0 :UInt16;
  revision @1 :UInt64;
}

struct Vote {
  number @0 :UInt64;
  granted @1 :Bool;
  finished @2 :List(FinishedJob);     # all jobs that ended after the asker's ledger, as far as known
}

struct FinishedJob {
  job @0 :Text;
  revision @1 :UInt64;
  cancelled @2 :Bool;             # else done
}
