@0xb5d3f0a87c1e42d9;
# Messages between controllers. Each frame holds one message: its length in four bytes,
# little-endian, followed by the flat message.
#
# Different builds exchange these messages. Fields may be added, but the file id, the ordinals and
# the types must never change. CPUs are numbers of cores and may be fractions.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eiderreel::wire");

struct Envelope {
  from @0 :Text;                          # name of the sending controller
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

struct JobQuery {                         # a user's request, forwarded to the partition's leader
  number @0 :UInt64;                      # request id, counted up by the sender
  cancel @1 :Bool;                        # true: cancel the job; false: poll its status
  job @2 :Text;                           # job id
}

struct JobQueryReply {
  number @0 :UInt64;                      # request id of the JobQuery
  status @1 :UInt16;                      # HTTP status; 0: receiver is not entitled to answer
  body @2 :Text;                          # JSON
}

struct PeerStatus {                       # broadcast periodically; the cluster leader uses the load
  partitions @0 :List(PartitionLoad);     # loads of the partitions that the sender leads
  requests @1 :Float64;                   # per second, from the sender to the state store
  changes @2 :Float64;                    # per second, by the sender in the state store
  hearsWorkers @3 :Bool = true;           # whether workers' heartbeats reach the sender
  features @4 :UInt64;                    # bit set of the sender's build; 0: predates features
  conversion @5 :Conversion;              # null: sender does not take part in cluster versions
}

struct Conversion {                       # conversion of stored progress in the sender's partitions
  valuesLeft @0 :UInt64;                  # count; still in the form that is replaced
  valuesConverted @1 :UInt64;             # count; converted since the process started
  unreadable @2 :UInt64;                  # count; in neither form, not modified
  valuesPerS @3 :Float64;                 # values per second
}

struct PartitionLoad {
  partition @0 :UInt16;                   # partition number
  waitingCpus @1 :Float64;                # CPUs; of tasks that lack only capacity to start
  waitingSpotCpus @2 :Float64;            # CPUs; part of waitingCpus that may run on spot machines
  waitingServiceCpus @3 :Float64;         # CPUs; part of waitingCpus that belongs to services
  usedCpus @4 :Float64;                   # CPUs; allocated to tasks
  usedServiceCpus @5 :Float64;            # CPUs; part of usedCpus that services use
  totalCpus @6 :Float64;                  # CPUs; of all machines
  idleCpus @7 :Float64;                   # CPUs; of on-demand machines without tasks
  waitingCoreS @8 :Float64;               # core seconds; estimated work of the waiting tasks
  slackS @9 :Float64;                     # s; usual time from estimate to deadline; 0: unknown
  idleSpotCpus @10 :Float64;              # CPUs; of spot machines without tasks
  releasableCpus @11 :Float64;            # CPUs; of on-demand machines idle long enough to scale in
  releasableSpotCpus @12 :Float64;        # CPUs; of spot machines idle long enough to scale in
  idleMachines @13 :UInt32;               # count; machines without tasks
  spotCpus @14 :Float64;                  # CPUs; of spot machines
  waitS @15 :Float64;                     # s; shortest start objective of a job array; 0: none
  unschedulable @16 :List(Unschedulable); # jobs whose allowed zone or types lack capacity
  waitedS @17 :Float64;                   # s; longest wait of a job without running tasks
}

struct Unschedulable {
  job @0 :Text;                           # job id
  cpus @1 :Float64;                       # CPUs; missing capacity
}

struct TransferRequest {                  # advice: transfer idle machines to another partition
  partition @0 :UInt16;                   # number of the partition that gives the machines
  to @1 :Int16;                           # partition number; -1: release them, to be returned
  cpus @2 :Float64;                       # CPUs; upper limit, the receiver chooses the machines
  spot @3 :Bool;                          # true: spot machines; false: on-demand machines
}

struct CordonRequest {                    # advice: cordon machines, so that they run empty
  partition @0 :UInt16;                   # partition number
  cpus @1 :Float64;                       # CPUs; approximate; advice expires after a few seconds
  drain @2 :Bool;                         # true: also machines with services, which move to others
}

struct MachineList {
  machines @0 :List(Text);                # machine ids
}

struct VoteRequest {                      # requests a promise not to claim the partitions for ttlMs
  number @0 :UInt64;                      # request id, counted up by the sender
  ttlMs @1 :Int64;                        # ms; duration of the promise
  partitions @2 :List(LedPartition);      # partitions that the sender leads
  storeRevision @3 :UInt64;               # the sender's view includes all changes up to this one
}

struct LedPartition {
  partition @0 :UInt16;                   # partition number
  revision @1 :UInt64;                    # store revision of the partition's claim
}

struct Vote {
  number @0 :UInt64;                      # request id of the VoteRequest
  granted @1 :Bool;
  finished @2 :List(FinishedJob);         # all known jobs that ended after the requester's store
                                          # revision
}

struct FinishedJob {
  job @0 :Text;                           # job id
  revision @1 :UInt64;                    # store revision of the job's final record
  cancelled @2 :Bool;                     # true: cancelled; false: done
}
