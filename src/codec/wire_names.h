// Names of the protocol's fields and values, one namespace for each counterpart. The protocol has
// its own vocabulary (hulls, berths, crews). This file alone maps it to the terms that the rest of
// the code uses. Quoted section names refer to the protocol's description.
#pragma once
#include <array>

namespace eiderreel::codec::wire {

/// Jobs as users submit and query them: "POST /v1/jobs", "GET /v1/jobs/{id}". Job records in the
/// state store use the same names.
namespace job {
inline constexpr const char* kId = "name_id";          // job id, run- and digits
inline constexpr const char* kClass = "jobclass";      // selects the service objective
inline constexpr const char* kTeam = "crew";           // team whose fair share and quota apply
inline constexpr const char* kKind = "shape";          // one of kKinds
inline constexpr const char* kPriority = "rank";       // one of kPriorities
inline constexpr const char* kTasks = "shards";        // number of tasks or replicas
inline constexpr const char* kCpus = "cores";          // CPUs of each task
inline constexpr const char* kGpus = "accelerators";   // GPUs of each task
inline constexpr const char* kMemoryGb = "mem_gb";     // GB of memory of each task
inline constexpr const char* kImage = "bundle";        // name of the container image
inline constexpr const char* kImageGb = "size_gb";     // GB; size of the image
inline constexpr const char* kMachineTypes = "hulls";  // allowed machine types; null: any
inline constexpr const char* kZone = "berth";          // the only allowed zone; null: any
inline constexpr const char* kOneZone = "one_zone";    // true: all tasks in the same zone
inline constexpr const char* kSpread = "apart";        // true: at most half of the tasks per zone
inline constexpr const char* kSpot = "driftwood";      // true: may run on spot machines
inline constexpr const char* kEstimateS = "guess_s";   // s; estimated run time of a task
inline constexpr const char* kCheckpointS = "snapshot_s";  // s; interval between checkpoints
inline constexpr const char* kSaveS = "stow_s";            // s; time to save state when stopped
inline constexpr const char* kDeadlineS = "due_s";         // s after submission; null: no deadline
inline constexpr const char* kAcceptedAtMs = "at_ms";      // ms, wall clock; in records only
inline constexpr const char* kPrerequisites = "awaits";    // ids of jobs that must be done first
inline constexpr const char* kPhase = "phase";             // one of kPhases
inline constexpr const char* kTasksDone = "done";          // number of finished tasks
inline constexpr const char* kTasksRunning = "running";    // number of running tasks
inline constexpr const char* kError = "error";             // error message for the user
// Each array is in the order of its enumeration: JobKind, Priority, JobPhase.
inline constexpr std::array kKinds = {"sweep", "daemon"};
inline constexpr std::array kPriorities = {"best_effort", "standard", "high", "production"};
inline constexpr std::array kPhases = {"queued", "running", "done", "cancelled"};
}  // namespace job

/// Heartbeats from workers and commands to them: "POST /v1/report", "POST /commands".
namespace worker {
inline constexpr const char* kMachine = "host";        // machine id
inline constexpr const char* kAddress = "endpoint";    // IP:PORT
inline constexpr const char* kMachineType = "hull";    // machine type, as named in the catalog
inline constexpr const char* kZone = "berth";          // name of the zone
inline constexpr const char* kSpot = "driftwood";      // true: a spot machine
inline constexpr const char* kIncarnation = "tenure";  // counts the worker's expired leases
inline constexpr const char* kSequence = "tick";       // number of the heartbeat in the incarnation
inline constexpr const char* kFencingToken = "epoch";  // highest one that the sender has seen
inline constexpr const char* kTerminationNoticeS = "warning_s";  // s until termination; null: none
inline constexpr const char* kTasks = "shards";           // status of all tasks on the machine
inline constexpr const char* kTask = "shard";             // JOB/INDEX
inline constexpr const char* kAttempt = "try";            // identifies the attempt to run the task
inline constexpr const char* kPhase = "phase";            // one of kPhases
inline constexpr const char* kExitReason = "cause";       // one of kExitReasons
inline constexpr const char* kCommands = "orders";        // commands in the order of execution
inline constexpr const char* kCommandType = "verb";       // one of kCommandTypes
inline constexpr const char* kGraceS = "mercy_s";         // s; time to save state before a kill
inline constexpr const char* kRedirectNode = "upstream";  // controller for heartbeats instead
// Each array is in the order of its enumeration: TaskPhase, ExitReason, CommandType.
inline constexpr std::array kPhases = {"pulling", "running", "flushing", "exited"};
inline constexpr std::array kExitReasons = {"",        "done", "stopped", "error",
                                            "no_room", "busy", "no_such"};
inline constexpr std::array kCommandTypes = {"launch", "kill", "clear"};
}  // namespace worker

/// Requests to the cloud and its answers: "GET /catalog", "POST /machines", "POST
/// /machines/return", "GET /machines".
namespace cloud {
inline constexpr const char* kMachineTypes = "hulls";          // list of machine types
inline constexpr const char* kTypeName = "name";               // name of a machine type
inline constexpr const char* kCpus = "cores";                  // CPUs of a machine
inline constexpr const char* kGpus = "accelerators";           // GPUs of a machine
inline constexpr const char* kMemoryGb = "mem_gb";             // GB of memory of a machine
inline constexpr const char* kCacheGb = "cache_gb";            // GB; size of the image cache
inline constexpr const char* kFetchGbPerS = "fetch_gb_per_s";  // GB/s; rate of fetching images
inline constexpr const char* kPrice = "price";                 // on-demand price per hour
inline constexpr const char* kSpotPrice = "market_price";      // current spot price per hour
inline constexpr const char* kBootS = "ready_s";               // s; nominal boot time
inline constexpr const char* kZones = "berths";                // zones that offer the type
inline constexpr const char* kMachines = "hosts";              // rows of a list, or machine ids
inline constexpr const char* kMachineId = "name_id";           // machine id
inline constexpr const char* kAddress = "endpoint";            // IP:PORT of the worker
inline constexpr const char* kMachineType = "hull";   // machine type, as named in the catalog
inline constexpr const char* kZone = "berth";         // name of the zone
inline constexpr const char* kSpot = "driftwood";     // true: a spot machine
inline constexpr const char* kPhase = "phase";        // phase: starting, running or failed
inline constexpr const char* kRentalAgeS = "held_s";  // s since the machine was requested
inline constexpr const char* kRequestId = "charter";  // of a scale-out request; unique
inline constexpr const char* kCount = "how_many";     // number of machines requested
inline constexpr const char* kMore = "more";          // true: further pages follow
}  // namespace cloud

/// Requests to the state store and its answers: "Controller nodes -> state service".
namespace store {
inline constexpr const char* kRows = "rows";             // rows of a page of a list
inline constexpr const char* kEvents = "events";         // changes in an answer to /follow
inline constexpr const char* kMore = "more";             // true: further pages follow
inline constexpr const char* kStoreRevision = "ledger";  // incremented by every change
inline constexpr const char* kRevision = "stamp";        // of the last change of a key; 0: absent
inline constexpr const char* kLeaseId = "tether";        // id of the lease to which a key is bound
inline constexpr const char* kLeaseTtlMs = "life_ms";    // ms; time to live of a lease
inline constexpr const char* kKey = "key";               // key of a row or a precondition
inline constexpr const char* kValue = "v";               // value of a key
inline constexpr const char* kPut = "write";             // key that is written
inline constexpr const char* kDelete = "delete";         // key that is deleted
inline constexpr const char* kPreconditions = "guards";  // expected revisions of keys
inline constexpr const char* kWrites = "writes";         // changes in a transaction
inline constexpr const char* kFailedKeys = "failed";     // keys whose preconditions do not hold
}  // namespace store

/// Records that controllers keep in the state store, see state_records.h. The project chose these
/// names itself, but cannot change them: earlier builds read and write the same records.
namespace record {
inline constexpr const char* kNonce = "n";            // nonce that identifies the write
inline constexpr const char* kLeader = "owner";       // controller that leads a partition
inline constexpr const char* kLeaseId = "grant";      // lease of the writing controller
inline constexpr const char* kPartition = "part";     // -1: the machine is released
inline constexpr const char* kMachineType = "type";   // machine type, as named in the catalog
inline constexpr const char* kZone = "zone";          // name of the zone
inline constexpr const char* kAddress = "addr";       // IP:PORT of the worker
inline constexpr const char* kSpot = "spot";          // true: a spot machine
inline constexpr const char* kBootId = "boot";        // id of one run of a controller process
inline constexpr const char* kFeatures = "features";  // bit set, see constants::kBuildFeatureBits
inline constexpr const char* kOldestVersion = "oldest";  // oldest supported cluster version
inline constexpr const char* kNewestVersion = "newest";  // newest supported cluster version
inline constexpr const char* kActingVersion = "acting";  // cluster version in use
inline constexpr const char* kBuild = "build";           // name of the build
inline constexpr const char* kJob = "job";  // nested fields of a job with prerequisites
inline constexpr const char* kPrerequisites = "awaits";  // ids of jobs that must be done first
inline constexpr const char* kPrerequisiteChunks = "awaits_parts";  // number of prerequisite chunks
inline constexpr const char* kPhase = "phase";                      // phase in which a job ended
inline constexpr const char* kAtMs = "at_ms";                       // ms, wall clock
inline constexpr const char* kChunk = "chunk";           // index of a full chunk of progress
inline constexpr const char* kFirstTask = "first";       // first task of any other range
inline constexpr const char* kForm = "form";             // number of the form; missing: bits
inline constexpr const char* kBits = "bits";             // text of the bits form, see pack_bits
inline constexpr const char* kRoaring = "roaring";       // Roaring bitmap, see pack_roaring
inline constexpr const char* kVersion = "version";       // current cluster version
inline constexpr const char* kPreviousVersion = "from";  // cluster version before the step
inline constexpr const char* kRequestedBy = "who";       // requester of the step
inline constexpr const char* kRequestId = "request";     // id of the request for the step
}  // namespace record

/// Prefixes of keys in the state store; see state_keys.h.
namespace key {
inline constexpr const char* kPartitions = "e/part/";         // claims of partition leaders
inline constexpr const char* kMachines = "e/machine/";        // machine assignments
inline constexpr const char* kNodes = "e/node/";              // records of controllers
inline constexpr const char* kJobs = "e/job/";                // accepted jobs
inline constexpr const char* kPrerequisites = "e/awaits/";    // chunks of long prerequisite lists
inline constexpr const char* kFinalRecords = "e/final/";      // final records of jobs
inline constexpr const char* kProgress = "d/";                // progress (finished tasks) of jobs
inline constexpr const char* kUpgrade = "e/upgrade/";         // watched for cluster versions
inline constexpr const char* kVersion = "e/upgrade/version";  // full key of the cluster version
inline constexpr const char* kHistory = "u/history/";  // step history, decoded by upgrade_json.cc
inline constexpr const char* kWholeJob = "all";        // range of all tasks of a job
}  // namespace key

}  // namespace eiderreel::codec::wire
