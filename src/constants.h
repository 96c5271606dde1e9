// The tuning constants of the service, grouped by subsystem. The unit is part of the name: Ms, S,
// Bytes, Kib, Cpus, or what is counted; Share is a fraction from 0 to 1, Factor a multiple.
// Limits that differ between deployments (rates, leases, sizes) come from the settings file
// instead; see config/settings.h.
#pragma once
#include <cstddef>
#include <cstdint>

namespace eiderreel {

/// Milliseconds: a duration, or a point in time of the steady clock unless the wall clock is named.
using Ms = std::int64_t;

namespace constants {

// --- Clocks ---------------------------------------------------------------------------------
// Largest drift between two clocks: twice the 0.05 % by which the protocol allows a clock to run
// fast or slow.
constexpr double kClockDriftShare = 0.001;
// Added to a worker's lease before the lease counts as expired. Covers timer resolution and slow
// processing at both ends.
constexpr Ms kWorkerLeaseMarginMs = 250;
// Interval of all periodic work; short enough to answer deferred heartbeats on time.
constexpr Ms kTickMs = 50;

// --- Leases and partitions ------------------------------------------------------------------
// Lease of a controller. The partitions of a failed leader become vacant after this time.
constexpr Ms kLeaseTtlMs = 5000;
// Interval of lease renewals; allows four attempts within one lease.
constexpr Ms kLeaseRenewIntervalMs = 1000;
// A leader stops acting this long before its lease expires.
constexpr Ms kLeaseMarginMs = 300;
// Time for which a vacant partition is left to its preferred leader while that controller is alive.
constexpr Ms kClaimDelayPreferredAliveMs = 2500;
// Delay before claiming a vacant partition whose preferred leader is gone.
constexpr Ms kClaimDelayPreferredLostMs = 300;
// Added to the time in which every machine sends a heartbeat. A controller that has received none
// for longer than the sum counts as cut off from the workers.
constexpr Ms kWorkerSilenceMarginMs = 1000;
// Interval at which a controller that receives no heartbeats probes a worker.
constexpr Ms kProbeIntervalMs = 500;
// Extra claim delay of a controller that receives no heartbeats, so that other controllers claim
// first.
constexpr Ms kClaimDelayWorkersLostMs = 3000;
// Time for which a preferred leader must have been up before its partition is handed back to it.
constexpr Ms kFailbackDelayMs = 4000;
// Interval at which the cluster leader rebalances machines between partitions.
constexpr Ms kRebalanceIntervalMs = 1000;
// Time for which a cordon request holds; the request is repeated while the reason for it persists.
constexpr Ms kCordonTtlMs = 3000;
// Time for which a peer that grants a vote does not claim the requester's partitions. Short,
// because a restarted process has to wait for it to expire.
constexpr Ms kVoteTtlMs = 3000;
// Interval of vote requests; allows several while one vote is valid.
constexpr Ms kVoteRequestIntervalMs = 500;
// The state store counts as unavailable if it has not answered for this long.
constexpr Ms kStateStoreSilenceMs = 1500;
// Vote requests whose sending time is kept.
constexpr std::size_t kMaxPendingVoteRequests = 16;
// Requests between peers are numbered from a random number below this limit. A double represents it
// exactly, and the numbers that follow never run out.
constexpr double kMaxInitialRequestNumber = 9e15;
// Delay before a commit of a final record is retried.
constexpr Ms kFinalCommitRetryMs = 1000;

// --- Workers and placement ------------------------------------------------------------------
// Longest deferral of a busy machine's heartbeat; below the 500 ms between heartbeats.
constexpr Ms kMaxBusyDeferralMs = 400;
// Longest deferral of an idle machine's heartbeat; well below kWorkerReplyTimeoutMs.
constexpr Ms kMaxIdleDeferralMs = 2500;
// Timeout of requests to a worker. A kill that gets lost is repeated in the next heartbeat reply.
constexpr Ms kWorkerRequestTimeoutMs = 2000;
// Protocol: a worker discards a heartbeat reply that takes longer.
constexpr Ms kWorkerReplyTimeoutMs = 4000;
// Time for which a heartbeat is held until a new leader is elected: long enough for a failover, and
// below kWorkerReplyTimeoutMs.
constexpr Ms kHeartbeatHoldMs = 2000;
// Consecutive replies that a machine must have missed before it is quarantined for inbound loss;
// one or two may be lost by chance.
constexpr int kInboundLossReplies = 3;
// Replies that announce a fencing token to a machine before the machine is treated as stale for not
// adopting it.
constexpr int kMaxTokenAnnouncements = 2;
// A job that has not started for this long counts as starved: half of the four minutes within which
// every job should start.
constexpr Ms kStarvationAgeMs = 120000;
// Time for which the first task of a starved job is not preempted. A start counts only after 30 s
// of running; the rest is a margin.
constexpr Ms kStarvedTaskProtectionMs = 35000;
// Consecutive failures after which a machine is quarantined.
constexpr int kQuarantineFailures = 3;
// First quarantine of a machine; each further one is twice as long.
constexpr Ms kInitialQuarantineMs = 20000;
// Longest quarantine; below the 90 s that a job may wait while there is room.
constexpr Ms kMaxQuarantineMs = 60000;
// First backoff of a job that failed on several machines.
constexpr Ms kInitialJobBackoffMs = 1000;
// Longest backoff of a job that failed on several machines.
constexpr Ms kMaxJobBackoffMs = 30000;
// Machines on which a job must fail before the job is considered faulty instead of the machines.
constexpr int kJobFailureMachines = 3;
// Time for which a service waits for a machine that has its image.
constexpr Ms kServiceImageWaitMs = 900;
// A service is not started on a machine whose services use less than this share of the CPUs that
// services use on the fullest machine; it waits for a fuller one instead.
constexpr double kFullestServiceShare = 0.7;
// Waiting for a fuller machine pays off if at least this many machines run services: nearly always
// one of them sends its heartbeat in time.
constexpr int kMinServiceMachines = 4;
// Time for which a service waits for a machine that runs other services.
constexpr Ms kServicePackWaitMs = 500;
// Largest share of a machine with services that is reserved for further services.
constexpr double kMaxServiceHeadroomShare = 1.0 / 16;
// Replicas for which room is reserved: as many as are likely to arrive before the next heartbeat.
constexpr double kServiceHeadroomReplicas = 2;
// Time for which a job array waits for fuller machines.
constexpr Ms kArrayPackWaitMs = 1500;
// Time that a job waits before it may preempt tasks of lower priority; long enough for several
// machines to send a heartbeat.
constexpr Ms kPreemptionDelayMs = 250;
// A fair share is reclaimed this long before its objective would be missed.
constexpr Ms kReclaimMarginMs = 1000;
// Default objective for the start of work within a fair share.
constexpr double kDefaultFairShareStartS = 5;
// Earliest reclaim of a fair share; an immediate one would preempt tasks that are about to finish.
constexpr Ms kMinReclaimDelayMs = 500;
// A job without its image on a machine is sorted later in the queue by this multiple of the fetch
// time.
constexpr Ms kFetchPenaltyFactor = 2;
// Images kept in addition to those of open jobs; far more than the machines cache.
constexpr std::size_t kMaxRetainedImages = 4096;
// The queue is sorted again when its order is older than this.
constexpr Ms kQueueSortIntervalMs = 250;
// Time from start to running that is added to a task's estimated run time.
constexpr Ms kStartAllowanceMs = 3000;
// Latest start of a job with neither an objective nor a deadline, counted from when it became
// ready.
constexpr Ms kDefaultLatestStartMs = 300000;
// A late job that is older than this multiple of the time from its submission to its last target
// time is sorted as if it had missed no objective.
constexpr int kOverdueObjectiveFactor = 4;
// Low bits of an attempt number, which hold a counter; the bits above hold the fencing token.
constexpr int kAttemptCounterBits = 24;

// --- State store ----------------------------------------------------------------------------
// Smallest accepted limit of a value: enough for a job record without lists, with a margin.
constexpr double kMinValueKib = 1;
// Smallest accepted limit of a transaction: a job's final record and the deletion of its job
// record.
constexpr int kMinTransactionChanges = 2;
// Share of the rate limits that is used; the rest absorbs clock skew.
constexpr double kUsableRateShare = 0.9;
// Time constant of the average of a controller's request and change rates.
constexpr Ms kUsageAveragingMs = 2000;
// Share of the other controllers' unused rates that may be borrowed; they may need the rest again.
constexpr double kBorrowableShare = 0.5;
// Share of a second's changes that progress writes leave to other writes.
constexpr double kProgressReserveShare = 0.4;
// Share of a controller's requests that watches may use.
constexpr double kWatchRequestShare = 0.33;
// Share of a second's changes that one transaction may use.
constexpr double kTransactionChangeShare = 0.4;
// Delay before a request is retried that the state store rejected over its rate limit.
constexpr Ms kThrottledRetryDelayMs = 100;
// Timeout of a request to the state store, which usually answers within 10 ms, sometimes within a
// few hundred.
constexpr Ms kStateStoreTimeoutMs = 1500;
// Duration of a long poll; short enough to detect a dead connection.
constexpr Ms kWatchLongPollMs = 5000;
// A watch without a reply for this long after the end of its long poll counts as failed.
constexpr Ms kWatchTimeoutMarginMs = 2500;
// Pause between long polls, which batches changes so that a busy minute costs few requests.
constexpr Ms kMinWatchPauseMs = 100;
// Items of a page; half of the largest page that the protocol allows.
constexpr int kListPageItems = 500;
// Attempts of a commit before the outcome is reported as unknown.
constexpr int kMaxCommitAttempts = 3;
// Delay before a failed request to the state store or the cloud is retried.
constexpr Ms kRetryDelayMs = 300;
// Interval at which the finished tasks of a job are written.
constexpr Ms kProgressIntervalMs = 3000;
// Features of this build, published in the controller's record. Bit 0: supports prerequisites.
constexpr std::uint64_t kBuildFeatureBits = 1;
// Protocol: the limit of a transaction's preconditions, as a multiple of its limit of changes.
constexpr int kPreconditionsPerChange = 4;
// Final records in one read; a job rarely has more prerequisites.
constexpr int kFinalRecordPageItems = 100;
// Size of a progress value without its bits.
constexpr std::size_t kProgressOverheadBytes = 200;
// Size of a prerequisite record without its list of jobs.
constexpr std::size_t kRecordOverheadBytes = 200;
// Limit of a transaction's values; the rest of the protocol's 64 KiB is for preconditions.
constexpr std::size_t kTransactionBytes = 50000;
// Prerequisite chunks without a job are deleted at this age; by then, the commit that would accept
// their job cannot be pending any more.
constexpr Ms kOrphanedChunkAgeMs = 600000;
// Waiting jobs listed in /status.
constexpr std::size_t kMaxStatusWaitingJobs = 20;
// Prerequisites listed in /status for each waiting job.
constexpr std::size_t kMaxStatusPrerequisites = 5;
// Tasks of a progress chunk: 4 KiB of bits are 5.5 KiB as base64, below 8 KiB.
constexpr std::uint32_t kProgressChunkTasks = 32768;
// Finished jobs that are cached; older ones are read from the state store.
constexpr std::size_t kMaxCachedFinalJobs = 20000;
// Finished jobs that are kept to be sent along with a vote: those of the last minutes on a busy
// day, while a leader's view of them is only seconds behind.
constexpr std::size_t kMaxRecentFinishedJobs = 2000;

// --- Upgrades -------------------------------------------------------------------------------
// Delay before a write that was refused because of a version change is retried; long enough for the
// reply to this controller's write of its node record, which confirms the new version.
constexpr Ms kVersionRetryDelayMs = 50;
// Attempts of an upgrade step; its operator gets a reply within two timeouts of the state store.
constexpr int kMaxStepAttempts = 2;
// Interval between automatic steps; long enough for each step to take effect.
constexpr Ms kAutomaticStepIntervalMs = 10000;
// Steps kept in the history; older ones are deleted.
constexpr std::size_t kMaxHistoryRecords = 200;
// Largest record of a step in the history; below kMinValueKib, the smallest limit of a value.
constexpr std::size_t kMaxHistoryRecordBytes = 900;
// Time constant of the average rate of a conversion.
constexpr Ms kConversionRateAveragingMs = 10000;
// Pause after a scan that found nothing to convert.
constexpr Ms kConversionScanPauseMs = 1000;
// Unused changes that a conversion may accumulate, as seconds of its rate.
constexpr double kConversionBurstS = 1;
// Timeout of an upgrade command: three attempts of 1.5 s each, and a margin.
constexpr Ms kUpgradeCallTimeoutMs = 6000;
// Time for which the command line queries the outcome of a step that got no reply.
constexpr Ms kUpgradeResolveTimeoutMs = 10000;
// Interval between two queries of the outcome of a step.
constexpr Ms kUpgradeResolveIntervalMs = 1000;

// --- HTTP API -------------------------------------------------------------------------------
// Protocol: largest body of a request.
constexpr std::size_t kMaxBodyBytes = 65536;
// Largest body that is read: one above kMaxBodyBytes is answered with 413, and one above this size
// is not read at all.
constexpr std::size_t kMaxBodyReadBytes = 131072;
// Protocol: largest number of tasks of a job.
constexpr std::uint32_t kMaxJobTasks = 100000;
// Timeout of a query to a peer; a user waits 2 s for a poll, which allows two attempts.
constexpr Ms kPeerQueryTimeoutMs = 700;
// The answer to a poll of an open job is rejected as stale if its query was sent longer ago.
constexpr Ms kMaxOpenAnswerAgeMs = 700;
// Retry-After header of refused requests.
constexpr int kRetryAfterS = 1;
// Largest size of the headers of a request.
constexpr int kMaxHeaderBytes = 16384;
// Users poll every 5 s, so a connection that is idle for this long is dead.
constexpr int kConnectionIdleTimeoutS = 60;
// Lower bound of the number of requests that may be queued for the state store.
constexpr double kMinRequestQueueCapacity = 32;
// Timeout of `eiderreel status`.
constexpr Ms kStatusCommandTimeoutMs = 3000;

// --- Latency histograms in /metrics ---------------------------------------------------------
// Buckets of each histogram.
constexpr int kLatencyBuckets = 12;
// Lower bound of the buckets: the resolution of a timer.
constexpr double kMinLatencyMs = 1;
// Upper bound of the buckets; beyond the 5 s that a user waits.
constexpr double kMaxLatencyMs = 8192;

// --- Peer links -----------------------------------------------------------------------------
// Delay before a failed link is connected again.
constexpr Ms kPeerReconnectDelayMs = 500;
// A link is dropped if connecting, or sending its queued bytes, makes no progress for this long.
constexpr Ms kPeerStallTimeoutMs = 4000;
// A link is dropped if nothing is received for this long; peers send every half second.
constexpr Ms kPeerIdleTimeoutMs = 10000;
// Interval at which a controller sends its load to all peers.
constexpr Ms kPeerStatusIntervalMs = 500;
// A peer whose last status is older counts as unreachable.
constexpr Ms kPeerStatusTtlMs = 2500;
// Largest frame that is accepted from a peer.
constexpr std::size_t kMaxPeerFrameBytes = 1 << 20;
// A link with more unsent bytes is dropped.
constexpr std::size_t kMaxPeerBacklogBytes = 1 << 20;

// --- Cloud and fleet ------------------------------------------------------------------------
// Timeout of a request to the cloud.
constexpr Ms kCloudTimeoutMs = 8000;
// Interval at which the list of machines is read.
constexpr Ms kMachineListIntervalMs = 3000;
// Interval at which the catalog is read; prices change slowly.
constexpr Ms kCatalogIntervalMs = 60000;
// A new cluster leader collects machine lists and partition loads for this long before it scales.
constexpr Ms kClusterLeaderWarmupMs = 8000;
// Capacity kept for services, as a multiple of what they use; the rest is room for further ones.
constexpr double kServiceCapacityFactor = 1.5;
// A partition gives machines away only if its waiting work is at most this share of the receiver's.
constexpr double kMaxDonorWaitingShare = 0.25;
// Share of a partition's free CPUs that is cordoned for another partition.
constexpr double kCordonFreeShare = 0.75;
// Machines are drained for work that has waited this long; well below the 90 s that a job may wait
// while there is room elsewhere.
constexpr double kDrainAfterS = 70;
// Fewest CPUs for which machines are cordoned; less waiting work is not worth moving machines.
constexpr double kMinCordonCpus = 8;
// Share of the machines' CPUs that is divided among the partitions by fair share, regardless of
// their waiting work.
constexpr double kFairShareBaseShare = 0.5;
// Interval of scaling decisions.
constexpr Ms kScalingIntervalMs = 1000;
// Waiting time after which a job counts as unschedulable; by then all suitable machines have sent a
// heartbeat.
constexpr Ms kUnschedulableAfterMs = 4000;
// Unschedulable jobs in one load report to the cluster leader.
constexpr std::size_t kMaxUnschedulableJobs = 8;
// A lack of capacity must last this long before machines are provisioned.
constexpr Ms kScaleOutDelayMs = 2000;
// Time after which an idle machine is released if cost saving applies (see kCostSavingBootFactor),
// since it is easily replaced then.
constexpr Ms kIdleReleaseMs = 10000;
// Time after which an idle machine is released if the slack of jobs is short compared with the boot
// time.
constexpr Ms kShortSlackIdleReleaseMs = 180000;
// Cost saving applies if the slack of jobs is at least this multiple of the longest boot time.
constexpr double kCostSavingBootFactor = 1.2;
// Time in which the queue of a large fleet is to be worked off, as a multiple of the slack.
constexpr double kQueueSlackFactor = 1.32;
// Share of a wait objective that counts as slack; the rest is for boots.
constexpr double kWaitSlackShare = 0.75;
// Fleet size at which kQueueSlackFactor is halved; load fluctuations average out less in a small
// fleet.
constexpr double kSlackHalvingMachines = 30.0;
// Weight of a new job in the running average of slack.
constexpr double kSlackAverageWeight = 0.1;
// Surplus room must last this long before machines are consolidated.
constexpr Ms kConsolidationDelayMs = 4000;
// Share of a partition's CPUs that stays free in addition to the room for the queue.
constexpr double kConsolidationSpareShare = 0.05;
// Pause between two machines that are consolidated.
constexpr Ms kConsolidationIntervalMs = 500;
// Pause before a machine type is requested again in a zone that had no capacity.
constexpr Ms kNoCapacityPauseMs = 15000;
// A machine that is still starting after this multiple of its boot time is returned to the cloud.
constexpr double kStuckBootFactor = 4.0;
// Machines in one provisioning request; the limit of the cloud.
constexpr int kMaxProvisionMachines = 50;
// Machines in one return request; the limit of the cloud.
constexpr std::size_t kMaxTerminateMachines = 100;

}  // namespace constants
}  // namespace eiderreel
