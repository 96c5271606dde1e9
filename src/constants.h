// The tuning constants of the service, by role, each with its unit and its reason.
// Limits that differ between deployments (rates, leases, sizes) come from the settings file
// instead; see config/settings.h.
#pragma once
#include <cstddef>
#include <cstdint>

namespace eiderreel {

/// Milliseconds: a duration, or a moment of the steady clock.
using Ms = std::int64_t;

namespace constants {

// --- Clocks ---------------------------------------------------------------------------------
// Share. Twice the 0.05 % by which the protocol lets a clock run fast or slow.
constexpr double kDrift = 0.001;
// ms. Covers timer resolution and a slow processor on both sides of a lease.
constexpr Ms kProofMarginMs = 250;
// ms. Pace of all periodic work, fine enough to end deferred heartbeats on time.
constexpr Ms kTickMs = 50;

// --- Leases and partitions ------------------------------------------------------------------
// ms. The partition of a dead leader becomes vacant after this time.
constexpr Ms kLeaseTtlMs = 5000;
// ms. Allows four attempts to renew within one lease.
constexpr Ms kLeaseRenewEveryMs = 1000;
// ms. A leader stops acting this long before its lease ends.
constexpr Ms kLeaseMarginMs = 300;
// ms. Time that a vacant partition is left to its preferred leader, if that is alive.
constexpr Ms kClaimPreferredAliveMs = 2500;
// ms. Pause before claiming a partition whose preferred leader is gone.
constexpr Ms kClaimOtherMs = 300;
// ms. Added to the time within which every machine sends a heartbeat; more is silence.
constexpr Ms kWorkerSilenceMs = 1000;
// ms. A node that hears no worker probes one this often.
constexpr Ms kProbeEveryMs = 500;
// ms. Extra delay of claims by a node that hears no worker, so that others go first.
constexpr Ms kClaimWorkersLostMs = 3000;
// ms. A preferred leader must have been up this long to get its partition back.
constexpr Ms kFailbackAfterMs = 4000;
// ms. Pace of the cluster leader's advice on machines.
constexpr Ms kBalanceEveryMs = 1000;
// ms. Life of the advice to cordon machines, which is renewed while it holds.
constexpr Ms kCordonMs = 3000;
// ms. Life of a peer's vote not to claim. Short, because a restarted process waits it out.
constexpr Ms kVoteMs = 3000;
// ms. Allows several requests within the life of one vote.
constexpr Ms kVoteRequestEveryMs = 500;
// ms. Without an answer of the state store for this long, an outage is likely.
constexpr Ms kStateSilentMs = 1500;
// Vote requests whose sending time is remembered.
constexpr std::size_t kOpenVoteRequests = 16;
// Numbers of requests between peers begin at random below this: whole in a double, and never used
// up.
constexpr double kFirstNumberRange = 9e15;
// ms. Pause before a final commit is retried.
constexpr Ms kFinalRetryMs = 1000;

// --- Workers and placement ------------------------------------------------------------------
// ms. Longest deferral of a busy machine's heartbeat; below the 500 ms between heartbeats.
constexpr Ms kDeferBusyMs = 400;
// ms. Longest deferral of an idle machine's heartbeat; well below kWorkerPatienceMs.
constexpr Ms kDeferIdleMs = 2500;
// ms. Timeout of kills sent to /commands; the next heartbeat repeats them anyway.
constexpr Ms kCommandTimeoutMs = 2000;
// ms. Protocol: a worker drops an answer that takes longer.
constexpr Ms kWorkerPatienceMs = 4000;
// ms. Time a heartbeat is held for a new leader: enough for a failover, and the worker still waits.
constexpr Ms kHoldHeartbeatMs = 2000;
// Answers in a row of which a machine shows no trace; one or two may be lost by chance.
constexpr int kInboundLossAnswers = 3;
// Answers that carry a fencing token which the machine then does not show.
constexpr int kTokenAnnouncements = 2;
// ms. Half of the four minutes within which every job should start.
constexpr Ms kStarvedMs = 120000;
// ms. A start that is stopped within 30 s of running does not count; plus a margin.
constexpr Ms kBegunMs = 35000;
// Failures without a success before a machine is quarantined.
constexpr int kUnhealthyErrors = 3;
// ms. First quarantine of a machine; each further one is twice as long.
constexpr Ms kQuarantineMs = 20000;
// ms. Longest quarantine; below the 90 s that a job may wait while there is room.
constexpr Ms kQuarantineMaxMs = 60000;
// ms. First backoff of a job that failed on several machines.
constexpr Ms kJobBackoffMs = 1000;
// ms. Longest backoff of such a job.
constexpr Ms kJobBackoffMaxMs = 30000;
// Machines on which a job must fail before the job itself is suspected.
constexpr int kJobBadMachines = 3;
// ms. Time that a service waits for a machine which has its image.
constexpr Ms kImageWaitMs = 900;
// Share of the services on the fullest machine; one with less is passed over for fuller ones.
constexpr double kServicesAlike = 0.7;
// Machines with services from which on waiting pays: one of them nearly always reports in time.
constexpr int kServiceMachines = 4;
// ms. Time that a service waits to join other services.
constexpr Ms kServicePackMs = 500;
// Share of a machine with services that is reserved for further services at most.
constexpr double kReserveShare = 1.0 / 16;
// Replicas that are likely to arrive before the next heartbeat.
constexpr double kReserveReplicas = 2;
// ms. Time that an array waits for fuller machines.
constexpr Ms kPackWaitMs = 1500;
// ms. Several machines have sent a heartbeat by then.
constexpr Ms kPreemptAfterMs = 250;
// ms. A fair share is reclaimed this long before its objective is missed.
constexpr Ms kReclaimMarginMs = 1000;
// s. Default objective for the start of work within a fair share.
constexpr double kFairShareStartS = 5;
// ms. Reclaiming at once would stop work that is about to finish.
constexpr Ms kReclaimSoonestMs = 500;
// Multiple of the fetch time by which a job is set back on a machine without its image.
constexpr Ms kFetchWeight = 2;
// Images remembered in addition to those of open jobs; far more than machines cache.
constexpr std::size_t kImagesKnown = 4096;
// ms. Largest age of the order of a queue.
constexpr Ms kReorderMs = 250;
// ms. Time from start to running that may be added to the estimate.
constexpr Ms kStartAllowanceMs = 3000;
// ms. Latest start of a job that has neither objective nor deadline.
constexpr Ms kUnboundedMs = 300000;
// Multiple of its last objective after which a late job goes first again.
constexpr int kPatienceTargets = 4;
// Bits of an attempt's number; the fencing token is in the bits above them.
constexpr int kAttemptBits = 24;

// --- State store ----------------------------------------------------------------------------
// KiB. Smallest accepted limit of a value: the record of a job without lists, and some more.
constexpr double kLeastValueKb = 1;
// Changes. Smallest accepted limit: a job's final record and the deletion of its record.
constexpr int kLeastTransaction = 2;
// Share of the rates that is used; the rest absorbs clock skew.
constexpr double kBudgetShare = 0.9;
// ms. Period over which a node's use of the rates is averaged.
constexpr Ms kUseMs = 2000;
// Share of what other nodes leave unused that may be borrowed; they may need it again.
constexpr double kBorrowedShare = 0.5;
// Share of a second's changes that progress leaves to other writes.
constexpr double kProgressKeep = 0.4;
// Share of a node's requests that watches may use.
constexpr double kWatchShare = 0.33;
// Share of a second's changes that one transaction may use.
constexpr double kBatchShare = 0.4;
// ms. Pause after a refusal over the limit.
constexpr Ms kOverLimitMs = 100;
// ms. Answers usually take 10 ms, sometimes a few hundred.
constexpr Ms kStateTimeoutMs = 1500;
// ms. Duration of a long poll; short enough to notice a dead connection.
constexpr Ms kWatchWaitMs = 5000;
// ms. Time beyond the long poll after which a watch counts as dead.
constexpr Ms kWatchSlackMs = 2500;
// ms. Collects changes between polls, so that a busy minute costs few requests.
constexpr Ms kWatchPauseMs = 100;
// Items of a page; half of the largest page that the protocol allows.
constexpr int kListPage = 500;
// Attempts of a commit before its caller is told that the outcome is unknown.
constexpr int kCommitTries = 3;
// ms. Pause before a request to the state store is retried.
constexpr Ms kRetryMs = 300;
// ms. Interval at which the finished tasks of a job are written.
constexpr Ms kProgressEveryMs = 3000;
// Bit set of this build's features, published in its record. Bit 0: knows prerequisites.
constexpr std::uint64_t kFeatures = 1;
// Protocol: preconditions in a transaction, for each change that it may have.
constexpr int kPreconditionsPerChange = 4;
// Final records in one read; a job rarely names more.
constexpr int kEndsPage = 100;
// Bytes of a progress value besides its bits.
constexpr std::size_t kProgressOverhead = 200;
// Bytes of a record besides its list of jobs.
constexpr std::size_t kRecordOverhead = 200;
// Bytes of a transaction's values; the rest of the protocol's 64 KiB is for preconditions.
constexpr std::size_t kTransactionBytes = 50000;
// ms. Older chunks without a job are deleted; no acceptance can still be on its way.
constexpr Ms kOrphanedChunksMs = 600000;
// Waiting jobs listed in /status.
constexpr std::size_t kStatusWaiting = 20;
// Prerequisites listed in /status for each waiting job.
constexpr std::size_t kStatusPrerequisites = 5;
// Tasks of a progress chunk: 4 KiB of bits are 5.5 KiB as base64, below 8 KiB.
constexpr std::uint32_t kProgressChunkTasks = 32768;
// Finished jobs that are cached; older ones are read again.
constexpr std::size_t kFinalCache = 20000;
// Finished jobs that are handed over with a vote: minutes of a busy day, where a leader lags by
// seconds.
constexpr std::size_t kFinishedKept = 2000;

// --- Upgrades -------------------------------------------------------------------------------
// ms. Pause before a write refused over a version is retried; one answer tells the new version.
constexpr Ms kVersionRetryMs = 50;
// Attempts of a step; its operator is answered within two timeouts of the state store.
constexpr int kStepTries = 2;
// ms. Interval between automatic steps, in which each of them takes effect.
constexpr Ms kAutomaticEveryMs = 10000;
// Steps kept in the history; older ones are deleted.
constexpr std::size_t kHistoryKept = 200;
// Bytes of a history record; below the smallest limit of a value.
constexpr std::size_t kHistoryRecordBytes = 900;
// ms. Period over which the rate of a conversion is averaged.
constexpr Ms kConversionRateMs = 10000;
// ms. Pause after a scan that found nothing to convert.
constexpr Ms kConversionLookMs = 1000;
// s. Unused changes that a conversion may save up.
constexpr double kConversionBurst = 1;
// ms. Timeout of an upgrade command: three attempts of 1.5 s each, and a margin.
constexpr Ms kUpgradeCallMs = 6000;
// ms. Time for which the command line looks for an unknown outcome.
constexpr Ms kUpgradeResolveMs = 10000;
// ms. Pause between two such looks.
constexpr Ms kUpgradeResolveEveryMs = 1000;

// --- HTTP API -------------------------------------------------------------------------------
// Bytes. Protocol: largest body of a request.
constexpr std::size_t kBodyMax = 65536;
// Bytes. A longer body is not even read; up to here it is answered with 413.
constexpr std::size_t kBodyReadMax = 131072;
// Protocol: tasks of a job.
constexpr std::uint32_t kTasksMax = 100000;
// ms. Timeout of a query to a peer; a user waits 2 s for a poll, enough for two attempts.
constexpr Ms kPeerQueryTimeoutMs = 700;
// ms. An older answer says nothing about an open job any more.
constexpr Ms kOpenAnswerMs = 700;
// s. Retry-After of refused requests.
constexpr int kRetryAfterS = 1;
// Bytes of a request's headers.
constexpr int kHeadersMax = 16384;
// s. Users poll every 5 s, so a connection idle for this long is dead.
constexpr int kIdleConnectionS = 60;
// Lower bound of the number of requests that may wait for the state store at the same time.
constexpr double kPendingLeast = 32;
// ms. Timeout of `eiderreel status`.
constexpr Ms kStatusTimeoutMs = 3000;

// --- Latency histograms in /metrics ---------------------------------------------------------
// Buckets of a histogram.
constexpr int kLatencyBuckets = 12;
// ms. Lowest bucket: the resolution of a timer.
constexpr double kLatencyLowMs = 1;
// ms. Highest bucket; beyond the 5 s that a user waits.
constexpr double kLatencyHighMs = 8192;

// --- Peer links -----------------------------------------------------------------------------
// ms. Pause before a failed link is dialled again.
constexpr Ms kPeerRedialMs = 500;
// ms. A link is dropped after this time of unsent bytes or dialling without progress.
constexpr Ms kPeerStuckMs = 4000;
// ms. A link is dropped after this silence; peers send every half second.
constexpr Ms kPeerIdleTimeoutMs = 10000;
// ms. Interval at which a node sends its load to all peers.
constexpr Ms kStatusEveryMs = 500;
// ms. A peer that is silent for this long counts as gone.
constexpr Ms kStatusStaleMs = 2500;
// Bytes of a frame.
constexpr std::size_t kPeerFrameMaxBytes = 1 << 20;
// Unsent bytes after which a link is dropped.
constexpr std::size_t kPeerBacklogMaxBytes = 1 << 20;

// --- Cloud and fleet ------------------------------------------------------------------------
// ms. Timeout of a request to the cloud.
constexpr Ms kCloudTimeoutMs = 8000;
// ms. Interval at which the list of machines is read.
constexpr Ms kListEveryMs = 3000;
// ms. Interval at which the catalog is read; prices change slowly.
constexpr Ms kCatalogEveryMs = 60000;
// ms. A new cluster leader first collects machines and needs for this long.
constexpr Ms kLeaderSettlesMs = 8000;
// Multiple of what services use that is kept; room for the next ones.
constexpr double kServiceRoom = 1.5;
// Share of the needy partition's waiting work that a giving partition may have waiting itself.
constexpr double kGiverWaits = 0.25;
// Share of a partition's free room that is given to one in need.
constexpr double kCordonShare = 0.75;
// s. Machines are drained for work that waited this long; well below the 90 s that a job may wait
// while there is room elsewhere.
constexpr double kDrainAfterS = 70;
// CPUs. Less waiting work is not worth a move of machines.
constexpr double kCordonLeastCpus = 8;
// Share of the machines that is distributed by fair shares alone.
constexpr double kBaseShare = 0.5;
// ms. Pace of decisions on the fleet.
constexpr Ms kFleetEveryMs = 1000;
// ms. By then all machines that fit have sent a heartbeat.
constexpr Ms kUnschedulableAfterMs = 4000;
// Unschedulable jobs that are reported to the cluster leader at once.
constexpr std::size_t kUnschedulableMost = 8;
// ms. A lack of room must last this long before machines are provisioned.
constexpr Ms kNeedLastsMs = 2000;
// ms. An idle machine is returned after this time where it is easily replaced.
constexpr Ms kIdleReturnMs = 10000;
// ms. The same where the slack of jobs is short compared with the boot time.
constexpr Ms kIdleKeepMs = 180000;
// Multiple of the boot time; with more slack than this, cost is saved.
constexpr double kCostSavingBoots = 1.2;
// Multiple of the slack that a queue may last in a large fleet.
constexpr double kPatience = 1.32;
// Share of a stated wait that counts as slack; the rest is for boots.
constexpr double kWaitShare = 0.75;
// Machines at which kPatience is halved; a small fleet evens out less.
constexpr double kEvenMachines = 30.0;
// Weight of a new job in the running average of slack.
constexpr double kSlackWeight = 0.1;
// ms. Room must be left over for this long before machines are consolidated.
constexpr Ms kConsolidateAfterMs = 4000;
// Share of a partition's CPUs that stays free besides the queue.
constexpr double kConsolidateSpareRoom = 0.05;
// ms. Pause between two machines that are consolidated.
constexpr Ms kConsolidateNextMs = 500;
// ms. Pause before a machine type is requested again in a zone that had no capacity.
constexpr Ms kNoCapacityPauseMs = 15000;
// Multiple of ready_s after which a machine that is still starting is returned.
constexpr double kStuckBoots = 4.0;
// Machines in one request; the cloud's limit.
constexpr int kProvisionMost = 50;
// Machines in one return; the cloud's limit.
constexpr std::size_t kTerminateMost = 100;

}  // namespace constants
}  // namespace eiderreel
