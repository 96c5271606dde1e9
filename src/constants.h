// Every constant of the service stands here, with its unit and its reason.
// Limits of a deployment (rates, leases, sizes) come from the settings instead.
#pragma once
#include <cstddef>
#include <cstdint>

namespace eiderreel {

using Ms = std::int64_t;  // steady time and durations, milliseconds

namespace constants {

// --- clocks -------------------------------------------------------------------------------
constexpr double kDrift = 0.001;    // share; twice the 0.05% the protocol allows a clock
constexpr Ms kProofMarginMs = 250;  // ms; timer steps and a slow processor on both sides
constexpr Ms kTickMs = 50;          // ms; pace of all periodic work, fine enough for deferring

// --- leases, partitions ------------------------------------------------------------------------
constexpr Ms kLeaseTtlMs = 5000;         // ms; a dead leader's partition is vacant after this
constexpr Ms kLeaseRenewEveryMs = 1000;  // ms; four tries within one life
constexpr Ms kLeaseMarginMs = 300;       // ms; an leader stops acting this early
constexpr Ms kClaimPreferredAliveMs =
    2500;  // ms; a vacant partition waits so long for its living preferred leader
constexpr Ms kClaimOtherMs =
    300;  // ms; pause before claiming a partition whose preferred leader is gone
constexpr Ms kWorkerSilenceMs =
    1000;                          // ms; beyond the time in which every machine sends a heartbeat
constexpr Ms kProbeEveryMs = 500;  // ms; a node that hears nothing asks a worker this often
constexpr Ms kClaimWorkersLostMs = 3000;  // ms; more, for a node that hears no worker
constexpr Ms kFailbackAfterMs = 4000;     // ms; a preferred leader must have been up so long
constexpr Ms kBalanceEveryMs = 1000;      // ms; pace of the cluster leader's advice on machines

constexpr Ms kCordonMs = 3000;  // ms; advice to let machines run empty, renewed while it holds
constexpr Ms kVoteMs = 3000;    // ms; a peer's vote not to claim; a fresh process waits
                                // it out, so it is short
constexpr Ms kVoteRequestEveryMs = 500;        // ms; several tries within one vote
constexpr Ms kStateSilentMs = 1500;            // ms; without an answer so long, an outage is likely
constexpr std::size_t kOpenVoteRequests = 16;  // questions whose sending time is kept
constexpr Ms kFinalRetryMs = 1000;             // ms; pause before a final commit is tried again

// Numbers of messages begin at random below this: whole in a double, and never used up.
constexpr double kFirstNumberRange = 9e15;

// --- workers ------------------------------------------------------------------------------
constexpr Ms kDeferBusyMs = 400;   // ms; under the half second a worker waits between heartbeats
constexpr Ms kDeferIdleMs = 2500;  // ms; longest deferring of an idle machine, well under 4 s
constexpr Ms kCommandTimeoutMs = 2000;  // ms; kills by /commands; the next heartbeat repeats them
constexpr Ms kWorkerPatienceMs = 4000;  // ms; a worker drops an answer that takes longer; protocol
constexpr Ms kHoldHeartbeatMs = 2000;  // ms; a heartbeat waits so long for a new leader: a failover
                                       // is over by then, and the worker still waits
constexpr int kInboundLossAnswers =
    3;  // answers in a row without a trace; one or two are lost by chance
constexpr int kTokenAnnouncements =
    2;  // answers that tell a machine a fencing token which it then does not show
constexpr Ms kStarvedMs = 120000;  // ms; half of the four minutes in which every job should begin
constexpr Ms kBegunMs = 35000;     // ms; a start stopped within 30 s of its running does not count
constexpr int kUnhealthyErrors = 3;  // failures without a success before a machine is quarantined
constexpr Ms kQuarantineMs = 20000;  // ms; the first quarantine of a machine, the next is doubled
constexpr Ms kQuarantineMaxMs = 60000;  // ms; the longest, under the 90 s that a job may wait
                                        // beside room
constexpr Ms kJobBackoffMs = 1000;      // ms; first pause of a job that failed on several machines
constexpr Ms kJobBackoffMaxMs = 30000;  // ms; longest such pause
constexpr int kJobBadMachines = 3;      // a job that failed on so many machines is itself suspect
constexpr Ms kImageWaitMs = 900;        // ms; a service waits so long for a machine with its image
constexpr double kServicesAlike = 0.7;  // of the most services on a machine; so many are alike
constexpr int kServiceMachines = 4;     // one of so many heartbeats within the wait, nearly always
constexpr Ms kServicePackMs = 500;      // ms; a service waits so long to join other services
constexpr double kReserveShare = 1.0 / 16;  // of a machine with services, at most, is kept for them
constexpr double kReserveReplicas = 2;      // so many are likely to come before a heartbeat
constexpr Ms kPackWaitMs = 1500;            // ms; an array waits so long for fuller machines
constexpr Ms kPreemptAfterMs = 250;         // ms; several machines have sent a heartbeat by then
constexpr Ms kReclaimMarginMs = 1000;  // ms; a fair share is reclaimed so long before its objective
constexpr double kFairShareStartS =
    5;  // s; work within a fair share starts by then, if no objective says else
constexpr Ms kReclaimSoonestMs = 500;  // ms; at once would stop work that ends by itself
constexpr Ms kFetchWeight = 2;         // times the fetch; a job without its image is so much later
constexpr std::size_t kImagesKnown = 4096;  // besides those of open jobs; far more than are cached
constexpr Ms kReorderMs = 250;              // ms; how stale the order of the queue may be
constexpr Ms kStartAllowanceMs = 3000;      // ms; from start to running, over the estimate
constexpr Ms kUnboundedMs = 300000;  // ms; the latest start of a job without objective or deadline
constexpr int kPatienceTargets = 4;  // times its last objective; a job that late goes first again
constexpr int kAttemptBits =
    24;  // bits; attempts within one fencing token, below the fencing token's bits

// --- state store ------------------------------------------------------------------------
constexpr double kLeastValueKb = 1;     // KiB; the record of a job without lists, and some more
constexpr int kLeastTransaction = 2;    // changes; a job's final record and its record's deletion
constexpr double kBudgetShare = 0.9;    // share of the rates used; the rest absorbs clock skew
constexpr Ms kUseMs = 2000;             // ms; over which a node's use of the rates is averaged
constexpr double kBorrowedShare = 0.5;  // of what the other nodes leave; they may need it again
constexpr double kProgressKeep = 0.4;   // of a second's changes that progress leaves for the rest
constexpr double kWatchShare = 0.33;    // of a node's requests that following may take
constexpr double kBatchShare = 0.4;     // of a second's changes, in one transaction at most
constexpr Ms kOverLimitMs = 100;        // ms; pause after a refusal over the limit
constexpr Ms kStateTimeoutMs = 1500;    // ms; answers mostly take 10, sometimes some hundred
constexpr Ms kWatchWaitMs = 5000;       // ms; long poll; short enough to notice a hung link
constexpr Ms kWatchSlackMs = 2500;      // ms; beyond the wait before a follow counts as hung
constexpr Ms kWatchPauseMs = 100;       // ms; gathers changes, so a busy minute costs few requests
constexpr int kListPage = 500;          // items; half of the largest page
constexpr int kCommitTries = 3;         // tries of a commit before its caller hears "unknown"
constexpr Ms kRetryMs = 300;            // ms; pause before a state request is tried again
constexpr Ms kProgressEveryMs = 3000;   // ms; finished tasks of a job are written this often
constexpr std::uint64_t kFeatures = 1;  // of this build, told in its record: 1 knows prerequisites
constexpr int kPreconditionsPerChange = 4;  // conditions in a transaction; protocol
constexpr int kEndsPage = 100;  // final records in one read; a job names few that are known
constexpr std::size_t kProgressOverhead = 200;  // bytes of a value beside its bits
constexpr std::size_t kRecordOverhead = 200;    // bytes of a value beside its list of jobs
constexpr std::size_t kTransactionBytes =
    50000;                                // of the protocol's 64 KiB; the rest is preconditions
constexpr Ms kOrphanedChunksMs = 600000;  // ms; beyond any acceptance that may still be on its way
constexpr std::size_t kStatusWaiting = 20;       // waiting jobs that /status names
constexpr std::size_t kStatusPrerequisites = 5;  // prerequisites it names of each
constexpr std::uint32_t kProgressChunkTasks =
    32768;                                  // tasks; 4 KiB of bits, 5.5 KiB as base64, under 8 KiB
constexpr std::size_t kFinalCache = 20000;  // finished jobs remembered; older ones are read again
constexpr std::size_t kFinishedKept =
    2000;  // jobs that ended, to be handed over with a vote;
           // minutes of a busy day, an leader is behind by seconds

// --- upgrades -----------------------------------------------------------------------------
constexpr Ms kVersionRetryMs = 50;  // ms; a change of version is learnt from one answer
constexpr int kStepTries = 2;       // of a step; its operator hears within two state store timeouts
constexpr Ms kAutomaticEveryMs = 10000;    // ms; pace of automatic steps, so that each is settled
constexpr std::size_t kHistoryKept = 200;  // steps asked for; older ones are deleted
constexpr std::size_t kHistoryRecordBytes = 900;  // bytes; below the smallest limit of a value
constexpr Ms kConversionRateMs = 10000;  // ms; over which the rate of the conversion is averaged
constexpr Ms kConversionLookMs = 1000;   // ms; pause after a look that found nothing to convert
constexpr double kConversionBurst = 1;   // s; of its share of the changes, saved up at most
constexpr Ms kUpgradeCallMs = 6000;      // ms; a step is three tries of 1.5 s, and a pause
constexpr Ms kUpgradeResolveMs = 10000;  // ms; the command line looks so long for an outcome
constexpr Ms kUpgradeResolveEveryMs = 1000;  // ms

// --- users --------------------------------------------------------------------------------
constexpr std::size_t kBodyMax = 65536;       // bytes; protocol
constexpr std::size_t kBodyReadMax = 131072;  // bytes; what is longer is not even read
constexpr std::uint32_t kTasksMax = 100000;   // protocol
constexpr Ms kPeerQueryTimeoutMs = 700;       // ms; a user waits 2 s for a poll, two tries fit
constexpr Ms kOpenAnswerMs = 700;     // ms; what is older says nothing of an open job any more
constexpr int kRetryAfterS = 1;       // s; told to users who are refused
constexpr int kHeadersMax = 16384;    // bytes
constexpr int kIdleConnectionS = 60;  // s; users poll every 5 s, so an idle one is dead
constexpr double kPendingLeast = 32;  // requests to the state store waiting at once

constexpr int kLatencyBuckets = 12;      // of the histograms in /metrics
constexpr double kLatencyLowMs = 1;      // ms; steps of a timer
constexpr double kLatencyHighMs = 8192;  // ms; beyond a user's patience of 5 s
constexpr Ms kStatusTimeoutMs = 3000;    // ms; `eiderreel status` gives up

// --- peer links ---------------------------------------------------------------------------------
constexpr Ms kPeerRedialMs = 500;                    // ms
constexpr Ms kPeerStuckMs = 4000;                    // ms; unsent bytes or a dial without progress
constexpr Ms kPeerIdleTimeoutMs = 10000;             // ms; peers speak every half second
constexpr Ms kStatusEveryMs = 500;                   // ms; peers' news of load, sent to all
constexpr Ms kStatusStaleMs = 2500;                  // ms; a peer silent so long is treated as gone
constexpr std::size_t kPeerFrameMaxBytes = 1 << 20;  // bytes
constexpr std::size_t kPeerBacklogMaxBytes = 1 << 20;  // bytes unsent before a link is dropped

// --- cloud --------------------------------------------------------------------------------
constexpr int kOverLimit = 429;        // status of a request over the limit; nothing was done
constexpr Ms kCloudTimeoutMs = 8000;   // ms
constexpr Ms kListEveryMs = 3000;      // ms
constexpr Ms kCatalogEveryMs = 60000;  // ms; prices move slowly
constexpr Ms kLeaderSettlesMs = 8000;  // ms; a new cluster leader first hears of machines and needs
constexpr double kServiceRoom = 1.5;   // times what services use; room for the next ones
constexpr double kGiverWaits =
    0.25;  // of the waiting work of the partition in need: a giver's most
constexpr double kCordonShare = 0.75;  // of a partition's free room that is given to one in need
constexpr double kDrainAfterS =
    70;  // s; well under the 90 that a job may wait beside room elsewhere
constexpr double kCordonLeastCpus = 8;  // CPUs; less waiting is not worth a move
constexpr double kBaseShare = 0.5;      // share of machines dealt out by fair shares alone
constexpr Ms kFleetEveryMs = 1000;      // ms
constexpr Ms kUnschedulableAfterMs =
    4000;  // ms; by then all machines that fit have sent a heartbeat
constexpr std::size_t kUnschedulableMost = 8;  // jobs; told to the cluster leader at once
constexpr Ms kNeedLastsMs = 2000;    // ms; a lack of room must last before it is provisioned for
constexpr Ms kIdleReturnMs = 10000;  // ms; an idle machine is soon missed nowhere
constexpr Ms kIdleKeepMs = 180000;   // ms; the same where slack is short beside a boot
constexpr double kCostSavingBoots = 1.2;  // times the boot time; slack above it allows cost saving
constexpr double kPatience = 1.32;        // share of the slack that a queue may last
constexpr double kWaitShare = 0.75;       // of a stated wait, taken as slack; the rest is for boots
constexpr double kEvenMachines = 30.0;    // machines at which that share is half as long
constexpr double kSlackWeight = 0.1;      // share of a new job in the usual slack
constexpr Ms kConsolidateAfterMs = 4000;  // ms; room must be left over so long
constexpr double kConsolidateSpareRoom =
    0.05;  // share of a partition's CPUs that stays free beside the queue
constexpr Ms kConsolidateNextMs = 500;       // ms; then one machine after the other
constexpr Ms kNoCapacityPauseMs = 15000;     // ms; before a refused type and zone is asked again
constexpr double kStuckBoots = 4.0;          // times ready_s before a starting machine is returned
constexpr int kProvisionMost = 50;           // machines in one request; the cloud's limit
constexpr std::size_t kTerminateMost = 100;  // machines in one return; the cloud's limit

}  // namespace constants
}  // namespace eiderreel
