@0xb5d3f0a87c1e42d9;
# What the nodes of the service say to each other. One message a frame; a frame is its length in
# four bytes, little-endian, and the flat message.
#
# Builds of different age talk to each other: fields are only ever added, and the file id, the
# ordinals and the types never change. CPUs are counts of cores, as fractions too.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eiderreel::wire");

struct Envelope {
  from @0 :Text;                          # name of the sending node
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

struct JobQuery {                         # a user's request, passed on to the partition's leader
  number @0 :UInt64;                      # of the question, counted by the sender
  cancel @1 :Bool;                        # else a poll
  job @2 :Text;                           # job id
}

struct JobQueryReply {
  number @0 :UInt64;                      # of the question
  status @1 :UInt16;                      # HTTP; 0: the asked node is not entitled to answer
  body @2 :Text;                          # JSON
}

struct PeerStatus {                       # sent at a steady pace; load, for the cluster leader
  partitions @0 :List(PartitionLoad);     # those that the sender leads
  requests @1 :Float64;                   # to the state store, per second, that the sender takes
  changes @2 :Float64;                    # in the state store, per second, that the sender takes
  hearsWorkers @3 :Bool = true;           # whether the sender hears of workers
  features @4 :UInt64;                    # of the sender's build; 0: from before there were any
  conversion @5 :Conversion;              # null: the sender takes no part in cluster versions
}

struct Conversion {                       # of stored progress, in the sender's partitions
  valuesLeft @0 :UInt64;                  # count; in the form that is to go
  valuesConverted @1 :UInt64;             # count; since the process started
  unreadable @2 :UInt64;                  # count; in neither form, left as they are
  valuesPerS @3 :Float64;                 # values per second
}

struct PartitionLoad {
  partition @0 :UInt16;                   # number
  waitingCpus @1 :Float64;                # CPUs; of tasks that could start now if there were room
  waitingSpotCpus @2 :Float64;            # CPUs; of those, what may run on spot machines
  waitingServiceCpus @3 :Float64;         # CPUs; of those, what belongs to services
  usedCpus @4 :Float64;                   # CPUs
  usedServiceCpus @5 :Float64;            # CPUs; of those, what services use
  totalCpus @6 :Float64;                  # CPUs; of all machines
  idleCpus @7 :Float64;                   # CPUs; of on-demand machines that hold nothing
  waitingCoreS @8 :Float64;               # core seconds; estimated work of the waiting tasks
  slackS @9 :Float64;                     # s; usual, between estimate and deadline; 0: unknown
  idleSpotCpus @10 :Float64;              # CPUs; of spot machines that hold nothing
  releasableCpus @11 :Float64;            # CPUs; idle for so long that they may be scaled in
  releasableSpotCpus @12 :Float64;        # CPUs; the same of spot machines
  idleMachines @13 :UInt32;               # count
  spotCpus @14 :Float64;                  # CPUs; of spot machines
  waitS @15 :Float64;                     # s; shortest in which an array should start; 0: none
  unschedulable @16 :List(Unschedulable); # jobs bound to a place that has too little room for them
  waitedS @17 :Float64;                   # s; longest wait of a job of which nothing runs
}

struct Unschedulable {
  job @0 :Text;                           # job id
  cpus @1 :Float64;                       # CPUs that it lacks
}

struct TransferRequest {                  # advice: give idle machines to another partition
  partition @0 :UInt16;                   # number; of the giver
  to @1 :Int16;                           # number; -1: release them, to be returned
  cpus @2 :Float64;                       # CPUs; up to so many, the giver chooses the machines
  spot @3 :Bool;                          # spot machines, else on-demand ones
}

struct CordonRequest {                    # advice: let machines of this partition run empty
  partition @0 :UInt16;                   # number
  cpus @1 :Float64;                       # CPUs; about so many; holds for a few seconds
  drain @2 :Bool;                         # also machines with services, which move to others
}

struct MachineList {
  machines @0 :List(Text);                # ids
}

struct VoteRequest {                      # not to claim the sender's partitions for so long
  number @0 :UInt64;                      # of the request, counted by the sender
  ttlMs @1 :Int64;                        # ms
  partitions @2 :List(LedPartition);      # those that the sender leads
  storeRevision @3 :UInt64;               # all changes up to here are in the sender's view
}

struct LedPartition {
  partition @0 :UInt16;                   # number
  revision @1 :UInt64;                    # of the claim in the state store
}

struct Vote {
  number @0 :UInt64;                      # of the request
  granted @1 :Bool;
  finished @2 :List(FinishedJob);         # all jobs that ended after the asker's store revision, as
                                          # far as known
}

struct FinishedJob {
  job @0 :Text;                           # job id
  revision @1 :UInt64;                    # of its final record
  cancelled @2 :Bool;                     # else done
}
