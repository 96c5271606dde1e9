// The names that the protocol gives to fields and values, one table for each counterpart. The
// protocol speaks of hulls, berths and crews; all other code uses the terms of the field. Both
// meet here and nowhere else. The sections that are named are those of the protocol's description.
#pragma once
#include <array>

namespace eiderreel::codec::wire {

/// Jobs of users: "POST /v1/jobs", "GET /v1/jobs/{id}". Job records in the state store use the same
/// names.
namespace job {
inline constexpr const char* kId = "name_id";              // job id, run- and digits
inline constexpr const char* kClass = "jobclass";          // selects the service objective
inline constexpr const char* kTeam = "crew";               // whose guarantee and limit apply
inline constexpr const char* kKind = "shape";              // one of kKinds
inline constexpr const char* kPriority = "rank";           // one of kPriorities
inline constexpr const char* kTasks = "shards";            // number of tasks or replicas
inline constexpr const char* kCpus = "cores";              // of each task
inline constexpr const char* kGpus = "accelerators";       // of each task
inline constexpr const char* kMemoryGb = "mem_gb";         // GB, of each task
inline constexpr const char* kImage = "bundle";            // name of the image
inline constexpr const char* kImageGb = "size_gb";         // GB
inline constexpr const char* kMachineTypes = "hulls";      // allowed types; null: any
inline constexpr const char* kZone = "berth";              // the only allowed zone; null: any
inline constexpr const char* kOneZone = "one_zone";        // all tasks in the same zone
inline constexpr const char* kSpread = "apart";            // at most half of the tasks in a zone
inline constexpr const char* kSpot = "driftwood";          // may run on spot machines
inline constexpr const char* kEstimateS = "guess_s";       // s; estimated run time of a task
inline constexpr const char* kCheckpointS = "snapshot_s";  // s; interval between checkpoints
inline constexpr const char* kSaveS = "stow_s";            // s; time to save when stopped
inline constexpr const char* kDeadlineS = "due_s";         // s after the submission; null: none
inline constexpr const char* kAcceptedAtMs = "at_ms";      // ms, time of day; records only
inline constexpr const char* kPrerequisites = "awaits";    // ids of jobs to be done before
inline constexpr const char* kPhase = "phase";             // one of kPhases
inline constexpr const char* kTasksDone = "done";          // number of tasks
inline constexpr const char* kTasksRunning = "running";    // number of tasks
inline constexpr const char* kError = "error";             // a text for the user
// In the order of JobKind, Priority and JobPhase.
inline constexpr std::array kKinds = {"sweep", "daemon"};
inline constexpr std::array kPriorities = {"best_effort", "standard", "high", "production"};
inline constexpr std::array kPhases = {"queued", "running", "done", "cancelled"};
}  // namespace job

/// Heartbeats of workers and commands for them: "POST /v1/report", "POST /commands".
namespace worker {
inline constexpr const char* kMachine = "host";        // machine id
inline constexpr const char* kAddress = "endpoint";    // IP:PORT
inline constexpr const char* kMachineType = "hull";    // name in the catalog
inline constexpr const char* kZone = "berth";          // name of the zone
inline constexpr const char* kSpot = "driftwood";      // a spot machine
inline constexpr const char* kIncarnation = "tenure";  // counts the worker's expired leases
inline constexpr const char* kSequence = "tick";       // of the message in the incarnation
inline constexpr const char* kFencingToken = "epoch";  // highest one that the sender knows
inline constexpr const char* kNoticeS = "warning_s";   // s until the machine is taken; null: none
inline constexpr const char* kTasks = "shards";        // status of all tasks on the machine
inline constexpr const char* kTask = "shard";          // JOB/INDEX
inline constexpr const char* kAttempt = "try";         // token of the attempt at a task
inline constexpr const char* kPhase = "phase";         // one of kPhases
inline constexpr const char* kExitReason = "cause";    // one of kExitReasons
inline constexpr const char* kCommands = "orders";     // in the order of execution
inline constexpr const char* kCommandType = "verb";    // one of kCommandTypes
inline constexpr const char* kGraceS = "mercy_s";      // s; time to save before a kill
inline constexpr const char* kRedirect = "upstream";   // the node to report to instead
// In the order of TaskPhase, ExitReason and CommandType.
inline constexpr std::array kPhases = {"pulling", "running", "flushing", "exited"};
inline constexpr std::array kExitReasons = {"",        "done", "stopped", "error",
                                            "no_room", "busy", "no_such"};
inline constexpr std::array kCommandTypes = {"launch", "kill", "clear"};
}  // namespace worker

/// The cloud: "GET /catalog", "POST /machines", "POST /machines/return", "GET /machines".
namespace cloud {
inline constexpr const char* kMachineTypes = "hulls";          // the catalog
inline constexpr const char* kTypeName = "name";               // of a machine type
inline constexpr const char* kCpus = "cores";                  // of a machine
inline constexpr const char* kGpus = "accelerators";           // of a machine
inline constexpr const char* kMemoryGb = "mem_gb";             // GB
inline constexpr const char* kCacheGb = "cache_gb";            // GB; for images
inline constexpr const char* kFetchGbPerS = "fetch_gb_per_s";  // GB/s; for images
inline constexpr const char* kPrice = "price";                 // per hour, on demand
inline constexpr const char* kSpotPrice = "market_price";      // per hour, at the moment
inline constexpr const char* kBootS = "ready_s";               // s; nominal
inline constexpr const char* kZones = "berths";                // where the type is offered
inline constexpr const char* kMachines = "hosts";              // rows of a list, or names
inline constexpr const char* kMachineId = "name_id";           // machine id
inline constexpr const char* kAddress = "endpoint";            // IP:PORT of the worker
inline constexpr const char* kMachineType = "hull";            // name in the catalog
inline constexpr const char* kZone = "berth";                  // name of the zone
inline constexpr const char* kSpot = "driftwood";              // a spot machine
inline constexpr const char* kPhase = "phase";                 // starting, running or failed
inline constexpr const char* kHeldS = "held_s";                // s since the request
inline constexpr const char* kRequestId = "charter";           // never used twice
inline constexpr const char* kCount = "how_many";              // number of machines
inline constexpr const char* kMore = "more";                   // further pages follow
}  // namespace cloud

/// Requests to the state store and its answers: "Controller nodes -> state service".
namespace store {
inline constexpr const char* kRows = "rows";             // of a page of a list
inline constexpr const char* kEvents = "events";         // of an answer to /follow
inline constexpr const char* kMore = "more";             // further pages follow
inline constexpr const char* kStoreRevision = "ledger";  // counts every change
inline constexpr const char* kRevision = "stamp";        // of the last change of a key; 0: absent
inline constexpr const char* kLeaseId = "tether";        // of the lease to which a key is bound
inline constexpr const char* kLifeMs = "life_ms";        // ms; of a lease
inline constexpr const char* kKey = "key";               // the key of a row or precondition
inline constexpr const char* kValue = "v";               // the value of a key
inline constexpr const char* kPut = "write";             // the key that is written
inline constexpr const char* kDelete = "delete";         // the key that is removed
inline constexpr const char* kPreconditions = "guards";  // revisions that keys must have
inline constexpr const char* kChanges = "writes";        // of a transaction
inline constexpr const char* kFailed = "failed";         // keys whose preconditions do not hold
}  // namespace store

/// Values that controllers keep in the state store, see state_records.h. These names are our own;
/// earlier builds read and wrote them, so they cannot change.
namespace record {
inline constexpr const char* kNonce = "n";               // of the write, to know it again
inline constexpr const char* kLeader = "owner";          // of a partition
inline constexpr const char* kLeaseId = "grant";         // of the writer
inline constexpr const char* kPartition = "part";        // -1: the machine is released
inline constexpr const char* kMachineType = "type";      // name in the catalog
inline constexpr const char* kZone = "zone";             // name of the zone
inline constexpr const char* kAddress = "addr";          // IP:PORT of the worker
inline constexpr const char* kSpot = "spot";             // a spot machine
inline constexpr const char* kBoot = "boot";             // a name for one run of a process
inline constexpr const char* kFeatures = "features";     // see constants::kBuildFeatureBits
inline constexpr const char* kOldest = "oldest";         // cluster version that the build knows
inline constexpr const char* kNewest = "newest";         // cluster version that the build knows
inline constexpr const char* kActing = "acting";         // cluster version
inline constexpr const char* kBuild = "build";           // name of the build
inline constexpr const char* kJob = "job";               // a job with prerequisites
inline constexpr const char* kPrerequisites = "awaits";  // ids of jobs to be done before
inline constexpr const char* kPrerequisiteChunks = "awaits_parts";  // number of values
inline constexpr const char* kPhase = "phase";                      // of a finished job
inline constexpr const char* kAtMs = "at_ms";                       // ms, time of day
inline constexpr const char* kChunk = "chunk";      // number of a whole chunk of progress
inline constexpr const char* kFirst = "first";      // first task of any other range
inline constexpr const char* kForm = "form";        // of progress; missing: bits
inline constexpr const char* kBits = "bits";        // see pack_bits
inline constexpr const char* kRoaring = "roaring";  // see pack_roaring
inline constexpr const char* kVersion = "version";  // cluster version
inline constexpr const char* kFrom = "from";        // cluster version before the step
inline constexpr const char* kWho = "who";          // asked for the step
inline constexpr const char* kRequest = "request";  // name of the step
}  // namespace record

/// Prefixes of keys in the state store; see state_keys.h.
namespace key {
inline constexpr const char* kPartitions = "e/part/";         // claims of leaders
inline constexpr const char* kMachines = "e/machine/";        // assignments
inline constexpr const char* kNodes = "e/node/";              // controllers
inline constexpr const char* kJobs = "e/job/";                // accepted jobs
inline constexpr const char* kPrerequisites = "e/awaits/";    // chunks of long lists
inline constexpr const char* kFinals = "e/final/";            // ends of jobs
inline constexpr const char* kProgress = "d/";                // finished tasks
inline constexpr const char* kUpgrade = "e/upgrade/";         // followed for cluster versions
inline constexpr const char* kVersion = "e/upgrade/version";  // a whole key
inline constexpr const char* kHistory = "u/history/";         // read by upgrade_json.cc
inline constexpr const char* kWholeJob = "all";               // in place of a range of tasks
}  // namespace key

}  // namespace eiderreel::codec::wire
